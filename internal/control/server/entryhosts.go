package server

import (
	"slices"
	"strings"
	"time"

	"gentianpond/internal/protocol/messenger"
)

const (
	// leaseDuration is how long an entry host may work after it sent a sync request.
	leaseDuration = 4 * time.Second
	// removeAfter is the silence after which an entry host is removed from the view.
	// It outlasts every lease by 1 s.
	removeAfter = leaseDuration + time.Second
)

// entryProcess is what the leader knows of one process of an entry host, from the sync
// requests of that process.
type entryProcess struct {
	// member is the member that the latest sync request named: the host's name, zone
	// and address with the incarnation of the process.
	member *messenger.Member
	// lastSync is the loop's time of the latest sync request.
	lastSync time.Duration
	// adoptedView and releasedView are the highest numbers of a view that the process
	// reported to use and to have released.
	adoptedView  uint64
	releasedView uint64
	// configRevision is the revision of the configuration in the latest sync request.
	configRevision uint64
	// leaving is set once the process has asked to leave the view.
	leaving bool
}

// entryTracker holds what the leader knows of entry hosts. It decides which hosts get
// a lease and how the view has to change. Times are those of the loop.
type entryTracker struct {
	// listeningSince is when this host began to receive sync requests as the leader,
	// or resumed after a pause. A host that has not sent any since then may hold a
	// lease of the previous leader.
	listeningSince time.Duration
	// processes holds the incarnations of each host name, the oldest first. An older
	// incarnation may be partitioned or suspended rather than dead, so it is kept
	// until its lease has ended.
	processes map[string][]*entryProcess
	// membersToRemove holds the members that the last change removes. They get no
	// lease, because the change may already be on its way through the log.
	membersToRemove []*messenger.Member
	// settledView is the newest view known to be settled, and blockingMember a member
	// that had not released a newer view at the last check. They save a sync from
	// checking every member.
	settledView    uint64
	blockingMember string
}

// newEntryTracker returns the tracker of a leader that begins to receive sync requests
// at now.
func newEntryTracker(now time.Duration) *entryTracker {
	return &entryTracker{listeningSince: now, processes: map[string][]*entryProcess{}}
}

// recordSync records a sync request. Requests of an older incarnation are ignored.
func (t *entryTracker) recordSync(now time.Duration, request *messenger.SyncRequest) {
	m := request.GetMember()
	if t.superseded(m) {
		return
	}
	h := t.processOf(m)
	if h == nil {
		h = &entryProcess{}
		t.processes[m.GetName()] = append(t.processes[m.GetName()], h)
	}
	h.member = m
	h.lastSync = now
	h.adoptedView = max(h.adoptedView, request.GetAdopted())
	h.releasedView = max(h.releasedView, request.GetReleased())
	h.configRevision = request.GetRevision()
}

// markLeaving marks a process that leaves, so that it does not join again.
func (t *entryTracker) markLeaving(m *messenger.Member) {
	if h := t.processOf(m); h != nil {
		h.leaving = true
	}
}

// superseded reports whether a newer incarnation of m has sent a sync request.
func (t *entryTracker) superseded(m *messenger.Member) bool {
	list := t.processes[m.GetName()]
	return len(list) > 0 && list[len(list)-1].member.GetIncarnation() > m.GetIncarnation()
}

// mayHoldLease reports whether m gets a lease: it is a member of the view and not
// being removed, and no newer incarnation waits for its lease to end.
func (t *entryTracker) mayHoldLease(view *messenger.View, m *messenger.Member) bool {
	return sameProcess(memberByName(view, m.GetName()), m) && !t.superseded(m) &&
		!slices.ContainsFunc(t.membersToRemove, func(o *messenger.Member) bool { return sameProcess(o, m) })
}

// processOf returns the process of m's name and incarnation, or nil.
func (t *entryTracker) processOf(m *messenger.Member) *entryProcess {
	for _, h := range t.processes[m.GetName()] {
		if h.member.GetIncarnation() == m.GetIncarnation() {
			return h
		}
	}
	return nil
}

// silenceOf returns the time since the last sync request of the process of m. Time
// before listeningSince does not count.
func (t *entryTracker) silenceOf(now time.Duration, m *messenger.Member) time.Duration {
	if h := t.processOf(m); h != nil {
		return now - max(h.lastSync, t.listeningSince)
	}
	return now - t.listeningSince
}

// resetSilence makes silence count from now, after a pause in which this host did not
// run and so received nothing.
func (t *entryTracker) resetSilence(now time.Duration) { t.listeningSince = now }

// nextChange returns the change that the view needs, or nil: hosts that sent sync
// requests join, silent members are removed. hasEffect reports whether a change would
// alter the view. Hosts that are silent and not in the view are forgotten. nextChange
// is called again only when the change that it returned has been applied or has
// failed.
func (t *entryTracker) nextChange(now time.Duration, view *messenger.View, hasEffect func(*messenger.ViewChange) bool) *messenger.ViewChange {
	c := &messenger.ViewChange{}
	unchanged := 0
	for _, m := range view.GetMembers() {
		if t.silenceOf(now, m) >= removeAfter {
			c.Remove = append(c.Remove, m)
		}
		if list := t.processes[m.GetName()]; len(list) == 1 && sameMember(list[0].member, m) {
			unchanged++
		}
	}
	t.membersToRemove = c.Remove
	if unchanged < len(t.processes) {
		c.Add = t.joiningMembers(now, view, hasEffect)
	}
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	return c
}

// joiningMembers returns the hosts that the view lacks or holds with other data. A new
// incarnation joins only when the one in the view is due for removal, because that one
// may hold a lease.
func (t *entryTracker) joiningMembers(now time.Duration, view *messenger.View, hasEffect func(*messenger.ViewChange) bool) []*messenger.Member {
	var joiners []*messenger.Member
	for name, list := range t.processes {
		member := memberByName(view, name)
		list = slices.DeleteFunc(list, func(h *entryProcess) bool {
			return t.silenceOf(now, h.member) >= removeAfter && !sameProcess(h.member, member)
		})
		if len(list) == 0 {
			delete(t.processes, name)
			continue
		}
		t.processes[name] = list
		newest := list[len(list)-1]
		if newest.leaving || t.silenceOf(now, newest.member) >= removeAfter || member != nil && sameMember(member, newest.member) {
			continue
		}
		c := &messenger.ViewChange{Add: []*messenger.Member{newest.member}}
		if member != nil && !sameProcess(member, newest.member) {
			if t.silenceOf(now, member) < removeAfter {
				continue
			}
			c.Remove = []*messenger.Member{member}
		}
		if hasEffect(c) {
			joiners = append(joiners, newest.member)
		}
	}
	return joiners
}

// isSettled reports whether every member has released the view. A settled view stays
// so: members do not take a release back, and a new incarnation of a member is not in
// this view.
func (t *entryTracker) isSettled(view *messenger.View) bool {
	if view.GetNumber() <= t.settledView {
		return true
	}
	if m := memberByName(view, t.blockingMember); m != nil && !t.hasReleased(view, m) {
		return false
	}
	for _, m := range view.GetMembers() {
		if !t.hasReleased(view, m) {
			t.blockingMember = m.GetName()
			return false
		}
	}
	t.settledView = view.GetNumber()
	return true
}

// hasReleased reports whether m has released the view.
func (t *entryTracker) hasReleased(view *messenger.View, m *messenger.Member) bool {
	h := t.processOf(m)
	return h != nil && h.releasedView >= view.GetNumber()
}

// memberByName returns the member of a view with this name, or nil. Members are sorted
// by name.
func memberByName(view *messenger.View, name string) *messenger.Member {
	members := view.GetMembers()
	i, found := slices.BinarySearchFunc(members, name, func(m *messenger.Member, name string) int {
		return strings.Compare(m.GetName(), name)
	})
	if !found {
		return nil
	}
	return members[i]
}

// sameMember reports whether a and b are the same process with the same zone and
// address.
func sameMember(a, b *messenger.Member) bool {
	return sameProcess(a, b) && a.GetZone() == b.GetZone() && a.GetAddress() == b.GetAddress()
}

// sameProcess reports whether a and b have the same name and incarnation.
func sameProcess(a, b *messenger.Member) bool {
	return a.GetName() == b.GetName() && a.GetIncarnation() == b.GetIncarnation()
}
