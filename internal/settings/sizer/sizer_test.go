package sizer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
)

// TestFaults guards against a workload that is accepted with faults, and against
// searchers that change when the code that lists them changes.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/workloads", func(t *testing.T, d *datadriven.TestData) string {
		w, err := ParseWorkload("", []byte(d.Input))
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return err.Error() + "\n"
		}
		var out strings.Builder
		for _, s := range w.Searchers() {
			fmt.Fprintf(&out, "%+v\n", s)
		}
		return out.String()
	})
}

const examples = "../../../examples"

// TestExamples guards against example files that the programs refuse, and against
// sizes that differ from those on the design page.
func TestExamples(t *testing.T) {
	sizes := []struct {
		user                            string
		entries, zones, searchers, apps int
	}{
		{"limfjord", 9, 3, 90, 4},
		{"portmore", 8, 4, 84, 4},
	}
	for _, size := range sizes {
		t.Run(size.user, func(t *testing.T) {
			folder := filepath.Join(examples, size.user)
			w, err := ReadWorkload(filepath.Join(folder, "workload.json"))
			require.NoError(t, err)
			require.Equal(t, size.user, w.User)
			require.Len(t, w.Zones, size.zones)
			require.Len(t, w.Searchers(), size.searchers)
			require.Len(t, w.Applications, size.apps)
			checkHosts(t, folder, w.Zones, size.entries)
			checkConfig(t, folder, w)
		})
	}
}

// checkHosts checks that the settings of the control and entry hosts in folder are
// valid and agree with each other, and that each zone has at least two
// entry hosts.
func checkHosts(t *testing.T, folder string, zones []string, entries int) {
	controls, err := filepath.Glob(filepath.Join(folder, "control-*.json"))
	require.NoError(t, err)
	require.Len(t, controls, 3)
	var hosts []loader.ControlHost
	used := map[string]bool{}
	for _, path := range controls {
		c, warnings, err := loader.ReadControl(path)
		require.NoError(t, err)
		require.Empty(t, warnings)
		require.Contains(t, zones, c.Zone)
		require.True(t, c.Inner.Addr().IsLoopback())
		for _, a := range []string{c.Listen.String(), c.Inner.String(), c.Data} {
			require.False(t, used[a], "%s is used twice", a)
			used[a] = true
		}
		if hosts != nil {
			require.Equal(t, hosts, c.Hosts)
		}
		hosts = c.Hosts
	}
	paths, err := filepath.Glob(filepath.Join(folder, "entry-*.json"))
	require.NoError(t, err)
	require.Len(t, paths, entries)
	perZone := map[string]int{}
	for _, path := range paths {
		e, warnings, err := loader.ReadEntry(path)
		require.NoError(t, err)
		require.Empty(t, warnings)
		require.Contains(t, zones, e.Zone)
		require.True(t, e.Inner.Addr().IsLoopback())
		require.Len(t, e.Control, len(hosts))
		for i, h := range hosts {
			require.Equal(t, h.Address, e.Control[i])
		}
		for _, a := range []string{e.Listen.String(), e.Inner.String()} {
			require.False(t, used[a], "%s is used twice", a)
			used[a] = true
		}
		perZone[e.Zone]++
	}
	for _, zone := range zones {
		require.GreaterOrEqual(t, perZone[zone], 2, zone)
	}
}

// checkConfig checks that the configuration document in folder states the shard
// counts of the workload.
func checkConfig(t *testing.T, folder string, w Workload) {
	path := filepath.Join(folder, "config.json")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	d, err := checker.ParseDocument(path, text)
	require.NoError(t, err)
	for _, app := range w.Applications {
		a, _, ok := d.Archive(app.Name)
		require.True(t, ok, app.Name)
		require.Equal(t, app.ShardCount(), a.Shards)
	}
}

// TestSearchers guards against a shard with a single replica and against
// replicas of one shard that share a zone while another zone is free.
func TestSearchers(t *testing.T) {
	for _, user := range []string{"limfjord", "portmore"} {
		w, err := ReadWorkload(filepath.Join(examples, user, "workload.json"))
		require.NoError(t, err)
		type shard struct {
			archive string
			number  int
		}
		zones := map[shard]map[string]int{}
		names := map[string]bool{}
		for _, s := range w.Searchers() {
			require.False(t, names[s.Name], s.Name)
			names[s.Name] = true
			for _, number := range s.Shards {
				k := shard{s.Archive, number}
				if zones[k] == nil {
					zones[k] = map[string]int{}
				}
				zones[k][s.Zone]++
			}
		}
		for k, perZone := range zones {
			require.GreaterOrEqual(t, len(perZone), 2, "%v", k)
			for zone, n := range perZone {
				require.Equal(t, 1, n, "%v in %s", k, zone)
			}
		}
	}
}
