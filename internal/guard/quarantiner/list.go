package quarantiner

import "time"

// List is the read-only copy of the suspicions and alerts that an entry host
// has. The zero value is an empty list. It is safe for concurrent use.
type List struct {
	// suspicions holds the suspicions by fingerprint.
	suspicions map[uint64]Suspicion
	// alerts holds the time of the last crash of each archive on alert.
	alerts map[string]time.Time
}

// NewList returns a list with a copy of suspicions and alerts.
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

// Verdict returns how a request with this fingerprint may run.
func (l List) Verdict(fingerprint uint64, now time.Time) Verdict {
	s := l.suspicions[fingerprint]
	return s.Verdict(now)
}

// HasAlert reports whether a server crashed on a request to the archive within
// the TTL before now.
func (l List) HasAlert(archive string, now time.Time) bool {
	crash, ok := l.alerts[archive]
	return ok && crash.Add(TTL).After(now)
}

// Len returns the number of suspicions.
func (l List) Len() int { return len(l.suspicions) }
