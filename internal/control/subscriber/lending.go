package subscriber

import (
	"net/netip"
	"slices"
	"time"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
)

// LendingLearner holds what this host knows of the lenders of client accounts.
type LendingLearner interface {
	// HasLimits reports whether there are accounts with a limit, so that this host needs to
	// know the lenders.
	HasLimits() bool
	// KnowsLending reports whether this host has not forgotten what it was told. It does so
	// after a loss of contact: others may have taken over.
	KnowsLending() bool
	// MayLend reports whether this host may be a lender. It is called right before the
	// leader is told.
	MayLend() bool
}

// addLending adds to a watch request what this host knows of lenders.
func (w *Watcher) addLending(r *messenger.WatchRequest) {
	if w.config.Lending == nil {
		return
	}
	r.Lender = w.config.Lending.MayLend()
	r.Accounts = w.config.Lending.HasLimits()
	if !w.config.Lending.KnowsLending() {
		w.forgetLending()
	}
	s := w.State()
	r.Lending = s.lendingFingerprint
	i := slices.IndexFunc(s.Lending.Lenders, func(l allotter.Lender) bool { return l.Address == w.config.Peer.Address })
	if i >= 0 && r.GetLender() {
		r.Lends = uint32(s.Lending.Lenders[i].Position) + 1
		r.Fleet = uint32(s.Lending.Hosts + s.Lending.Absent)
	}
}

// firstHold returns how long a new leader may hold the first watch request. A host that has
// accounts with a limit needs the reply at once: without contact for allotter.TouchTime it
// would lose its lenders until the leader knows the fleet.
func (w *Watcher) firstHold(hold time.Duration) time.Duration {
	if w.config.Lending != nil && w.config.Lending.HasLimits() {
		return 0
	}
	return hold
}

// forgetLending makes the leader send the lenders again.
func (w *Watcher) forgetLending() {
	next := w.State()
	next.Lending, next.Callers, next.lendingFingerprint = allotter.Lending{}, nil, 0
	w.state.Store(&next)
}

// noteContact records the contact that a reply to a request from the time sent shows. The
// leader sent the reply at the end of the time for which it held the request, which counts:
// the reply may have been late.
func (w *Watcher) noteContact(sent time.Time, reply *messenger.WatchReply) {
	at := sent.Add(max(0, min(reply.GetHeld().AsDuration(), time.Since(sent))))
	if at.Sub(w.State().ContactAt) >= allotter.TouchTime {
		w.forgetLending()
	}
	next := w.State()
	next.ContactAt = at
	w.state.Store(&next)
}

// learnLending updates a state with the lenders in a reply and reports whether they changed.
func (w *Watcher) learnLending(s *RoutingState, reply *messenger.WatchReply) bool {
	if reply.GetLending() == 0 || reply.GetLent() == nil || reply.GetLending() == s.lendingFingerprint {
		return false
	}
	lent := reply.GetLent()
	s.lendingFingerprint = reply.GetLending()
	s.Lending = allotter.Lending{Known: true, Hosts: int(lent.GetHosts()), Absent: int(lent.GetAbsent())}
	for _, m := range lent.GetLenders() {
		if a, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			s.Lending.Lenders = append(s.Lending.Lenders, allotter.Lender{Address: a, Position: int(m.GetPosition())})
		}
	}
	s.Callers = nil
	for _, text := range lent.GetCallers() {
		if a, err := netip.ParseAddr(text); err == nil {
			s.Callers = append(s.Callers, a)
		}
	}
	return true
}
