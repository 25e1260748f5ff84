package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// Proposal identifies a proposed entry. The proposal is committed if and only
// if the entry committed at Index has this Term.
type Proposal struct {
	// Index is the position in the log at which the leader appended the entry.
	Index uint64
	// Term is that of the leader at the time of the proposal.
	Term uint64
}

// Propose appends data to the leader's log. data must not change afterwards. If
// it returns ErrNotLeader, ErrBusy or ErrTooLarge, nothing was appended.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.advanceTime(now)
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > c.cfg.MaxMessageBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "proposal of %d bytes, limit is %d", len(data), c.cfg.MaxMessageBytes)
	}
	if c.uncommittedBytes+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return c.appendInTerm(EntryNormal, data), c.term, nil
}

// handleFollowerReply handles a reply to an append, a snapshot or a heartbeat.
func (c *Core) handleFollowerReply(m Message) {
	p, ok := c.progress[m.From]
	if c.role != RoleLeader || !ok {
		return
	}
	p.lastReplyAt = c.now
	switch {
	case m.Kind == MessageHeartbeatReply:
		c.handleHeartbeatReply(p, m)
	case m.Reject:
		c.handleAppendReject(p, m)
	case m.Index <= c.log.lastIndex():
		p.acknowledge(m.Index)
		c.advanceCommit()
	}
}

// handleAppendReject continues after the last entry that could match in the log
// of the member that sent m, and ignores rejections of earlier appends.
func (c *Core) handleAppendReject(p *progress, m Message) {
	if m.Index <= p.matchIndex || p.state == probing && m.Index+1 != p.nextIndex || p.state == transferring {
		return
	}
	hint, _ := c.log.lastWithTermAtMost(min(m.Hint, m.Index-1), m.LogTerm)
	p.startProbing()
	p.nextIndex = max(p.nextIndex, hint+1)
}

// handleHeartbeatReply also recovers from lost messages: the reply shows that
// the member is reachable, so appends, probes and snapshots without a reply are
// checked or sent again.
func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	if m.Context <= c.heartbeatRound {
		p.ackedRound = max(p.ackedRound, m.Context)
	}
	c.confirmReads()
	switch p.state {
	case probing:
		p.probeSent = false
	case streaming:
		if len(p.inflight) > 0 {
			c.sendAppend(m.From, p, nil)
		}
	case transferring:
		if c.now-p.snapshotSentAt >= c.cfg.ElectionTimeout {
			p.startProbing()
		}
	}
}

// advanceCommit commits the entries that a majority holds. It counts only
// copies of entries of the leader's own term; earlier entries are committed
// with them.
func (c *Core) advanceCommit() {
	index := quorumValue(c, func(p *progress) uint64 { return p.matchIndex })
	if index <= c.commitIndex || index < c.termStartIndex {
		return
	}
	for _, e := range c.log.slice(c.commitIndex+1, index) {
		if e.Term == c.term {
			c.uncommittedBytes -= e.size()
		}
	}
	c.commitIndex = index
	c.confirmReads()
}

// replicateAll sends every member the entries it lacks, as far as flow control
// allows.
func (c *Core) replicateAll() {
	for _, m := range c.memberships.latest().members {
		if m.ID != c.id {
			c.replicateTo(m.ID, c.progress[m.ID])
		}
	}
}

// replicateTo sends entries, or a snapshot if the leader has dropped the
// entries that the member lacks.
func (c *Core) replicateTo(id uint64, p *progress) {
	for p.nextIndex <= c.log.lastIndex() && !p.probeSent && p.state != transferring && len(p.inflight) < c.cfg.MaxInflightAppends {
		if p.nextIndex <= c.log.baseIndex {
			c.sendSnapshot(id, p)
			return
		}
		entries := c.nextBatch(p.nextIndex)
		c.sendAppend(id, p, entries)
		if p.state == probing {
			p.probeSent = true
			return
		}
		p.nextIndex += uint64(len(entries))
		p.inflight = append(p.inflight, p.nextIndex-1)
	}
}

// nextBatch returns the entries from index next on that fit into one message.
// It always includes the first one.
func (c *Core) nextBatch(next uint64) []Entry {
	last := min(c.log.lastIndex(), next+uint64(c.cfg.MaxMessageEntries)-1)
	entries := c.log.slice(next, last)
	size := 0
	for i, e := range entries {
		size += e.size()
		if size > c.cfg.MaxMessageBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// sendAppend sends entries, which start at the member's next index. With no
// entries it only checks that the member holds everything before that index.
func (c *Core) sendAppend(id uint64, p *progress, entries []Entry) {
	term, _ := c.log.termAt(p.nextIndex - 1)
	c.enqueue(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   p.nextIndex - 1,
		LogTerm: term,
		Commit:  c.commitIndex,
		Entries: entries,
	})
}

// sendSnapshot sends the newest snapshot and pauses appends until the member
// has installed it.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	s := c.snapshot
	p.state = transferring
	p.nextIndex = s.Index + 1
	p.inflight = nil
	p.snapshotSentAt = c.now
	c.enqueue(Message{Kind: MessageSnapshot, To: id, Snapshot: &s})
}
