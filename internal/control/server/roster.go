package server

import (
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

// entryHost is what the leader knows of one entry host.
type entryHost struct {
	member   *messenger.Member
	heard    time.Duration
	adopted  uint64
	released uint64
	revision uint64
}

// roster is the leader's memory of entry hosts. Times are those of the loop.
type roster struct {
	// since is when this host began to listen as the leader. A host that was
	// not heard since then may hold a lease of the leader before.
	since time.Duration
	hosts map[string]*entryHost
}

func newRoster(now time.Duration) *roster {
	return &roster{since: now, hosts: map[string]*entryHost{}}
}

// note records a sync request. Requests of an older incarnation are ignored.
func (r *roster) note(now time.Duration, q *messenger.SyncRequest) {
	m := q.GetMember()
	h := r.hosts[m.GetName()]
	if h == nil || h.member.GetIncarnation() < m.GetIncarnation() {
		h = &entryHost{}
		r.hosts[m.GetName()] = h
	}
	if h.member.GetIncarnation() > m.GetIncarnation() {
		return
	}
	h.member = m
	h.heard = now
	h.adopted = max(h.adopted, q.GetAdopted())
	h.released = max(h.released, q.GetReleased())
	h.revision = q.GetRevision()
}

// forget drops a host that leaves.
func (r *roster) forget(m *messenger.Member) {
	if h := r.hosts[m.GetName()]; h != nil && h.member.GetIncarnation() <= m.GetIncarnation() {
		delete(r.hosts, m.GetName())
	}
}

// find returns the host under the incarnation of m.
func (r *roster) find(m *messenger.Member) *entryHost {
	h := r.hosts[m.GetName()]
	if h == nil || h.member.GetIncarnation() != m.GetIncarnation() {
		return nil
	}
	return h
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
// an effect. Hosts that are silent and not in the view are forgotten.
func (r *roster) change(now time.Duration, view *messenger.View, useful func(*messenger.ViewChange) bool) *messenger.ViewChange {
	c := &messenger.ViewChange{}
	for _, m := range view.GetMembers() {
		if r.silence(now, m) >= removal {
			c.Remove = append(c.Remove, m)
		}
	}
	for name, h := range r.hosts {
		if r.silence(now, h.member) >= removal {
			delete(r.hosts, name)
			continue
		}
		if add := []*messenger.Member{h.member}; useful(&messenger.ViewChange{Add: add}) {
			c.Add = append(c.Add, h.member)
		}
	}
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	return c
}

// settled reports whether every member has released the view.
func (r *roster) settled(view *messenger.View) bool {
	for _, m := range view.GetMembers() {
		h := r.find(m)
		if h == nil || h.released < view.GetNumber() {
			return false
		}
	}
	return true
}
