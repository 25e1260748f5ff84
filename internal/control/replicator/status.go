package replicator

import "time"

// MemberStatus describes one member. Match and Silence are known to the leader
// only.
type MemberStatus struct {
	Member
	// MatchIndex is the last index known to be durable at the member.
	MatchIndex uint64
	// Silence is how long the member has not answered; it starts anew with
	// each leader.
	Silence time.Duration
}

// State describes a core without its members.
type State struct {
	ID     uint64
	Role   Role
	Term   uint64
	Leader uint64
	// CommitIndex is the last committed index, Applied the last one applied,
	// Snapshot that of the newest snapshot and Last that of the newest entry.
	CommitIndex   uint64
	AppliedIndex  uint64
	SnapshotIndex uint64
	LastIndex     uint64
	// ChangePending is set while a membership change is not committed.
	ChangePending bool
}

// Status is a State with the membership in force, ordered by id.
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
		Leader:        c.leader,
		CommitIndex:   c.commit,
		AppliedIndex:  c.applied,
		SnapshotIndex: c.snapshot.Index,
		LastIndex:     c.log.last(),
		ChangePending: c.members.latest().index > c.commit,
	}
}

// Status returns the current status.
func (c *Core) Status() Status {
	set := c.members.latest()
	s := Status{State: c.State(), Members: make([]MemberStatus, 0, len(set.members))}
	for _, m := range set.members {
		ms := MemberStatus{Member: m}
		if p, ok := c.progress[m.ID]; ok {
			ms.MatchIndex = p.match
			ms.Silence = c.now - p.heard
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
