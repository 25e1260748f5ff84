package repairer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"gentianpond/internal/control/replicator"
)

// Guards against changes that cost the quorum, that come too early, or that
// never come. Member 1 on host a is the leader. Each line of input is a member
// (name id kind match silence) or a hello ("hello" name id age). The first
// letter of a host's name is its zone.
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
				hellos = append(hellos, Hello{Name: f[1], ID: parseNumber(t, f[2]), Age: parseDuration(t, f[3])})
				continue
			}
			status.Members = append(status.Members, replicator.MemberStatus{
				Member:     replicator.Member{ID: parseNumber(t, f[1]), Name: f[0], Zone: f[0][:1], Voter: f[2] == "voter"},
				MatchIndex: parseNumber(t, f[3]),
				Silence:    parseDuration(t, f[4]),
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

func parseNumber(t *testing.T, text string) uint64 {
	t.Helper()
	var n uint64
	if _, err := fmt.Sscan(text, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
