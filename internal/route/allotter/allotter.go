// Package allotter decides whether a client account has room for a request within the limit
// that it has over all entry hosts. It does no I/O and reads no clock.
//
// One host, the lender of the account, holds a token bucket that all hosts ask. Whatever
// else may grant requests at the same time is part of what the bound of the platform allows
// beyond the limit, and is divided in advance: the backup of the lender and the hosts' own
// shares together never get more than that. The bound so holds whichever hosts reach each
// other. A host that has lost the control hosts goes on asking the lenders that it knows, of
// which those in touch reply. One that has lost them too, for long enough to be missed
// everywhere, uses its full share, which the lenders then leave to it.
package allotter

import (
	"net/netip"
	"slices"
	"time"

	"gentianpond/internal/route/pacer"
)

const (
	// TouchTime is the time after the last contact with the control hosts from which a host
	// is no lender: another one may have taken its place.
	TouchTime = 3 * time.Second
	// aloneAfter is the time after the last contact, and after the last reply of a lender,
	// from which a host uses its full share. By then the control hosts have missed it for
	// ForgetTime, counted from a reply that may have been held for 2 s and lost on the way,
	// and have told the lenders, which have not heard from it for longer than heardTime.
	aloneAfter = 7 * time.Second
	// heardTime is how long a lender counts a host as present that is out of touch with the
	// control hosts and has asked it.
	heardTime = 3 * time.Second
	// PingInterval is how often a host that is out of touch with the control hosts asks all
	// lenders at least.
	PingInterval = time.Second
	// aloneUntil is the time after the last contact until which it does. The control hosts
	// count it as absent for longer.
	aloneUntil = ForgetTime + AbsentTime - 4*time.Second
	// startTokens is the number of requests that a new lender may grant at once.
	startTokens = 4
	// minRest and maxRest bound the time for which a lender that did not reply is not
	// asked. It doubles with each failure.
	minRest = 250 * time.Millisecond
	maxRest = time.Second
	// trialTime is how long other requests do not ask a lender that one asks after a rest.
	trialTime = 100 * time.Millisecond
	// maxQuiet is how long a host asks for no request of an account that is far over its
	// limit, at most quietBurstShare of the time in which the burst refills, so that no
	// allowance is lost.
	maxQuiet        = 250 * time.Millisecond
	quietBurstShare = 0.25
)

// Limit is the limit of an account: requests a second, and requests at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// Lender is a host that grants requests to all hosts.
type Lender struct {
	Address  netip.AddrPort
	Position int
}

// Lending describes who grants requests.
type Lending struct {
	// Known is false while the control hosts have not said who lends.
	Known bool
	// Lenders are sorted by position. A host that takes the place of another gets its
	// position and with it its accounts.
	Lenders []Lender
	// Hosts is the number of entry hosts that control hosts hear from, Absent the number
	// of those that fell silent lately.
	Hosts, Absent int
}

// Equal reports whether two values are the same.
func (l Lending) Equal(o Lending) bool {
	return l.Known == o.Known && l.Hosts == o.Hosts && l.Absent == o.Absent && slices.Equal(l.Lenders, o.Lenders)
}

// presentShare returns the share of the hosts that is not absent, if this number of those
// that the control hosts do not hear from has asked this host.
func (l Lending) presentShare(heard int) float64 {
	if l.Hosts <= 0 {
		return 1
	}
	return float64(l.Hosts+min(heard, l.Absent)) / float64(l.Hosts+l.Absent)
}

// Allotter holds what one host knows of the allowances of accounts. Use New. It is not safe
// for concurrent use.
type Allotter struct {
	bounds Bounds
	// address is where this host serves others.
	address netip.AddrPort
	limits  map[string]Limit
	// position is the place of this host among the entry hosts.
	position pacer.Position
	lending  Lending
	// stale is set when contact was lost after the lenders were learned. This host then asks
	// them and is none itself.
	stale bool
	// contactAt is the time of the last contact with the control hosts, and answeredAt that
	// of the last reply of a lender.
	contactAt  time.Time
	answeredAt time.Time
	// heard holds when hosts that are out of touch asked this one last.
	heard map[netip.Addr]time.Time
	// begun holds the accounts that have used the request that this host grants before it
	// has first heard of lenders.
	begun map[string]struct{}
	// granters holds, for each account with a limit, its lender and the backup.
	granters map[string]granters
	// lent and spare hold the buckets of the accounts of which this host is the lender or
	// the backup. own holds this host's own share of each account.
	lent, spare, own map[string]*bucket
	// retired is set once this host lends no more.
	retired bool
	// failures holds the lenders that did not reply the last time.
	failures map[netip.AddrPort]*failure
	// quiet holds the accounts that are far over their limit.
	quiet map[string]quiet
}

// quiet is until when no request of an account is asked for, and how long callers wait.
type quiet struct {
	until time.Time
	wait  time.Duration
}

// granters are the lender of an account and the one that is asked if it does not reply. An
// address that is not valid stands for none.
type granters struct {
	lender, backup netip.AddrPort
}

// failure is the state of a lender that did not reply.
type failure struct {
	// rest is the length of the rest that ends at restsUntil.
	rest       time.Duration
	restsUntil time.Time
}

// New returns the allotter of the host that serves others at an address, which is not valid
// if it serves none.
func New(address netip.AddrPort, bounds Bounds) *Allotter {
	return &Allotter{
		bounds: bounds, address: address, limits: map[string]Limit{}, granters: map[string]granters{},
		lent: map[string]*bucket{}, spare: map[string]*bucket{}, own: map[string]*bucket{}, failures: map[netip.AddrPort]*failure{},
		heard: map[netip.Addr]time.Time{}, begun: map[string]struct{}{},
		quiet: map[string]quiet{},
	}
}

// SetLimits replaces the limits of all accounts, without those that have none. What was
// saved is kept up to the new limits.
func (a *Allotter) SetLimits(now time.Time, limits map[string]Limit) {
	a.change(now, func() { a.limits = limits })
}

// Move changes the place of this host among the entry hosts.
func (a *Allotter) Move(now time.Time, position pacer.Position) {
	if position != a.position {
		a.change(now, func() { a.position = position })
	}
}

// SetLending replaces the lenders.
func (a *Allotter) SetLending(now time.Time, l Lending) {
	if a.stale || !l.Equal(a.lending) {
		a.change(now, func() { a.lending, a.stale = l, false })
	}
}

// Contact records the time of the last contact with the control hosts. It has to be called
// before requests, and several times in TouchTime.
func (a *Allotter) Contact(now, at time.Time) {
	if at.Sub(a.contactAt) >= TouchTime && !a.contactAt.IsZero() {
		a.stopLending(now)
	}
	if at.After(a.contactAt) {
		a.refillOwn(now)
		a.contactAt = at
	}
	if a.Mode(now) != InTouch {
		a.stopLending(now)
	}
}

// stopLending makes this host no lender after a loss of contact, until it is told of the
// lenders again: others may have taken over.
func (a *Allotter) stopLending(now time.Time) {
	if a.lending.Known && !a.stale {
		a.change(now, func() { a.stale = true })
	}
}

// Mode returns how this host grants requests.
func (a *Allotter) Mode(now time.Time) Mode {
	age := now.Sub(a.contactAt)
	switch {
	case a.contactAt.IsZero():
		return Unconnected
	case age < TouchTime:
		return InTouch
	case age >= aloneAfter && age < aloneUntil && now.Sub(a.answeredAt) >= aloneAfter:
		return Alone
	}
	return OutOfTouch
}

// change applies a change of the limits, the position or the lenders.
func (a *Allotter) change(now time.Time, apply func()) {
	a.refillAll(now)
	apply()
	clear(a.granters)
	clear(a.quiet)
	for name := range a.limits {
		a.granters[name] = a.chooseGranters(name)
	}
	lends := a.address.IsValid() && !a.stale
	a.keepBuckets(now, a.lent, startTokens, func(g granters) bool { return lends && g.lender == a.address })
	a.keepBuckets(now, a.spare, 0, func(g granters) bool { return lends && g.backup == a.address })
	a.keepBuckets(now, a.own, 0, func(granters) bool { return true })
	a.refillAll(now)
}

// keepBuckets removes the buckets of the accounts that this host no longer grants, and adds
// those of the ones that it grants from now on.
func (a *Allotter) keepBuckets(now time.Time, buckets map[string]*bucket, tokens float64, grants func(granters) bool) {
	for name := range buckets {
		if g, ok := a.granters[name]; !ok || !grants(g) {
			delete(buckets, name)
		}
	}
	for name, g := range a.granters {
		if buckets[name] == nil && grants(g) {
			buckets[name] = &bucket{tokens: tokens, refilledAt: now}
		}
	}
}

// refillAll brings all buckets up to date, before and after a change of their shares.
func (a *Allotter) refillAll(now time.Time) {
	for name, b := range a.lent {
		b.refill(now, a.lenderShare(now, name))
	}
	for name, b := range a.spare {
		b.refill(now, a.bounds.backupShare(a.limits[name]))
	}
	a.refillOwn(now)
}

// refillOwn does so with this host's own shares.
func (a *Allotter) refillOwn(now time.Time) {
	for name, b := range a.own {
		b.refill(now, a.ownShare(now, name))
	}
}

// lenderShare returns what the lender of an account may grant.
func (a *Allotter) lenderShare(now time.Time, name string) pacer.Share {
	heard := 0
	for address, at := range a.heard {
		if now.Sub(at) < heardTime {
			heard++
		} else {
			delete(a.heard, address)
		}
	}
	return a.bounds.lenderShare(a.limits[name], a.lending.presentShare(heard))
}

// Heard records that a host which is out of touch with the control hosts has asked this one.
func (a *Allotter) Heard(now time.Time, caller netip.Addr) {
	if _, ok := a.heard[caller]; ok || len(a.heard) < a.lending.Hosts+a.lending.Absent {
		a.heard[caller] = now
	}
}

// ownShare returns what this host may grant on its own.
func (a *Allotter) ownShare(now time.Time, name string) pacer.Share {
	switch a.Mode(now) {
	case Unconnected:
		return pacer.Share{}
	case Alone:
		return divide(pacer.Share(a.limits[name]), a.position, name)
	}
	return divide(a.bounds.apartShare(a.limits[name]), a.position, name)
}

// Step is one attempt to take a request: at this host, or with a message to a lender.
type Step struct {
	// Here is true if this host grants the request itself.
	Here    bool
	Address netip.AddrPort
	// Backup is true if the granter is the backup of the lender.
	Backup bool
}

// Steps returns the attempts to take a request of an account, in their order. After them
// the host uses its own share. A host that is out of touch asks the lenders that it knew
// last: those that are lenders still reply.
func (a *Allotter) Steps(now time.Time, name string) []Step {
	g, ok := a.granters[name]
	if !ok {
		return nil
	}
	lends := a.Mode(now) == InTouch && !a.stale && !a.retired
	steps := make([]Step, 0, 2)
	for i, address := range []netip.AddrPort{g.lender, g.backup} {
		switch {
		case !address.IsValid():
		case address == a.address && !lends:
		case address == a.address:
			steps = append(steps, Step{Here: true, Address: address, Backup: i > 0})
		case a.mayAsk(now, address):
			steps = append(steps, Step{Address: address, Backup: i > 0})
		}
	}
	return steps
}

// mayAsk reports whether a lender does not rest.
func (a *Allotter) mayAsk(now time.Time, address netip.AddrPort) bool {
	f := a.failures[address]
	return f == nil || !now.Before(f.restsUntil)
}

// Refused records that the lender refused a request and told its caller to wait. A wait beyond
// promiseTime shows that the account is far over its limit.
//
// The load that it answers: an account at several times its limit calls all hosts, and its
// lender, with a fifth of a core, gets a message for each request.
func (a *Allotter) Refused(now time.Time, name string, wait time.Duration) {
	if l, ok := a.limits[name]; ok && wait > promiseTime {
		length := min(maxQuiet, seconds(quietBurstShare*l.Burst/l.Rate))
		a.quiet[name] = quiet{until: now.Add(length), wait: wait}
	}
}

// Quiet returns the wait of a request of an account that is far over its limit, and false if
// the lender may be asked.
func (a *Allotter) Quiet(now time.Time, name string) (time.Duration, bool) {
	q, ok := a.quiet[name]
	return q.wait, ok && now.Before(q.until)
}

// Asking records that a lender is asked. After a rest, other requests wait for the result.
func (a *Allotter) Asking(now time.Time, address netip.AddrPort) {
	if f := a.failures[address]; f != nil {
		f.restsUntil = now.Add(trialTime)
	}
}

// Answered records the reply of a lender and reports whether it had not replied before.
func (a *Allotter) Answered(now time.Time, address netip.AddrPort) bool {
	a.answeredAt = now
	_, failed := a.failures[address]
	delete(a.failures, address)
	return failed
}

// Failed records that a lender did not reply and reports whether it had replied before.
func (a *Allotter) Failed(now time.Time, address netip.AddrPort) bool {
	f := a.failures[address]
	if f == nil {
		// Lenders that are no longer listed are never asked again.
		for other := range a.failures {
			if !slices.ContainsFunc(a.lending.Lenders, func(l Lender) bool { return l.Address == other }) {
				delete(a.failures, other)
			}
		}
		a.failures[address] = &failure{rest: minRest, restsUntil: now.Add(minRest)}
		return true
	}
	f.rest = min(2*f.rest, maxRest)
	f.restsUntil = now.Add(f.rest)
	return false
}

// Lend grants a request as the lender of an account or as its backup, or tells after what
// time there will be room. Late requests leave room to others.
func (a *Allotter) Lend(now time.Time, name string, backup, late bool) (Verdict, time.Duration) {
	if a.Mode(now) != InTouch || a.stale || a.retired {
		return NotLender, 0
	}
	if _, ok := a.limits[name]; !ok {
		return UnknownAccount, 0
	}
	b, share := a.lent[name], a.lenderShare(now, name)
	if backup {
		b, share = a.spare[name], a.bounds.backupShare(a.limits[name])
	}
	if b == nil {
		return NotLender, 0
	}
	wait, ok := b.take(now, share, late)
	if !ok {
		return Refused, wait
	}
	return Granted, 0
}

// Take takes a request from this host's own share of an account, or tells after what time
// there will be room.
func (a *Allotter) Take(now time.Time, name string) (wait time.Duration, ok bool) {
	b := a.own[name]
	if b == nil {
		return lostWait, false
	}
	if _, used := a.begun[name]; !used && !a.lending.Known {
		// After a restart of all hosts it takes some tenths of a second until lenders are
		// named, and no account has used anything just before.
		a.begun[name] = struct{}{}
		return 0, true
	}
	wait, ok = b.take(now, a.ownShare(now, name), false)
	if a.Mode(now) == InTouch {
		// The lender will reply again or be replaced before this share has room.
		wait = min(wait, lostWait)
	}
	return wait, ok
}

// Restore gives a lender back what was taken for requests that did not run.
func (a *Allotter) Restore(now time.Time, name string, count int, backup bool) {
	switch {
	case a.Mode(now) != InTouch || count <= 0:
	case backup && a.spare[name] != nil:
		a.spare[name].add(now, count, a.bounds.backupShare(a.limits[name]))
	case !backup && a.lent[name] != nil:
		a.lent[name].add(now, count, a.lenderShare(now, name))
	}
}

// RestoreOwn gives this host's own share back what was taken for a request that did not run.
func (a *Allotter) RestoreOwn(now time.Time, name string) {
	if b := a.own[name]; b != nil {
		b.add(now, 1, a.ownShare(now, name))
	}
}

// Retire makes this host lend no more, because it is about to stop. It has to be called
// before the control hosts are told that it does not.
func (a *Allotter) Retire() { a.retired = true }

// Lending returns what this host knows of the lenders.
func (a *Allotter) Lending() Lending { return a.lending }

// KnowsLending reports whether this host was told of the lenders and has not lost contact
// since.
func (a *Allotter) KnowsLending() bool { return a.lending.Known && !a.stale }

// IsLender reports whether this host is one.
func (a *Allotter) IsLender() bool {
	return a.address.IsValid() && slices.ContainsFunc(a.lending.Lenders, func(l Lender) bool { return l.Address == a.address })
}
