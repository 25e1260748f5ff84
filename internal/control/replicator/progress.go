package replicator

import (
	"cmp"
	"slices"
	"time"
)

// replication is how a leader sends entries to one member.
type replication uint8

const (
	// probing sends one message and waits: the end of the common log is
	// unknown.
	probing replication = iota // probe
	// streaming sends ahead of the acknowledgements.
	streaming // stream
	// transferring waits for a snapshot to be installed.
	transferring // snapshot
)

// progress is what a leader knows of one member.
type progress struct {
	// match is the last index known to be durable at the member, next the
	// first one to send.
	match uint64
	next  uint64
	state replication
	// paused is set while a probe is unanswered.
	paused bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// sent is when the last snapshot was sent.
	sent time.Duration
	// heard is when the member last answered.
	heard time.Duration
	// round is the last heartbeat round acknowledged.
	round uint64
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

// acknowledge records that the member holds everything up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.state == probing || p.state == transferring && p.match+1 >= p.next {
		p.state = streaming
		p.paused = false
	}
}

// syncProgress starts and ends the tracking of members after an entry of the
// leader's own, which is the first one that it sends to a new member.
func (c *Core) syncProgress() {
	set := c.members.latest()
	for _, m := range set.members {
		if _, ok := c.progress[m.ID]; !ok {
			c.progress[m.ID] = &progress{next: c.log.last(), heard: c.now}
		}
	}
	for id := range c.progress {
		if _, ok := set.find(id); !ok {
			delete(c.progress, id)
		}
	}
	c.updateSelf()
}

// updateSelf counts the leader's own disk: only entries written there are
// acknowledged.
func (c *Core) updateSelf() {
	p := c.progress[c.id]
	p.match = c.log.stable
	p.next = c.log.last() + 1
	p.round = c.round
}

// quorumOf returns the greatest value that a majority of the voters in force
// has reached.
func quorumOf[T cmp.Ordered](c *Core, f func(*progress) T) T {
	var values []T
	for _, m := range c.members.latest().members {
		if m.Voter {
			values = append(values, f(c.progress[m.ID]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
