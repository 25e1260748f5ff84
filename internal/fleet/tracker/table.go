// Package tracker keeps the table of known backend servers: their
// announcements, leases, incarnations, draining and flap damping. It does no
// I/O and starts no goroutine; time is an argument of each call. A Table is
// not safe for concurrent use.
//
// The order of announcements is decided by (incarnation, sequence) alone. An
// announcement that is not newer changes nothing and extends no lease.
package tracker

import (
	"container/list"
	"sort"
	"time"

	"github.com/go-faster/errors"
)

const (
	// Lease is how long a backend server may be used after an announcement.
	Lease = 2500 * time.Millisecond
	// Memory is how long the last incarnation and sequence of a lost server
	// are remembered. It exceeds every timeout after which a delayed
	// announcement could still arrive.
	Memory = 10 * time.Minute
	// MaxServers bounds the memory that announcements under ever new names
	// can take.
	MaxServers = 1 << 17
	// renewEvery is the least time between two renewals of one server that
	// are shared. Servers announce themselves every 500 ms; sharing every
	// second renewal halves the traffic and still leaves a peer 1.25 s of the
	// lease when the next one arrives.
	renewEvery = 750 * time.Millisecond
)

// Errors that Announce returns for announcements that change nothing. They
// are tested with errors.Is.
var (
	// ErrStale means that this or a later announcement is known already.
	ErrStale = errors.New("announcement is stale")
	// ErrMoved means that address or zone changed within an incarnation. The
	// zone decides who owns a server, so it must not differ between hosts
	// that know the same incarnation.
	ErrMoved = errors.New("address or zone changed within an incarnation")
	// ErrDraining means that a draining incarnation announced itself as not
	// draining.
	ErrDraining = errors.New("draining is final within an incarnation")
	// ErrFull means that MaxServers are known and this one is new.
	ErrFull = errors.New("too many servers are known")
)

// Server is a known backend server.
type Server struct {
	Announcement
	// LeaseEnd is when the server must no longer be used unless it is
	// announced again.
	LeaseEnd time.Time
	// Started is when the process started, by the clock of this host.
	Started time.Time
	// HeldUntil is the end of flap damping, zero if there was none.
	HeldUntil time.Time
}

// record is the table's entry for one server name.
type record struct {
	Server
	// known is false while only incarnation and sequence are known.
	known bool
	// lost is true from the end of the lease to the next newer announcement.
	lost bool
	// suspended is true after a zone summary that covers the server, until
	// the next newer announcement.
	suspended bool
	// usable is whether the server was usable when last looked at.
	usable bool
	flaps  flaps
	// digest of the content, sent with renewals.
	digest uint32
	// changed and renewed are the numbers of the last change of content and
	// of the last renewal shared; touched is the greater.
	changed   uint64
	renewed   uint64
	renewedAt time.Time
	// direct is true when the last change was heard from the server itself.
	direct bool
	place  *list.Element
}

func (r *record) touched() uint64 { return max(r.changed, r.renewed) }

// usableAt reports whether new work may be sent to the server.
func (r *record) usableAt(now time.Time) bool {
	return r.known &&
		!r.lost &&
		!r.Draining &&
		!r.suspended &&
		now.Before(r.LeaseEnd) &&
		!now.Before(r.HeldUntil)
}

// Table is the set of known backend servers. The zero value is an empty
// table.
type Table struct {
	records map[string]*record
	// recent orders the records by touched, the latest first, so that Share
	// visits only what is new.
	recent list.List
	number uint64
	// version grows whenever the usable set or what it serves changes.
	version uint64
	// latest is the greatest time that was passed in.
	latest time.Time
	// gap is true when a renewal arrived for content that is not known.
	gap      bool
	repaired time.Time
	// summaryLeast replaces the constant unless it is 0, for tests with few
	// servers.
	summaryLeast int
}

// Version returns a number that grows whenever the usable set or what its
// members serve changes, and not when a lease is renewed. Changes that the
// passage of time causes are counted by the next Expire or Usable.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of servers known, including lost ones.
func (t *Table) Len() int { return len(t.records) }

// Get returns what is known of the named server, usable or not, and whether
// its content is known at all.
func (t *Table) Get(server string) (Server, bool) {
	r, ok := t.records[server]
	if !ok || !r.known {
		return Server{}, false
	}
	return r.Server, true
}

// Announce takes an announcement that was received from the backend server
// itself at the time now. The errors are ErrInvalid, ErrStale, ErrMoved,
// ErrDraining and ErrFull.
func (t *Table) Announce(now time.Time, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	t.advance(now)
	return t.accept(now, a, now.Add(Lease), true)
}

func (t *Table) advance(now time.Time) {
	if now.After(t.latest) {
		t.latest = now
	}
}

// accept applies a full announcement that was valid at the time heard and
// whose lease ends at end.
func (t *Table) accept(heard time.Time, a Announcement, end time.Time, direct bool) error {
	r, ok := t.records[a.Server]
	if err := admissible(r, a); err != nil {
		return err
	}
	if !ok {
		if len(t.records) >= MaxServers {
			return errors.Wrap(ErrFull, a.Server)
		}
		r = t.add(a.Server)
	}
	t.settle(r)
	content := !r.known || a.Incarnation != r.Incarnation || !sameContent(r.Announcement, a)
	if !r.known || a.Incarnation != r.Incarnation {
		r.Started = heard.Add(-a.Uptime)
	}
	returned := t.extend(r, a.Incarnation, end)
	r.Announcement = a
	r.known = true
	r.suspended = false
	if content {
		r.digest = digest(a)
	}
	if content || returned {
		r.direct = direct
		t.change(r)
	} else if direct {
		t.renew(r, heard)
	}
	t.count(r, content)
	return nil
}

// extend moves the end of the lease for a newer announcement and reports
// whether the server was absent before. A lease that ended before the table's
// latest time, as in a reply that was delayed, revives nothing.
func (t *Table) extend(r *record, incarnation uint64, end time.Time) bool {
	restarted := r.Incarnation != 0 && incarnation > r.Incarnation
	fresh := r.Incarnation == 0
	if restarted || end.After(r.LeaseEnd) {
		r.LeaseEnd = end
	}
	if !r.LeaseEnd.After(t.latest) {
		r.lost = true
		return false
	}
	wasLost := r.lost
	r.lost = false
	if restarted || (wasLost && !fresh) {
		if hold := r.flaps.returned(t.latest, restarted); hold > 0 {
			r.HeldUntil = t.latest.Add(hold)
		}
	}
	return fresh || restarted || wasLost
}

// admissible returns why a may not replace what r holds; r may be nil.
func admissible(r *record, a Announcement) error {
	if r == nil {
		return nil
	}
	if !a.Newer(r.Incarnation, r.Sequence) {
		return errors.Wrapf(ErrStale, "%s: incarnation %d sequence %d after %d, %d",
			a.Server, a.Incarnation, a.Sequence, r.Incarnation, r.Sequence)
	}
	if a.Incarnation != r.Incarnation {
		return nil
	}
	if r.Draining && !a.Draining {
		return errors.Wrapf(ErrDraining, "%s: incarnation %d", a.Server, a.Incarnation)
	}
	if r.known && (a.Address != r.Address || a.Zone != r.Zone) {
		return errors.Wrapf(ErrMoved, "%s: incarnation %d moved from %s in %s to %s in %s",
			a.Server, a.Incarnation, r.Address, r.Zone, a.Address, a.Zone)
	}
	return nil
}

func (t *Table) add(server string) *record {
	if t.records == nil {
		t.records = map[string]*record{}
	}
	r := &record{}
	r.Server.Server = server
	r.place = t.recent.PushFront(r)
	t.records[server] = r
	return r
}

// change numbers a change of content, of presence or to draining.
func (t *Table) change(r *record) {
	t.number++
	r.changed = t.number
	t.recent.MoveToFront(r.place)
}

// renew numbers a renewal that was heard from the server itself. Renewals
// that came from a peer are not passed on: every host hears them from the
// host that received them, and Repair covers a host that cannot.
func (t *Table) renew(r *record, now time.Time) {
	if r.Draining || now.Sub(r.renewedAt) < renewEvery {
		return
	}
	t.number++
	r.renewed = t.number
	r.renewedAt = now
	t.recent.MoveToFront(r.place)
}

// count brings the version up to date with r; content states that r serves
// something else than before.
func (t *Table) count(r *record, content bool) {
	usable := r.usableAt(t.latest)
	if usable != r.usable || (usable && content) {
		t.version++
	}
	r.usable = usable
}

// Expire ends the leases that ran out and forgets servers lost for longer
// than Memory. It returns the names of the servers lost since the last call,
// in order. The owner of the table calls it at least every 250 ms.
func (t *Table) Expire(now time.Time) []string {
	t.advance(now)
	var lost []string
	for name, r := range t.records {
		if t.settle(r) {
			lost = append(lost, name)
		}
		t.count(r, false)
		if r.lost && t.latest.Sub(r.LeaseEnd) >= Memory {
			t.recent.Remove(r.place)
			delete(t.records, name)
		}
	}
	sort.Strings(lost)
	return lost
}

// settle marks r as lost if its lease has ended and reports whether it was
// not so marked before. The loss of a server that is draining is planned and
// counts as no flap.
func (t *Table) settle(r *record) bool {
	if r.lost || r.Incarnation == 0 || t.latest.Before(r.LeaseEnd) {
		return false
	}
	r.lost = true
	if r.known && !r.Draining && !r.suspended {
		r.flaps.lost(r.LeaseEnd)
	}
	return true
}

// Usable returns the servers that new work may be sent to, ordered by name.
// It calls Expire, so that the result belongs to the Version after the call.
// The slices within the result are shared and must not be changed.
func (t *Table) Usable(now time.Time) []Server {
	t.Expire(now)
	var servers []Server
	for _, r := range t.records {
		if r.usable {
			servers = append(servers, r.Server)
		}
	}
	sort.Slice(servers, func(i, j int) bool {
		return servers[i].Server < servers[j].Server
	})
	return servers
}
