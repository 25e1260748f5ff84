package server

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// evacuate retries until the order is acknowledged, as an operator does.
func (g *openGroup) evacuate(s *Server, zone string, withdrawn bool) {
	require.Eventually(g.t, func() bool { return s.Evacuate(g.t.Context(), zone, withdrawn) == nil }, waitTimeout, 20*time.Millisecond)
}

// startAll starts the seeds with the zones a and b in their settings.
func (g *openGroup) startAll(bootstrap bool, snapshotEvery uint64) []*Server {
	var all []*Server
	for _, a := range g.seeds {
		all = append(all, g.startWith(a, func(s *Settings) {
			s.Bootstrap, s.SnapshotEvery, s.Zones = bootstrap, snapshotEvery, map[string]string{"a": "r", "b": "r"}
		}))
	}
	return all
}

// evacuations returns number and zones as a host sees them.
func (g *openGroup) evacuations(s *Server) (number uint64, zones []string) {
	var reply *messenger.EvacuateReply
	require.Eventually(g.t, func() bool {
		var err error
		reply, _, err = callLeader(g.t.Context(), s,
			func(ctx context.Context, c messenger.ControlServer) (*messenger.EvacuateReply, error) {
				return c.Evacuate(ctx, &messenger.EvacuateRequest{})
			},
			func(ctx context.Context, c messenger.ControlClient) (*messenger.EvacuateReply, error) {
				return c.Evacuate(ctx, &messenger.EvacuateRequest{})
			})
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	return reply.GetNumber(), reply.GetEvacuated()
}

// evacuatedZones returns the zones to which a watcher's host sends nothing.
func evacuatedZones(w *subscriber.Watcher) []string {
	var list []string
	for _, e := range w.State().Evacuations {
		if !e.Withdrawn {
			list = append(list, e.Zone)
		}
	}
	return list
}

// TestEvacuate guards against orders that are taken for unknown zones, refused for known
// ones, or not acknowledged a second time, wherever they arrive.
func TestEvacuate(t *testing.T) {
	g := newOpenGroup(t)
	all := g.startAll(true, 0)
	g.evacuate(all[0], "a", false)
	first, zones := g.evacuations(all[1])
	require.Equal(t, []string{"a"}, zones)
	for _, s := range all {
		require.NoError(t, s.Evacuate(t.Context(), "a", false))
		require.NoError(t, s.Evacuate(t.Context(), "b", true), "never ordered")
		for _, zone := range []string{"c", "", "\xff", string(make([]byte, maxZoneBytes+1))} {
			for _, withdrawn := range []bool{false, true} {
				require.ErrorIs(t, s.Evacuate(t.Context(), zone, withdrawn), ErrInvalidRequest, "%q", zone)
			}
		}
	}
	number, _ := g.evacuations(all[2])
	require.Equal(t, first, number, "repeated orders changed the state")

	// A zone that the settings do not have exists once a server or an entry host is there.
	g.register(all[0], registrar.Server{Name: "s", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Zone: "c", Slots: 1, Incarnation: 1, Sequence: 1})
	require.NoError(t, all[1].Evacuate(t.Context(), "c", false))
	g.register(all[0], registrar.Server{Name: "s", State: registrar.Gone})
	require.NoError(t, all[1].Evacuate(t.Context(), "c", true), "an order can be withdrawn without servers")
	require.ErrorIs(t, all[1].Evacuate(t.Context(), "d", false), ErrInvalidRequest)
	w := g.runWatcher(subscriber.WatcherConfig{Host: "h", Seeds: g.seeds, Peer: subscriber.Peer{Address: g.address(99), Zone: "d"}})
	require.Eventually(t, func() bool { return !w.State().LastReply.IsZero() }, waitTimeout, 10*time.Millisecond)
	require.NoError(t, all[1].Evacuate(t.Context(), "d", false))
	_, zones = g.evacuations(all[2])
	require.Equal(t, []string{"a", "d"}, zones)
	for _, s := range all {
		require.Eventually(t, func() bool {
			reply, err := s.Status(t.Context())
			return err == nil && slices.Equal([]string{"a", "d"}, reply.GetEvacuated())
		}, waitTimeout, 10*time.Millisecond)
	}
}

// TestEvacuationSurvivesLeader guards against an order that is lost or made twice when the
// leader ends after the commit and before the acknowledgement.
func TestEvacuationSurvivesLeader(t *testing.T) {
	g := newOpenGroup(t)
	g.publish(g.startAll(true, 0)[0], 1, "one")
	var address netip.AddrPort
	var before uint64
	require.Eventually(t, func() bool {
		address = g.waitForLeader(g.servers())
		// The number of the committed order, 0 if it was not committed.
		outcome := make(chan uint64, 1)
		g.running[address].server.events <- func(l *loop) {
			l.evacuate(&messenger.EvacuateRequest{Zone: "a"}, func(r *messenger.EvacuateReply, _ error) { outcome <- r.GetNumber() })
		}
		select {
		case before = <-outcome:
		case <-time.After(time.Second):
		}
		return before > 0
	}, waitTimeout, 20*time.Millisecond)
	g.kill(address)
	for _, s := range g.servers() {
		g.evacuate(s, "a", false)
		number, zones := g.evacuations(s)
		require.Equal(t, before, number)
		require.Equal(t, []string{"a"}, zones)
	}
}

// TestEvacuationSurvivesRestart guards against an acknowledged order or withdrawal that is
// lost when all hosts lose power, in the log and in a snapshot.
func TestEvacuationSurvivesRestart(t *testing.T) {
	for _, snapshotEvery := range []uint64{0, 1} {
		g := newOpenGroup(t)
		all := g.startAll(true, snapshotEvery)
		g.evacuate(all[0], "a", false)
		g.evacuate(all[1], "b", false)
		g.evacuate(all[2], "a", true)
		number, _ := g.evacuations(all[0])
		for a := range g.running {
			g.kill(a)
		}
		all = g.startAll(false, snapshotEvery)
		after, zones := g.evacuations(all[0])
		require.Equal(t, []string{"b"}, zones)
		require.Equal(t, number, after)
		w := g.startWatcher("entry", g.seeds)
		require.Eventually(t, func() bool { return !w.State().LastReply.IsZero() }, waitTimeout, time.Millisecond)
		require.Equal(t, []string{"b"}, evacuatedZones(w), "the first reply of a new entry host")
	}
}

// TestEvacuationNeedsMajority guards against an order that is acknowledged, or that takes
// effect on entry hosts, without a majority of the control hosts.
func TestEvacuationNeedsMajority(t *testing.T) {
	g := newOpenGroup(t)
	g.publish(g.startAll(true, 0)[0], 1, "one")
	leader := g.waitForLeader(g.servers())
	w := g.startWatcher("entry", g.seeds)
	require.Eventually(t, func() bool { return w.State().Version == 1 }, waitTimeout, time.Millisecond)
	for a := range g.running {
		if a != leader {
			g.kill(a)
		}
	}
	rest := g.running[leader].server
	require.ErrorIs(t, rest.Evacuate(t.Context(), "a", false), ErrNoLeader)
	require.Empty(t, evacuatedZones(w))
}

// TestEvacuationIsNews guards against entry hosts that learn of an order only when their
// request is no longer held, that miss one because they have the state of an earlier
// leader, or that ask without pause because they do not follow evacuations.
func TestEvacuationIsNews(t *testing.T) {
	const soon = time.Second
	g := newOpenGroup(t)
	all := g.startAll(true, 0)
	g.publish(all[0], 1, "one")
	w := g.startWatcher("entry", g.seeds)
	require.Eventually(t, func() bool { return w.State().Version == 1 }, waitTimeout, time.Millisecond)
	for _, withdrawn := range []bool{false, true, false} {
		g.evacuate(all[1], "a", withdrawn)
		require.Eventually(t, func() bool { return (len(evacuatedZones(w)) == 0) == withdrawn }, soon, time.Millisecond)
	}
	number, _ := g.evacuations(all[0])
	state := w.State()
	leader := g.running[g.waitForLeader(g.servers())].server
	hasNews := func(r *messenger.WatchRequest) bool {
		r.Version = state.Version
		news := make(chan bool, 1)
		leader.events <- func(l *loop) { news <- l.hasNews(r) }
		return <-news
	}
	require.False(t, hasNews(&messenger.WatchRequest{}), "an older build would get news that it does not know")
	require.False(t, hasNews(&messenger.WatchRequest{Evacuates: true, Evacuation: number}))
	require.True(t, hasNews(&messenger.WatchRequest{Evacuates: true, Evacuation: number - 1}))

	g.kill(g.waitForLeader(g.servers()))
	g.evacuate(g.servers()[0], "b", false)
	require.Eventually(t, func() bool { return len(evacuatedZones(w)) == 2 }, waitTimeout, time.Millisecond)
}
