package tracker

import (
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

const (
	// fadeTime is the remaining lease below which a server that was learned
	// from a peer counts as no longer heard of. Shared renewals arrive with
	// 1.25 s or more remaining.
	fadeTime = 750 * time.Millisecond
	// repairEvery bounds the traffic of repairs when many leases fade at once.
	repairEvery = time.Second
)

// Merge takes what a peer answered to a request that this host sent at the
// time sentAt. Leases are counted from then: the clocks of the hosts need not
// agree, and the error is on the safe side. What is not newer than what the
// table holds changes nothing and is no error. Messages that break a rule are
// skipped, and the error joins their faults (ErrInvalid, ErrMoved,
// ErrDraining, ErrFull).
func (t *Table) Merge(sentAt time.Time, shared ...*messenger.Shared) error {
	t.advance(sentAt)
	var errs []error
	for _, s := range shared {
		err := t.merge(sentAt, s)
		if err != nil && !errors.Is(err, ErrStale) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (t *Table) merge(sentAt time.Time, s *messenger.Shared) error {
	m := s.GetAnnouncement()
	remaining := min(max(0, s.GetRemaining().AsDuration()), Lease)
	end := sentAt.Add(remaining)
	switch {
	case s.GetSummary() != nil:
		t.applySummary(s.GetSummary())
		return nil
	case !s.GetRenewal():
		a, err := FromMessage(m)
		if err != nil {
			return err
		}
		return t.accept(sentAt, a, end, false)
	default:
		return t.applyShort(m, s.GetDigest(), end)
	}
}

// applyShort takes a renewal, a draining server or a lost server.
func (t *Table) applyShort(m *messenger.Announcement, digest uint32, end time.Time) error {
	if err := validShort(m); err != nil {
		return err
	}
	r, ok := t.records[m.GetServer()]
	if ok && !newerShort(m, r) {
		return nil
	}
	live := end.After(t.latest)
	if live && !m.GetDraining() && !matches(r, m, digest) {
		// The content is not known here, or is not the one that was renewed.
		// The sequence must not advance, or the full form would be stale.
		t.gap = true
		return nil
	}
	if !ok {
		if len(t.records) >= MaxServers {
			return errors.Wrap(ErrFull, m.GetServer())
		}
		r = t.add(m.GetServer())
	}
	t.settle(r)
	if r.Draining && m.GetIncarnation() == r.Incarnation && !m.GetDraining() {
		return errors.Wrapf(ErrDraining, "%s: incarnation %d", m.GetServer(), m.GetIncarnation())
	}
	t.renewShort(r, m, end)
	if live {
		r.suspended = false
	}
	t.count(r, false)
	return nil
}

func newerShort(m *messenger.Announcement, r *record) bool {
	a := Announcement{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()}
	return a.Newer(r.Incarnation, r.Sequence)
}

// matches reports whether r holds the content that m renews.
func matches(r *record, m *messenger.Announcement, digest uint32) bool {
	return r != nil && r.known &&
		r.Incarnation == m.GetIncarnation() &&
		r.digest == digest
}

func (t *Table) renewShort(r *record, m *messenger.Announcement, end time.Time) {
	drains := m.GetDraining() && (!r.Draining || r.Incarnation != m.GetIncarnation())
	if m.GetIncarnation() != r.Incarnation {
		// What is known belongs to a process that has ended.
		r.known = false
	}
	returned := t.extend(r, m.GetIncarnation(), end)
	r.Incarnation = m.GetIncarnation()
	r.Sequence = m.GetSequence()
	r.Draining = m.GetDraining()
	if !r.lost && !r.Draining {
		r.Load = m.GetLoad()
	}
	if drains || returned {
		r.direct = false
		t.change(r)
	}
}

// applySummary suspends the servers of a zone except those listed as staying.
// The summary cannot tell which announcement of each server it rests on, so
// its effect ends with the next newer one of the server: a server that it
// covers wrongly is back within a second or two.
func (t *Table) applySummary(m *messenger.ZoneSummary) {
	stay := map[uint32]bool{}
	for _, hash := range m.GetStaying() {
		stay[hash] = true
	}
	for name, r := range t.records {
		if !r.known || r.Zone != m.GetZone() || r.Draining || stay[nameHash(name)] {
			continue
		}
		r.suspended = true
		t.count(r, false)
	}
}

// Repair reports whether asking a peer for everything, since 0, would help:
// the lease of a server that other hosts announce is about to end, or a
// renewal arrived for content that is not known. That happens when this host
// cannot reach the host that hears the server. It is true at most once a
// second.
func (t *Table) Repair(now time.Time) bool {
	t.advance(now)
	if !t.repaired.IsZero() && now.Sub(t.repaired) < repairEvery {
		return false
	}
	if !t.gap && !t.fading() {
		return false
	}
	t.gap = false
	t.repaired = now
	return true
}

func (t *Table) fading() bool {
	for _, r := range t.records {
		if r.usable && r.LeaseEnd.Sub(t.latest) < fadeTime {
			return true
		}
	}
	return false
}
