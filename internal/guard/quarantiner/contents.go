package quarantiner

import (
	"slices"
	"time"
)

// Snapshot is all that a book holds.
type Snapshot struct {
	Now        time.Time
	Revision   uint64
	Suspicions []Suspicion
	Alerts     []Alert
	Reports    []Report
}

// Snapshot returns a copy of all that the book holds.
func (b *Table) Snapshot() Snapshot {
	return Snapshot{
		Now:        b.now,
		Revision:   b.revision,
		Suspicions: b.Suspicions(),
		Alerts:     b.Alerts(),
		Reports:    slices.Clone(b.reports),
	}
}

// Restore replaces all that the book holds.
func (b *Table) Restore(c Snapshot) {
	*b = Table{
		limits:     b.limits,
		now:        c.Now,
		revision:   c.Revision,
		suspicions: make(map[uint64]*Suspicion, len(c.Suspicions)),
		alerts:     make(map[string]time.Time, len(c.Alerts)),
		seen:       make(map[string]struct{}, len(c.Reports)),
		reports:    slices.Clone(c.Reports),
	}
	for _, s := range c.Suspicions {
		b.suspicions[s.Fingerprint] = &s
	}
	for _, a := range c.Alerts {
		b.alerts[a.Archive] = a.LastCrash
	}
	for _, r := range c.Reports {
		b.seen[r.ID] = struct{}{}
	}
}

// List is an entry host's read-only copy of the suspicions and alerts. The
// zero value is an empty list. It is safe for concurrent use.
type List struct {
	suspicions map[uint64]Suspicion
	alerts     map[string]time.Time
}

// NewList returns a list of suspicions and alerts.
func NewList(suspicions []Suspicion, alerts []Alert) List {
	l := List{
		suspicions: make(map[uint64]Suspicion, len(suspicions)),
		alerts:     make(map[string]time.Time, len(alerts)),
	}
	for _, s := range suspicions {
		l.suspicions[s.Fingerprint] = s
	}
	for _, a := range alerts {
		l.alerts[a.Archive] = a.LastCrash
	}
	return l
}

// Verdict says how a request with this fingerprint may run.
func (l List) Verdict(fingerprint uint64, now time.Time) Verdict {
	s := l.suspicions[fingerprint]
	return s.Verdict(now)
}

// HasAlert reports whether a crash was seen in an archive within the window.
func (l List) HasAlert(archive string, now time.Time) bool {
	crash, ok := l.alerts[archive]
	return ok && crash.Add(TTL).After(now)
}

// Len returns the number of suspicions.
func (l List) Len() int { return len(l.suspicions) }
