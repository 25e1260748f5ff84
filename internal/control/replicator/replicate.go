package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// Proposal identifies a proposed entry. It is committed exactly if the entry
// that is committed at Index has this Term.
type Proposal struct {
	Index uint64
	Term  uint64
}

// Propose appends data to the leader's log. It returns ErrNotLeader, ErrBusy or
// ErrTooLarge, after which nothing was appended. data must not change later.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.setTime(now)
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > c.cfg.MaxMessageBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "%d bytes of at most %d", len(data), c.cfg.MaxMessageBytes)
	}
	if c.pending+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return c.appendOwn(EntryNormal, data), c.term, nil
}

// handleReply handles an acknowledgement from a member.
func (c *Core) handleReply(m Message) {
	p, ok := c.progress[m.From]
	if c.role != RoleLeader || !ok {
		return
	}
	p.heard = c.now
	switch {
	case m.Kind == MessageHeartbeatReply:
		c.handleHeartbeatReply(p, m)
	case m.Reject:
		c.handleReject(p, m)
	case m.Index <= c.log.last():
		p.acknowledge(m.Index)
		c.advanceCommit()
	}
}

// handleReject goes back to the last entry that could match. Late rejections
// are recognised and ignored.
func (c *Core) handleReject(p *progress, m Message) {
	if m.Index <= p.match || p.state == probing && m.Index+1 != p.next || p.state == transferring {
		return
	}
	hint, _ := c.log.floor(min(m.Hint, m.Index-1), m.LogTerm)
	p.probe()
	p.next = max(p.next, hint+1)
}

// handleHeartbeatReply also repairs lost messages: the member is alive, so
// what it has not acknowledged is sent or checked again.
func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	if m.Context <= c.round {
		p.round = max(p.round, m.Context)
	}
	c.confirmReads()
	switch p.state {
	case probing:
		p.paused = false
	case streaming:
		if len(p.inflight) > 0 {
			c.sendAppend(m.From, p, nil)
		}
	case transferring:
		if c.now-p.sent >= c.cfg.ElectionTimeout {
			p.probe()
		}
	}
}

// advanceCommit commits what a majority holds. Only entries of the own term
// are counted; those before them are committed with them.
func (c *Core) advanceCommit() {
	index := quorumOf(c, func(p *progress) uint64 { return p.match })
	if index <= c.commit || index < c.start {
		return
	}
	for _, e := range c.log.slice(c.commit+1, index) {
		if e.Term == c.term {
			c.pending -= e.size()
		}
	}
	c.commit = index
	c.confirmReads()
}

// flush sends every member what it lacks, as far as flow control allows.
func (c *Core) flush() {
	for _, m := range c.members.latest().members {
		if m.ID != c.id {
			c.replicate(m.ID, c.progress[m.ID])
		}
	}
}

func (c *Core) replicate(id uint64, p *progress) {
	for p.next <= c.log.last() && !p.paused && p.state != transferring && len(p.inflight) < c.cfg.MaxInflightAppends {
		if p.next <= c.log.base {
			c.sendSnapshot(id, p)
			return
		}
		entries := c.batch(p.next)
		c.sendAppend(id, p, entries)
		if p.state == probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// batch returns the entries from next on that fit into one message.
func (c *Core) batch(next uint64) []Entry {
	last := min(c.log.last(), next+uint64(c.cfg.MaxMessageEntries)-1)
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

// sendAppend sends entries, which follow the member's next index. Without
// entries it only checks that the member holds everything before that.
func (c *Core) sendAppend(id uint64, p *progress, entries []Entry) {
	term, _ := c.log.term(p.next - 1)
	c.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   p.next - 1,
		LogTerm: term,
		Commit:  c.commit,
		Entries: entries,
	})
}

func (c *Core) sendSnapshot(id uint64, p *progress) {
	s := c.snapshot
	p.state = transferring
	p.next = s.Index + 1
	p.inflight = nil
	p.sent = c.now
	c.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s})
}
