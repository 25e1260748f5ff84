// Package repairer decides on the next membership change of the control group.
// It replaces hosts that lost their disks and grows the group to the control
// hosts that are known, one change at a time.
//
// A member is a data folder with its id: a host that lost its disk returns under
// a new id, which it announces by hellos. A new member is a learner, which has
// no vote; it can become a voter once it holds all committed entries. The
// silence of a member is the time since its last reply to the leader.
package repairer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"gentianpond/internal/control/replicator"
	"gentianpond/internal/value/container"
)

// Defaults of Limits.
const (
	defaultReplaceAfter   = 3 * time.Second
	defaultHelloMaxAge    = 2 * time.Second
	defaultMaxLiveSilence = time.Second
)

// Limits holds the number of voters and the times on which decisions depend.
// Zero values of ReplaceAfter, HelloMaxAge and MaxLiveSilence take their
// defaults.
type Limits struct {
	// ReplaceAfter is how long the old id of a host must be silent before it
	// may be removed, once the host runs under a new id.
	ReplaceAfter time.Duration
	// HelloMaxAge is how long a hello is taken into account.
	HelloMaxAge time.Duration
	// MaxLiveSilence is the longest silence of a member that counts as live.
	MaxLiveSilence time.Duration
	// Voters is the number of voters to keep; further hosts stay learners in
	// reserve. 0 makes every host a voter.
	Voters int
	// RemoveVoterAfter is the silence after which a voter is removed while
	// there are more than Voters, RemoveLearnerAfter the silence after which a
	// learner is removed. 0 means never.
	RemoveVoterAfter   time.Duration
	RemoveLearnerAfter time.Duration
}

// Host is a control host that may join the group.
type Host struct {
	Name string
	Zone string
	// Address is where the host serves the other control hosts.
	Address netip.AddrPort
}

// Hello tells that the host Name runs on the data folder with the identity ID.
type Hello struct {
	Name string
	// ID identifies the data folder. The host joins the group under this id.
	ID uint64
	// Age is how long ago the hello arrived.
	Age time.Duration
}

// Plan is the result of NextChange.
type Plan struct {
	// Change is the next membership change, if one is possible now.
	Change container.Option[replicator.Change]
	// Reason tells operators why the change is made or, without a change, what
	// the repair waits for. It is empty if there is nothing to do.
	Reason string
}

// NextChange returns the next membership change. Only a leader without a
// pending change gets one. No change leaves fewer live voters than a quorum
// needs.
func NextChange(limits Limits, hosts []Host, status replicator.Status, hellos []Hello) Plan {
	if status.Role != replicator.RoleLeader {
		return Plan{}
	}
	if status.ChangePending {
		return Plan{Reason: "waiting for the last membership change to be committed"}
	}
	p := newPlanner(limits, hosts, status, hellos)
	var waitReasons []string
	for _, step := range []func() Plan{p.removeReplaced, p.removeSilent, p.promoteLearner, p.addLearner} {
		plan := step()
		if _, ok := plan.Change.Get(); ok {
			return plan
		}
		if plan.Reason != "" {
			waitReasons = append(waitReasons, plan.Reason)
		}
	}
	if len(waitReasons) == 0 {
		return Plan{}
	}
	return Plan{Reason: waitReasons[0]}
}

// planner holds the inputs of one call of NextChange.
type planner struct {
	limits Limits
	// hosts is sorted by name.
	hosts []Host
	// status is that of the leader, which runs the repairer.
	status replicator.Status
	// nonMemberHellos holds, by host name, the latest recent hello under an id
	// that is no member.
	nonMemberHellos map[string]Hello
}

// newPlanner sets the defaults of limits and sorts the hosts, so that the
// result does not depend on their order.
func newPlanner(limits Limits, hosts []Host, status replicator.Status, hellos []Hello) planner {
	limits.ReplaceAfter = cmp.Or(limits.ReplaceAfter, defaultReplaceAfter)
	limits.HelloMaxAge = cmp.Or(limits.HelloMaxAge, defaultHelloMaxAge)
	limits.MaxLiveSilence = cmp.Or(limits.MaxLiveSilence, defaultMaxLiveSilence)
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	p := planner{limits: limits, hosts: hosts, status: status, nonMemberHellos: map[string]Hello{}}
	for _, h := range hellos {
		if !p.isNonMemberHello(h) {
			continue
		}
		if old, ok := p.nonMemberHellos[h.Name]; !ok || h.Age < old.Age {
			p.nonMemberHellos[h.Name] = h
		}
	}
	return p
}

// isNonMemberHello reports whether h is a recent hello of a known host under an
// id outside the membership.
func (p *planner) isNonMemberHello(h Hello) bool {
	known := slices.ContainsFunc(p.hosts, func(host Host) bool { return host.Name == h.Name })
	member := slices.ContainsFunc(p.status.Members, func(m replicator.MemberStatus) bool { return m.ID == h.ID })
	return known && !member && h.ID != 0 && h.Age <= p.limits.HelloMaxAge
}

// removeReplaced removes an id whose host runs under a new one. The required
// silence guards against the hello of a second process that was given the name
// of a host that still runs.
func (p *planner) removeReplaced() Plan {
	waitReason := ""
	for _, m := range p.status.Members {
		h, replaced := p.nonMemberHellos[m.Name]
		if !replaced || m.ID == p.status.ID {
			continue
		}
		if m.Silence < p.limits.ReplaceAfter {
			waitReason = fmt.Sprintf("host %s now runs under id %d, but its old id %d was silent for only %s of %s",
				m.Name, h.ID, m.ID, m.Silence, p.limits.ReplaceAfter)
			continue
		}
		if !p.keepsQuorum(m.ID, 0) {
			waitReason = fmt.Sprintf("removing the old id %d of host %s would leave too few live voters", m.ID, m.Name)
			continue
		}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.RemoveMember, Member: m.Member}),
			Reason: fmt.Sprintf("host %s now runs under id %d; its old id %d has been silent for %s and is removed",
				m.Name, h.ID, m.ID, m.Silence),
		}
	}
	return Plan{Reason: waitReason}
}

// removeSilent removes, for its silence alone, a voter that a promoted learner
// has replaced, or a learner.
func (p *planner) removeSilent() Plan {
	for _, m := range p.status.Members {
		if m.ID == p.status.ID {
			continue
		}
		surplusVoter := m.Voter && p.limits.RemoveVoterAfter > 0 && m.Silence >= p.limits.RemoveVoterAfter && p.voterCount() > p.limits.Voters && p.keepsQuorum(m.ID, 0)
		silentLearner := !m.Voter && p.limits.RemoveLearnerAfter > 0 && m.Silence >= p.limits.RemoveLearnerAfter
		if !surplusVoter && !silentLearner {
			continue
		}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.RemoveMember, Member: m.Member}),
			Reason: fmt.Sprintf("id %d of host %s has been silent for %s and is not needed", m.ID, m.Name, m.Silence),
		}
	}
	return Plan{}
}

// needsVoter reports whether there are fewer voters than the number to keep,
// not counting those that have been silent for RemoveVoterAfter.
func (p *planner) needsVoter() bool {
	if p.limits.Voters == 0 {
		return true
	}
	counted := 0
	for _, m := range p.status.Members {
		if m.Voter && (m.ID == p.status.ID || p.limits.RemoveVoterAfter == 0 || m.Silence < p.limits.RemoveVoterAfter) {
			counted++
		}
	}
	return counted < p.limits.Voters
}

// voterCount returns the number of members that are not learners.
func (p *planner) voterCount() int {
	n := 0
	for _, m := range p.status.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// promoteLearner makes a learner a voter that holds every committed entry. Of
// several it chooses one in the zone with the fewest voters.
func (p *planner) promoteLearner() Plan {
	if !p.needsVoter() {
		return Plan{}
	}
	waitReason := ""
	var best container.Option[replicator.MemberStatus]
	for _, m := range p.status.Members {
		if m.Voter {
			continue
		}
		if w := p.promotionObstacle(m); w != "" {
			waitReason = w
			continue
		}
		if b, ok := best.Get(); !ok || p.votersInZone(m.Zone) < p.votersInZone(b.Zone) {
			best = container.Some(m)
		}
	}
	m, ok := best.Get()
	if !ok {
		return Plan{Reason: waitReason}
	}
	return Plan{
		Change: container.Some(replicator.Change{Kind: replicator.MakeVoter, Member: m.Member}),
		Reason: fmt.Sprintf("learner %d of host %s holds everything committed and becomes a voter", m.ID, m.Name),
	}
}

// promotionObstacle returns why a learner cannot become a voter, or "".
func (p *planner) promotionObstacle(m replicator.MemberStatus) string {
	h, replaced := p.nonMemberHellos[m.Name]
	switch {
	case replaced:
		return fmt.Sprintf("learner %d is outdated: host %s now runs under id %d", m.ID, m.Name, h.ID)
	case m.Silence > p.limits.MaxLiveSilence:
		return fmt.Sprintf("learner %d of host %s has been silent for %s", m.ID, m.Name, m.Silence)
	case m.MatchIndex < p.status.CommitIndex:
		return fmt.Sprintf("learner %d of host %s holds %d of %d entries", m.ID, m.Name, m.MatchIndex, p.status.CommitIndex)
	case !p.keepsQuorum(0, m.ID):
		return fmt.Sprintf("making learner %d of host %s a voter would leave too few live voters", m.ID, m.Name)
	}
	return ""
}

// addLearner adds the new id of a host as a learner, once the membership holds
// no other id of that host.
func (p *planner) addLearner() Plan {
	for _, host := range p.hosts {
		h, ok := p.nonMemberHellos[host.Name]
		if !ok || p.hasMember(host.Name) {
			continue
		}
		m := replicator.Member{ID: h.ID, Name: host.Name, Zone: host.Zone, Address: host.Address}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.AddLearner, Member: m}),
			Reason: fmt.Sprintf("host %s runs under id %d, which is no member yet, and joins as a learner", host.Name, h.ID),
		}
	}
	return Plan{}
}

// hasMember reports whether the membership holds an id of the named host.
func (p *planner) hasMember(name string) bool {
	return slices.ContainsFunc(p.status.Members, func(m replicator.MemberStatus) bool { return m.Name == name })
}

// votersInZone returns the number of voters in an availability zone.
func (p *planner) votersInZone(zone string) int {
	n := 0
	for _, m := range p.status.Members {
		if m.Voter && m.Zone == zone {
			n++
		}
	}
	return n
}

// keepsQuorum reports whether the live voters are still a majority after the
// voter removed has left and the learner added has become a voter. 0 stands for
// none.
func (p *planner) keepsQuorum(removed, added uint64) bool {
	voters, live := 0, 0
	for _, m := range p.status.Members {
		if m.ID == removed || !m.Voter && m.ID != added {
			continue
		}
		voters++
		if m.ID == p.status.ID || m.Silence <= p.limits.MaxLiveSilence {
			live++
		}
	}
	return live > voters/2
}
