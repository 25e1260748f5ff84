// Package repairer decides on the next membership change of the control group.
// It replaces hosts that lost their disks and grows the group to the control
// hosts that are known, one change at a time.
//
// A member is a data folder with its id: a host that lost its disk returns under
// a new id, which it announces by hellos. A new member is a learner, which has
// no vote; it can become a voter once it holds all committed entries. The
// silence of a member is the time since its last reply to the leader. A host that is
// about to stop says so in its hellos.
//
// A voter that is about to stop, or that has been silent for long, is replaced by a
// learner in one step of joint consensus. While that step is not complete, the group
// survives whatever it survived before: promoting first would let the loss of the new
// voter stop a group that still has the votes of the others, and removing first would
// leave a silent voter without the vote with which it may return.
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
	// RemoveVoterAfter is the silence after which a voter is replaced by a
	// learner, or removed while there are more than Voters. RemoveLearnerAfter is
	// the silence after which a learner is removed. 0 means never.
	RemoveVoterAfter   time.Duration
	RemoveLearnerAfter time.Duration
}

// Limits of groups whose hosts are not listed in the settings.
const (
	// replaceIdentityAfter is how long the old id of a host has to be silent, once a
	// hello arrived from the host under a new one. An address belongs to one host, so
	// the old process has ended.
	replaceIdentityAfter = time.Second
	// removeVoterAfter is the silence after which a voter is replaced by a learner.
	// With an election before it, it ends within the 4 s for which a new host
	// counts as lost.
	removeVoterAfter = 2 * time.Second
	// removeLearnerAfter is the silence after which a learner is removed.
	removeLearnerAfter = 20 * time.Second
)

// OpenGroupLimits returns the limits of a group that keeps the given number of voters and
// whose hosts are not listed in the settings.
func OpenGroupLimits(voters int) Limits {
	return Limits{ReplaceAfter: replaceIdentityAfter, Voters: voters, RemoveVoterAfter: removeVoterAfter, RemoveLearnerAfter: removeLearnerAfter}
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
	// Leaving is true if the host is about to stop.
	Leaving bool
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
	for _, step := range []func() Plan{p.endReplacement, p.removeReplaced, p.removeSurplus, p.promoteLearner, p.replaceVoter, p.addLearner} {
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
	// leaving holds the ids whose hosts are about to stop.
	leaving map[uint64]bool
}

// newPlanner sets the defaults of limits and sorts the hosts, so that the
// result does not depend on their order.
func newPlanner(limits Limits, hosts []Host, status replicator.Status, hellos []Hello) planner {
	limits.ReplaceAfter = cmp.Or(limits.ReplaceAfter, defaultReplaceAfter)
	limits.HelloMaxAge = cmp.Or(limits.HelloMaxAge, defaultHelloMaxAge)
	limits.MaxLiveSilence = cmp.Or(limits.MaxLiveSilence, defaultMaxLiveSilence)
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	p := planner{limits: limits, hosts: hosts, status: status, nonMemberHellos: map[string]Hello{}, leaving: map[uint64]bool{}}
	for _, h := range hellos {
		if h.Leaving {
			p.leaving[h.ID] = true
		}
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

// endReplacement ends the replacement of a voter that was committed. It is undone if
// the leader is the voter that would be removed, or if the new voter was lost and the
// old one is there again.
func (p *planner) endReplacement() Plan {
	var incoming, outgoing container.Option[replicator.MemberStatus]
	for _, m := range p.status.Members {
		switch {
		case m.Incoming:
			incoming = container.Some(m)
		case m.Outgoing:
			outgoing = container.Some(m)
		}
	}
	old, ok := outgoing.Get()
	if !ok {
		return Plan{}
	}
	successor, _ := incoming.Get()
	if old.ID == p.status.ID || !p.isLive(successor) && p.isLive(old) && !p.leaving[old.ID] {
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.UndoReplacement}),
			Reason: fmt.Sprintf("voter %d of host %s is there and stays; id %d becomes a learner again", old.ID, old.Name, successor.ID),
		}
	}
	return Plan{
		Change: container.Some(replicator.Change{Kind: replicator.CompleteReplacement}),
		Reason: fmt.Sprintf("id %d of host %s has replaced voter %d of host %s", successor.ID, successor.Name, old.ID, old.Name),
	}
}

// isLive reports whether a member is the leader or has replied lately.
func (p *planner) isLive(m replicator.MemberStatus) bool {
	return m.ID == p.status.ID || m.Silence <= p.limits.MaxLiveSilence
}

// removeSurplus removes a voter that is not needed because there are more than Voters
// and that is silent or about to stop, or a learner that is silent.
func (p *planner) removeSurplus() Plan {
	for _, m := range p.status.Members {
		if m.ID == p.status.ID {
			continue
		}
		surplusVoter := m.Voter && p.isDeparting(m) && p.voterCount() > p.limits.Voters && p.keepsQuorum(m.ID, 0)
		silentLearner := !m.Voter && p.limits.RemoveLearnerAfter > 0 && m.Silence >= p.limits.RemoveLearnerAfter
		if !surplusVoter && !silentLearner {
			continue
		}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.RemoveMember, Member: m.Member}),
			Reason: fmt.Sprintf("%s and is not needed", p.departureReason(m)),
		}
	}
	return Plan{}
}

// isDeparting reports whether a voter is about to stop or has been silent for long.
func (p *planner) isDeparting(m replicator.MemberStatus) bool {
	if p.limits.RemoveVoterAfter <= 0 || m.ID == p.status.ID {
		return false
	}
	return p.leaving[m.ID] || m.Silence >= p.limits.RemoveVoterAfter
}

// departureReason says why a member is removed or replaced.
func (p *planner) departureReason(m replicator.MemberStatus) string {
	if p.leaving[m.ID] {
		return fmt.Sprintf("id %d of host %s is about to stop", m.ID, m.Name)
	}
	return fmt.Sprintf("id %d of host %s has been silent for %s", m.ID, m.Name, m.Silence)
}

// needsVoter reports whether there are fewer voters than the number to keep. A leader
// that is the only voter needs another one to stop.
func (p *planner) needsVoter() bool {
	voters := p.voterCount()
	return p.limits.Voters == 0 || voters < p.limits.Voters || voters == 1 && p.leaving[p.status.ID]
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

// promoteLearner makes a learner a voter that holds every committed entry.
func (p *planner) promoteLearner() Plan {
	if !p.needsVoter() {
		return Plan{}
	}
	best, waitReason := p.bestLearner(0)
	m, ok := best.Get()
	if !ok {
		return Plan{Reason: waitReason}
	}
	return Plan{
		Change: container.Some(replicator.Change{Kind: replicator.MakeVoter, Member: m.Member}),
		Reason: fmt.Sprintf("learner %d of host %s holds everything committed and becomes a voter", m.ID, m.Name),
	}
}

// replaceVoter begins the replacement of a voter that is about to stop, or that has been
// silent for long, by a learner that holds every committed entry. A silent one goes
// first, because the group is without its vote already.
func (p *planner) replaceVoter() Plan {
	var departing container.Option[replicator.MemberStatus]
	for _, m := range p.status.Members {
		if !m.Voter || !p.isDeparting(m) {
			continue
		}
		if d, ok := departing.Get(); !ok || m.Silence > d.Silence {
			departing = container.Some(m)
		}
	}
	old, ok := departing.Get()
	if !ok {
		return Plan{}
	}
	best, waitReason := p.bestLearner(old.ID)
	m, ok := best.Get()
	if !ok {
		return Plan{Reason: waitReason}
	}
	return Plan{
		Change: container.Some(replicator.Change{Kind: replicator.ReplaceVoter, Member: m.Member, Replaced: old.ID}),
		Reason: fmt.Sprintf("%s; learner %d of host %s holds everything committed and replaces it", p.departureReason(old), m.ID, m.Name),
	}
}

// bestLearner returns the learner to become a voter, in place of the voter with the id
// replaced unless that is 0, or why there is none. Of several it chooses one in the zone
// with the fewest voters.
func (p *planner) bestLearner(replaced uint64) (best container.Option[replicator.MemberStatus], waitReason string) {
	for _, m := range p.status.Members {
		if m.Voter {
			continue
		}
		if w := p.promotionObstacle(m, replaced); w != "" {
			waitReason = w
			continue
		}
		if b, ok := best.Get(); !ok || p.votersInZone(m.Zone, replaced) < p.votersInZone(b.Zone, replaced) {
			best = container.Some(m)
		}
	}
	return best, waitReason
}

// promotionObstacle returns why a learner cannot become a voter, in place of the voter
// with the id replaced unless that is 0, or "".
func (p *planner) promotionObstacle(m replicator.MemberStatus, replaced uint64) string {
	h, outdated := p.nonMemberHellos[m.Name]
	switch {
	case outdated:
		return fmt.Sprintf("learner %d is outdated: host %s now runs under id %d", m.ID, m.Name, h.ID)
	case p.leaving[m.ID]:
		return fmt.Sprintf("learner %d of host %s is about to stop", m.ID, m.Name)
	case m.Silence > p.limits.MaxLiveSilence:
		return fmt.Sprintf("learner %d of host %s has been silent for %s", m.ID, m.Name, m.Silence)
	case m.MatchIndex < p.status.CommitIndex:
		return fmt.Sprintf("learner %d of host %s holds %d of %d entries", m.ID, m.Name, m.MatchIndex, p.status.CommitIndex)
	case !p.keepsQuorum(replaced, m.ID):
		return fmt.Sprintf("making learner %d of host %s a voter would leave too few live voters", m.ID, m.Name)
	}
	return ""
}

// addLearner adds the new id of a host as a learner, once the membership holds
// no other id of that host.
func (p *planner) addLearner() Plan {
	for _, host := range p.hosts {
		h, ok := p.nonMemberHellos[host.Name]
		if !ok || h.Leaving || p.hasMember(host.Name) {
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

// votersInZone returns the number of voters in an availability zone, without the one
// with the id excluded.
func (p *planner) votersInZone(zone string, excluded uint64) int {
	n := 0
	for _, m := range p.status.Members {
		if m.Voter && m.Zone == zone && m.ID != excluded {
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
		if p.isLive(m) {
			live++
		}
	}
	return live > voters/2
}
