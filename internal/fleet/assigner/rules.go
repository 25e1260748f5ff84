package assigner

import "time"

const (
	// maxViewChain is the most views kept in a chain from the last settled one
	// to the adopted one. Views settle within about a second; a host that
	// receives more unsettled views than fit waits for the next settled one.
	maxViewChain = 8
	// maxCachedPermissions bounds the memory of the decisions cached for one
	// adopted view. Reaching it clears the cache.
	maxCachedPermissions = 1 << 17
)

// DispatchRules decides which backend servers one entry host may dispatch to. The
// zero value with Self set permits nothing until a settled view is adopted.
// It is not safe for concurrent use.
//
// A view is settled once every member has released it, that is, has nothing in
// flight to servers that the view took from it (see ReleasedView).
//
// A host may dispatch to a server while it holds its lease, owns the server
// in its adopted view, and either that view is settled or the host owned the
// server in every view since the last settled one. A host that was not told
// of a view in between cannot know who owned the server in it, so it waits
// until its adopted view is settled.
type DispatchRules struct {
	// Self is this process; a member of the same name and another
	// incarnation is another process.
	Self Member

	// viewChain holds the last settled view and every view after it without a
	// gap; it is empty when a gap or the lack of a settled view makes the
	// past ownership unknown. The last element is the adopted view.
	viewChain []*OwnerIndex
	// adopted indexes the view in use; it is nil before the first.
	adopted *OwnerIndex
	// permissionCache tells whether this process owns a server in every view of
	// viewChain. It is cleared when the adopted view changes.
	permissionCache map[target]bool
	// grantedTargets holds the servers for which MayDispatch returned true and
	// that may therefore have work in flight.
	grantedTargets map[target]struct{}
	// releasedView is the number of the newest view that ReleasedView has returned.
	releasedView uint64
}

// target is a server, by name, in a zone. A server changes its zone only with a new
// incarnation; work may be in flight to both.
type target struct{ server, zone string }

// Adopt puts a view from a reply of the leader in use; settled tells whether the
// leader knows it to be settled. Replies may arrive late and in any order: a view
// older than the adopted one is ignored, and a settled view stays settled.
func (r *DispatchRules) Adopt(v View, settled bool) {
	current := r.AdoptedView().Number
	if v.Number < current || v.Number == 0 {
		return
	}
	if v.Number == current && (!settled || r.Settled()) {
		return
	}
	ix := NewOwnerIndex(v)
	switch {
	case settled:
		r.viewChain = []*OwnerIndex{ix}
	case len(r.viewChain) > 0 && v.Number == current+1 && len(r.viewChain) < maxViewChain:
		r.viewChain = append(r.viewChain, ix)
	default:
		r.viewChain = nil
	}
	r.adopted = ix
	r.permissionCache = nil
}

// AdoptedView returns the view in use, the zero View before the first.
func (r *DispatchRules) AdoptedView() View {
	if r.adopted == nil {
		return View{}
	}
	return r.adopted.View
}

// Settled reports whether the adopted view is known to be settled.
func (r *DispatchRules) Settled() bool { return len(r.viewChain) == 1 }

// Owner returns the owner of the server in the adopted view.
func (r *DispatchRules) Owner(server, zone string) (Member, bool) {
	if r.adopted == nil {
		return Member{}, false
	}
	return r.adopted.Owner(server, zone)
}

// MayDispatch reports whether this host, with a lease that ends at leaseEnd, may
// send work to the server at the time now. The caller must count the work as in
// flight before it calls MayDispatch, or hold a lock over both steps that also
// excludes ReleasedView; otherwise ReleasedView could treat the server as idle in
// between.
func (r *DispatchRules) MayDispatch(now time.Time, server, zone string, leaseEnd time.Time) bool {
	if !now.Before(leaseEnd) {
		return false
	}
	t := target{server, zone}
	permitted, cached := r.permissionCache[t]
	if !cached {
		permitted = r.ownsInViewChain(t)
		r.recordPermission(t, permitted)
	}
	return permitted
}

// ownsInViewChain reports whether this process owns the server in every view from
// the last settled one to the adopted one. It is false if the chain is empty.
func (r *DispatchRules) ownsInViewChain(t target) bool {
	if len(r.viewChain) == 0 {
		return false
	}
	for _, ix := range r.viewChain {
		if !r.ownsInView(ix, t) {
			return false
		}
	}
	return true
}

// ownsInView reports whether this process, in its present incarnation, owns the
// server in one view.
func (r *DispatchRules) ownsInView(ix *OwnerIndex, t target) bool {
	m, ok := ix.Owner(t.server, t.zone)
	return ok && m.Name == r.Self.Name && m.Incarnation == r.Self.Incarnation
}

// recordPermission caches the decision for a server and, if dispatch is permitted,
// notes that the server may have work in flight.
func (r *DispatchRules) recordPermission(t target, permitted bool) {
	if r.permissionCache == nil || len(r.permissionCache) >= maxCachedPermissions {
		r.permissionCache = map[target]bool{}
	}
	r.permissionCache[t] = permitted
	if !permitted {
		return
	}
	if r.grantedTargets == nil {
		r.grantedTargets = map[target]struct{}{}
	}
	r.grantedTargets[t] = struct{}{}
}

// ReleasedView returns the number of the newest view for which this host has nothing
// in flight to servers that the view took from it, and 0 before the first view.
// The function inFlight reports whether this host has work in flight to a server.
func (r *DispatchRules) ReleasedView(inFlight func(server string) bool) uint64 {
	if r.adopted == nil {
		return 0
	}
	unreleased := false
	for t := range r.grantedTargets {
		switch {
		case !inFlight(t.server):
			// The next MayDispatch decides and records the server again, so the
			// maps don't keep servers that no longer exist.
			delete(r.grantedTargets, t)
			delete(r.permissionCache, t)
		case !r.ownsInView(r.adopted, t):
			unreleased = true
		}
	}
	if !unreleased {
		r.releasedView = r.adopted.View.Number
	}
	return r.releasedView
}
