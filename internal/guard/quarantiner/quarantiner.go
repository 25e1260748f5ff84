// Package quarantiner tracks which requests are suspected of crashing backend
// servers and decides which of them run alone and which are refused. Its table
// is part of the replicated state, so it reads no clock and no random numbers.
//
// A fingerprint is the hash that identifies equal requests, those to the same
// archive with the same body. An isolated run is one on a server that runs no
// other request at the same time. An archive is on alert for a while after a
// request to it crashed a server.
package quarantiner

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=State,Verdict -linecomment

// State is the stage of the suspicion against a fingerprint.
type State int

// The states of a suspicion. The trailing texts are the names shown to operators.
const (
	// StateClear means that there is no suspicion.
	StateClear State = iota // clear
	// StateSuspect means that a server crashed while it ran the request. Its
	// next runs are isolated ones, to find out whether it is the cause.
	StateSuspect // suspect
	// StateQuarantined means that a suspect crashed a server in an isolated
	// run. It is refused until the suspicion expires.
	StateQuarantined // quarantined
	// StatePinned means that an operator had the request refused until an
	// operator clears it.
	StatePinned // pinned
)

// Verdict says how a request may run. A larger value is stricter.
type Verdict int

// The verdicts.
const (
	// VerdictRun lets the request run like any other.
	VerdictRun Verdict = iota // run
	// VerdictAlone lets the request run only on a server that runs no other
	// request at the same time.
	VerdictAlone // run alone
	// VerdictRefuse lets the request run on no server.
	VerdictRefuse // refuse
)

const (
	// TTL is how long a suspicion or a quarantine lasts after the last crash
	// that was reported for it, and how long a crash puts its archive on alert.
	TTL = 10 * time.Minute
	// reportTTL is how long the id of a report is kept to recognise a repeated
	// one. It is longer than TTL, so that a repeat never revives a suspicion.
	reportTTL = 2 * TTL
	// maxTextBytes bounds the id, the archive and the server of an observation.
	maxTextBytes = 128
)

// Limits bound the space that a table takes. All hosts must use the same
// limits, or their tables differ.
type Limits struct {
	// Suspicions is the largest number of suspicions. The whole list is sent
	// to every entry host whenever it changes.
	Suspicions int
	// Reports is the largest number of report ids that are kept to recognise
	// repeated reports.
	Reports int
	// Alerts is the largest number of archives on alert.
	Alerts int
}

// DefaultLimits apply where a limit is zero.
var DefaultLimits = Limits{Suspicions: 4096, Reports: 65536, Alerts: 4096}

// Observation is the report of an entry host on one run of a request: the
// request was in flight on a server when the connection broke, or it completed.
type Observation struct {
	// ID is chosen by the reporter; a repeated id counts once.
	ID string
	// Fingerprint is that of the request, and Archive the one it was sent to.
	Fingerprint uint64
	Archive     string
	// Server and Incarnation name the process that the request ran on.
	Server      string
	Incarnation uint64
	// Crashed is true when the connection to the server broke, and false when
	// the request completed.
	Crashed bool
	// Alone is true when the run was an isolated one and no other request was
	// in flight on the server. On a route, where hosts do not know what others send to
	// a server, it is true when the reporter knew of the suspicion and ran no other copy
	// of the request. Round is then the Suspicion.Rounds that it knew.
	Alone bool
	Round int
	// Proven is true if the request has completed on a server of the service lately.
	Proven bool
}

// Suspicion is the record of the crashes of one fingerprint.
type Suspicion struct {
	// Fingerprint is that of the suspected requests, and Archive the one they are
	// sent to.
	Fingerprint uint64
	Archive     string
	// State decides how the suspected requests may run.
	State State
	// Crashes is the number of crashed server incarnations. Successive reports
	// on the same incarnation count once.
	Crashes int
	// Rounds is the number of isolated runs, one after the other, that crashed a server
	// since the last completion. It begins below 0 for a proven request. Quarantines is
	// how often that led to a quarantine.
	Rounds      int
	Quarantines int
	// Proven is true if the request had completed lately when a server crashed. That
	// happens when servers end for another reason, and when one that has become unable to
	// bear the request replaces another.
	Proven bool
	// LastCrash is the time of the last crash that was counted.
	LastCrash time.Time
	// Expiry is the time at which the fingerprint is clear again. A pinned
	// suspicion doesn't expire.
	Expiry time.Time
	// Server and Incarnation name the server process that crashed last, Before those
	// that crashed before it, the latest first, at most maxServersBefore of them.
	Server      string
	Incarnation uint64
	Before      []Process
}

// Process is one start of a backend server.
type Process struct {
	Server      string
	Incarnation uint64
}

// maxServersBefore bounds Suspicion.Before.
const maxServersBefore = 3

// Alert says that a request to an archive crashed a server within the TTL. While
// it lasts, unknown requests to the archive may be sent to one shard first.
type Alert struct {
	Archive string
	// LastCrash is the time at which the last crash was counted.
	LastCrash time.Time
}

// Report is the id of an observation that was counted, and the time at which
// it was.
type Report struct {
	ID   string
	Time time.Time
}

// Table holds the suspicions by fingerprint, the crash alerts by archive and
// the ids of the reports that were counted. The zero value is an empty table
// with the default limits. It is not safe for concurrent use.
type Table struct {
	// rounds is the number of isolated runs in a row that have to crash a server before
	// a suspect is quarantined; 0 means 1.
	rounds int
	// reexamined is true if a quarantine ends with a completion, and becomes a suspicion
	// again when it expires.
	reexamined bool
	// limits holds the limits; DefaultLimits apply where one is zero.
	limits Limits
	// now is the latest time that was passed in.
	now time.Time
	// revision grows whenever the suspicions or the alerts change.
	revision uint64
	// suspicions holds the suspicions by fingerprint.
	suspicions map[uint64]*Suspicion
	// alerts holds the time of the last crash of each archive on alert.
	alerts map[string]time.Time
	// reportIDs is the set of the ids in reports.
	reportIDs map[string]struct{}
	// reports is sorted by time, because now never goes back.
	reports []Report
	// droppedSuspicions counts the suspicions that were evicted or not recorded
	// for lack of room.
	droppedSuspicions uint64
	// nextSweep is when Advance next scans for expired suspicions and alerts.
	// None expires before it, so that most calls skip the scan.
	nextSweep time.Time
}

// New returns an empty table. DefaultLimits apply where a limit is zero.
func New(limits Limits) *Table { return &Table{limits: limits} }

// routeRounds is the number of isolated runs that have to crash a server on a route. One
// may coincide with the end of a server for another reason.
const routeRounds = 2

// provenRounds is the number of isolated runs that crash a server without consequence if
// the request had completed lately. Where servers end again and again for another reason,
// a popular request is in flight at many of the ends.
const provenRounds = 1

// maxQuarantine bounds the length of a quarantine on a route, which is TTL at first and
// doubles each time that the request crashes a server again.
const maxQuarantine = 4 * TTL

// NewForRoutes returns an empty table for requests on routes. Hosts do not control what
// else runs on a server there, so that a quarantine takes more evidence: a request that
// crashes each server which runs it never completes, and one that completes is clear.
// A quarantine that expires leaves a suspect that one more crash quarantines again.
func NewForRoutes(limits Limits) *Table {
	return &Table{limits: limits, rounds: routeRounds, reexamined: true}
}

// Advance sets the time of the table, which never goes back, and drops expired
// suspicions, alerts and reports.
func (t *Table) Advance(now time.Time) {
	if !now.After(t.now) {
		return
	}
	t.now = now
	t.dropReports(func(r Report) bool { return !r.Time.Add(reportTTL).After(now) })
	if now.Before(t.nextSweep) {
		return
	}
	// Suspicions and alerts that are added from now on expire no earlier.
	t.nextSweep = now.Add(TTL)
	for fingerprint, s := range t.suspicions {
		switch {
		case s.expired(now) && t.reexamined && s.State == StateQuarantined:
			s.State, s.Rounds, s.Expiry = StateSuspect, t.rounds-1, s.Expiry.Add(maxQuarantine)
			t.nextSweep = earliest(t.nextSweep, s.Expiry)
			t.revision++
		case s.expired(now):
			delete(t.suspicions, fingerprint)
			t.revision++
		case s.State != StatePinned:
			t.nextSweep = earliest(t.nextSweep, s.Expiry)
		}
	}
	for archive, crash := range t.alerts {
		expiry := crash.Add(TTL)
		if !expiry.After(now) {
			delete(t.alerts, archive)
			t.revision++
			continue
		}
		t.nextSweep = earliest(t.nextSweep, expiry)
	}
}

func earliest(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// dropReports drops reports from the oldest one on, up to the first one for which
// drop returns false.
func (t *Table) dropReports(drop func(Report) bool) {
	n := 0
	for n < len(t.reports) && drop(t.reports[n]) {
		delete(t.reportIDs, t.reports[n].ID)
		n++
	}
	t.reports = t.reports[n:]
}

// Observe counts one report and reports whether the suspicions or the alerts
// changed. A report without an id, with too long a text, or with an id that was
// counted before changes nothing.
func (t *Table) Observe(now time.Time, o Observation) bool {
	t.Advance(now)
	if !isValid(o) || !t.addReport(o.ID) {
		return false
	}
	before := t.revision
	switch {
	case o.Crashed:
		t.recordCrash(o)
	case o.Alone:
		t.recordCompletion(o)
	}
	return t.revision != before
}

// isValid reports whether the observation has an id and its texts are within
// their bounds.
func isValid(o Observation) bool {
	return o.ID != "" && len(o.ID) <= maxTextBytes && len(o.Archive) <= maxTextBytes && len(o.Server) <= maxTextBytes
}

// addReport keeps the id of a report, in place of the oldest one if there is no
// room, and returns false if the id was kept already.
func (t *Table) addReport(id string) bool {
	if _, ok := t.reportIDs[id]; ok {
		return false
	}
	if t.reportIDs == nil {
		t.reportIDs = map[string]struct{}{}
	}
	limit := cmp.Or(t.limits.Reports, DefaultLimits.Reports)
	t.dropReports(func(Report) bool { return len(t.reportIDs) >= limit })
	t.reportIDs[id] = struct{}{}
	t.reports = append(t.reports, Report{ID: id, Time: t.now})
	return true
}

// recordCrash makes a clear fingerprint a suspect and quarantines a suspect that
// crashed servers in isolated runs. Another crash while the server ran other requests
// too leaves a suspect in its state, because any of them may be the cause. So does a
// second crash of the same server, and a run that began before the last one was known.
func (t *Table) recordCrash(o Observation) {
	t.recordAlert(o.Archive)
	s := t.suspicions[o.Fingerprint]
	if s == nil {
		if s = t.addSuspicion(o.Fingerprint, o.Archive, StateSuspect); s == nil {
			return
		}
		s.Crashes = 1
	} else if !s.counts(o) {
		if s.State == StateSuspect && o.Alone && o.Round >= s.Rounds {
			s.Rounds++
		}
		s.Crashes++
		s.Before = append([]Process{{s.Server, s.Incarnation}}, s.Before[:min(len(s.Before), maxServersBefore-1)]...)
	}
	if o.Proven && !s.Proven && s.Quarantines == 0 {
		s.Proven = true
		s.Rounds -= provenRounds
	}
	s.Archive, s.Server, s.Incarnation = o.Archive, o.Server, o.Incarnation
	s.LastCrash = t.now
	length := TTL
	if s.State == StateSuspect && s.Rounds >= max(t.rounds, 1) {
		s.State = StateQuarantined
		s.Quarantines++
	}
	if t.reexamined && s.State == StateQuarantined {
		length = min(TTL<<min(s.Quarantines-1, 8), maxQuarantine)
	}
	if s.State != StatePinned {
		s.Expiry = t.now.Add(length)
	}
	t.revision++
}

// counts reports whether the crash of the server in o is counted already.
func (s *Suspicion) counts(o Observation) bool {
	p := Process{o.Server, o.Incarnation}
	return s.Crashes > 0 && (p == Process{s.Server, s.Incarnation} || slices.Contains(s.Before, p))
}

// recordCompletion clears a suspect that completed in an isolated run. A
// quarantine ends only by expiry or by an operator: a completion that arrives
// after the crash says nothing about the next run. On a route also a quarantine ends,
// with a completion on a server of the service that crashed last.
func (t *Table) recordCompletion(o Observation) {
	s := t.suspicions[o.Fingerprint]
	switch {
	case s == nil || s.State == StatePinned:
		return
	case t.reexamined && s.Archive != o.Archive:
		return
	case !t.reexamined && s.State != StateSuspect:
		return
	}
	delete(t.suspicions, o.Fingerprint)
	t.revision++
}

// recordAlert puts the archive on alert from now on, in place of the oldest
// alerts if there is no room.
func (t *Table) recordAlert(archive string) {
	if t.alerts == nil {
		t.alerts = map[string]time.Time{}
	}
	limit := cmp.Or(t.limits.Alerts, DefaultLimits.Alerts)
	if _, ok := t.alerts[archive]; !ok && len(t.alerts) >= limit {
		t.evictAlerts(limit)
	}
	t.alerts[archive] = t.now
	t.revision++
}

// evictAlerts drops the oldest alerts. Alerts of the same time are ordered by
// archive, so that all hosts drop the same ones. The limit is that of the alerts.
func (t *Table) evictAlerts(limit int) {
	list := t.Alerts()
	slices.SortStableFunc(list, func(x, y Alert) int { return x.LastCrash.Compare(y.LastCrash) })
	for _, a := range list[:evictionBatch(limit)] {
		delete(t.alerts, a.Archive)
	}
}

// evictionBatch returns how many entries are evicted at a time from a map of at
// most limit entries. To find the oldest ones all have to be looked at, which is
// too much work to do for each report of a flood.
func evictionBatch(limit int) int { return max(limit/16, 1) }

// addSuspicion adds a suspicion, whose expiry the caller sets, in place of the
// suspects that expire first if there is no room. Quarantined and pinned
// fingerprints are never evicted; addSuspicion returns nil when there are no others.
func (t *Table) addSuspicion(fingerprint uint64, archive string, state State) *Suspicion {
	limit := cmp.Or(t.limits.Suspicions, DefaultLimits.Suspicions)
	if len(t.suspicions) >= limit && !t.evictSuspects(limit) {
		t.droppedSuspicions++
		return nil
	}
	if t.suspicions == nil {
		t.suspicions = map[uint64]*Suspicion{}
	}
	s := &Suspicion{Fingerprint: fingerprint, Archive: archive, State: state}
	t.suspicions[fingerprint] = s
	return s
}

// evictSuspects drops the suspects that expire first and reports whether there
// were any. The limit is that of all suspicions.
func (t *Table) evictSuspects(limit int) bool {
	var suspects []*Suspicion
	for _, s := range t.suspicions {
		if s.State == StateSuspect {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, compareByExpiry)
	suspects = suspects[:min(evictionBatch(limit), len(suspects))]
	for _, s := range suspects {
		delete(t.suspicions, s.Fingerprint)
	}
	t.droppedSuspicions += uint64(len(suspects))
	return len(suspects) > 0
}

// compareByExpiry orders suspicions by expiry and those of the same time by
// fingerprint. It is a total order, so that all hosts evict the same suspects.
func compareByExpiry(x, y *Suspicion) int {
	return cmp.Or(x.Expiry.Compare(y.Expiry), cmp.Compare(x.Fingerprint, y.Fingerprint))
}

// expired reports whether the suspicion has ended by now. A pinned one never does.
func (s *Suspicion) expired(now time.Time) bool {
	return s.State != StatePinned && !s.Expiry.After(now)
}

// Clear removes the suspicion against a fingerprint, also a pinned one, and
// reports whether there was one.
func (t *Table) Clear(now time.Time, fingerprint uint64) bool {
	t.Advance(now)
	if t.suspicions[fingerprint] == nil {
		return false
	}
	delete(t.suspicions, fingerprint)
	t.revision++
	return true
}

// Pin has a fingerprint refused until an operator clears it. It returns false
// if the fingerprint could not be pinned, because the table is full of
// quarantined and pinned fingerprints or the archive's name is too long.
func (t *Table) Pin(now time.Time, fingerprint uint64, archive string) bool {
	t.Advance(now)
	s := t.suspicions[fingerprint]
	if s == nil {
		if len(archive) > maxTextBytes {
			return false
		}
		if s = t.addSuspicion(fingerprint, archive, StatePinned); s == nil {
			return false
		}
	}
	s.State = StatePinned
	s.Expiry = time.Time{}
	t.revision++
	return true
}

// Verdict returns how a request with this fingerprint may run.
func (t *Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	s := t.suspicions[fingerprint]
	if s == nil {
		return VerdictRun
	}
	return s.Verdict(now)
}

// Verdict returns how a request under this suspicion may run.
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

// LastCrash returns the time of the last crash on a request to an archive, and
// false if the archive is not on alert.
func (t *Table) LastCrash(archive string) (time.Time, bool) {
	crash, ok := t.alerts[archive]
	return crash, ok
}

// Revision returns a number that grows whenever the suspicions or the alerts
// change.
func (t *Table) Revision() uint64 { return t.revision }

// DroppedSuspicions returns how many suspicions were evicted or not recorded for
// lack of room. The number is not part of the replicated state.
func (t *Table) DroppedSuspicions() uint64 { return t.droppedSuspicions }

// Suspicions returns all suspicions, sorted by fingerprint.
func (t *Table) Suspicions() []Suspicion {
	list := make([]Suspicion, 0, len(t.suspicions))
	for _, s := range t.suspicions {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(x, y Suspicion) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return list
}

// Alerts returns the archives on alert, sorted by name.
func (t *Table) Alerts() []Alert {
	list := make([]Alert, 0, len(t.alerts))
	for archive, crash := range t.alerts {
		list = append(list, Alert{Archive: archive, LastCrash: crash})
	}
	slices.SortFunc(list, func(x, y Alert) int { return strings.Compare(x.Archive, y.Archive) })
	return list
}
