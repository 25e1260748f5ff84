// Package quarantiner decides which requests are suspected of crashing backend
// servers, which must run alone and which are refused. It is part of the
// replicated state, so it reads no clock and no random numbers.
package quarantiner

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=State,Verdict -linecomment

// State is what is held against a fingerprint.
type State int

// The states.
const (
	StateClear       State = iota // clear
	StateSuspect                  // suspect
	StateQuarantined              // quarantined
	StatePinned                   // pinned
)

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	VerdictRun    Verdict = iota // run
	VerdictAlone                 // run alone
	VerdictRefuse                // refuse
)

const (
	// TTL is how long a suspicion or a quarantine lasts after the last
	// observation, and how long a crash puts its archive on alert.
	TTL = 10 * time.Minute
	// idWindow is how long a report is recognised when it is repeated. It is
	// longer than the window, so that a repeat never revives a suspicion.
	idWindow = 2 * TTL
	// maxText bounds the texts of an observation in bytes.
	maxText = 128
)

// Limits bound the book's space. All hosts must use the same limits.
type Limits struct {
	// Suspicions is the number of fingerprints. The whole list is sent to
	// every entry host whenever it changes.
	Suspicions int
	// Reports is the number of report ids that are remembered.
	Reports int
	// Archives is the number of archives on alert.
	Archives int
}

// DefaultLimits are used where a limit is zero.
var DefaultLimits = Limits{Suspicions: 4096, Reports: 65536, Archives: 4096}

// Observation is one report: a fingerprint was in a slot of a server when its
// connection broke, or it completed.
type Observation struct {
	// ID is chosen by the reporter; a repeated id counts once.
	ID          string
	Fingerprint uint64
	Archive     string
	Server      string
	Incarnation uint64
	Crashed     bool
	// Alone is true when no other request was in flight on the server and the
	// run was an isolated one.
	Alone bool
}

// Suspicion is what is held against one fingerprint.
type Suspicion struct {
	Fingerprint uint64
	Archive     string
	State       State
	// Crashes is the number of crashed server incarnations. Reports of the
	// same incarnation that follow each other count once.
	Crashes int
	// Expiry is when the fingerprint is clear again; a pinned one never is.
	Expiry time.Time
	// Server and Incarnation name the last crashed server.
	Server      string
	Incarnation uint64
}

// Alert is the last crash seen in an archive.
type Alert struct {
	Archive string
	LastCrash   time.Time
}

// Report is the id of an observation that was counted.
type Report struct {
	ID   string
	Time time.Time
}

// Table holds the suspicions. The zero value is an empty book with the default
// limits. It is not safe for concurrent use.
type Table struct {
	limits     Limits
	now        time.Time
	revision   uint64
	suspicions map[uint64]*Suspicion
	alerts     map[string]time.Time
	seen       map[string]struct{}
	// reports is in the order of time, which never goes back.
	reports []Report
	dropped uint64
	// due is no later than the next expiry of a suspicion or an alert, so that
	// most calls need not look through them.
	due time.Time
}

// New returns an empty book.
func New(limits Limits) *Table { return &Table{limits: limits} }

// Advance sets the book's time, which never goes back, and drops what has
// expired.
func (b *Table) Advance(now time.Time) {
	if !now.After(b.now) {
		return
	}
	b.now = now
	b.forget(func(r Report) bool { return !r.Time.Add(idWindow).After(now) })
	if now.Before(b.due) {
		return
	}
	// What is recorded from now on expires no earlier than this.
	b.due = now.Add(TTL)
	for fingerprint, s := range b.suspicions {
		switch {
		case s.expired(now):
			delete(b.suspicions, fingerprint)
			b.revision++
		case s.State != StatePinned:
			b.due = earliest(b.due, s.Expiry)
		}
	}
	for archive, crash := range b.alerts {
		expiry := crash.Add(TTL)
		if !expiry.After(now) {
			delete(b.alerts, archive)
			b.revision++
			continue
		}
		b.due = earliest(b.due, expiry)
	}
}

func earliest(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// forget drops the oldest reports for as long as old says so.
func (b *Table) forget(old func(Report) bool) {
	n := 0
	for n < len(b.reports) && old(b.reports[n]) {
		delete(b.seen, b.reports[n].ID)
		n++
	}
	b.reports = b.reports[n:]
}

// Observe counts one report and says whether the suspicions changed. A report
// without an id, with too long a text, or with an id that was counted before
// changes nothing.
func (b *Table) Observe(now time.Time, o Observation) bool {
	b.Advance(now)
	if !valid(o) || !b.remember(o.ID) {
		return false
	}
	before := b.revision
	switch {
	case o.Crashed:
		b.crash(o)
	case o.Alone:
		b.complete(o)
	}
	return b.revision != before
}

func valid(o Observation) bool {
	return o.ID != "" && len(o.ID) <= maxText && len(o.Archive) <= maxText && len(o.Server) <= maxText
}

func (b *Table) remember(id string) bool {
	if _, ok := b.seen[id]; ok {
		return false
	}
	if b.seen == nil {
		b.seen = map[string]struct{}{}
	}
	limit := cmp.Or(b.limits.Reports, DefaultLimits.Reports)
	b.forget(func(Report) bool { return len(b.seen) >= limit })
	b.seen[id] = struct{}{}
	b.reports = append(b.reports, Report{ID: id, Time: b.now})
	return true
}

// crash makes a clear fingerprint a suspect and quarantines a suspect that
// crashed a server in an isolated run. A crash near other requests proves
// nothing against a suspect.
func (b *Table) crash(o Observation) {
	b.alert(o.Archive)
	s := b.suspicions[o.Fingerprint]
	switch {
	case s == nil:
		if s = b.add(o.Fingerprint, o.Archive, StateSuspect); s == nil {
			return
		}
	case s.State == StateSuspect && o.Alone:
		s.State = StateQuarantined
	}
	if s.Crashes == 0 || s.Server != o.Server || s.Incarnation != o.Incarnation {
		s.Crashes++
	}
	s.Server, s.Incarnation = o.Server, o.Incarnation
	s.Expiry = b.now.Add(TTL)
	b.revision++
}

// complete clears a suspect. A quarantine ends by expiry or by an operator: a
// completion that arrives after the crash says nothing about the next run.
func (b *Table) complete(o Observation) {
	if s := b.suspicions[o.Fingerprint]; s != nil && s.State == StateSuspect {
		delete(b.suspicions, o.Fingerprint)
		b.revision++
	}
}

func (b *Table) alert(archive string) {
	if b.alerts == nil {
		b.alerts = map[string]time.Time{}
	}
	limit := cmp.Or(b.limits.Archives, DefaultLimits.Archives)
	if _, ok := b.alerts[archive]; !ok && len(b.alerts) >= limit {
		b.evictAlerts(limit)
	}
	b.alerts[archive] = b.now
	b.revision++
}

// evictAlerts drops the oldest alerts. Equal times are decided by name, so that
// all hosts drop the same ones.
func (b *Table) evictAlerts(limit int) {
	list := b.Alerts()
	slices.SortStableFunc(list, func(x, y Alert) int { return x.LastCrash.Compare(y.LastCrash) })
	for _, a := range list[:share(limit)] {
		delete(b.alerts, a.Archive)
	}
}

// share is how many items are dropped at a time: finding the oldest ones takes
// a look at all of them, which is too much work for each report of a flood.
func share(limit int) int { return max(limit/16, 1) }

// add makes room for a fingerprint by forgetting the suspects that expire
// first. Quarantined and pinned fingerprints are never forgotten for it; add
// returns nil when there are no others.
func (b *Table) add(fingerprint uint64, archive string, state State) *Suspicion {
	limit := cmp.Or(b.limits.Suspicions, DefaultLimits.Suspicions)
	if len(b.suspicions) >= limit && !b.evict(limit) {
		b.dropped++
		return nil
	}
	if b.suspicions == nil {
		b.suspicions = map[uint64]*Suspicion{}
	}
	s := &Suspicion{Fingerprint: fingerprint, Archive: archive, State: state}
	b.suspicions[fingerprint] = s
	return s
}

func (b *Table) evict(limit int) bool {
	var suspects []*Suspicion
	for _, s := range b.suspicions {
		if s.State == StateSuspect {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, compare)
	suspects = suspects[:min(share(limit), len(suspects))]
	for _, s := range suspects {
		delete(b.suspicions, s.Fingerprint)
	}
	b.dropped += uint64(len(suspects))
	return len(suspects) > 0
}

// compare is a total order, so that all hosts forget the same suspects.
func compare(x, y *Suspicion) int {
	return cmp.Or(x.Expiry.Compare(y.Expiry), cmp.Compare(x.Fingerprint, y.Fingerprint))
}

func (s *Suspicion) expired(now time.Time) bool {
	return s.State != StatePinned && !s.Expiry.After(now)
}

// Clear drops what is held against a fingerprint, also a pin, and reports
// whether there was anything.
func (b *Table) Clear(now time.Time, fingerprint uint64) bool {
	b.Advance(now)
	if b.suspicions[fingerprint] == nil {
		return false
	}
	delete(b.suspicions, fingerprint)
	b.revision++
	return true
}

// Pin refuses a fingerprint until an operator clears it. It reports whether
// the fingerprint is pinned now; it is not when the book is full of
// quarantined and pinned fingerprints.
func (b *Table) Pin(now time.Time, fingerprint uint64, archive string) bool {
	b.Advance(now)
	s := b.suspicions[fingerprint]
	if s == nil {
		if len(archive) > maxText {
			return false
		}
		if s = b.add(fingerprint, archive, StatePinned); s == nil {
			return false
		}
	}
	s.State = StatePinned
	s.Expiry = time.Time{}
	b.revision++
	return true
}

// Verdict says how a request with this fingerprint may run.
func (b *Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	s := b.suspicions[fingerprint]
	if s == nil {
		return VerdictRun
	}
	return s.Verdict(now)
}

// Verdict says how a request under this suspicion may run.
func (s *Suspicion) Verdict(now time.Time) Verdict {
	switch {
	case s.expired(now) || s.State == StateClear:
		return VerdictRun
	case s.State == StateSuspect:
		return VerdictAlone
	default:
		return VerdictRefuse
	}
}

// LastCrash returns when a crash was last seen in an archive within the
// window.
func (b *Table) LastCrash(archive string) (time.Time, bool) {
	crash, ok := b.alerts[archive]
	return crash, ok
}

// Revision grows whenever the suspicions or the alerts change.
func (b *Table) Revision() uint64 { return b.revision }

// Dropped counts the suspicions that were forgotten or not recorded for lack
// of room. It is not part of the replicated state.
func (b *Table) Dropped() uint64 { return b.dropped }

// Suspicions returns all suspicions, sorted by fingerprint.
func (b *Table) Suspicions() []Suspicion {
	list := make([]Suspicion, 0, len(b.suspicions))
	for _, s := range b.suspicions {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(x, y Suspicion) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return list
}

// Alerts returns the archives on alert, sorted by name.
func (b *Table) Alerts() []Alert {
	list := make([]Alert, 0, len(b.alerts))
	for archive, crash := range b.alerts {
		list = append(list, Alert{Archive: archive, LastCrash: crash})
	}
	slices.SortFunc(list, func(x, y Alert) int { return strings.Compare(x.Archive, y.Archive) })
	return list
}
