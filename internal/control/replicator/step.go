package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// Step handles one message. ErrMalformed and ErrMisdirected mean that the
// message was dropped; ErrCorrupt means that the process must stop.
func (c *Core) Step(now time.Duration, m Message) error {
	c.setTime(now)
	if m.To != c.id || m.From == 0 || m.From == c.id {
		return errors.Wrapf(ErrMisdirected, "from %d to %d at %d", m.From, m.To, c.id)
	}
	if m.Kind < MessagePreVote || m.Kind > lastKind {
		return errors.Wrapf(ErrMalformed, "kind %d from %d", m.Kind, m.From)
	}
	asksVote := m.Kind == MessagePreVote || m.Kind == MessageVote
	if asksVote && m.Term > c.term && c.sticky() && !forHandover(m) {
		return nil
	}
	if m.Term < c.term {
		c.handleStale(m)
		return nil
	}
	if m.Term > c.term && raisesTerm(m) {
		c.becomeFollower(m.Term, 0)
	}
	return c.handle(m)
}

// raisesTerm reports whether a newer term in m is in use. Pre-votes name a
// term that nobody has entered yet.
func raisesTerm(m Message) bool {
	return m.Kind != MessagePreVote && (m.Kind != MessagePreVoteReply || m.Reject)
}

// handleStale tells the sender of an older term about the current one: an old
// leader steps down, and a pre-candidate that lags behind catches up.
func (c *Core) handleStale(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) handle(m Message) error {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessagePreVoteReply:
		c.handlePreVoteReply(m)
	case MessageVote:
		c.handleVote(m)
	case MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return c.handleLeader(m)
	case MessageAppendReply, MessageHeartbeatReply:
		c.handleReply(m)
	case MessageHandover:
		c.handleHandover(m)
	}
	return nil
}

// handleLeader handles a message that only the leader of the current term
// sends.
func (c *Core) handleLeader(m Message) error {
	if c.role == RoleLeader {
		return errors.Wrapf(ErrCorrupt, "member %d also leads term %d", m.From, m.Term)
	}
	c.becomeFollower(m.Term, m.From)
	c.contact = c.now
	c.resetDeadline()
	switch m.Kind {
	case MessageAppend:
		return c.handleAppend(m)
	case MessageSnapshot:
		return c.handleSnapshot(m)
	}
	return c.handleHeartbeat(m)
}

func (c *Core) handleAppend(m Message) error {
	if err := checkEntries(m.Entries, m.Index, m.LogTerm); err != nil {
		return errors.Wrapf(ErrMalformed, "append from %d: %v", m.From, err)
	}
	if n := len(m.Entries); n > 0 && m.Entries[n-1].Term > m.Term {
		return errors.Wrapf(ErrMalformed, "append from %d: entry of a later term", m.From)
	}
	if m.Index < c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit})
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return nil
	}
	if err := c.appendNew(m.Entries); err != nil {
		return errors.Wrapf(err, "append from %d", m.From)
	}
	last := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: last})
	return nil
}

// rejectAppend names the last entry that could match the leader's log, so that
// the leader skips whole terms at once.
func (c *Core) rejectAppend(m Message) {
	hint, term := c.log.floor(min(m.Index, c.log.last()), m.LogTerm)
	c.send(Message{
		Kind:    MessageAppendReply,
		To:      m.From,
		Reject:  true,
		Index:   m.Index,
		Hint:    hint,
		LogTerm: term,
	})
}

// appendNew appends the entries that the log does not hold yet. Entries that
// it does hold are left alone: a late message must not shorten the log.
func (c *Core) appendNew(entries []Entry) error {
	for len(entries) > 0 && c.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index <= c.commit {
		return errors.Wrapf(ErrCorrupt, "entry %d of term %d contradicts a committed one", entries[0].Index, entries[0].Term)
	}
	sets, err := memberEntries(entries)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	c.append(entries, sets)
	return nil
}

func (c *Core) handleHeartbeat(m Message) error {
	if m.Commit > c.log.last() {
		return errors.Wrapf(ErrCorrupt, "leader %d knows of entry %d, but the log ends at %d", m.From, m.Commit, c.log.last())
	}
	c.commit = max(c.commit, m.Commit)
	c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Context: m.Context})
	return nil
}

func (c *Core) handleSnapshot(m Message) error {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Term > m.Term {
		return errors.Wrapf(ErrMalformed, "snapshot from %d", m.From)
	}
	if s.Index > c.commit {
		c.restore(*s)
	}
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit})
	return nil
}

// restore adopts a snapshot. If the log holds its last entry, everything up to
// there is known to be committed and the log is kept.
func (c *Core) restore(s Snapshot) {
	c.commit = s.Index
	if c.log.matches(s.Index, s.Term) {
		return
	}
	c.snapshot = s
	c.installing = &s
	c.log.reset(s.Index, s.Term)
	c.members.reset(s.Index, s.Members)
	c.applied = s.Index
}
