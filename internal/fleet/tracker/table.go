// Package tracker keeps the table of known backend servers: their
// announcements, leases, incarnations, draining and flap damping. It does no
// I/O and starts no goroutine; time is an argument of each call. A Table is
// not safe for concurrent use.
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
)

// Errors that Announce returns for announcements that change nothing. They
// are tested with errors.Is.
var (
	// ErrStale means that this or a later announcement is known already.
	ErrStale = errors.New("announcement is stale")
	// ErrMoved means that address or zone changed within an incarnation.
	ErrMoved = errors.New("address or zone changed within an incarnation")
	// ErrDraining means that a draining incarnation announced itself as not
	// draining.
	ErrDraining = errors.New("draining is final within an incarnation")
)

// Server is a known backend server.
type Server struct {
	Announcement
	// LeaseEnd is when the server must no longer be used unless it is
	// announced again.
	LeaseEnd time.Time
	// Started is when the process started, by the clock of this host.
	Started time.Time
	// HeldUntil is the end of flap damping, zero if there is none.
	HeldUntil time.Time
}

// record is the table's entry for one server name.
type record struct {
	Server
	// known is false while only incarnation and sequence are known.
	known bool
	// lost is true from the end of the lease to the next newer announcement.
	lost   bool
	lostAt time.Time
	// suspended is true after a zone summary that covers the server, until a
	// newer announcement.
	suspended bool
	// usable is whether the server was usable at the last count.
	usable bool
	flaps  flaps
	// changed and renewed are the numbers of the last change of content and
	// of the last renewal heard directly; touched is the greater.
	changed uint64
	renewed uint64
	// direct is true when the last announcement came from the server itself.
	direct bool
	place  *list.Element
}

func (r *record) touched() uint64 { return max(r.changed, r.renewed) }

// usableAt reports whether new work may be sent to the server.
func (r *record) usableAt(now time.Time) bool {
	return r.known &&
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
}

// Version returns a number that grows whenever the usable set or what its
// members serve changes, and not when a lease is renewed. Changes that the
// passage of time causes are counted by the next call that takes the time.
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
// itself at the time now.
func (t *Table) Announce(now time.Time, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	return t.accept(now, a, now.Add(Lease), true)
}

// accept applies a full announcement whose lease ends at end.
func (t *Table) accept(now time.Time, a Announcement, end time.Time, direct bool) error {
	r, ok := t.records[a.Server]
	if ok && r.LeaseEnd.Before(now) {
		t.lose(r)
	}
	if err := admissible(r, a); err != nil {
		return err
	}
	if !ok {
		r = t.add(a.Server)
	}
	restarted := ok && a.Incarnation > r.Incarnation
	if restarted {
		r.flaps.restarted(now)
		r.HeldUntil = r.flaps.until
	}
	same := r.known && !restarted && !r.lost && sameContent(r.Announcement, a)
	if restarted || end.After(r.LeaseEnd) {
		r.LeaseEnd = end
	}
	r.Announcement = a
	r.Started = now.Add(-a.Uptime)
	r.known = true
	r.lost = false
	r.suspended = false
	r.direct = direct
	t.touch(r, same)
	t.count(r, now, !same)
	return nil
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
	if !r.known || a.Incarnation != r.Incarnation {
		return nil
	}
	if a.Address != r.Address || a.Zone != r.Zone {
		return errors.Wrapf(ErrMoved, "%s: incarnation %d moved from %s in %s to %s in %s",
			a.Server, a.Incarnation, r.Address, r.Zone, a.Address, a.Zone)
	}
	if r.Draining && !a.Draining {
		return errors.Wrapf(ErrDraining, "%s: incarnation %d", a.Server, a.Incarnation)
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

// touch numbers a change of r, or a renewal if nothing but the lease changed.
// Renewals that came from a peer are not numbered: each host hears them from
// the host that received them.
func (t *Table) touch(r *record, renewal bool) {
	if renewal && !r.direct {
		return
	}
	t.number++
	if renewal {
		r.renewed = t.number
	} else {
		r.changed = t.number
	}
	t.recent.MoveToFront(r.place)
}

// count brings the version up to date with r; changed states that r serves
// something else than before.
func (t *Table) count(r *record, now time.Time, changed bool) {
	usable := r.usableAt(now)
	if usable != r.usable || (usable && changed) {
		t.version++
	}
	r.usable = usable
}

// Expire ends the leases that ran out and forgets servers lost for longer
// than Memory. It returns the names of the servers that were lost since the
// last call, in order. It is called at least every 250 ms.
func (t *Table) Expire(now time.Time) []string {
	var lost []string
	for name, r := range t.records {
		if !r.lost && !now.Before(r.LeaseEnd) {
			t.lose(r)
			lost = append(lost, name)
		}
		t.count(r, now, false)
		if r.lost && now.Sub(r.lostAt) >= Memory {
			t.recent.Remove(r.place)
			delete(t.records, name)
		}
	}
	sort.Strings(lost)
	return lost
}

// lose marks the end of the lease of r. The loss of a server that is draining
// is planned and counts as no flap.
func (t *Table) lose(r *record) {
	if r.lost {
		return
	}
	r.lost = true
	r.lostAt = r.LeaseEnd
	if r.known && !r.Draining && !r.suspended {
		r.flaps.lost(r.LeaseEnd)
		r.HeldUntil = r.flaps.until
	}
}

// Usable returns the servers that new work may be sent to, ordered by name.
// It calls Expire, so that the result belongs to the Version after the call.
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
