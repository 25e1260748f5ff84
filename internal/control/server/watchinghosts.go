package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/protocol/messenger"
)

// peersPerSide is the number of neighbors on each side in the order of hosts that are a
// host's peers. Neighbors are peers of each other. With twelve peers, a host has one that
// is not cut off even if most of the fleet is.
const peersPerSide = 6

// watchingHost is an entry host that sends watch requests to this leader.
type watchingHost struct {
	name string
	// position orders the hosts. It is a hash, so that neighbors are in different zones.
	position uint64
	// lastWatch is the loop's time of the latest watch request.
	lastWatch time.Duration
	// peer describes the host to others. Its address is empty if it takes over no
	// requests.
	peer *messenger.Peer
}

// watchTracker holds the entry hosts that send watch requests to this leader, to count
// them and to tell them of each other.
type watchTracker struct {
	// trackingSince is when this host began to receive watch requests as the leader.
	trackingSince time.Duration
	// hosts holds the hosts by name, order holds them by position.
	hosts map[string]*watchingHost
	order []*watchingHost
	// lenders decides which of them grant the requests of client accounts.
	lenders *lenderTracker
}

// newWatchTracker returns the tracker of a leader that begins to receive watch requests
// at now.
func newWatchTracker(now time.Duration) *watchTracker {
	return &watchTracker{trackingSince: now, hosts: map[string]*watchingHost{}, lenders: newLenderTracker(now)}
}

// recordWatch records a watch request that arrived at now.
func (t *watchTracker) recordWatch(now time.Duration, r *messenger.WatchRequest) {
	h := t.hosts[r.GetHost()]
	if h == nil {
		h = &watchingHost{name: r.GetHost(), position: xxhash.Sum64String(r.GetHost()), peer: &messenger.Peer{}}
		t.hosts[h.name] = h
		i, _ := slices.BinarySearchFunc(t.order, h, compareHosts)
		t.order = slices.Insert(t.order, i, h)
	}
	h.lastWatch = now
	// A request that seeks the leader does not describe the host.
	if !r.GetSeek() {
		h.peer = &messenger.Peer{Address: r.GetPeer(), Zone: r.GetZone()}
	}
}

// compareHosts orders hosts by position.
func compareHosts(a, b *watchingHost) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.name, b.name))
}

// countHosts returns the number of entry hosts that watch, or 0 while this host has led
// for too short a time to know them all.
func (t *watchTracker) countHosts(now time.Duration) uint32 {
	t.order = slices.DeleteFunc(t.order, func(h *watchingHost) bool {
		gone := now-h.lastWatch > watchRetention
		if gone {
			delete(t.hosts, h.name)
		}
		return gone
	})
	if now-t.trackingSince < watchRetention {
		return 0
	}
	return uint32(len(t.order))
}

// rankOf returns the place of an entry host in the order of those that watch.
func (t *watchTracker) rankOf(host string) uint32 {
	h := t.hosts[host]
	if h == nil {
		return 0
	}
	i, _ := slices.BinarySearchFunc(t.order, h, compareHosts)
	return uint32(i)
}

// peersOf returns the neighbors of an entry host that take over requests, and a
// fingerprint of the list, which is not 0.
func (t *watchTracker) peersOf(host string) (list []*messenger.Peer, fingerprint uint64) {
	n := len(t.order)
	rank := int(t.rankOf(host))
	digest := xxhash.New()
	for distance := 1; distance <= peersPerSide && distance < n; distance++ {
		for _, i := range []int{(rank + distance) % n, (rank - distance + n) % n} {
			p := t.order[i].peer
			if p.GetAddress() == "" || t.order[i].name == host || slices.ContainsFunc(list, func(o *messenger.Peer) bool { return proto.Equal(o, p) }) {
				continue
			}
			list = append(list, p)
			_, _ = digest.WriteString(p.GetAddress() + " " + p.GetZone() + "\n")
		}
	}
	return list, max(digest.Sum64(), 1)
}

// addPeers adds the peers of the host that sent a request to its reply, unless it has
// them.
func (l *loop) addPeers(reply *messenger.WatchReply, r *messenger.WatchRequest) {
	list, fingerprint := l.watchingHosts.peersOf(r.GetHost())
	reply.Peers = fingerprint
	if fingerprint != r.GetPeers() {
		reply.Peer = list
	}
}
