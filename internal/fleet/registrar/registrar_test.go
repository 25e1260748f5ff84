package registrar

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

// TestScripts guards against check-ins that take effect in the order of their
// arrival instead of by incarnation and sequence. A line is "name service port
// state incarnation sequence".
func TestScripts(t *testing.T) {
	var r *Registry
	var index uint64
	datadriven.RunTest(t, "testdata/scripts", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			r, index = New(), 0
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var s Server
			var port uint16
			var state string
			_, err := fmt.Sscan(line, &s.Name, &s.Service, &port, &state, &s.Incarnation, &s.Sequence)
			require.NoError(t, err)
			s.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
			s.State = map[string]State{"ready": Ready, "silent": Silent, "draining": Draining, "gone": Gone}[state]
			index++
			fmt.Fprintln(&out, r.Classify(s))
			r.Apply(index, epoch, s)
		}
		for _, s := range r.Records() {
			fmt.Fprintf(&out, "%s %s %s %d/%d at %d\n", s.Name, s.State, s.Address, s.Incarnation, s.Sequence, s.ChangeIndex)
		}
		return out.String()
	})
}

// drawServer draws a check-in from a small set of names, addresses and numbers,
// so that check-ins often conflict.
func drawServer(t *rapid.T) Server {
	return Server{
		Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
		Service:     "s",
		Address:     netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), rapid.Uint16Range(1, 2).Draw(t, "port")),
		Slots:       1,
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Sequence:    rapid.Uint64Range(1, 4).Draw(t, "sequence"),
		State:       State(rapid.IntRange(0, int(Gone)).Draw(t, "state")),

		ColdRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
	}
}

// TestDrainingAndGoneAreFinal guards against a delayed check-in that makes a
// draining or gone server ready again, and against two servers at one address.
func TestDrainingAndGoneAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		drainedOrGone := map[string]uint64{}
		for i := range rapid.IntRange(1, 40).Draw(t, "check-ins") {
			s := drawServer(t)
			applied := r.Apply(uint64(i+1), epoch, s)
			record, ok := r.Get(s.Name)
			if applied && (s.State == Draining || s.State == Gone) {
				drainedOrGone[s.Name] = record.Incarnation
			}
			if incarnation, gone := drainedOrGone[s.Name]; ok && gone && record.Incarnation == incarnation {
				require.NotEqual(t, Ready, record.State, "server %s", s.Name)
			}
			serverAt := map[netip.AddrPort]string{}
			r.EachPresent(func(s Server) {
				require.Empty(t, serverAt[s.Address], "address %s", s.Address)
				serverAt[s.Address] = s.Name
			})
		}
	})
}

// TestSince guards against a host that follows the changes of the registry but
// ends with another set of servers, also when the registry is restored from a
// snapshot in between.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		followed := map[string]Server{}
		last := uint64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "check-ins") {
			r.Apply(uint64(i+1), epoch, drawServer(t))
			if rapid.Bool().Draw(t, "snapshot") {
				r = Restore(r.Records(), r.Floor())
			}
			if !rapid.Bool().Draw(t, "watch") {
				continue
			}
			list, complete := r.ChangesSince(last)
			if complete {
				clear(followed)
			}
			for _, s := range list {
				delete(followed, s.Name)
				if s.State != Gone {
					followed[s.Name] = s
				}
			}
			last = r.LastChange()
			want := map[string]Server{}
			r.EachPresent(func(s Server) { want[s.Name] = s })
			require.Equal(t, want, followed)
		}
	})
}

// TestForgetGone guards against memory that grows with every server that ever
// registered, and against a host that misses the end of a server whose record was
// dropped.
func TestForgetGone(t *testing.T) {
	r := New()
	s := Server{Name: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 1, Incarnation: 1, Sequence: 1}
	require.True(t, r.Apply(1, epoch, s))
	require.True(t, r.Apply(2, epoch, Server{Name: "a", Incarnation: 1, State: Gone}))
	b := s
	b.Name, b.Address = "b", netip.MustParseAddrPort("10.0.0.1:2")
	require.True(t, r.Apply(3, epoch.Add(GoneRetention), b))
	require.True(t, r.Apply(4, epoch.Add(GoneRetention), Server{Name: "b", Incarnation: 1, State: Gone}))
	_, known := r.Get("a")
	require.False(t, known)
	list, complete := r.ChangesSince(1)
	require.True(t, complete)
	require.Empty(t, list)
}

// TestCold guards against a check-in that differs only in the cold time and is lost although
// it was put into the log, or changes the order of later check-ins.
func TestCold(t *testing.T) {
	r := New()
	s := Server{Name: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 1, Incarnation: 1, Sequence: 1}
	require.True(t, r.Apply(1, epoch, s))
	s.Sequence, s.ColdRemaining = 2, time.Second
	require.Equal(t, VerdictCold, r.Classify(s))
	require.True(t, r.Apply(2, epoch, s))
	require.Equal(t, VerdictStale, r.Classify(s))
	s.Sequence, s.ColdRemaining = 3, 0
	require.Equal(t, VerdictRenewal, r.Classify(s))
	require.False(t, r.Apply(3, epoch, s))
	record, _ := r.Get("a")
	require.Equal(t, time.Second, record.ColdRemaining)
	require.EqualValues(t, 2, record.ChangeIndex)
	s.Sequence, s.State = 4, Draining
	require.Equal(t, VerdictChange, r.Classify(s))
}
