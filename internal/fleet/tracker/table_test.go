package tracker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/protocol/messenger"
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestAnnounce guards against stale, invalid or contradictory announcements that
// replace what is known, and against refusals with the wrong error.
func TestAnnounce(t *testing.T) {
	known := testAnnouncement("a")
	known.Incarnation, known.Sequence = 5, 10
	tests := []struct {
		name   string
		held   func(*Announcement)
		change func(*Announcement)
		want   error
	}{
		{"next sequence", nil, func(a *Announcement) { a.Sequence = 11 }, nil},
		{"same", nil, func(*Announcement) {}, ErrStale},
		{"older sequence", nil, func(a *Announcement) { a.Sequence = 9 }, ErrStale},
		{"older incarnation", nil, func(a *Announcement) { a.Incarnation, a.Sequence = 4, 99 }, ErrStale},
		{"newer incarnation", nil, func(a *Announcement) { a.Incarnation, a.Sequence = 6, 1 }, nil},
		{"moved", nil, func(a *Announcement) {
			a.Sequence, a.Address = 11, netip.MustParseAddrPort("127.0.0.1:7002")
		}, ErrMoved},
		{"other zone", nil, func(a *Announcement) { a.Sequence, a.Zone = 11, "south" }, ErrMoved},
		{"moved by restart", nil, func(a *Announcement) {
			a.Incarnation, a.Address = 6, netip.MustParseAddrPort("127.0.0.1:7002")
		}, nil},
		{"drains", nil, func(a *Announcement) { a.Sequence, a.Draining = 11, true }, nil},
		{"drains no more", func(a *Announcement) { a.Draining = true }, func(a *Announcement) {
			a.Sequence, a.Draining = 11, false
		}, ErrDraining},
		{"restarts after draining", func(a *Announcement) { a.Draining = true }, func(a *Announcement) {
			a.Incarnation, a.Draining = 6, false
		}, nil},
		{"invalid", nil, func(a *Announcement) { a.Sequence, a.Slots = 11, 0 }, ErrInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			first := known
			if test.held != nil {
				test.held(&first)
			}
			require.NoError(t, table.ApplyAnnouncement(at(0), first))
			next := first
			test.change(&next)
			err := table.ApplyAnnouncement(at(time.Second), next)
			got, ok := table.Get("a")
			require.True(t, ok)
			if test.want != nil {
				require.ErrorIs(t, err, test.want)
				require.Equal(t, first, got.Announcement)
				require.Equal(t, at(LeaseDuration), got.LeaseEnd)
				return
			}
			require.NoError(t, err)
			require.Equal(t, next, got.Announcement)
			require.Equal(t, at(time.Second+LeaseDuration), got.LeaseEnd)
		})
	}
}

// TestVersion guards against a version that grows with each renewal, so that
// readers rebuild their maps for nothing, and against changes that it misses.
func TestVersion(t *testing.T) {
	var table Table
	a := testAnnouncement("a")
	version := table.Version()
	step := func(what string, grows bool, f func()) {
		t.Helper()
		f()
		require.Equal(t, grows, table.Version() > version, what)
		version = table.Version()
	}
	announce := func(d time.Duration) {
		t.Helper()
		a.Sequence++
		require.NoError(t, table.ApplyAnnouncement(at(d), a))
	}
	step("first", true, func() { announce(0) })
	step("renewal", false, func() { announce(time.Second) })
	step("load", false, func() { a.Load = 0.9; announce(2 * time.Second) })
	step("snapshot", true, func() {
		a.Served = []ServedSnapshot{{Archive: "counter", Snapshot: "v2", ShardCount: 12, Shards: []int{1}}}
		announce(3 * time.Second)
	})
	step("nothing", false, func() { table.Expire(at(4 * time.Second)) })
	step("lost", true, func() {
		require.Equal(t, []string{"a"}, table.Expire(at(3*time.Second+LeaseDuration)))
	})
	step("still lost", false, func() { require.Empty(t, table.Expire(at(7*time.Second))) })
	step("back", true, func() { announce(8 * time.Second) })
	step("restart", true, func() { a.Incarnation++; announce(9 * time.Second) })
	step("drain", true, func() { a.Draining = true; announce(10 * time.Second) })
	step("drain goes on", false, func() { announce(11 * time.Second) })
	step("forgotten", false, func() { table.Expire(at(LostRetention + 14*time.Second)) })
	require.Zero(t, table.Len())
}

// TestFlapping guards against a server that crashes again and again and gets
// new work each time it starts.
func TestFlapping(t *testing.T) {
	var table Table
	a := testAnnouncement("a")
	now := epoch
	var holds []time.Duration
	for range 9 {
		require.NoError(t, table.ApplyAnnouncement(now, a))
		s, _ := table.Get("a")
		holds = append(holds, max(0, s.HeldUntil.Sub(now)))
		require.Equal(t, !s.HeldUntil.After(now), len(table.Usable(now)) == 1)
		// The server is lost for a moment and comes back restarted, which
		// counts as one flap.
		now = now.Add(3 * time.Second)
		table.Expire(now)
		a.Incarnation++
	}
	second := time.Second
	require.Equal(t, []time.Duration{0, 0, 0, 0, 5 * second, 10 * second, 20 * second, 40 * second, 60 * second}, holds)

	// Renewals do not shorten the hold time, and its end changes the version.
	renewed := now
	for ; now.Sub(renewed) < 59*second; now = now.Add(500 * time.Millisecond) {
		a.Sequence++
		require.NoError(t, table.ApplyAnnouncement(now, a))
	}
	require.Empty(t, table.Usable(now), "the last restart is held back for 60 s again")
	version := table.Version()
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		a.Sequence++
		require.NoError(t, table.ApplyAnnouncement(now, a))
	}
	require.Len(t, table.Usable(now), 1)
	require.Greater(t, table.Version(), version)

	// A window without flaps resets the count.
	a.Incarnation++
	now = now.Add(2 * time.Minute)
	require.NoError(t, table.ApplyAnnouncement(now, a))
	require.Len(t, table.Usable(now), 1)
}

// TestRepeatedSilence guards against a server that falls silent again and again
// without a restart and gets new work each time it is heard again.
func TestRepeatedSilence(t *testing.T) {
	var table Table
	a := testAnnouncement("a")
	now := epoch
	var holds []time.Duration
	for range 6 {
		require.NoError(t, table.ApplyAnnouncement(now, a))
		s, _ := table.Get("a")
		holds = append(holds, max(0, s.HeldUntil.Sub(now)))
		now = now.Add(3 * time.Second)
		table.Expire(now)
		a.Sequence++
	}
	require.Equal(t, []time.Duration{0, 0, 0, 0, 5 * time.Second, 10 * time.Second}, holds)
}

// TestPlannedRestart guards against a planned stop that counts as a flap.
func TestPlannedRestart(t *testing.T) {
	var table Table
	a := testAnnouncement("a")
	now := epoch
	for range 4 {
		a.Draining = false
		require.NoError(t, table.ApplyAnnouncement(now, a))
		require.Len(t, table.Usable(now), 1)
		a.Sequence++
		a.Draining = true
		require.NoError(t, table.ApplyAnnouncement(now.Add(time.Second), a))
		now = now.Add(5 * time.Second)
		table.Expire(now)
		a.Incarnation++
	}
}

// TestDelayedReply guards against a reply that arrives after the leases in it
// ended and makes a server usable again, or counts as another loss of it.
func TestDelayedReply(t *testing.T) {
	var from, to Table
	a := testAnnouncement("a")
	require.NoError(t, from.ApplyAnnouncement(at(0), a))
	_, early := from.Share(at(0), 0)
	require.NoError(t, to.Merge(at(0), early...))
	a.Sequence++
	require.NoError(t, from.ApplyAnnouncement(at(time.Second), a))
	_, late := from.Share(at(time.Second), 0)
	to.Expire(at(10 * time.Second))
	require.NoError(t, to.Merge(at(time.Second), late...))
	require.Empty(t, to.Usable(at(10*time.Second)))
	require.Len(t, to.records["a"].flaps.flapTimes, 1)
	require.ErrorIs(t, to.ApplyAnnouncement(at(11*time.Second), a), ErrStale)
}

// TestLeaseCountsFromRequest guards against a lease that is longer at a peer by
// the time that request and reply took.
func TestLeaseCountsFromRequest(t *testing.T) {
	var from, to Table
	require.NoError(t, from.ApplyAnnouncement(at(0), testAnnouncement("a")))
	_, shared := from.Share(at(time.Second), 0)
	require.NoError(t, to.Merge(at(900*time.Millisecond), shared...))
	s, _ := to.Get("a")
	require.Equal(t, at(900*time.Millisecond+1500*time.Millisecond), s.LeaseEnd)
	require.Equal(t, at(900*time.Millisecond).Add(-61*time.Second), s.Started)
}

// TestMissedChange guards against a renewal that extends the lease of content
// which the server has replaced.
func TestMissedChange(t *testing.T) {
	var from, to Table
	a := testAnnouncement("a")
	require.NoError(t, from.ApplyAnnouncement(at(0), a))
	last, shared := from.Share(at(0), 0)
	require.NoError(t, to.Merge(at(0), shared...))
	other := a
	other.Sequence = 2
	other.Served = []ServedSnapshot{{Archive: "counter", Snapshot: "v2", ShardCount: 10, Shards: []int{1}}}
	require.NoError(t, to.ApplyAnnouncement(at(500*time.Millisecond), other))
	a.Sequence = 3
	require.NoError(t, from.ApplyAnnouncement(at(time.Second), a))
	_, shared = from.Share(at(time.Second), last)
	require.True(t, shared[0].GetRenewal())
	require.NoError(t, to.Merge(at(time.Second), shared...))
	s, _ := to.Get("a")
	require.Equal(t, uint64(2), s.Sequence)
	require.True(t, to.NeedsRepair(at(time.Second)))
	require.False(t, to.NeedsRepair(at(time.Second)))
	_, shared = from.Share(at(time.Second), 0)
	require.NoError(t, to.Merge(at(time.Second), shared...))
	s, _ = to.Get("a")
	require.Equal(t, "v1", s.Served[0].Snapshot)
}

// TestMergeSkipsInvalid guards against one invalid message that prevents the
// others of a reply from being applied.
func TestMergeSkipsInvalid(t *testing.T) {
	var from, to Table
	require.NoError(t, from.ApplyAnnouncement(at(0), testAnnouncement("a")))
	_, shared := from.Share(at(0), 0)
	bad := &messenger.Shared{Announcement: &messenger.Announcement{Server: "b"}}
	nameless := &messenger.Shared{Renewal: true, Announcement: &messenger.Announcement{Server: "-"}}
	// Without a server a renewal must not act on the whole zone.
	serverless := &messenger.Shared{Renewal: true, Announcement: &messenger.Announcement{Zone: testAnnouncement("a").Zone, Draining: true}}
	err := to.Merge(at(0), append(append([]*messenger.Shared{bad, nameless, nil}, shared...), serverless)...)
	require.ErrorIs(t, err, ErrInvalid)
	require.Len(t, to.Usable(at(0)), 1)
}

func announcementsInZone(n int, zone string) []Announcement {
	var list []Announcement
	for i := range n {
		a := testAnnouncement(fmt.Sprintf("%s-%04d", zone, i))
		a.Zone = zone
		a.Incarnation = uint64(epoch.UnixNano())
		list = append(list, a)
	}
	return list
}

func encodedSize(shared []*messenger.Shared) int {
	n := 0
	for _, s := range shared {
		n += proto.Size(s)
	}
	return n
}

// drainAll announces to the table from that all servers of the list drain.
func drainAll(t *testing.T, from *Table, now time.Time, list []Announcement) {
	t.Helper()
	for _, a := range list {
		a.Sequence++
		a.Draining = true
		require.NoError(t, from.ApplyAnnouncement(now, a))
	}
}

// mergeAll merges everything that the table from shares after the number since
// into the table to. It returns the number for the next call, the number of calls,
// their bytes and the bytes of the largest.
func mergeAll(t *testing.T, from, to *Table, now time.Time, since uint64) (last uint64, calls, bytes, largest int) {
	t.Helper()
	for {
		next, shared := from.Share(now, since)
		require.NoError(t, to.Merge(now, shared...))
		if next == since {
			return since, calls, bytes, largest
		}
		since = next
		calls++
		bytes += encodedSize(shared)
		largest = max(largest, encodedSize(shared))
	}
}

// TestZoneSummary guards against replies without bound when a zone drains,
// against draining servers of the zone that stay in use after the first reply,
// and against servers that stay and get no more work.
func TestZoneSummary(t *testing.T) {
	const n, stay = 1800, 5
	var from, to, third Table
	zone := announcementsInZone(n, "north")
	for _, a := range append(zone, announcementsInZone(3, "south")...) {
		require.NoError(t, from.ApplyAnnouncement(at(0), a))
	}
	last, calls, bytes, largest := mergeAll(t, &from, &to, at(0), 0)
	t.Logf("%d servers in full: %d bytes in %d calls, largest %d", n+3, bytes, calls, largest)
	require.LessOrEqual(t, largest, MaxShareBytes)
	thirdLast, _, _, _ := mergeAll(t, &to, &third, at(0), 0)
	require.Len(t, third.Usable(at(0)), n+3)

	now := at(time.Second)
	drainAll(t, &from, now, zone[stay:])
	_, shared := from.Share(now, last)
	require.NoError(t, to.Merge(now, shared...))
	require.Len(t, to.Usable(now), stay+3, "the first reply ends the use of the whole zone")
	t.Logf("summary %d bytes, first reply %d bytes", proto.Size(shared[0]), encodedSize(shared))
	require.Less(t, proto.Size(shared[0]), 100)

	_, calls, bytes, largest = mergeAll(t, &from, &to, now, last)
	t.Logf("%d servers drain: %d bytes in %d calls, largest %d", n-stay, bytes, calls, largest)
	require.LessOrEqual(t, largest, MaxShareBytes)
	for _, a := range zone[stay:] {
		s, _ := to.Get(a.ServerName)
		require.True(t, s.Draining)
	}

	_, calls, bytes, _ = mergeAll(t, &to, &third, now, thirdLast)
	t.Logf("passed on to a third host: %d bytes in %d calls", bytes, calls)
	require.Less(t, bytes, 200)
	require.Len(t, third.Usable(now), stay+3)
}

// TestSummaryCoversUnknownServer guards against a summary that permanently ends the
// use of a server that its sender did not know.
func TestSummaryCoversUnknownServer(t *testing.T) {
	var from, to Table
	zone := announcementsInZone(40, "north")
	for _, a := range zone {
		require.NoError(t, from.ApplyAnnouncement(at(0), a))
	}
	last, _, _, _ := mergeAll(t, &from, &to, at(0), 0)
	extra := testAnnouncement("extra")
	require.NoError(t, to.ApplyAnnouncement(at(0), extra))
	drainAll(t, &from, at(time.Second), zone)
	mergeAll(t, &from, &to, at(time.Second), last)
	require.Empty(t, to.Usable(at(time.Second)))
	extra.Sequence++
	require.NoError(t, to.ApplyAnnouncement(at(1500*time.Millisecond), extra))
	require.Len(t, to.Usable(at(1500*time.Millisecond)), 1)
}

// TestRenewalBytes guards against renewals that grow with the content of the
// announcements.
func TestRenewalBytes(t *testing.T) {
	const n = 90
	var from, to Table
	zone := announcementsInZone(n, "north")
	last := uint64(0)
	bytes := 0
	for s := range 20 {
		now := at(time.Duration(s) * 500 * time.Millisecond)
		for i := range zone {
			zone[i].Sequence++
			zone[i].Uptime += 500 * time.Millisecond
			require.NoError(t, from.ApplyAnnouncement(now, zone[i]))
		}
		next, shared := from.Share(now, last)
		require.NoError(t, to.Merge(now, shared...))
		last = next
		if s > 0 {
			bytes += encodedSize(shared)
		}
	}
	perSecond := float64(bytes) / 9.5
	t.Logf("%d servers heard by one host: %.0f bytes/s to each peer", n, perSecond)
	require.Less(t, perSecond, 65.0*n)
	require.Len(t, to.Usable(at(9500*time.Millisecond)), n)
}

// TestRestartedHostLearnsLost guards against a restarted host that does not learn
// of lost servers and accepts a replayed announcement as new.
func TestRestartedHostLearnsLost(t *testing.T) {
	var from, to Table
	a := testAnnouncement("a")
	require.NoError(t, from.ApplyAnnouncement(at(0), a))
	from.Expire(at(5 * time.Second))
	mergeAll(t, &from, &to, at(5*time.Second), 0)
	require.ErrorIs(t, to.ApplyAnnouncement(at(6*time.Second), a), ErrStale)
	a.Sequence++
	require.NoError(t, to.ApplyAnnouncement(at(7*time.Second), a))
	require.Len(t, to.Usable(at(7*time.Second)), 1)
}
