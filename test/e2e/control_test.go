package e2e_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
)

// inForce is the bound on the time from acceptance to force on every host.
const inForce = 7 * time.Second

// leader returns the index of the control host that leads.
func (y *system) leader() int {
	y.t.Helper()
	found := -1
	y.await("a leader", func() bool {
		for i, addr := range y.inner {
			out, _ := y.run("status", "--control", addr.String())
			if strings.Contains(out, ": leader,") {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// awaitArchive waits until every entry host but the skipped one knows an
// archive, and returns how long it took.
func (y *system) awaitArchive(name string, skip int) time.Duration {
	y.t.Helper()
	return y.await("archive "+name+" on every entry host", func() bool {
		for i, addr := range y.callers {
			if i == skip {
				continue
			}
			var a gateway.SearchAnswer
			r := gateway.SearchRequest{ID: "probe", Archive: name, Query: []byte(`"probe"`)}
			if send(addr, "/v1/search", nil, r, &a) != nil || a.Code == gateway.CodeUnknownArchive || a.Code == gateway.CodeNoLease {
				return false
			}
		}
		return true
	})
}

func sectionFor(archive string) string {
	return fmt.Sprintf(`{"archives": {%q: {"deadline": "1s"}}}`, archive)
}

// TestLeaderKilled guards against an accepted change that is lost or late when
// the leader is killed between two changes.
func TestLeaderKilled(t *testing.T) {
	y := newSystem(t, shape{control: 3, entries: 3, shards: 2, replicas: 1, section: section2})
	y.apply("team-a", 0, "a1", sectionFor("first"))
	require.Less(t, y.awaitArchive("first", -1), inForce)
	y.control[y.leader()].kill()
	start := time.Now()
	y.apply("team-b", 0, "b1", sectionFor("second"))
	t.Logf("accepted %s after the leader was killed", time.Since(start).Round(time.Millisecond))
	took := y.awaitArchive("second", -1)
	t.Logf("in force after %s", took.Round(time.Millisecond))
	require.Less(t, took, inForce)
	out, code := y.run("show", "--control", y.controlFlag())
	require.Zero(t, code, out)
	require.Contains(t, out, "team-a, version 1")
	require.Contains(t, out, "team-b, version 1")
}

const section2 = `{"archives": {"albums": {"deadline": "1s"}}}`

// TestFrozenLeader guards against a leader that is frozen for longer than
// every timeout and then answers as if its state were current, or disturbs the
// new leader.
func TestFrozenLeader(t *testing.T) {
	y := newSystem(t, shape{control: 3, entries: 2, shards: 2, replicas: 1, section: section2})
	old := y.leader()
	y.control[old].signal(syscall.SIGSTOP)
	y.apply("team-a", 0, "a1", sectionFor("first"))
	require.Less(t, y.awaitArchive("first", -1), inForce)
	time.Sleep(6 * time.Second)
	y.control[old].signal(syscall.SIGCONT)
	out, code := y.run("show", "--control", y.inner[old].String())
	require.Zero(t, code, out)
	require.Contains(t, out, "team-a, version 1", "the former leader showed an older document")
	y.apply("team-a", 1, "a2", sectionFor("third"))
	require.Less(t, y.awaitArchive("third", -1), inForce)
}

// TestFrozenEntry guards against an entry host that is frozen while the
// configuration changes and then serves under the old one.
func TestFrozenEntry(t *testing.T) {
	y := newSystem(t, shape{control: 3, entries: 2, shards: 2, replicas: 1, section: section2})
	y.entries[1].signal(syscall.SIGSTOP)
	y.apply("counter", 1, "remove", `{"archives": {"other": {}}}`)
	time.Sleep(6 * time.Second)
	y.entries[1].signal(syscall.SIGCONT)
	// The first answer after the freeze must already know of the change, or be
	// a refusal.
	a, err := y.search(y.callers[1], `"frozen"`, gateway.LaneInteractive)
	require.NoError(t, err)
	require.Equal(t, gateway.OutcomeNotRun, a.Outcome)
	require.Contains(t, []string{gateway.CodeNoLease, gateway.CodeUnknownArchive}, a.Code)
	y.awaitArchive("other", -1)
}

// TestRace guards against two operators who both win, and against a resent
// change that overrides a newer one.
func TestRace(t *testing.T) {
	y := newSystem(t, shape{control: 3, entries: 2, shards: 2, replicas: 1, section: section2})
	results := make([]int, 2)
	parallel(2, func(i int) {
		path := filepath.Join(y.dir, fmt.Sprintf("race-%d.json", i))
		_ = os.WriteFile(path, []byte(sectionFor(fmt.Sprintf("race-%d", i))), 0o644)
		var out string
		out, results[i] = y.run("apply", "--control", y.controlFlag(), "--id", fmt.Sprintf("race-%d", i), "--author", "test", "--replaces", "0", "team-r", path)
		t.Logf("operator %d: exit %d, %s", i, results[i], out)
	}).Wait()
	require.ElementsMatch(t, []int{0, 5}, results, "exactly one of two equal versions is accepted")
	winner := 0
	if results[1] == 0 {
		winner = 1
	}
	y.apply("team-r", 1, "newer", sectionFor("newer"))
	// The winner's answer was lost: it sends the same change again.
	path := filepath.Join(y.dir, fmt.Sprintf("race-%d.json", winner))
	out, code := y.run("apply", "--control", y.controlFlag(), "--id", fmt.Sprintf("race-%d", winner), "--author", "test", "--replaces", "0", "team-r", path)
	require.Zero(t, code, out)
	require.Contains(t, out, "section version 1")
	out, _ = y.run("show", "--control", y.controlFlag(), "--team", "team-r")
	require.Contains(t, out, "team-r, version 2")
	require.Contains(t, out, "newer")
}

// TestLostDisk guards against a control host that lost its disk and votes
// before it holds everything, and against the loss of a second host right
// after the repair.
func TestLostDisk(t *testing.T) {
	y := newSystem(t, shape{control: 3, entries: 2, shards: 2, replicas: 1, section: section2})
	y.awaitVoters(3)
	y.apply("team-a", 0, "a1", sectionFor("first"))
	lost := (y.leader() + 1) % 3
	y.control[lost].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(y.dir, fmt.Sprintf("control-%d", lost+1))))
	y.apply("team-b", 0, "b1", sectionFor("second"))
	old := y.identity(lost)
	y.control[lost].start()
	y.await("the new identity of the host that lost its disk", func() bool {
		id := y.identity(lost)
		return id != "" && id != old
	})
	y.awaitVoters(3)
	second := (lost + 1) % 3
	y.control[second].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(y.dir, fmt.Sprintf("control-%d", second+1))))
	y.apply("team-c", 0, "c1", sectionFor("third"))
	out, code := y.run("show", "--control", y.controlFlag())
	require.Zero(t, code, out)
	for _, team := range []string{"team-a", "team-b", "team-c"} {
		require.Contains(t, out, team+", version 1")
	}
	y.awaitArchive("third", -1)
}

// identity returns the id under which a control host is a voter.
func (y *system) identity(i int) string {
	out, _ := y.run("status", "--control", y.inner[y.leader()].String())
	m := regexp.MustCompile(fmt.Sprintf(`member control-%d .* id (\w+) voter true`, i+1)).FindStringSubmatch(out)
	if m == nil {
		return ""
	}
	return m[1]
}

// awaitVoters waits until the leader reports n voters that it hears from.
func (y *system) awaitVoters(n int) {
	y.t.Helper()
	y.await(fmt.Sprintf("%d voters", n), func() bool {
		out, _ := y.run("status", "--control", y.inner[y.leader()].String())
		return strings.Count(out, "voter true") == n && !strings.Contains(out, "repair:")
	})
}
