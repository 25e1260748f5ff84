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
// never come, and against planned stops that end too early or wait in vain.
// Member 1 on host a is the leader. Each line of input is a member (name id kind
// match silence, and incoming or outgoing during a replacement) or a hello
// ("hello" name id age, and leaving). The first letter of a host's name is its
// zone. With an argument voters the group is open and keeps so many.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/next", func(t *testing.T, d *datadriven.TestData) string {
		status := replicator.Status{State: replicator.State{ID: 1, Role: replicator.RoleLeader, CommitIndex: 10}}
		status.ChangePending = d.HasArg("pending")
		if d.HasArg("follower") {
			status.Role = replicator.RoleFollower
		}
		var limits Limits
		if d.HasArg("voters") {
			var voters int
			d.ScanArgs(t, "voters", &voters)
			limits = OpenGroupLimits(voters)
		}
		var hellos []Hello
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			if f[0] == "hello" {
				hellos = append(hellos, Hello{Name: f[1], ID: parseNumber(t, f[2]), Age: parseDuration(t, f[3]), Leaving: f[len(f)-1] == "leaving"})
				continue
			}
			status.Members = append(status.Members, replicator.MemberStatus{
				Member: replicator.Member{ID: parseNumber(t, f[1]), Name: f[0], Zone: f[0][:1], Voter: f[2] == "voter",
					Incoming: f[len(f)-1] == "incoming", Outgoing: f[len(f)-1] == "outgoing"},
				MatchIndex: parseNumber(t, f[3]),
				Silence:    parseDuration(t, f[4]),
			})
		}
		var hosts []Host
		for name := range strings.SplitSeq("e d c b a a2", " ") {
			hosts = append(hosts, Host{Name: name, Zone: name[:1]})
		}
		if d.Cmd == "departure" {
			var id uint64
			d.ScanArgs(t, "id", &id)
			return CheckDeparture(limits, hosts, status, hellos, id).String() + "\n"
		}
		plan := NextChange(limits, hosts, status, hellos)
		step := "no step"
		if ch, ok := plan.Change.Get(); ok {
			step = ch.Kind.String()
			if ch.Member.ID != 0 {
				step = fmt.Sprintf("%s %d of %s in %s", ch.Kind, ch.Member.ID, ch.Member.Name, ch.Member.Zone)
			}
			if ch.Replaced != 0 {
				step += fmt.Sprintf(" for %d", ch.Replaced)
			}
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
