// Package repairer decides which change of the control membership comes next:
// it replaces hosts that lost their disks and grows the group to the
// configured hosts, one change at a time.
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
	defaultSilent = 3 * time.Second
	defaultRecent = 2 * time.Second
	defaultLive   = time.Second
)

// Limits holds the times on which decisions rest. Zero values take the
// defaults.
type Limits struct {
	// ReplaceAfter is how long a member has not answered before it may be removed.
	ReplaceAfter time.Duration
	// HelloMaxAge is how long a hello counts.
	HelloMaxAge time.Duration
	// LiveSilence is the longest silence of a member that counts as live.
	LiveSilence time.Duration
	// Voters is the number of voters to keep, further hosts being learners that
	// stand by; 0 makes every host a voter.
	Voters int
	// RemoveVoterAfter is the silence after which a voter is removed once there are more
	// than Voters; Forgotten that after which a learner is. 0 means never.
	RemoveVoterAfter   time.Duration
	RemoveLearnerAfter time.Duration
}

// Host is a configured control host.
type Host struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Hello is a sign of life from the data folder ID at the host Name.
type Hello struct {
	Name string
	ID   uint64
	// Age is how long ago the hello arrived.
	Age time.Duration
}

// Plan is the outcome of a decision.
type Plan struct {
	// Change is the next step, if one is possible now.
	Change container.Option[replicator.Change]
	// Reason says for operators why the step is taken or, without a step,
	// what a repair waits for. It is empty if nothing is to be done.
	Reason string
}

// NextChange returns the next step. Only a leader without a pending change gets one.
// A step never leaves fewer live voters than a quorum needs.
func NextChange(limits Limits, hosts []Host, status replicator.Status, hellos []Hello) Plan {
	if status.Role != replicator.RoleLeader {
		return Plan{}
	}
	if status.ChangePending {
		return Plan{Reason: "waiting for the last membership change to be committed"}
	}
	d := newDecision(limits, hosts, status, hellos)
	var waits []string
	for _, step := range []func() Plan{d.remove, d.removeLost, d.promote, d.add} {
		p := step()
		if _, ok := p.Change.Get(); ok {
			return p
		}
		if p.Reason != "" {
			waits = append(waits, p.Reason)
		}
	}
	if len(waits) == 0 {
		return Plan{}
	}
	return Plan{Reason: waits[0]}
}

// decision holds the inputs of one call of Next.
type decision struct {
	limits Limits
	hosts  []Host
	status replicator.Status
	// current is the newest unknown id heard from each configured host.
	current map[string]Hello
}

func newDecision(limits Limits, hosts []Host, status replicator.Status, hellos []Hello) decision {
	limits.ReplaceAfter = cmp.Or(limits.ReplaceAfter, defaultSilent)
	limits.HelloMaxAge = cmp.Or(limits.HelloMaxAge, defaultRecent)
	limits.LiveSilence = cmp.Or(limits.LiveSilence, defaultLive)
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	d := decision{limits: limits, hosts: hosts, status: status, current: map[string]Hello{}}
	for _, h := range hellos {
		if !d.counts(h) {
			continue
		}
		if old, ok := d.current[h.Name]; !ok || h.Age < old.Age {
			d.current[h.Name] = h
		}
	}
	return d
}

// counts reports whether h is a recent hello of a configured host under an id
// outside the membership.
func (d *decision) counts(h Hello) bool {
	known := slices.ContainsFunc(d.hosts, func(host Host) bool { return host.Name == h.Name })
	member := slices.ContainsFunc(d.status.Members, func(m replicator.MemberStatus) bool { return m.ID == h.ID })
	return known && !member && h.ID != 0 && h.Age <= d.limits.HelloMaxAge
}

// remove removes an id whose host runs under a new one. The silence guards
// against a hello from a second process that was given the name of a host that
// still runs.
func (d *decision) remove() Plan {
	wait := ""
	for _, m := range d.status.Members {
		h, replaced := d.current[m.Name]
		if !replaced || m.ID == d.status.ID {
			continue
		}
		if m.Silence < d.limits.ReplaceAfter {
			wait = fmt.Sprintf("host %s now runs under id %d, but its old id %d was silent for only %s of %s",
				m.Name, h.ID, m.ID, m.Silence, d.limits.ReplaceAfter)
			continue
		}
		if !d.keepsQuorum(m.ID, 0) {
			wait = fmt.Sprintf("removing the old id %d of host %s would leave too few live voters", m.ID, m.Name)
			continue
		}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.RemoveMember, Member: m.Member}),
			Reason: fmt.Sprintf("host %s now runs under id %d; its old id %d has been silent for %s and is removed",
				m.Name, h.ID, m.ID, m.Silence),
		}
	}
	return Plan{Reason: wait}
}

// removeLost removes a voter that was replaced by a learner, and a learner that
// went away, by their silence alone.
func (d *decision) removeLost() Plan {
	for _, m := range d.status.Members {
		if m.ID == d.status.ID {
			continue
		}
		lost := m.Voter && d.limits.RemoveVoterAfter > 0 && m.Silence >= d.limits.RemoveVoterAfter && d.voterCount() > d.limits.Voters && d.keepsQuorum(m.ID, 0)
		forgotten := !m.Voter && d.limits.RemoveLearnerAfter > 0 && m.Silence >= d.limits.RemoveLearnerAfter
		if !lost && !forgotten {
			continue
		}
		return Plan{
			Change: container.Some(replicator.Change{Kind: replicator.RemoveMember, Member: m.Member}),
			Reason: fmt.Sprintf("id %d of host %s has been silent for %s and is not needed", m.ID, m.Name, m.Silence),
		}
	}
	return Plan{}
}

// wanted reports whether another voter is needed: there are fewer than the
// number to keep, not counting those that are due for replacement.
func (d *decision) wanted() bool {
	if d.limits.Voters == 0 {
		return true
	}
	counted := 0
	for _, m := range d.status.Members {
		if m.Voter && (m.ID == d.status.ID || d.limits.RemoveVoterAfter == 0 || m.Silence < d.limits.RemoveVoterAfter) {
			counted++
		}
	}
	return counted < d.limits.Voters
}

func (d *decision) voterCount() int {
	n := 0
	for _, m := range d.status.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// promote makes a learner a voter that holds everything committed; of several,
// one in the zone with the fewest voters.
func (d *decision) promote() Plan {
	if !d.wanted() {
		return Plan{}
	}
	wait := ""
	var best container.Option[replicator.MemberStatus]
	for _, m := range d.status.Members {
		if m.Voter {
			continue
		}
		if w := d.unready(m); w != "" {
			wait = w
			continue
		}
		if b, ok := best.Get(); !ok || d.voters(m.Zone) < d.voters(b.Zone) {
			best = container.Some(m)
		}
	}
	m, ok := best.Get()
	if !ok {
		return Plan{Reason: wait}
	}
	return Plan{
		Change: container.Some(replicator.Change{Kind: replicator.MakeVoter, Member: m.Member}),
		Reason: fmt.Sprintf("learner %d of host %s holds everything committed and becomes a voter", m.ID, m.Name),
	}
}

// unready returns why a learner cannot become a voter, or "".
func (d *decision) unready(m replicator.MemberStatus) string {
	h, replaced := d.current[m.Name]
	switch {
	case replaced:
		return fmt.Sprintf("learner %d is outdated: host %s now runs under id %d", m.ID, m.Name, h.ID)
	case m.Silence > d.limits.LiveSilence:
		return fmt.Sprintf("learner %d of host %s has been silent for %s", m.ID, m.Name, m.Silence)
	case m.MatchIndex < d.status.CommitIndex:
		return fmt.Sprintf("learner %d of host %s holds %d of %d entries", m.ID, m.Name, m.MatchIndex, d.status.CommitIndex)
	case !d.keepsQuorum(0, m.ID):
		return fmt.Sprintf("making learner %d of host %s a voter would leave too few live voters", m.ID, m.Name)
	}
	return ""
}

// add makes the new id of a host a learner once no other id of the host is
// left.
func (d *decision) add() Plan {
	for _, host := range d.hosts {
		h, ok := d.current[host.Name]
		if !ok || d.present(host.Name) {
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

func (d *decision) present(name string) bool {
	return slices.ContainsFunc(d.status.Members, func(m replicator.MemberStatus) bool { return m.Name == name })
}

func (d *decision) voters(zone string) int {
	n := 0
	for _, m := range d.status.Members {
		if m.Voter && m.Zone == zone {
			n++
		}
	}
	return n
}

// keepsQuorum reports whether the live voters are a majority after removed has
// left the voters and added has become one; 0 stands for none.
func (d *decision) keepsQuorum(removed, added uint64) bool {
	voters, live := 0, 0
	for _, m := range d.status.Members {
		if m.ID == removed || !m.Voter && m.ID != added {
			continue
		}
		voters++
		if m.ID == d.status.ID || m.Silence <= d.limits.LiveSilence {
			live++
		}
	}
	return live > voters/2
}
