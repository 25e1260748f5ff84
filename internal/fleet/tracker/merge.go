package tracker

import (
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

const (
	// minRemainingLease is the remaining lease below which the renewal of a
	// usable server is overdue. Renewals from peers arrive with 1.25 s or more
	// remaining.
	minRemainingLease = 750 * time.Millisecond
	// repairInterval bounds the traffic of repairs when many renewals are overdue
	// at once.
	repairInterval = time.Second
)

// Merge applies a peer's reply to a Share request that this host sent at the time
// sentAt. Leases are counted from then, so that the clocks of the hosts need not
// agree and a delay only shortens a lease. Messages that are not newer than the
// table's records change nothing and are no error. Messages that break a rule are
// skipped, and the error joins theirs (ErrInvalid, ErrMoved, ErrDraining, ErrFull).
func (t *Table) Merge(sentAt time.Time, shared ...*messenger.Shared) error {
	t.advanceTime(sentAt)
	var errs []error
	for _, s := range shared {
		err := t.mergeOne(sentAt, s)
		if err != nil && !errors.Is(err, ErrStale) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// mergeOne applies one message of a reply: a zone summary, an announcement in full
// or one in the short form.
func (t *Table) mergeOne(sentAt time.Time, s *messenger.Shared) error {
	m := s.GetAnnouncement()
	remaining := min(max(0, s.GetRemaining().AsDuration()), LeaseDuration)
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
		return t.applyFull(sentAt, a, end, false)
	default:
		return t.applyShortForm(m, s.GetDigest(), end)
	}
}

// applyShortForm applies a short form, which reports a renewal, a draining server or
// a lost server.
func (t *Table) applyShortForm(m *messenger.Announcement, digest uint32, end time.Time) error {
	if err := validateShortForm(m); err != nil {
		return err
	}
	r, ok := t.records[m.GetServer()]
	if ok && !newerShortForm(m, r) {
		return nil
	}
	live := end.After(t.latestTime)
	if live && !m.GetDraining() && !renewsContent(r, m, digest) {
		// The content is not known here, or is not the one that was renewed.
		// The sequence must not advance, or the full form would be stale.
		t.missedChange = true
		return nil
	}
	if !ok {
		if len(t.records) >= MaxServers {
			return errors.Wrap(ErrFull, m.GetServer())
		}
		r = t.addRecord(m.GetServer())
	}
	t.expireLease(r)
	if r.Draining && m.GetIncarnation() == r.Incarnation && !m.GetDraining() {
		return errors.Wrapf(ErrDraining, "%s: incarnation %d", m.GetServer(), m.GetIncarnation())
	}
	t.updateFromShortForm(r, m, end)
	if live {
		r.suspended = false
	}
	t.updateVersion(r, false)
	return nil
}

// newerShortForm reports whether the short form m is later than what r holds.
func newerShortForm(m *messenger.Announcement, r *record) bool {
	a := Announcement{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()}
	return a.Newer(r.Incarnation, r.Sequence)
}

// renewsContent reports whether r holds the content that m renews.
func renewsContent(r *record, m *messenger.Announcement, digest uint32) bool {
	return r != nil && r.contentKnown &&
		r.Incarnation == m.GetIncarnation() &&
		r.digest == digest
}

// updateFromShortForm applies a newer short form to r, and numbers it as a change if
// the server starts to drain or was absent before.
func (t *Table) updateFromShortForm(r *record, m *messenger.Announcement, end time.Time) {
	startsDraining := m.GetDraining() && (!r.Draining || r.Incarnation != m.GetIncarnation())
	if m.GetIncarnation() != r.Incarnation {
		// The content belongs to a process that has ended.
		r.contentKnown = false
	}
	appeared := t.extendLease(r, m.GetIncarnation(), end)
	r.Incarnation = m.GetIncarnation()
	r.Sequence = m.GetSequence()
	r.Draining = m.GetDraining()
	if !r.lost && !r.Draining {
		r.Load = m.GetLoad()
	}
	if startsDraining || appeared {
		r.heardDirectly = false
		t.numberChange(r)
	}
}

// applySummary suspends the servers of a zone except those listed as staying. The
// summary doesn't tell on which announcement of each server it is based, so a
// suspension ends with the next newer announcement of the server: a server that
// the summary covers wrongly is back within a second or two.
func (t *Table) applySummary(m *messenger.ZoneSummary) {
	stayingHashes := map[uint32]bool{}
	for _, hash := range m.GetStaying() {
		stayingHashes[hash] = true
	}
	for name, r := range t.records {
		if !r.contentKnown || r.Zone != m.GetZone() || r.Draining || stayingHashes[nameHash(name)] {
			continue
		}
		r.suspended = true
		t.updateVersion(r, false)
	}
}

// NeedsRepair reports whether this host should now request everything from a peer,
// with 0 as the number for Share: the renewal of a usable server is overdue, or a
// renewal arrived for content that is not known. That happens when this host
// cannot reach the host that hears the server. It returns true at most once a
// second and takes each true as a repair that is under way.
func (t *Table) NeedsRepair(now time.Time) bool {
	t.advanceTime(now)
	if !t.lastRepair.IsZero() && now.Sub(t.lastRepair) < repairInterval {
		return false
	}
	if !t.missedChange && !t.anyLeaseOverdue() {
		return false
	}
	t.missedChange = false
	t.lastRepair = now
	return true
}

// anyLeaseOverdue reports whether the renewal of any usable server is overdue.
func (t *Table) anyLeaseOverdue() bool {
	for _, r := range t.records {
		if r.usable && r.LeaseEnd.Sub(t.latestTime) < minRemainingLease {
			return true
		}
	}
	return false
}
