package replicator

import "time"

// MemberStatus describes one member. Match and Silence are known to the leader
// only.
type MemberStatus struct {
	Member
	// Match is the last index known to be durable at the member.
	Match uint64
	// Silence is how long the member has not answered; it starts anew with
	// each leader.
	Silence time.Duration
}

// Status describes a core.
type Status struct {
	ID       uint64
	Role     Role
	Term     uint64
	Leader   uint64
	Commit   uint64
	Applied  uint64
	Snapshot uint64
	Last     uint64
	// Pending is set while a membership change is not committed.
	Pending bool
	// Members is the membership in force, ordered by id.
	Members []MemberStatus
}

// Status returns the current status.
func (c *Core) Status() Status {
	set := c.members.latest()
	s := Status{
		ID:       c.id,
		Role:     c.role,
		Term:     c.term,
		Leader:   c.leader,
		Commit:   c.commit,
		Applied:  c.applied,
		Snapshot: c.snapshot.Index,
		Last:     c.log.last(),
		Pending:  set.index > c.commit,
	}
	for _, m := range set.members {
		ms := MemberStatus{Member: m}
		if p, ok := c.progress[m.ID]; ok {
			ms.Match = p.match
			ms.Silence = c.now - p.heard
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
