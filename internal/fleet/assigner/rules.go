package assigner

import "time"

// Rules decides which backend servers one entry host may dispatch to. The
// zero value with Self set permits nothing until a settled view is adopted.
// It is not safe for concurrent use.
//
// A host may dispatch to a server while it holds its lease, owns the server
// in its adopted view, and either that view is settled or the host owned the
// server in every view since the last settled one. A host that was not told
// of a view in between cannot know who owned the server in it, so it waits
// until its adopted view is settled.
type Rules struct {
	// Self is this process; a member of the same name and another
	// incarnation is another process.
	Self Member

	// chain holds the last settled view and every view after it without a
	// gap; it is empty when a gap or the lack of a settled view makes the
	// past ownership unknown. The last element is the adopted view.
	chain   []View
	adopted View
	// granted holds the servers for which MayDispatch returned true and that
	// may therefore have work in flight.
	granted map[target]struct{}
	// released is the newest view reported as released.
	released uint64
}

type target struct{ server, zone string }

// Adopt takes a view and whether it is settled from a reply of the leader.
// Replies may arrive late and in any order: a view older than the adopted one
// is ignored, and a settled view stays settled.
func (r *Rules) Adopt(v View, settled bool) {
	if v.Number < r.adopted.Number || v.Number == 0 {
		return
	}
	if settled {
		r.adopted = v
		r.chain = []View{v}
		return
	}
	if v.Number == r.adopted.Number {
		return
	}
	if len(r.chain) > 0 && v.Number == r.adopted.Number+1 {
		r.chain = append(r.chain, v)
	} else {
		r.chain = nil
	}
	r.adopted = v
}

// Adopted returns the view in use.
func (r *Rules) Adopted() View { return r.adopted }

// Owns reports whether this process owns the server in v.
func (r *Rules) owns(v View, t target) bool {
	m, ok := Owner(v, t.server, t.zone)
	return ok && m.Name == r.Self.Name && m.Incarnation == r.Self.Incarnation
}

// MayDispatch reports whether this host may send work to the server at the
// time now, holding a lease that ends at leaseEnd. The work counts as in
// flight from before this call, so that Released cannot miss it: the caller
// counts it first, or calls both under one lock.
func (r *Rules) MayDispatch(now time.Time, server, zone string, leaseEnd time.Time) bool {
	if !now.Before(leaseEnd) {
		return false
	}
	t := target{server, zone}
	if len(r.chain) == 0 {
		return false
	}
	for _, v := range r.chain {
		if !r.owns(v, t) {
			return false
		}
	}
	if r.granted == nil {
		r.granted = map[target]struct{}{}
	}
	r.granted[t] = struct{}{}
	return true
}

// Released returns the newest view for which nothing is in flight to servers
// that the view took from this host. The function inFlight reports whether
// this host has work in flight to a server.
func (r *Rules) Released(inFlight func(server string) bool) uint64 {
	for t := range r.granted {
		if r.owns(r.adopted, t) {
			continue
		}
		if inFlight(t.server) {
			return r.released
		}
		delete(r.granted, t)
	}
	r.released = r.adopted.Number
	return r.released
}
