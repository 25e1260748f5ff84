package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts, each of which guards against the failure that its
// first comment states.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var l *Limiter
		epoch := time.Unix(1000, 0)
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				now = epoch.Add(durationArg(t, d, "at"))
			}
			var out strings.Builder
			if d.Cmd == "new" {
				c := Config{LongQueueTimeout: durationArg(t, d, "patience")}
				d.MaybeScanArgs(t, "interactive", &c.InteractiveQueueSize)
				d.MaybeScanArgs(t, "bulk", &c.BulkQueueSize)
				d.MaybeScanArgs(t, "long", &c.LongQueueLength)
				l = New(c, intArg(t, d, "slots"))
			} else {
				runCommand(t, l, now, epoch, d, &out)
			}
			fmt.Fprintf(&out, "in flight %d, waiting %d interactive, %d bulk\n",
				l.InFlight(), l.Waiting(Interactive), l.Waiting(Bulk))
			return out.String()
		})
	})
}

func runCommand(t *testing.T, l *Limiter, now, epoch time.Time, d *datadriven.TestData, out *strings.Builder) {
	switch d.Cmd {
	case "submit":
		ticket := Ticket{ID: uint64(intArg(t, d, "id")), Alone: d.HasArg("alone")}
		if d.HasArg("bulk") {
			ticket.Lane = Bulk
		}
		if d.HasArg("deadline") {
			ticket.Deadline = epoch.Add(durationArg(t, d, "deadline"))
		}
		decision := l.Submit(now, ticket)
		printEvents(out, []Event{{ID: ticket.ID, Verdict: decision.Verdict, Reason: decision.Reason}})
		printEvents(out, decision.Events)
	case "done":
		printEvents(out, l.Done(now, uint64(intArg(t, d, "id"))))
	case "cancel":
		printEvents(out, l.Cancel(now, uint64(intArg(t, d, "id"))))
	case "expire":
		printEvents(out, l.Expire(now))
	case "resize":
		printEvents(out, l.Resize(now, intArg(t, d, "slots")))
	case "suspend":
		printEvents(out, l.Suspend())
	case "resume":
		l.Resume()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func printEvents(out *strings.Builder, events []Event) {
	for _, e := range events {
		fmt.Fprintf(out, "%d %s", e.ID, e.Verdict)
		if e.Reason != None {
			fmt.Fprintf(out, ": %s", e.Reason)
		}
		fmt.Fprintln(out)
	}
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

// durationArg returns 0 for an argument that is missing.
func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	if !d.MaybeScanArgs(t, key, &text) {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return value
}
