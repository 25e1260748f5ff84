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

// inForceLimit bounds the time from the acceptance of a change until it is in
// force on every host.
const inForceLimit = 7 * time.Second

// leader returns the index of the control host that leads.
func (y *system) leader() int {
	y.t.Helper()
	found := -1
	y.await("a leader", func() bool {
		for i, addr := range y.controlInnerAddrs {
			out, _ := y.runProgram("status", "--control", addr.String())
			if strings.Contains(out, ": leader,") {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// awaitArchive waits until every entry host knows an archive, and returns how long
// that took. The entry host with the index skip is left out; -1 skips none.
func (y *system) awaitArchive(name string, skip int) time.Duration {
	y.t.Helper()
	return y.await("archive "+name+" on every entry host", func() bool {
		for i, addr := range y.entryAddrs {
			if i == skip {
				continue
			}
			var a gateway.SearchAnswer
			r := gateway.SearchRequest{ID: "probe", Archive: name, Query: []byte(`"probe"`)}
			if postJSON(addr, "/v1/search", nil, r, &a) != nil || a.Code == gateway.CodeUnknownArchive || a.Code == gateway.CodeNoLease {
				return false
			}
		}
		return true
	})
}

// sectionFor returns a section with one archive.
func sectionFor(archive string) string {
	return fmt.Sprintf(`{"archives": {%q: {"deadline": "1s"}}}`, archive)
}

// TestLeaderKilled guards against an accepted change that is lost, or in force too
// late, when the leader is killed between two changes.
func TestLeaderKilled(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 2, replicas: 1, section: deadlineSection})
	y.apply("team-a", 0, "a1", sectionFor("first"))
	require.Less(t, y.awaitArchive("first", -1), inForceLimit)
	y.control[y.leader()].kill()
	start := time.Now()
	y.apply("team-b", 0, "b1", sectionFor("second"))
	t.Logf("accepted %s after the leader was killed", time.Since(start).Round(time.Millisecond))
	took := y.awaitArchive("second", -1)
	t.Logf("in force after %s", took.Round(time.Millisecond))
	require.Less(t, took, inForceLimit)
	out, code := y.runProgram("show", "--control", y.controlFlag())
	require.Zero(t, code, out)
	require.Contains(t, out, "team-a, version 1")
	require.Contains(t, out, "team-b, version 1")
}

const deadlineSection = `{"archives": {"albums": {"deadline": "1s"}}}`

// TestFrozenLeader guards against a leader that is suspended for longer than every
// timeout and then answers from its outdated state or disrupts the new leader.
func TestFrozenLeader(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 2, replicas: 1, section: deadlineSection})
	old := y.leader()
	y.control[old].signal(syscall.SIGSTOP)
	y.apply("team-a", 0, "a1", sectionFor("first"))
	require.Less(t, y.awaitArchive("first", -1), inForceLimit)
	time.Sleep(6 * time.Second)
	y.control[old].signal(syscall.SIGCONT)
	out, code := y.runProgram("show", "--control", y.controlInnerAddrs[old].String())
	require.Zero(t, code, out)
	require.Contains(t, out, "team-a, version 1", "the former leader showed an older document")
	y.apply("team-a", 1, "a2", sectionFor("third"))
	require.Less(t, y.awaitArchive("third", -1), inForceLimit)
}

// TestFrozenEntry guards against an entry host that is suspended while the
// configuration changes and then serves requests under the old one.
func TestFrozenEntry(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 2, replicas: 1, section: deadlineSection})
	y.entries[1].signal(syscall.SIGSTOP)
	y.apply("counter", 1, "remove", `{"archives": {"other": {}}}`)
	time.Sleep(6 * time.Second)
	y.entries[1].signal(syscall.SIGCONT)
	// The first answer after the suspension has to follow the change, or refuse
	// the request because the host has no lease.
	a, err := y.search(y.entryAddrs[1], `"frozen"`, gateway.LaneInteractive)
	require.NoError(t, err)
	require.Equal(t, gateway.OutcomeNotRun, a.Outcome)
	require.Contains(t, []string{gateway.CodeNoLease, gateway.CodeUnknownArchive}, a.Code)
	y.awaitArchive("other", -1)
}

// TestConcurrentApply guards against two concurrent changes that replace the same
// version and are both accepted, and against a resent change that overwrites a
// newer one.
func TestConcurrentApply(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 2, replicas: 1, section: deadlineSection})
	results := make([]int, 2)
	startParallel(2, func(i int) {
		path := filepath.Join(y.dir, fmt.Sprintf("race-%d.json", i))
		_ = os.WriteFile(path, []byte(sectionFor(fmt.Sprintf("race-%d", i))), 0o644)
		var out string
		out, results[i] = y.runProgram("apply", "--control", y.controlFlag(), "--id", fmt.Sprintf("race-%d", i), "--author", "test", "--replaces", "0", "team-r", path)
		t.Logf("operator %d: exit %d, %s", i, results[i], out)
	}).Wait()
	require.ElementsMatch(t, []int{0, 5}, results, "exactly one of two equal versions is accepted")
	winner := 0
	if results[1] == 0 {
		winner = 1
	}
	y.apply("team-r", 1, "newer", sectionFor("newer"))
	// As if the answer to the accepted change had been lost, the operator sends
	// the change again.
	path := filepath.Join(y.dir, fmt.Sprintf("race-%d.json", winner))
	out, code := y.runProgram("apply", "--control", y.controlFlag(), "--id", fmt.Sprintf("race-%d", winner), "--author", "test", "--replaces", "0", "team-r", path)
	require.Zero(t, code, out)
	require.Contains(t, out, "section version 1")
	out, _ = y.runProgram("show", "--control", y.controlFlag(), "--team", "team-r")
	require.Contains(t, out, "team-r, version 2")
	require.Contains(t, out, "newer")
}

// TestLostDisk guards against a control host that has lost its disk and votes
// before it has caught up, and against a loss of changes when a second host loses
// its disk right after the repair of the first.
func TestLostDisk(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 2, replicas: 1, section: deadlineSection})
	y.awaitVoters(3)
	y.apply("team-a", 0, "a1", sectionFor("first"))
	lost := (y.leader() + 1) % 3
	y.control[lost].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(y.dir, fmt.Sprintf("control-%d", lost+1))))
	y.apply("team-b", 0, "b1", sectionFor("second"))
	old := y.memberID(lost)
	y.control[lost].start()
	y.await("the new identity of the host that lost its disk", func() bool {
		id := y.memberID(lost)
		return id != "" && id != old
	})
	y.awaitVoters(3)
	second := (lost + 1) % 3
	y.control[second].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(y.dir, fmt.Sprintf("control-%d", second+1))))
	y.apply("team-c", 0, "c1", sectionFor("third"))
	out, code := y.runProgram("show", "--control", y.controlFlag())
	require.Zero(t, code, out)
	for _, team := range []string{"team-a", "team-b", "team-c"} {
		require.Contains(t, out, team+", version 1")
	}
	y.awaitArchive("third", -1)
}

// memberID returns the id under which a control host is a voter, or an empty string
// if it is none.
func (y *system) memberID(i int) string {
	out, _ := y.runProgram("status", "--control", y.controlInnerAddrs[y.leader()].String())
	m := regexp.MustCompile(fmt.Sprintf(`member control-%d .* id (\w+) voter true`, i+1)).FindStringSubmatch(out)
	if m == nil {
		return ""
	}
	return m[1]
}

// awaitVoters waits until the leader reports n voters and no repair.
func (y *system) awaitVoters(n int) {
	y.t.Helper()
	y.await(fmt.Sprintf("%d voters", n), func() bool {
		out, _ := y.runProgram("status", "--control", y.controlInnerAddrs[y.leader()].String())
		return strings.Count(out, "voter true") == n && !strings.Contains(out, "repair:")
	})
}
