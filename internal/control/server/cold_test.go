package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
)

// TestColdTracker guards against a change of the registry with each check-in of a cold server,
// and against a server that becomes cold again, or stays so for longer, without one.
func TestColdTracker(t *testing.T) {
	tracker := newCheckInTracker(0)
	checkIn := func(at, left time.Duration, incarnation uint64) bool {
		return tracker.recordCold(at, registrar.Server{Name: "a", Incarnation: incarnation, ColdRemaining: left})
	}
	require.True(t, checkIn(0, 30*time.Second, 1))
	for at := time.Second; at < 30*time.Second; at += time.Second {
		// Each check-in is on its way for up to half a second.
		require.False(t, checkIn(at+at%(7*time.Second)/14, 30*time.Second-at, 1), at)
	}
	require.True(t, checkIn(20*time.Second, 15*time.Second, 1), "cold for longer")
	require.True(t, checkIn(100*time.Second, 10*time.Second, 1), "cold again, for less than at first")
	require.False(t, checkIn(101*time.Second, 9*time.Second, 1))
	require.True(t, checkIn(101*time.Second, 9*time.Second, 2), "another start")
	tracker = newCheckInTracker(0)
	require.True(t, checkIn(0, time.Second, 2), "unknown to a new leader")
}

// TestColdReachesEntryHosts guards against entry hosts that do not learn that a server has
// become cold, and against those that start and take the cold time of a start long ago for
// the present one.
func TestColdReachesEntryHosts(t *testing.T) {
	g := newOpenGroup(t)
	all := g.startAll(true, 0)
	server := registrar.Server{
		Name: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1, ColdRemaining: 40 * time.Second,
	}
	g.register(all[0], server)
	w := g.startWatcher("entry", g.seeds)
	record := func() registrar.Server {
		for _, s := range w.State().Servers {
			return s
		}
		return registrar.Server{}
	}
	require.Eventually(t, func() bool { return record().ColdRemaining > 35*time.Second }, waitTimeout, 10*time.Millisecond)
	first := record().ChangeIndex
	for left := 39; left > 35; left-- {
		server.Sequence, server.ColdRemaining = server.Sequence+1, time.Duration(left)*time.Second
		g.register(all[1], server)
	}
	server.Sequence, server.ColdRemaining = server.Sequence+1, 0
	g.register(all[1], server)
	require.Equal(t, first, record().ChangeIndex, "check-ins that count down changed the registry")
	server.Sequence, server.ColdRemaining = server.Sequence+1, time.Minute
	g.register(all[2], server)
	require.Eventually(t, func() bool { return record().ColdRemaining > 50*time.Second && record().ChangeIndex > first }, waitTimeout, 10*time.Millisecond)

	// A new leader knows nothing of the cold time; the server started long ago.
	g.kill(g.waitForLeader(g.servers()))
	late := g.startWatcher("late", g.seeds)
	require.Eventually(t, func() bool { return len(late.State().Servers) == 1 }, waitTimeout, 10*time.Millisecond)
	require.Zero(t, late.State().Servers[0].ColdRemaining)
	server.Sequence, server.ColdRemaining = server.Sequence+1, 20*time.Second
	g.register(g.servers()[0], server)
	require.Eventually(t, func() bool { return late.State().Servers[0].ColdRemaining > 15*time.Second }, waitTimeout, 10*time.Millisecond)
}
