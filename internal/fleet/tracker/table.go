// Package tracker keeps the table of known backend servers: their
// announcements, leases, incarnations, draining and flap damping. It does no
// I/O and starts no goroutine; calls that depend on time take it as an argument.
// A Table is not safe for concurrent use.
//
// The announcements of a server are ordered by (incarnation, sequence) alone. An
// announcement that is not newer changes nothing and extends no lease.
//
// The lease of a server is the time for which an announcement lets hosts use it; a
// server whose lease has ended is lost. A newer announcement of one incarnation with
// the same content is a renewal. Hosts pass on what they hear to each other by Share
// and Merge, either in full or in a short form that leaves out the content.
package tracker

import (
	"container/list"
	"sort"
	"time"

	"github.com/go-faster/errors"
)

const (
	// LeaseDuration is how long a backend server may be used after an announcement.
	LeaseDuration = 2500 * time.Millisecond
	// LostRetention is how long the last incarnation and sequence of a lost server
	// are kept. It exceeds every timeout after which a delayed announcement could
	// still arrive.
	LostRetention = 10 * time.Minute
	// MaxServers bounds the memory that announcements under ever-changing names
	// can take.
	MaxServers = 1 << 17
	// renewalShareInterval is the shortest time between two shared renewals of one
	// server. Servers announce themselves every 500 ms; sharing every second
	// renewal halves the traffic and still leaves a peer 1.25 s of the lease when
	// the next one arrives.
	renewalShareInterval = 750 * time.Millisecond
)

// Errors that ApplyAnnouncement returns for announcements that change nothing.
// Test for them with errors.Is.
var (
	// ErrStale means that the same or a later announcement is already known.
	ErrStale = errors.New("announcement is stale")
	// ErrMoved means that address or zone changed within an incarnation. The
	// zone decides who owns a server, so it must not differ between hosts
	// that know the same incarnation.
	ErrMoved = errors.New("address or zone changed within an incarnation")
	// ErrDraining means that a draining incarnation announced itself as not
	// draining.
	ErrDraining = errors.New("draining is final within an incarnation")
	// ErrFull means that MaxServers servers are known and this one is new.
	ErrFull = errors.New("too many servers are known")
)

// Server is a known backend server.
type Server struct {
	Announcement
	// LeaseEnd is when the use of the server must end unless a newer announcement
	// arrives.
	LeaseEnd time.Time
	// Started is when the process started, by the clock of this host.
	Started time.Time
	// HeldUntil is until when flap damping keeps new work from the server, zero if
	// it never did.
	HeldUntil time.Time
}

// record is the table's entry for one server name.
type record struct {
	Server
	// contentKnown is false while only incarnation and sequence are known, which
	// come from a short form.
	contentKnown bool
	// lost is true from the end of the lease to the next newer announcement.
	lost bool
	// suspended is true after a zone summary that covers the server, until
	// the next newer announcement.
	suspended bool
	// usable tells whether the server was usable at the last updateVersion.
	usable bool
	// flaps counts the server's restarts and losses.
	flaps flapDamper
	// digest is the hash of the content that renewals carry.
	digest uint32
	// changeNumber is the number that Share uses for the last change.
	changeNumber uint64
	// renewalNumber is the number that Share uses for the last renewal that was
	// numbered.
	renewalNumber uint64
	// renewalSharedAt is when renewalNumber was set.
	renewalSharedAt time.Time
	// heardDirectly is true when the last change was heard from the server itself.
	heardDirectly bool
	// recentElement is the record's element of Table.recent.
	recentElement *list.Element
}

// newestShareNumber returns the greatest number that Share uses for r.
func (r *record) newestShareNumber() uint64 { return max(r.changeNumber, r.renewalNumber) }

// usableAt reports whether new work may be sent to the server.
func (r *record) usableAt(now time.Time) bool {
	return r.contentKnown &&
		!r.lost &&
		!r.Draining &&
		!r.suspended &&
		now.Before(r.LeaseEnd) &&
		!now.Before(r.HeldUntil)
}

// Table is the set of known backend servers. The zero value is an empty
// table.
type Table struct {
	// records is keyed by the name of the server and includes lost ones.
	records map[string]*record
	// recent orders the records by newestShareNumber, the latest first, so that
	// Share visits only what is new.
	recent list.List
	// lastShareNumber is the number of the last change or renewal of any server.
	lastShareNumber uint64
	// usableVersion is the result of Version.
	usableVersion uint64
	// latestTime is the greatest time that was passed in.
	latestTime time.Time
	// missedChange is true when a renewal arrived for content that is not known,
	// until the next repair.
	missedChange bool
	// lastRepair is when NeedsRepair last returned true.
	lastRepair time.Time
	// minSummaryOverride replaces minSummaryServers unless it is 0, for tests with
	// few servers.
	minSummaryOverride int
}

// Version returns a number that grows whenever the set of usable servers or what
// they serve changes, and not when a lease is renewed. Changes caused by the
// passage of time count from the next call of Expire or Usable.
func (t *Table) Version() uint64 { return t.usableVersion }

// Len returns the number of servers known, including lost ones.
func (t *Table) Len() int { return len(t.records) }

// Get returns what is known of the named server, usable or not, and whether its
// content is known.
func (t *Table) Get(server string) (Server, bool) {
	r, ok := t.records[server]
	if !ok || !r.contentKnown {
		return Server{}, false
	}
	return r.Server, true
}

// ApplyAnnouncement applies an announcement that was received from the backend server
// itself at the time now. It returns ErrInvalid, ErrStale, ErrMoved, ErrDraining
// or ErrFull if it refuses the announcement.
func (t *Table) ApplyAnnouncement(now time.Time, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	t.advanceTime(now)
	return t.applyFull(now, a, now.Add(LeaseDuration), true)
}

// advanceTime moves the table's latest time to now unless now is earlier.
func (t *Table) advanceTime(now time.Time) {
	if now.After(t.latestTime) {
		t.latestTime = now
	}
}

// applyFull applies an announcement in full that was valid at the time heardAt and
// whose lease ends at end. It returns an error if the present record of the server
// may not be replaced.
func (t *Table) applyFull(heardAt time.Time, a Announcement, end time.Time, heardDirectly bool) error {
	r, ok := t.records[a.ServerName]
	if err := admissionError(r, a); err != nil {
		return err
	}
	if !ok {
		if len(t.records) >= MaxServers {
			return errors.Wrap(ErrFull, a.ServerName)
		}
		r = t.addRecord(a.ServerName)
	}
	t.expireLease(r)
	contentChanged := !r.contentKnown || a.Incarnation != r.Incarnation || !sameContent(r.Announcement, a)
	if !r.contentKnown || a.Incarnation != r.Incarnation {
		r.Started = heardAt.Add(-a.Uptime)
	}
	appeared := t.extendLease(r, a.Incarnation, end)
	r.Announcement = a
	r.contentKnown = true
	r.suspended = false
	if contentChanged {
		r.digest = contentDigest(a)
	}
	if contentChanged || appeared {
		r.heardDirectly = heardDirectly
		t.numberChange(r)
	} else if heardDirectly {
		t.numberRenewal(r, heardAt)
	}
	t.updateVersion(r, contentChanged)
	return nil
}

// extendLease moves the end of the lease for a newer announcement and reports
// whether the server has appeared: it is new, has restarted or was lost. A lease
// that ended by the table's latest time, as in a delayed reply, makes no server
// usable again.
func (t *Table) extendLease(r *record, incarnation uint64, end time.Time) bool {
	restarted := r.Incarnation != 0 && incarnation > r.Incarnation
	firstSeen := r.Incarnation == 0
	if restarted || end.After(r.LeaseEnd) {
		r.LeaseEnd = end
	}
	if !r.LeaseEnd.After(t.latestTime) {
		r.lost = true
		return false
	}
	wasLost := r.lost
	r.lost = false
	if restarted || (wasLost && !firstSeen) {
		if hold := r.flaps.recordReturn(t.latestTime, restarted); hold > 0 {
			r.HeldUntil = t.latestTime.Add(hold)
		}
	}
	return firstSeen || restarted || wasLost
}

// admissionError returns why a may not replace what r holds, or nil if it may; r is
// nil for a new server.
func admissionError(r *record, a Announcement) error {
	if r == nil {
		return nil
	}
	if !a.Newer(r.Incarnation, r.Sequence) {
		return errors.Wrapf(ErrStale, "%s: incarnation %d sequence %d is not newer than incarnation %d sequence %d",
			a.ServerName, a.Incarnation, a.Sequence, r.Incarnation, r.Sequence)
	}
	if a.Incarnation != r.Incarnation {
		return nil
	}
	if r.Draining && !a.Draining {
		return errors.Wrapf(ErrDraining, "%s: incarnation %d", a.ServerName, a.Incarnation)
	}
	if r.contentKnown && (a.Address != r.Address || a.Zone != r.Zone) {
		return errors.Wrapf(ErrMoved, "%s: incarnation %d moved from %s in %s to %s in %s",
			a.ServerName, a.Incarnation, r.Address, r.Zone, a.Address, a.Zone)
	}
	return nil
}

// addRecord adds an empty record for a server.
func (t *Table) addRecord(server string) *record {
	if t.records == nil {
		t.records = map[string]*record{}
	}
	r := &record{}
	r.ServerName = server
	r.recentElement = t.recent.PushFront(r)
	t.records[server] = r
	return r
}

// numberChange gives r the next number for Share after a change of its content, its
// presence or to draining.
func (t *Table) numberChange(r *record) {
	t.lastShareNumber++
	r.changeNumber = t.lastShareNumber
	t.recent.MoveToFront(r.recentElement)
}

// numberRenewal gives r the next number for Share after a renewal that was heard
// from the server itself, at most once per renewalShareInterval. Renewals that
// came from a peer are not passed on: every host hears them from the host that
// received them, and NeedsRepair covers a host that cannot.
func (t *Table) numberRenewal(r *record, now time.Time) {
	if r.Draining || now.Sub(r.renewalSharedAt) < renewalShareInterval {
		return
	}
	t.lastShareNumber++
	r.renewalNumber = t.lastShareNumber
	r.renewalSharedAt = now
	t.recent.MoveToFront(r.recentElement)
}

// updateVersion increments the version if r became usable or unusable, or if it is
// usable and contentChanged tells that it serves something else than before.
func (t *Table) updateVersion(r *record, contentChanged bool) {
	usable := r.usableAt(t.latestTime)
	if usable != r.usable || (usable && contentChanged) {
		t.usableVersion++
	}
	r.usable = usable
}

// Expire ends the leases that ran out and drops the records of servers lost for
// LostRetention. It returns the sorted names of the servers that this call found
// lost. The owner of the table calls it at least every 250 ms.
func (t *Table) Expire(now time.Time) []string {
	t.advanceTime(now)
	var lost []string
	for name, r := range t.records {
		if t.expireLease(r) {
			lost = append(lost, name)
		}
		t.updateVersion(r, false)
		if r.lost && t.latestTime.Sub(r.LeaseEnd) >= LostRetention {
			t.recent.Remove(r.recentElement)
			delete(t.records, name)
		}
	}
	sort.Strings(lost)
	return lost
}

// expireLease marks r as lost if its lease has ended and reports whether it became
// lost by that. The loss of a draining server is planned and counts as no flap.
func (t *Table) expireLease(r *record) bool {
	if r.lost || r.Incarnation == 0 || t.latestTime.Before(r.LeaseEnd) {
		return false
	}
	r.lost = true
	if r.contentKnown && !r.Draining && !r.suspended {
		r.flaps.recordLoss(r.LeaseEnd)
	}
	return true
}

// Usable returns the servers that new work may be sent to, ordered by name. It
// calls Expire first, so that the result belongs to the Version after the call.
// The slices within the result are shared and must not be modified.
func (t *Table) Usable(now time.Time) []Server {
	t.Expire(now)
	var names []string
	for name, r := range t.records {
		if r.usable {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	servers := make([]Server, 0, len(names))
	for _, name := range names {
		servers = append(servers, t.records[name].Server)
	}
	return servers
}
