package replicator

import "time"

// ConfirmedRead is a linearizable read that may be answered. Once the state
// machine has applied the entry at Index, it holds every write that was
// acknowledged before the read was requested.
type ConfirmedRead struct {
	// Context is the number that the caller passed to ReadIndex for this read.
	Context uint64
	// Index is the log index that has to be applied before the read is answered.
	Index uint64
}

// pendingRead is a read that no quorum has confirmed yet.
type pendingRead struct {
	// context is the number by which the caller knows the read.
	context uint64
	// confirmRound is the first heartbeat round that starts after the request.
	confirmRound uint64
	// readIndex is at or after every entry that was committed at the request.
	readIndex uint64
}

// ReadIndex requests the confirmation of a read that the caller identifies by
// context. Ready.ConfirmedReads holds it once a majority has acknowledged a
// heartbeat round that started after the request. If this member stops leading
// before that, Ready.LostReads holds context. ReadIndex returns ErrNotLeader if
// this member does not lead.
func (c *Core) ReadIndex(now time.Duration, context uint64) error {
	c.advanceTime(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// A new leader holds all committed entries, but learns which ones are
	// committed only when it commits one of its own term.
	index := max(c.commitIndex, c.termStartIndex)
	c.pendingReads = append(c.pendingReads, pendingRead{context: context, confirmRound: c.heartbeatRound + 1, readIndex: index})
	return nil
}

// startHeartbeatRound sends a heartbeat with a new round number to every
// member.
func (c *Core) startHeartbeatRound() {
	c.heartbeatRound++
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	c.updateOwnProgress()
	for _, m := range c.memberships.latest().members {
		if m.ID != c.id {
			commit := min(c.commitIndex, c.progress[m.ID].matchIndex)
			c.enqueue(Message{Kind: MessageHeartbeat, To: m.ID, Commit: commit, Context: c.heartbeatRound})
		}
	}
	c.confirmReads()
}

// startReadRound starts a heartbeat round for pending reads unless one is under
// way. Reads that arrive during a round share the next one.
func (c *Core) startReadRound() {
	if len(c.pendingReads) == 0 || c.pendingReads[len(c.pendingReads)-1].confirmRound <= c.heartbeatRound {
		return
	}
	if quorumValue(c, func(p *progress) uint64 { return p.ackedRound }) == c.heartbeatRound {
		c.startHeartbeatRound()
	}
}

// confirmReads confirms, oldest first, the reads whose heartbeat round a
// majority has acknowledged.
func (c *Core) confirmReads() {
	acked := quorumValue(c, func(p *progress) uint64 { return p.ackedRound })
	for len(c.pendingReads) > 0 {
		r := c.pendingReads[0]
		if r.confirmRound > acked || r.readIndex > c.commitIndex {
			return
		}
		c.confirmedReads = append(c.confirmedReads, ConfirmedRead{Context: r.context, Index: r.readIndex})
		c.pendingReads = c.pendingReads[1:]
	}
}
