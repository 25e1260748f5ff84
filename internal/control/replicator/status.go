package replicator

import "time"

// MemberStatus describes one member. Only the leader knows MatchIndex and
// Silence; elsewhere they are zero.
type MemberStatus struct {
	Member
	// MatchIndex is the last index known to be durable at the member.
	MatchIndex uint64
	// Silence is the time since the member's last reply to this leader, or
	// since this leader began to track it.
	Silence time.Duration
}

// State describes a core without its members.
type State struct {
	// ID is the id of this member.
	ID uint64
	// Role is the part that this member has in Term.
	Role Role
	// Term is the newest term that this member has entered.
	Term uint64
	// Leader is the id of the leader of Term, or 0 if it is unknown.
	Leader uint64
	// CommitIndex and AppliedIndex are the last indexes committed and applied,
	// SnapshotIndex is that of the newest snapshot and LastIndex that of the
	// last entry.
	CommitIndex   uint64
	AppliedIndex  uint64
	SnapshotIndex uint64
	LastIndex     uint64
	// ChangePending is set while a membership change is not committed.
	ChangePending bool
}

// Status is a State with the members of the membership in force, ordered by id.
type Status struct {
	State
	Members []MemberStatus
}

// State returns the current state. Unlike Status it allocates nothing.
func (c *Core) State() State {
	return State{
		ID:            c.id,
		Role:          c.role,
		Term:          c.term,
		Leader:        c.leaderID,
		CommitIndex:   c.commitIndex,
		AppliedIndex:  c.appliedIndex,
		SnapshotIndex: c.snapshot.Index,
		LastIndex:     c.log.lastIndex(),
		ChangePending: c.memberships.latest().index > c.commitIndex,
	}
}

// Status returns the current state with the progress of the members.
func (c *Core) Status() Status {
	set := c.memberships.latest()
	s := Status{State: c.State(), Members: make([]MemberStatus, 0, len(set.members))}
	for _, m := range set.members {
		ms := MemberStatus{Member: m}
		if p, ok := c.progress[m.ID]; ok {
			ms.MatchIndex = p.matchIndex
			ms.Silence = c.now - p.lastReplyAt
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
