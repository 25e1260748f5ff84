package assigner

import "time"

const (
	// maxChain bounds the views kept since the last settled one. Views settle
	// within about a second; a host that saw more than this waits for the next
	// settled view.
	maxChain = 8
	// maxCached bounds the answers kept for one adopted view.
	maxCached = 1 << 17
)

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
	chain   []*Index
	adopted *Index
	// permitted caches whether self owns a server in the whole chain.
	permitted map[target]bool
	// granted holds the servers for which MayDispatch returned true and that
	// may therefore have work in flight.
	granted map[target]struct{}
	// released is the newest view reported as released.
	released uint64
}

// target is a server in a zone. A server changes its zone only with a new
// incarnation; work may be in flight to both.
type target struct{ server, zone string }

// Adopt takes a view and whether it is settled from a reply of the leader.
// Replies may arrive late and in any order: a view older than the adopted one
// is ignored, and a settled view stays settled.
func (r *Rules) Adopt(v View, settled bool) {
	current := r.Adopted().Number
	if v.Number < current || v.Number == 0 {
		return
	}
	if v.Number == current && (!settled || r.Settled()) {
		return
	}
	ix := NewIndex(v)
	switch {
	case settled:
		r.chain = []*Index{ix}
	case len(r.chain) > 0 && v.Number == current+1 && len(r.chain) < maxChain:
		r.chain = append(r.chain, ix)
	default:
		r.chain = nil
	}
	r.adopted = ix
	r.permitted = nil
}

// Adopted returns the view in use, the zero View before the first.
func (r *Rules) Adopted() View {
	if r.adopted == nil {
		return View{}
	}
	return r.adopted.View
}

// Settled reports whether the adopted view is known to be settled.
func (r *Rules) Settled() bool { return len(r.chain) == 1 }

// Owner returns the owner of the server in the adopted view.
func (r *Rules) Owner(server, zone string) (Member, bool) {
	if r.adopted == nil {
		return Member{}, false
	}
	return r.adopted.Owner(server, zone)
}

// MayDispatch reports whether this host may send work to the server at the
// time now, holding a lease that ends at leaseEnd. The caller counts the work
// as in flight before it calls MayDispatch, or makes both steps and Released
// exclude each other; otherwise Released could report the server as free in
// between.
func (r *Rules) MayDispatch(now time.Time, server, zone string, leaseEnd time.Time) bool {
	if !now.Before(leaseEnd) {
		return false
	}
	t := target{server, zone}
	permitted, cached := r.permitted[t]
	if !cached {
		permitted = r.ownsChain(t)
		r.remember(t, permitted)
	}
	return permitted
}

// ownsChain reports whether this process owns the server in every view since
// the last settled one, that one and the adopted one included.
func (r *Rules) ownsChain(t target) bool {
	if len(r.chain) == 0 {
		return false
	}
	for _, ix := range r.chain {
		if !r.owns(ix, t) {
			return false
		}
	}
	return true
}

func (r *Rules) owns(ix *Index, t target) bool {
	m, ok := ix.Owner(t.server, t.zone)
	return ok && m.Name == r.Self.Name && m.Incarnation == r.Self.Incarnation
}

func (r *Rules) remember(t target, permitted bool) {
	if r.permitted == nil || len(r.permitted) >= maxCached {
		r.permitted = map[target]bool{}
	}
	r.permitted[t] = permitted
	if !permitted {
		return
	}
	if r.granted == nil {
		r.granted = map[target]struct{}{}
	}
	r.granted[t] = struct{}{}
}

// Released returns the newest view for which nothing is in flight to servers
// that the view took from this host. The function inFlight reports whether
// this host has work in flight to a server.
func (r *Rules) Released(inFlight func(server string) bool) uint64 {
	if r.adopted == nil {
		return 0
	}
	for t := range r.granted {
		if r.owns(r.adopted, t) {
			continue
		}
		if inFlight(t.server) {
			return r.released
		}
		delete(r.granted, t)
	}
	r.released = r.adopted.View.Number
	return r.released
}
