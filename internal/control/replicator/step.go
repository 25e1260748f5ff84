package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// Step handles one message. After ErrMalformed or ErrMisdirected the message
// was dropped; after ErrCorrupt the process must stop.
func (c *Core) Step(now time.Duration, m Message) error {
	c.advanceTime(now)
	if m.To != c.id || m.From == 0 || m.From == c.id {
		return errors.Wrapf(ErrMisdirected, "message from member %d to %d, received by %d", m.From, m.To, c.id)
	}
	if m.Kind < MessagePreVote || m.Kind > lastMessageKind {
		return errors.Wrapf(ErrMalformed, "message kind %d from member %d", m.Kind, m.From)
	}
	asksVote := m.Kind == MessagePreVote || m.Kind == MessageVote
	if asksVote && m.Term > c.term && c.hasLiveLeader() && !isTransferVote(m) {
		return nil
	}
	if m.Term < c.term {
		c.handleStaleTerm(m)
		return nil
	}
	if m.Term > c.term && raisesTerm(m) {
		c.becomeFollower(m.Term, 0)
	}
	return c.dispatch(m)
}

// raisesTerm reports whether a member may adopt the term of m. Pre-votes, and
// replies that grant them, name a term that no member has entered yet.
func raisesTerm(m Message) bool {
	return m.Kind != MessagePreVote && (m.Kind != MessagePreVoteReply || m.Reject)
}

// handleStaleTerm tells a sender in an earlier term about the current one, so
// that a former leader steps down and a pre-candidate that is behind catches
// up.
func (c *Core) handleStaleTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.enqueue(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	case MessagePreVote:
		c.enqueue(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// dispatch handles a message of the current term.
func (c *Core) dispatch(m Message) error {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVoteRequest(m)
	case MessagePreVoteReply:
		c.handlePreVoteReply(m)
	case MessageVote:
		c.handleVoteRequest(m)
	case MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return c.handleLeaderMessage(m)
	case MessageAppendReply, MessageHeartbeatReply:
		c.handleFollowerReply(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	}
	return nil
}

// handleLeaderMessage handles a message that only the leader of the current
// term sends.
func (c *Core) handleLeaderMessage(m Message) error {
	if c.role == RoleLeader {
		return errors.Wrapf(ErrCorrupt, "member %d also leads term %d", m.From, m.Term)
	}
	c.becomeFollower(m.Term, m.From)
	c.lastLeaderContact = c.now
	c.resetElectionDeadline()
	switch m.Kind {
	case MessageAppend:
		return c.handleAppend(m)
	case MessageSnapshot:
		return c.handleSnapshot(m)
	}
	return c.handleHeartbeat(m)
}

// handleAppend appends the entries if the log holds the entry before them, and
// acknowledges or rejects them.
func (c *Core) handleAppend(m Message) error {
	if err := checkContinuity(m.Entries, m.Index, m.LogTerm); err != nil {
		return errors.Wrapf(ErrMalformed, "append from member %d: %v", m.From, err)
	}
	if n := len(m.Entries); n > 0 && m.Entries[n-1].Term > m.Term {
		return errors.Wrapf(ErrMalformed, "append from member %d: entry of a later term", m.From)
	}
	if m.Index < c.commitIndex {
		c.enqueue(Message{Kind: MessageAppendReply, To: m.From, Index: c.commitIndex})
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return nil
	}
	if err := c.appendMissing(m.Entries); err != nil {
		return errors.Wrapf(err, "append from member %d", m.From)
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.Commit, last))
	c.enqueue(Message{Kind: MessageAppendReply, To: m.From, Index: last})
	return nil
}

// rejectAppend replies with the last entry that could match the leader's log,
// so that the leader skips a whole term at a time.
func (c *Core) rejectAppend(m Message) {
	hint, term := c.log.lastWithTermAtMost(min(m.Index, c.log.lastIndex()), m.LogTerm)
	c.enqueue(Message{
		Kind:    MessageAppendReply,
		To:      m.From,
		Reject:  true,
		Index:   m.Index,
		Hint:    hint,
		LogTerm: term,
	})
}

// appendMissing appends the entries that the log does not hold yet. It leaves
// the others alone, because a delayed message must not shorten the log.
func (c *Core) appendMissing(entries []Entry) error {
	for len(entries) > 0 && c.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index <= c.commitIndex {
		return errors.Wrapf(ErrCorrupt, "entry %d of term %d conflicts with a committed entry", entries[0].Index, entries[0].Term)
	}
	memberships, err := decodeMemberships(entries)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	c.appendEntries(entries, memberships)
	return nil
}

// handleHeartbeat adopts the commit index of the heartbeat. The leader limits
// it to entries that this member has acknowledged, so a shorter log has lost
// entries.
func (c *Core) handleHeartbeat(m Message) error {
	if m.Commit > c.log.lastIndex() {
		return errors.Wrapf(ErrCorrupt, "leader %d knows this member to hold entry %d, but the log ends at %d", m.From, m.Commit, c.log.lastIndex())
	}
	c.commitIndex = max(c.commitIndex, m.Commit)
	c.enqueue(Message{Kind: MessageHeartbeatReply, To: m.From, Context: m.Context})
	return nil
}

// handleSnapshot adopts a snapshot that is newer than the commit index, and
// acknowledges everything committed.
func (c *Core) handleSnapshot(m Message) error {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Term > m.Term {
		return errors.Wrapf(ErrMalformed, "snapshot from member %d", m.From)
	}
	if s.Index > c.commitIndex {
		c.adoptSnapshot(*s)
	}
	c.enqueue(Message{Kind: MessageAppendReply, To: m.From, Index: c.commitIndex})
	return nil
}

// adoptSnapshot adopts a newer snapshot from the leader. If the log holds the
// snapshot's last entry, the entries up to it are known to be committed and the
// log is kept. Otherwise the next Ready installs the snapshot.
func (c *Core) adoptSnapshot(s Snapshot) {
	c.commitIndex = s.Index
	if c.log.matches(s.Index, s.Term) {
		return
	}
	c.snapshot = s
	c.installingSnapshot = &s
	c.log.resetToSnapshot(s.Index, s.Term)
	c.memberships.reset(s.Index, s.Members)
	c.appliedIndex = s.Index
}
