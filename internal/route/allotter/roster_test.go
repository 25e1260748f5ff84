package allotter

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet is the hosts of a test, numbered from 0 and in three zones.
type fleet struct {
	roster *Roster
	now    time.Duration
	// informed is true if the hosts say that they know who lends.
	informed bool
}

func reportOf(n int) HostReport {
	return HostReport{Name: fmt.Sprint("h", n), Zone: fmt.Sprint("z", n%3), Position: -1,
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", n/200, n%200+1))}
}

// watch lets hosts watch for a time and returns who lends then.
func (f *fleet) watch(length time.Duration, hosts ...int) (Lending, bool) {
	var l Lending
	known := false
	for end := f.now + length; f.now < end; f.now += 500 * time.Millisecond {
		for _, n := range hosts {
			report := reportOf(n)
			report.Informed = f.informed
			f.roster.Report(f.now, report)
		}
		l, known = f.roster.Lending(f.now)
	}
	return l, known
}

// span returns the numbers from first to last.
func span(first, last int) []int {
	var list []int
	for n := first; n <= last; n++ {
		list = append(list, n)
	}
	return list
}

func positionsOf(l Lending) map[netip.AddrPort]int {
	m := map[netip.AddrPort]int{}
	for _, lender := range l.Lenders {
		m[lender.Address] = lender.Position
	}
	return m
}

// TestRoster guards against a leader that names lenders before it knows the hosts, against
// lenders of one zone, and against lenders that change while other hosts come and go.
func TestRoster(t *testing.T) {
	f := &fleet{roster: NewRoster(0), informed: true}
	_, known := f.watch(4*time.Second, span(0, 29)...)
	require.False(t, known)
	first, known := f.watch(time.Second, span(0, 29)...)
	require.True(t, known)
	require.Len(t, first.Lenders, MaxLenders)
	require.Equal(t, 30, first.Hosts)
	require.Zero(t, first.Absent)
	zones := map[string]int{}
	for n := range 30 {
		if f.roster.IsLender(reportOf(n).Name) {
			zones[reportOf(n).Zone]++
		}
	}
	for zone, count := range zones {
		require.GreaterOrEqual(t, count, MaxLenders/3, zone)
	}
	more, _ := f.watch(10*time.Second, span(0, 39)...)
	require.Equal(t, positionsOf(first), positionsOf(more))
	require.Equal(t, 40, more.Hosts)

	// A host falls silent; its successor gets its position.
	lost := 0
	for !f.roster.IsLender(reportOf(lost).Name) {
		lost++
	}
	others := append(span(0, lost-1), span(lost+1, 39)...)
	after, _ := f.watch(5*time.Second, others...)
	require.Len(t, after.Lenders, MaxLenders)
	require.Equal(t, 1, after.Absent)
	same := 0
	for address, position := range positionsOf(after) {
		if before, ok := positionsOf(more)[address]; ok {
			require.Equal(t, before, position)
			same++
		}
	}
	require.Equal(t, MaxLenders-1, same)
	later, _ := f.watch(25*time.Second, others...)
	require.Equal(t, 1, later.Absent)
	gone, _ := f.watch(10*time.Second, others...)
	require.Zero(t, gone.Absent)
	require.Equal(t, positionsOf(after), positionsOf(gone))
}

// TestRestartedHost guards against a host that counts as absent after it has come back.
func TestRestartedHost(t *testing.T) {
	f := &fleet{roster: NewRoster(0)}
	f.watch(5*time.Second, span(0, 19)...)
	l, _ := f.watch(6*time.Second, span(0, 18)...)
	require.Equal(t, 1, l.Absent)
	l, _ = f.watch(500*time.Millisecond, span(0, 19)...)
	require.Zero(t, l.Absent)
	require.Equal(t, 20, l.Hosts)
}

// TestNewLeader guards against a new leader that moves accounts between lenders that go on,
// or that does not count the hosts that were cut off before it began.
func TestNewLeader(t *testing.T) {
	f := &fleet{roster: NewRoster(0)}
	old, _ := f.watch(5*time.Second, span(0, 39)...)
	next := NewRoster(f.now)
	var l Lending
	for end := f.now + 5*time.Second; f.now < end; f.now += 500 * time.Millisecond {
		for n := range 30 {
			r := reportOf(n)
			if position, ok := positionsOf(old)[r.Address]; ok {
				r.Position, r.Fleet = position, old.Hosts+old.Absent
			}
			next.Report(f.now, r)
		}
		l, _ = next.Lending(f.now)
	}
	require.Equal(t, 30, l.Hosts)
	require.Equal(t, 10, l.Absent)
	require.Len(t, l.Lenders, MaxLenders)
	kept := 0
	for address, position := range positionsOf(l) {
		if before, ok := positionsOf(old)[address]; ok {
			require.Equal(t, before, position)
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, MaxLenders/2)
}

// TestNewSystem guards against accounts that are refused for seconds after all hosts have
// started, while no host can lend yet.
func TestNewSystem(t *testing.T) {
	f := &fleet{roster: NewRoster(0)}
	_, known := f.watch(settleTime, span(0, 29)...)
	require.False(t, known)
	l, known := f.watch(settleTime, span(0, 29)...)
	require.True(t, known)
	require.Len(t, l.Lenders, MaxLenders)
	later, known := f.watch(time.Second, span(0, 39)...)
	require.True(t, known)
	require.Equal(t, positionsOf(l), positionsOf(later))
}

// TestClaimed guards against hosts that know no lender for seconds although some lend, and
// against two hosts that are named for one position.
func TestClaimed(t *testing.T) {
	f := &fleet{roster: NewRoster(0), informed: true}
	for n, position := range []int{3, -1, 5, 5} {
		report := reportOf(n)
		report.Position, report.Informed = position, position >= 0
		f.roster.Report(0, report)
	}
	require.Empty(t, f.roster.Claimed(settleTime/2))
	list := f.roster.Claimed(settleTime)
	require.Len(t, list, 2)
	require.Equal(t, 3, list[0].Position)
	require.Equal(t, 5, list[1].Position)
	_, known := f.roster.Lending(settleTime)
	require.False(t, known)
}

// TestSuspendedLeader guards against a leader that counts all hosts as absent after it was
// suspended.
func TestSuspendedLeader(t *testing.T) {
	f := &fleet{roster: NewRoster(0), informed: true}
	f.watch(5*time.Second, span(0, 19)...)
	f.now += time.Minute
	_, known := f.watch(3*time.Second, span(0, 19)...)
	require.False(t, known)
	l, known := f.watch(2*time.Second, span(0, 19)...)
	require.True(t, known)
	require.Equal(t, 20, l.Hosts)
	require.Zero(t, l.Absent)
	require.Len(t, l.Lenders, MaxLenders)
}

// TestPositions guards against two hosts at one position or one host at two, whatever hosts
// claim and whenever they come and go.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRoster(0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			report := reportOf(rapid.IntRange(0, 25).Draw(t, "host"))
			report.Position = rapid.IntRange(-1, MaxLenders+2).Draw(t, "position")
			r.Report(now, report)
			l, known := r.Lending(now)
			if !known {
				continue
			}
			seen := map[int]bool{}
			for _, lender := range l.Lenders {
				require.False(t, seen[lender.Position])
				seen[lender.Position] = true
			}
			require.Len(t, positionsOf(l), len(l.Lenders))
			require.LessOrEqual(t, len(l.Lenders), l.Hosts)
		}
	})
}

// TestStoppingLender guards against accounts that have no lender until a host that stops in
// a planned way is missed.
func TestStoppingLender(t *testing.T) {
	f := &fleet{roster: NewRoster(0)}
	before, _ := f.watch(5*time.Second, span(0, 29)...)
	n := 0
	for !f.roster.IsLender(reportOf(n).Name) {
		n++
	}
	r := reportOf(n)
	position := positionsOf(before)[r.Address]
	r.Address = netip.AddrPort{}
	f.roster.Report(f.now, r)
	after, _ := f.roster.Lending(f.now)
	require.Len(t, after.Lenders, MaxLenders)
	require.NotContains(t, positionsOf(after), reportOf(n).Address)
	for address, p := range positionsOf(after) {
		if p != position {
			require.Equal(t, p, positionsOf(before)[address])
		}
	}
}
