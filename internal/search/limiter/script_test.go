package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs one script per named failure.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var l *Limiter
		epoch := time.Unix(1000, 0)
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				now = epoch.Add(duration(t, d, "at"))
			}
			var out strings.Builder
			if d.Cmd == "new" {
				c := Config{Patience: duration(t, d, "patience")}
				d.MaybeScanArgs(t, "interactive", &c.InteractiveQueue)
				d.MaybeScanArgs(t, "bulk", &c.BulkQueue)
				d.MaybeScanArgs(t, "long", &c.Long)
				l = New(c, number(t, d, "slots"))
			} else {
				run(t, l, now, epoch, d, &out)
			}
			fmt.Fprintf(&out, "in flight %d, waiting %d interactive, %d bulk\n",
				l.InFlight(), l.Waiting(Interactive), l.Waiting(Bulk))
			return out.String()
		})
	})
}

func run(t *testing.T, l *Limiter, now, epoch time.Time, d *datadriven.TestData, out *strings.Builder) {
	switch d.Cmd {
	case "submit":
		ticket := Ticket{ID: uint64(number(t, d, "id")), Alone: d.HasArg("alone")}
		if d.HasArg("bulk") {
			ticket.Lane = Bulk
		}
		if d.HasArg("deadline") {
			ticket.Deadline = epoch.Add(duration(t, d, "deadline"))
		}
		decision := l.Submit(now, ticket)
		print(out, []Event{{ID: ticket.ID, Verdict: decision.Verdict, Reason: decision.Reason}})
		print(out, decision.Events)
	case "done":
		print(out, l.Done(now, uint64(number(t, d, "id"))))
	case "cancel":
		print(out, l.Cancel(now, uint64(number(t, d, "id"))))
	case "expire":
		print(out, l.Expire(now))
	case "resize":
		print(out, l.Resize(now, number(t, d, "slots")))
	case "suspend":
		print(out, l.Suspend())
	case "resume":
		l.Resume()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func print(out *strings.Builder, events []Event) {
	for _, e := range events {
		fmt.Fprintf(out, "%d %s", e.ID, e.Verdict)
		if e.Reason != None {
			fmt.Fprintf(out, ": %s", e.Reason)
		}
		fmt.Fprintln(out)
	}
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
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
