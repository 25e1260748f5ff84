package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// TestMarkLeaving guards against a server that goes on checking in as ready after it has
// told an entry host that it is about to stop, and against one that is taken out of service
// because of news about its predecessor.
func TestMarkLeaving(t *testing.T) {
	g := newOpenGroup(t)
	var all []*Server
	for _, a := range g.seeds {
		all = append(all, g.start(a, true))
	}
	leader := g.running[g.waitForLeader(all)].server
	server := registrar.Server{Name: "a", Service: "s", Address: g.address(99), Zone: "z", Slots: 1, Incarnation: 5, Sequence: 1, State: registrar.Ready}
	g.register(leader, server)
	w := g.startWatcher("host", g.seeds)
	state := func() registrar.State {
		for _, s := range w.State().Servers {
			return s.State
		}
		return registrar.Gone
	}
	require.Eventually(t, func() bool { return state() == registrar.Ready }, waitTimeout, 10*time.Millisecond)
	for _, incarnation := range []uint64{4, 5} {
		r := &messenger.SuspectRequest{Leaving: []*messenger.Process{{Server: "a", Incarnation: incarnation}, {Server: "unknown", Incarnation: 1}}}
		reply, err := (&service{server: leader}).Suspect(t.Context(), r)
		require.NoError(t, err)
		require.True(t, reply.GetGranted())
		if incarnation < server.Incarnation {
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, registrar.Ready, state())
		}
	}
	require.Eventually(t, func() bool { return state() == registrar.Draining }, waitTimeout, 10*time.Millisecond)
	for range 3 {
		server.Sequence += 2
		g.register(leader, server)
	}
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, registrar.Draining, state())
	server.Incarnation++
	g.register(leader, server)
	require.Eventually(t, func() bool { return state() == registrar.Ready }, waitTimeout, 10*time.Millisecond)
}

// TestSuspectTracker guards against an entry host that misses a change of a suspicion or
// its end, and against replies that repeat what the host has.
func TestSuspectTracker(t *testing.T) {
	table := quarantiner.NewForRoutes(quarantiner.Limits{})
	now := time.Unix(1_800_000_000, 0)
	list := func() (out []*messenger.Suspicion) {
		for _, s := range table.Suspicions() {
			out = append(out, s.Message())
		}
		return out
	}
	tracker := newSuspectTracker()
	crash := func(id string, fingerprint uint64) {
		table.Observe(now, quarantiner.Observation{ID: id, Fingerprint: fingerprint, Archive: "s", Server: id, Incarnation: 1, Crashed: true})
		tracker.update(table.Revision(), list)
	}
	changes := func(since uint64) (fingerprints []uint64, states []quarantiner.State, whole bool) {
		news, whole := tracker.changesSince(now.Add(time.Second), since)
		for _, m := range news {
			fingerprints = append(fingerprints, m.GetSuspicion().GetFingerprint())
			states = append(states, quarantiner.State(m.GetSuspicion().GetState()))
		}
		return fingerprints, states, whole
	}
	crash("a", 1)
	crash("b", 2)
	first := tracker.lastChange
	fingerprints, _, whole := changes(0)
	require.Equal(t, []uint64{1, 2}, fingerprints)
	require.True(t, whole)
	fingerprints, _, _ = changes(first)
	require.Empty(t, fingerprints)

	crash("c", 1)
	table.Clear(now, 2)
	tracker.update(table.Revision(), list)
	fingerprints, states, whole := changes(first)
	require.Equal(t, []uint64{1, 2}, fingerprints)
	require.Equal(t, []quarantiner.State{quarantiner.StateSuspect, quarantiner.StateClear}, states)
	require.False(t, whole)
	news, _ := tracker.changesSince(now.Add(time.Second), first)
	require.Equal(t, time.Second, news[0].GetAge().AsDuration())

	// A host that missed forgotten ends gets the whole list.
	for i := range uint64(maxClearedSuspicions + 1) {
		table.Pin(now, 100+i, "s")
		tracker.update(table.Revision(), list)
		table.Clear(now, 100+i)
		tracker.update(table.Revision(), list)
	}
	fingerprints, _, whole = changes(first)
	require.Equal(t, []uint64{1}, fingerprints)
	require.True(t, whole)
}
