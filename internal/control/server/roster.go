package server

import (
	"slices"
	"strings"
	"time"

	"gentianpond/internal/protocol/messenger"
)

const (
	// lease is how long an entry host may work after it sent a sync request.
	lease = 4 * time.Second
	// removal is the silence after which an entry host leaves the view. It
	// outlasts every lease by 1 s.
	removal = lease + time.Second
)

// entryHost is what the leader knows of one process of an entry host.
type entryHost struct {
	member   *messenger.Member
	heard    time.Duration
	adopted  uint64
	released uint64
	revision uint64
	left     bool
}

// roster is the leader's memory of entry hosts. Times are those of the loop.
type roster struct {
	// since is when this host began to listen as the leader. A host that was
	// not heard since then may hold a lease of the leader before.
	since time.Duration
	// hosts holds the incarnations of each name, the oldest first. An older
	// incarnation may be cut off or frozen instead of dead, so that the time
	// when it was last heard is kept until its lease has ended.
	hosts map[string][]*entryHost
	// removing holds the members that the last change removes. They get no
	// lease, because the change may already be on its way through the log.
	removing []*messenger.Member
	// done is the newest view known to be settled, and blocker a member that
	// had not released the view after it. They keep a sync from looking at
	// every member.
	done    uint64
	blocker string
}

func newRoster(now time.Duration) *roster {
	return &roster{since: now, hosts: map[string][]*entryHost{}}
}

// note records a sync request. Requests of an older incarnation are ignored.
func (r *roster) note(now time.Duration, q *messenger.SyncRequest) {
	m := q.GetMember()
	if r.superseded(m) {
		return
	}
	h := r.find(m)
	if h == nil {
		h = &entryHost{}
		r.hosts[m.GetName()] = append(r.hosts[m.GetName()], h)
	}
	h.member = m
	h.heard = now
	h.adopted = max(h.adopted, q.GetAdopted())
	h.released = max(h.released, q.GetReleased())
	h.revision = q.GetRevision()
}

// leave marks a host that leaves, so that it does not join again.
func (r *roster) leave(m *messenger.Member) {
	if h := r.find(m); h != nil {
		h.left = true
	}
}

// superseded reports whether a newer incarnation of m was heard.
func (r *roster) superseded(m *messenger.Member) bool {
	list := r.hosts[m.GetName()]
	return len(list) > 0 && list[len(list)-1].member.GetIncarnation() > m.GetIncarnation()
}

// grants reports whether m gets a lease: it is a member of the view and not
// being removed, and no newer incarnation waits for its lease to end.
func (r *roster) grants(view *messenger.View, m *messenger.Member) bool {
	return sameProcess(memberOf(view, m.GetName()), m) && !r.superseded(m) &&
		!slices.ContainsFunc(r.removing, func(o *messenger.Member) bool { return sameProcess(o, m) })
}

// find returns the host under the incarnation of m.
func (r *roster) find(m *messenger.Member) *entryHost {
	for _, h := range r.hosts[m.GetName()] {
		if h.member.GetIncarnation() == m.GetIncarnation() {
			return h
		}
	}
	return nil
}

// silence returns how long the host was not heard under the incarnation of m.
func (r *roster) silence(now time.Duration, m *messenger.Member) time.Duration {
	if h := r.find(m); h != nil {
		return now - max(h.heard, r.since)
	}
	return now - r.since
}

// pause accounts for a time in which this host heard nobody because it did not
// run.
func (r *roster) pause(now time.Duration) { r.since = now }

// change returns the change that the view needs, or nil: hosts that were heard
// join, silent members are removed. useful reports whether a change would have
// an effect. Hosts that are silent and not in the view are forgotten. It is
// called again only when the change that it returned is applied or has failed.
func (r *roster) change(now time.Duration, view *messenger.View, useful func(*messenger.ViewChange) bool) *messenger.ViewChange {
	c := &messenger.ViewChange{}
	same := 0
	for _, m := range view.GetMembers() {
		if r.silence(now, m) >= removal {
			c.Remove = append(c.Remove, m)
		}
		if list := r.hosts[m.GetName()]; len(list) == 1 && sameMember(list[0].member, m) {
			same++
		}
	}
	r.removing = c.Remove
	if same < len(r.hosts) {
		c.Add = r.joining(now, view, useful)
	}
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	return c
}

// joining returns the hosts that the view lacks or holds differently. An
// incarnation joins only when the one in the view is due for removal, because
// that one may hold a lease.
func (r *roster) joining(now time.Duration, view *messenger.View, useful func(*messenger.ViewChange) bool) []*messenger.Member {
	var joining []*messenger.Member
	for name, list := range r.hosts {
		member := memberOf(view, name)
		list = slices.DeleteFunc(list, func(h *entryHost) bool {
			return r.silence(now, h.member) >= removal && !sameProcess(h.member, member)
		})
		if len(list) == 0 {
			delete(r.hosts, name)
			continue
		}
		r.hosts[name] = list
		newest := list[len(list)-1]
		if newest.left || r.silence(now, newest.member) >= removal || member != nil && sameMember(member, newest.member) {
			continue
		}
		c := &messenger.ViewChange{Add: []*messenger.Member{newest.member}}
		if member != nil && !sameProcess(member, newest.member) {
			if r.silence(now, member) < removal {
				continue
			}
			c.Remove = []*messenger.Member{member}
		}
		if useful(c) {
			joining = append(joining, newest.member)
		}
	}
	return joining
}

// settled reports whether every member has released the view. A settled view
// stays so: what a member has released it does not take back, and a new
// incarnation of it is no member of this view.
func (r *roster) settled(view *messenger.View) bool {
	if view.GetNumber() <= r.done {
		return true
	}
	if m := memberOf(view, r.blocker); m != nil && !r.released(view, m) {
		return false
	}
	for _, m := range view.GetMembers() {
		if !r.released(view, m) {
			r.blocker = m.GetName()
			return false
		}
	}
	r.done = view.GetNumber()
	return true
}

func (r *roster) released(view *messenger.View, m *messenger.Member) bool {
	h := r.find(m)
	return h != nil && h.released >= view.GetNumber()
}

// memberOf returns the member of a view with this name, or nil. Members are
// sorted by name.
func memberOf(view *messenger.View, name string) *messenger.Member {
	members := view.GetMembers()
	i, found := slices.BinarySearchFunc(members, name, func(m *messenger.Member, name string) int {
		return strings.Compare(m.GetName(), name)
	})
	if !found {
		return nil
	}
	return members[i]
}

func sameMember(a, b *messenger.Member) bool {
	return sameProcess(a, b) && a.GetZone() == b.GetZone() && a.GetAddress() == b.GetAddress()
}

func sameProcess(a, b *messenger.Member) bool {
	return a.GetName() == b.GetName() && a.GetIncarnation() == b.GetIncarnation()
}
