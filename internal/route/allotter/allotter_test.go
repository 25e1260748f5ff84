package allotter

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/route/pacer"
)

var epoch = time.Unix(1000, 0)

// addressOf returns the address of a host of a script.
func addressOf(name string) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", name[0]-'a'+1))
}

// nameOf is the reverse of addressOf.
func nameOf(a netip.AddrPort) string {
	if !a.IsValid() {
		return "none"
	}
	b := a.Addr().As4()
	return string('a' + b[3] - 1)
}

// scanDuration returns the argument of a command that is a duration, 0 if there is none.
func scanDuration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(t, key, &text)
	v, err := time.ParseDuration(text)
	require.NoError(t, err)
	return v
}

// TestScripts guards against hosts that grant what others grant as well, that go on after a
// loss of contact, or that tell all refused callers to return at once. Each command happens
// at a time after the start; contact is the time since the last contact.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var a *Allotter
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := epoch.Add(scanDuration(t, d, "at"))
			if d.Cmd == "new" {
				var name string
				d.ScanArgs(t, "host", &name)
				a = New(addressOf(name), simBounds)
			}
			if d.HasArg("contact") {
				a.Contact(now, now.Add(-scanDuration(t, d, "contact")))
			}
			return runCommand(t, a, d, now)
		})
	})
}

func runCommand(t *testing.T, a *Allotter, d *datadriven.TestData, now time.Time) string {
	var out strings.Builder
	switch d.Cmd {
	case "limits":
		limits := map[string]Limit{}
		for line := range strings.Lines(d.Input) {
			var name string
			var l Limit
			_, err := fmt.Sscan(line, &name, &l.Rate, &l.Burst)
			require.NoError(t, err)
			limits[name] = l
		}
		a.SetLimits(now, limits)
	case "move":
		var p pacer.Position
		d.ScanArgs(t, "rank", &p.Rank)
		d.ScanArgs(t, "count", &p.Count)
		a.Move(now, p)
	case "lending":
		l := Lending{Known: true, Hosts: 10}
		if d.HasArg("absent") {
			d.ScanArgs(t, "absent", &l.Absent)
		}
		for i, name := range strings.Fields(d.Input) {
			l.Lenders = append(l.Lenders, Lender{Address: addressOf(name), Position: i})
		}
		a.SetLending(now, l)
	case "steps":
		for _, s := range a.Steps(now, "x") {
			fmt.Fprintln(&out, nameOf(s.Address), "here:", s.Here, "backup:", s.Backup)
		}
	case "fail":
		var name string
		d.ScanArgs(t, "host", &name)
		fmt.Fprintln(&out, "first:", a.Failed(now, addressOf(name)))
	case "mode":
		fmt.Fprintln(&out, a.Mode(now), "knows lenders:", a.KnowsLending())
	case "restore":
		a.Restore(now, "x", 1, d.HasArg("backup"))
	case "lend", "take":
		count := 0
		for {
			verdict, wait := Granted, time.Duration(0)
			if d.Cmd == "lend" {
				verdict, wait = a.Lend(now, "x", d.HasArg("backup"), d.HasArg("late"))
			} else if w, ok := a.Take(now, "x"); !ok {
				verdict, wait = Refused, w
			}
			if verdict != Granted {
				fmt.Fprintf(&out, "%d granted, then %s, wait %s", count, verdict, wait.Round(time.Millisecond))
				break
			}
			count++
		}
		for range 3 {
			if d.HasArg("again") {
				_, wait := a.Lend(now, "x", false, false)
				fmt.Fprintf(&out, " %s", wait.Round(time.Millisecond))
			}
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}

// TestLendersOfAccounts guards against two lenders of one account: a host that takes the
// place of another takes the accounts of that host and no others.
func TestLendersOfAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lending := Lending{Known: true}
		for i := range rapid.IntRange(2, MaxLenders).Draw(t, "lenders") {
			lending.Lenders = append(lending.Lenders, Lender{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)), Position: i})
		}
		limits := map[string]Limit{}
		for i := range 50 {
			limits[fmt.Sprint(i)] = Limit{Rate: 1, Burst: 1}
		}
		a := New(netip.AddrPort{}, simBounds)
		a.SetLimits(epoch, limits)
		a.SetLending(epoch, lending)
		before := map[string]granters{}
		for name, g := range a.granters {
			require.True(t, g.lender.IsValid() && g.backup.IsValid() && g.lender != g.backup)
			before[name] = g
		}
		i := rapid.IntRange(0, len(lending.Lenders)-1).Draw(t, "replaced")
		lost, next := lending.Lenders[i].Address, netip.MustParseAddrPort("10.0.1.1:1")
		lending.Lenders = append([]Lender{}, lending.Lenders...)
		lending.Lenders[i].Address = next
		a.SetLending(epoch, lending)
		for name, g := range a.granters {
			if before[name].lender == lost {
				require.Equal(t, next, g.lender)
			} else {
				require.Equal(t, before[name].lender, g.lender)
			}
		}
	})
}
