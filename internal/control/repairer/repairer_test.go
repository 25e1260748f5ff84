package repairer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"gentianpond/internal/control/replicator"
)

// Guards against steps that cost a quorum, that come too early, or that never
// come. Member 1 of host a is the leader. A line of input is a member (name
// id kind match silence) or a hello (name id age); every host is in the zone
// of its name's first letter.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/next", func(t *testing.T, d *datadriven.TestData) string {
		status := replicator.Status{State: replicator.State{ID: 1, Role: replicator.RoleLeader, CommitIndex: 10}}
		status.ChangePending = d.HasArg("pending")
		if d.HasArg("follower") {
			status.Role = replicator.RoleFollower
		}
		var hellos []Hello
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			if f[0] == "hello" {
				hellos = append(hellos, Hello{Name: f[1], ID: number(t, f[2]), Age: duration(t, f[3])})
				continue
			}
			status.Members = append(status.Members, replicator.MemberStatus{
				Member:     replicator.Member{ID: number(t, f[1]), Name: f[0], Zone: f[0][:1], Voter: f[2] == "voter"},
				MatchIndex: number(t, f[3]),
				Silence:    duration(t, f[4]),
			})
		}
		var hosts []Host
		for name := range strings.SplitSeq("e d c b a a2", " ") {
			hosts = append(hosts, Host{Name: name, Zone: name[:1]})
		}
		plan := NextChange(Limits{}, hosts, status, hellos)
		step := "no step"
		if ch, ok := plan.Change.Get(); ok {
			step = fmt.Sprintf("%s %d of %s in %s", ch.Kind, ch.Member.ID, ch.Member.Name, ch.Member.Zone)
		}
		return strings.TrimSpace(step+"\n"+plan.Reason) + "\n"
	})
}

func number(t *testing.T, text string) uint64 {
	t.Helper()
	var n uint64
	if _, err := fmt.Sscan(text, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
