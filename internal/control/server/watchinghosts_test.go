package server

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/protocol/messenger"
)

// watchFrom returns the watch request of host number n, in one of five zones.
func watchFrom(n int) *messenger.WatchRequest {
	address := fmt.Sprintf("10.%d.0.%d:7740", n%5, n)
	return &messenger.WatchRequest{Host: address, Peer: address, Zone: fmt.Sprint("z", n%5)}
}

// TestPeers guards against hosts that are not peers of each other, which would be refused,
// against hosts that are listed as their own peers, and against ranks that repeat.
func TestPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newWatchTracker(0)
		var watching []int
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(1, 40).Draw(t, "host")
			tracker.recordWatch(now, watchFrom(n))
			if !slices.Contains(watching, n) {
				watching = append(watching, n)
			}
		}
		tracker.countHosts(now)
		watching = slices.DeleteFunc(watching, func(n int) bool { return tracker.hosts[watchFrom(n).GetHost()] == nil })
		require.Len(t, tracker.order, len(watching))
		ranks := map[uint32]bool{}
		for _, n := range watching {
			own := watchFrom(n).GetPeer()
			ranks[tracker.rankOf(own)] = true
			peers, fingerprint := tracker.peersOf(own)
			require.NotZero(t, fingerprint)
			require.Len(t, peers, min(2*peersPerSide, len(watching)-1))
			for _, p := range peers {
				require.NotEqual(t, own, p.GetAddress())
				back, _ := tracker.peersOf(p.GetAddress())
				require.True(t, slices.ContainsFunc(back, func(b *messenger.Peer) bool { return b.GetAddress() == own }))
			}
		}
		require.Len(t, ranks, len(watching))
	})
}

// TestPeersOfOtherZones guards against a host whose peers are all in its own zone, which
// may be cut off as a whole.
func TestPeersOfOtherZones(t *testing.T) {
	tracker := newWatchTracker(0)
	const hosts = 191
	for n := range hosts {
		tracker.recordWatch(0, watchFrom(n))
	}
	for n := range hosts {
		peers, _ := tracker.peersOf(watchFrom(n).GetHost())
		others := slices.DeleteFunc(peers, func(p *messenger.Peer) bool { return p.GetZone() == watchFrom(n).GetZone() })
		require.GreaterOrEqual(t, len(others), 4)
	}
}

// TestPeersAreSentOnce guards against a list of peers in each reply of a calm day.
func TestPeersAreSentOnce(t *testing.T) {
	tracker := newWatchTracker(0)
	for n := range 20 {
		tracker.recordWatch(0, watchFrom(n))
	}
	_, first := tracker.peersOf(watchFrom(3).GetHost())
	tracker.recordWatch(time.Second, watchFrom(3))
	_, second := tracker.peersOf(watchFrom(3).GetHost())
	require.Equal(t, first, second)
	// A host of an older version has no address for others.
	tracker.recordWatch(time.Second, &messenger.WatchRequest{Host: "old"})
	for n := range 20 {
		peers, _ := tracker.peersOf(watchFrom(n).GetHost())
		for _, p := range peers {
			require.NotEmpty(t, p.GetAddress())
		}
	}
}
