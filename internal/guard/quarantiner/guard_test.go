package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestGuardScripts guards against wrong decisions of one host on a request. Each command
// happens at a time after the start; fp is the fingerprint, 1 if it is left out.
func TestGuardScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/guard", func(t *testing.T, path string) {
		g := &Guard{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				*g = Guard{}
				return ""
			}
			return runGuardCommand(t, g, d)
		})
	})
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	if !d.HasArg(name) {
		return 0
	}
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	require.NoError(t, err)
	return v
}

func runGuardCommand(t *testing.T, g *Guard, d *datadriven.TestData) string {
	now := start.Add(scanDuration(t, d, "at"))
	o := Observation{Fingerprint: 1, Archive: "s", Server: "a", Incarnation: 1, Alone: d.HasArg("alone")}
	for name, field := range map[string]any{"fp": &o.Fingerprint, "service": &o.Archive, "server": &o.Server, "incarnation": &o.Incarnation, "round": &o.Round} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, field)
		}
	}
	switch d.Cmd {
	case "next":
		step, s := g.Next(now, o.Fingerprint, func(string) bool { return !d.HasArg("last") })
		if s.State == StateClear {
			return step.String() + "\n"
		}
		return fmt.Sprintf("%s: %s, service %s, %d crashes, %d rounds, ends in %s\n", step, s.State, s.Archive, s.Crashes, s.Rounds, s.Expiry.Sub(now))
	case "begin":
		g.Begin(o.Fingerprint)
	case "end":
		g.End(o.Fingerprint)
	case "crash":
		o := g.Crashed(now, o)
		return fmt.Sprintf("report: alone %t, round %d, proven %t\n", o.Alone, o.Round, o.Proven)
	case "complete":
		if _, news := g.Completed(now, o); news {
			return "report\n"
		}
		return "no report\n"
	case "learn":
		s := Suspicion{Fingerprint: o.Fingerprint, Archive: o.Archive, Server: o.Server, Rounds: o.Round, LastCrash: now.Add(-scanDuration(t, d, "age")), Expiry: now.Add(scanDuration(t, d, "left"))}
		var state string
		d.ScanArgs(t, "state", &state)
		for s.State.String() != state {
			s.State++
		}
		return fmt.Sprintf("%d reports\n", len(g.Learn(now, []Suspicion{s}, d.HasArg("whole"))))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// TestGuardMemory guards against a client whose requests, new each time, take more and more
// memory of a host.
func TestGuardMemory(t *testing.T) {
	var g Guard
	for i := range uint64(50_000) {
		o := Observation{Fingerprint: i, Archive: "s", Server: fmt.Sprint(i), Incarnation: 1}
		g.Completed(start.Add(time.Duration(i)*time.Millisecond), o)
		o.Fingerprint = ^i
		g.Crashed(start.Add(time.Duration(i)*time.Millisecond), o)
	}
	require.LessOrEqual(t, len(g.completions), maxCompletions)
	require.LessOrEqual(t, g.completionOrder.Len(), maxCompletions)
	require.LessOrEqual(t, len(g.own.suspicions), guardSuspicions)
	require.LessOrEqual(t, len(g.own.reports), guardReports)
	require.LessOrEqual(t, len(g.own.alerts), DefaultLimits.Alerts)
	require.LessOrEqual(t, len(g.disprovedAt), guardSuspicions)
}
