package replicator

import "time"

// ConfirmedRead is a confirmed read: the state machine's state at Index or later holds
// every write that was acknowledged before the read was asked.
type ConfirmedRead struct {
	Context uint64
	Index   uint64
}

type pendingRead struct {
	context uint64
	// round is the first heartbeat round that starts after the request.
	round uint64
	// index holds every entry that was committed at the request.
	index uint64
}

// ReadIndex asks for the confirmation of a read named by context. The confirmation
// comes in Ready.Reads once a heartbeat round that started after the request
// was acknowledged by a majority, or context comes in Ready.LostReads when
// this member stops leading first. It returns ErrNotLeader.
func (c *Core) ReadIndex(now time.Duration, context uint64) error {
	c.setTime(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// A new leader holds all committed entries but does not know which they
	// are until one of its own term is committed.
	index := max(c.commit, c.start)
	c.reads = append(c.reads, pendingRead{context: context, round: c.round + 1, index: index})
	return nil
}

// startRound sends a heartbeat to every member.
func (c *Core) startRound() {
	c.round++
	c.heartbeat = c.now + c.cfg.HeartbeatInterval
	c.updateSelf()
	for _, m := range c.members.latest().members {
		if m.ID != c.id {
			commit := min(c.commit, c.progress[m.ID].match)
			c.send(Message{Kind: MessageHeartbeat, To: m.ID, Commit: commit, Context: c.round})
		}
	}
	c.confirmReads()
}

// startReadRound starts a round for waiting reads unless one is under way.
// Reads that arrive meanwhile share the next round.
func (c *Core) startReadRound() {
	if len(c.reads) == 0 || c.reads[len(c.reads)-1].round <= c.round {
		return
	}
	if quorumOf(c, func(p *progress) uint64 { return p.round }) == c.round {
		c.startRound()
	}
}

// confirmReads confirms the reads, oldest first, whose round a majority has
// acknowledged.
func (c *Core) confirmReads() {
	acked := quorumOf(c, func(p *progress) uint64 { return p.round })
	for len(c.reads) > 0 {
		r := c.reads[0]
		if r.round > acked || r.index > c.commit {
			return
		}
		c.confirmed = append(c.confirmed, ConfirmedRead{Context: r.context, Index: r.index})
		c.reads = c.reads[1:]
	}
}
