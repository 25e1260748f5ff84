package replicator

import (
	"cmp"
	"slices"
	"time"
)

// replicationState is the way in which a leader sends entries to one member.
type replicationState uint8

// Replication states.
const (
	// probing sends one append at a time and waits for its reply, because the
	// leader does not know yet where the member's log diverges.
	probing replicationState = iota // probe
	// streaming sends appends without waiting for the replies to earlier ones.
	streaming // stream
	// transferring sends nothing until the member has installed a snapshot.
	transferring // snapshot
)

// progress is the leader's knowledge of one member.
type progress struct {
	// matchIndex is the last index known to be durable at the member, nextIndex
	// the first one to send.
	matchIndex uint64
	nextIndex  uint64
	// state tells how entries are sent to the member.
	state replicationState
	// probeSent is set while a probe has no reply.
	probeSent bool
	// inflight holds the last index of each unacknowledged append, in ascending
	// order.
	inflight []uint64
	// snapshotSentAt is when the last snapshot was sent.
	snapshotSentAt time.Duration
	// lastReplyAt is when the member's last reply arrived.
	lastReplyAt time.Duration
	// ackedRound is the last heartbeat round that the member acknowledged.
	ackedRound uint64
}

// startProbing forgets unacknowledged appends and continues after matchIndex.
func (p *progress) startProbing() {
	p.state = probing
	p.nextIndex = p.matchIndex + 1
	p.probeSent = false
	p.inflight = nil
}

// acknowledge records that all entries up to index are durable at the member.
func (p *progress) acknowledge(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.state == probing || p.state == transferring && p.matchIndex+1 >= p.nextIndex {
		p.state = streaming
		p.probeSent = false
	}
}

// trackMembers makes progress match the newest membership. The leader has just
// appended an entry of its own, and that entry is the first one that it sends
// to a new member.
func (c *Core) trackMembers() {
	set := c.memberships.latest()
	for _, m := range set.members {
		if _, ok := c.progress[m.ID]; !ok {
			c.progress[m.ID] = &progress{nextIndex: c.log.lastIndex(), lastReplyAt: c.now}
		}
	}
	for id := range c.progress {
		if _, ok := set.find(id); !ok {
			delete(c.progress, id)
		}
	}
	c.updateOwnProgress()
}

// updateOwnProgress counts the leader as a member that acknowledges the entries
// on its own disk.
func (c *Core) updateOwnProgress() {
	p := c.progress[c.id]
	p.matchIndex = c.log.durableIndex
	p.nextIndex = c.log.lastIndex() + 1
	p.ackedRound = c.heartbeatRound
}

// quorumValue returns the greatest value of f that a majority of the voters has
// reached, during a replacement a majority with each of the two that take turns.
func quorumValue[T cmp.Ordered](c *Core, f func(*progress) T) T {
	set := c.memberships.latest()
	value := majorityValue(c, set, isOutgoing, f)
	if set.isReplacing() {
		value = min(value, majorityValue(c, set, isIncoming, f))
	}
	return value
}

// majorityValue returns the greatest value of f that a majority of the voters that are
// not excluded has reached.
func majorityValue[T cmp.Ordered](c *Core, set membership, excluded func(Member) bool, f func(*progress) T) T {
	var values []T
	for _, m := range set.members {
		if m.Voter && !excluded(m) {
			values = append(values, f(c.progress[m.ID]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
