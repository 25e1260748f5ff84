package repairer

import (
	"slices"

	"gentianpond/internal/control/replicator"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Departure -linecomment -output=departure_string.go

// Departure tells a control host that is about to stop whether it may end.
type Departure uint8

// Departures.
const (
	// DepartureUnknown is the answer of a host that does not lead.
	DepartureUnknown Departure = iota // unknown
	// DeparturePending means that another host can still take over the vote of the
	// host. If it ended now, the group would count on a vote that may never come.
	DeparturePending // pending
	// DepartureAllowed means that the host has no vote any more, or that no host is
	// there to take it over. A host that only restarts keeps its vote then.
	DepartureAllowed // allowed
)

// CheckDeparture tells whether the host with the given id may end. It answers planned
// stops in series, each of which may be the first half of a replacement. The arguments
// are those of NextChange.
func CheckDeparture(limits Limits, hosts []Host, status replicator.Status, hellos []Hello, id uint64) Departure {
	if status.Role != replicator.RoleLeader {
		return DepartureUnknown
	}
	p := newPlanner(limits, hosts, status, hellos)
	at := slices.IndexFunc(status.Members, func(m replicator.MemberStatus) bool { return m.ID == id })
	switch {
	case p.limits.RemoveVoterAfter <= 0:
		return DepartureAllowed
	case status.ChangePending:
		return DeparturePending
	case at < 0 || !status.Members[at].Voter:
		return DepartureAllowed
	case status.Members[at].Incoming || status.Members[at].Outgoing, p.hasSuccessor(), p.voterCount() > p.limits.Voters && p.keepsQuorum(id, 0):
		return DeparturePending
	}
	return DepartureAllowed
}

// hasSuccessor reports whether a host without a vote is there that can become a voter
// now or soon.
func (p *planner) hasSuccessor() bool {
	for _, m := range p.status.Members {
		if !m.Voter && !p.leaving[m.ID] && p.isLive(m) {
			return true
		}
	}
	for _, h := range p.nonMemberHellos {
		if !h.Leaving {
			return true
		}
	}
	return false
}
