package quarantiner

import (
	"slices"
	"time"
)

// Snapshot is the content of a table, apart from its limits and the counter of
// dropped suspicions.
type Snapshot struct {
	// Now is the time of the table.
	Now time.Time
	// Revision is the number that Table.Revision returns.
	Revision uint64
	// Suspicions holds the suspicions of all fingerprints.
	Suspicions []Suspicion
	// Alerts holds one entry for each archive on alert.
	Alerts []Alert
	// Reports are those that are kept to recognise repeated reports, sorted by
	// time.
	Reports []Report
}

// Snapshot returns a copy of the content of the table.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{
		Now:        t.now,
		Revision:   t.revision,
		Suspicions: t.Suspicions(),
		Alerts:     t.Alerts(),
		Reports:    slices.Clone(t.reports),
	}
}

// Restore replaces the content of the table; its policy and limits stay.
func (t *Table) Restore(snapshot Snapshot) {
	*t = Table{
		rounds:     t.rounds,
		reexamined: t.reexamined,
		limits:     t.limits,
		now:        snapshot.Now,
		revision:   snapshot.Revision,
		suspicions: make(map[uint64]*Suspicion, len(snapshot.Suspicions)),
		alerts:     make(map[string]time.Time, len(snapshot.Alerts)),
		reportIDs:  make(map[string]struct{}, len(snapshot.Reports)),
		reports:    slices.Clone(snapshot.Reports),
	}
	for _, s := range snapshot.Suspicions {
		t.suspicions[s.Fingerprint] = &s
	}
	for _, a := range snapshot.Alerts {
		t.alerts[a.Archive] = a.LastCrash
	}
	for _, r := range snapshot.Reports {
		t.reportIDs[r.ID] = struct{}{}
	}
}
