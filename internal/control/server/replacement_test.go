package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

var errKilled = errors.New("killed by the test")

// kill ends a host without a planned stop.
func (g *openGroup) kill(a netip.AddrPort) {
	n := g.running[a]
	delete(g.running, a)
	n.server.events <- func(l *loop) { l.fatalErr = errKilled }
	require.ErrorIs(g.t, <-n.done, errKilled)
}

// servers returns the running hosts.
func (g *openGroup) servers() []*Server {
	var list []*Server
	for _, n := range g.running {
		list = append(list, n.server)
	}
	return list
}

// waitForLearner waits until a host is a member that holds everything committed.
func (g *openGroup) waitForLearner(want netip.AddrPort) {
	leader := g.running[g.waitForLeader(g.servers())].server
	require.Eventually(g.t, func() bool {
		reply, err := leader.Status(g.t.Context())
		if err != nil {
			return false
		}
		for _, v := range reply.GetVoters() {
			if v.GetAddress() == want.String() && v.GetMatch() >= reply.GetCommit() {
				return true
			}
		}
		return false
	}, waitTimeout, 20*time.Millisecond)
}

// TestPlannedReplacement guards against a planned stop that leaves the group with the
// vote of a host that has ended: the loss of another disk was then the loss of the
// majority, although a successor held everything.
func TestPlannedReplacement(t *testing.T) {
	for _, tt := range []struct {
		name         string
		stopsLeader  bool
		losesLeader  bool
		delay        time.Duration
		replacements int
	}{
		{name: "leader stops, leader lost", stopsLeader: true, losesLeader: true, replacements: 1},
		{name: "leader stops, follower lost", stopsLeader: true, replacements: 1},
		{name: "follower stops, leader lost", losesLeader: true, replacements: 1},
		{name: "follower stops, follower lost", replacements: 1},
		{name: "lost after the stop", losesLeader: true, delay: 1500 * time.Millisecond, replacements: 1},
		{name: "two replacements", losesLeader: true, replacements: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newOpenGroup(t)
			for _, a := range g.seeds {
				g.start(a, true)
			}
			g.publish(g.running[g.seeds[0]].server, 1, "one")
			hosts := append([]netip.AddrPort{}, g.seeds...)
			for i := range tt.replacements {
				successor := g.address(byte(4 + i))
				g.start(successor, false)
				g.waitForLearner(successor)
				hosts = append(hosts, successor)
			}
			pick := func(leader bool) netip.AddrPort {
				leads := g.waitForLeader(g.servers())
				for _, a := range g.seeds {
					if _, ok := g.running[a]; ok && (a == leads) == leader {
						return a
					}
				}
				// A successor leads, so that no seed does.
				return leads
			}
			for range tt.replacements {
				g.stop(pick(tt.stopsLeader))
			}
			time.Sleep(tt.delay)
			lost := pick(tt.losesLeader)
			g.publish(g.running[lost].server, 2, "two")
			g.kill(lost)
			g.wipe(lost)
			g.start(lost, false)
			for _, a := range hosts {
				if n, ok := g.running[a]; ok {
					version, text := g.read(n.server)
					require.Equal(t, uint64(2), version)
					require.Equal(t, "two", text)
				}
			}
			g.publish(g.running[lost].server, 3, "three")
		})
	}
}

// TestOnlyVoterReplaced guards against a group of one voter that ends with it, although a
// successor held everything.
func TestOnlyVoterReplaced(t *testing.T) {
	g := newOpenGroup(t)
	g.seeds = g.seeds[:1]
	one := func(bootstrap bool) func(*Settings) {
		return func(s *Settings) { s.Voters, s.Bootstrap = 1, bootstrap }
	}
	first, successor := g.seeds[0], g.address(4)
	g.publish(g.startWith(first, one(true)), 1, "one")
	g.startWith(successor, one(false))
	g.waitForLearner(successor)
	g.stop(first)
	g.publish(g.running[successor].server, 2, "two")
	version, text := g.read(g.running[successor].server)
	require.Equal(t, uint64(2), version)
	require.Equal(t, "two", text)
}

// TestRestartKeepsVote guards against a planned stop without a successor that waits for
// one, or that costs the host its vote.
func TestRestartKeepsVote(t *testing.T) {
	g := newOpenGroup(t)
	var all []*Server
	for _, a := range g.seeds {
		all = append(all, g.start(a, true))
	}
	g.publish(all[0], 1, "one")
	for _, a := range g.seeds {
		start := time.Now()
		g.stop(a)
		require.Less(t, time.Since(start), defaultGrace/2)
		g.start(a, false)
		g.waitForVoters(g.running[a].server, g.seeds...)
	}
	version, text := g.read(g.running[g.seeds[0]].server)
	require.Equal(t, uint64(1), version)
	require.Equal(t, "one", text)
}
