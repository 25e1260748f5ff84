// Package registrar keeps the registry of backend servers that the control
// hosts replicate. It reads no clock and does no I/O, so that hosts which apply
// the same changes hold the same registry.
//
// The order of what a server says is decided by (incarnation, sequence) alone.
// Only changes enter the replicated log; a check-in that repeats what is known
// is a renewal, which the leader remembers by itself.
package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// Memory is how long a server that has gone is remembered. It exceeds every
	// delay after which one of its check-ins can still arrive.
	Memory = 10 * time.Minute
	// maxGone bounds the servers that have gone and are remembered.
	maxGone = 8192
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=State,Verdict -linecomment -output=enums_string.go

// State is what a backend server is good for.
type State uint8

// States of a backend server.
const (
	// Ready servers take work.
	Ready State = iota // ready
	// Silent servers have not checked in for a while. They take work only where
	// no other server is left: check-ins may be late or cut off.
	Silent // silent
	// Draining servers take no new work. Draining is final in an incarnation.
	Draining // draining
	// Gone servers have ended. It is final in an incarnation.
	Gone // gone
)

// Server is what is known of one backend server.
type Server struct {
	Name    string
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Incarnation grows with each start of the server, Sequence with each
	// check-in of one incarnation. Incarnation 0 means that it is unknown.
	Incarnation uint64
	Sequence    uint64
	State       State
	// Cold is how much longer the server is slow, at its first check-in.
	Cold time.Duration
	// Changed is the index of the change that made this record.
	Changed uint64
	// Ended is when the server was found to have gone.
	Ended time.Time
}

// sameContent reports whether two check-ins of one incarnation say the same.
func (s Server) sameContent(o Server) bool {
	return s.Service == o.Service && s.Address == o.Address && s.Zone == o.Zone && s.Slots == o.Slots && s.State == o.State
}

// Verdict says what a check-in means for the registry.
type Verdict uint8

// Verdicts on a check-in.
const (
	// Stale check-ins are older than what is known and change nothing.
	Stale Verdict = iota // stale
	// Renewal repeats what is known.
	Renewal // renewal
	// Change has to enter the log.
	Change // change
)

// Registry is the set of known backend servers. Use New.
type Registry struct {
	records map[string]*Server
	// addresses holds the server that uses an address and has not gone.
	addresses map[netip.AddrPort]string
	// floor is the index of the newest change that was forgotten.
	floor uint64
	last  uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[string]*Server{}, addresses: map[netip.AddrPort]string{}}
}

// Judge says what a check-in means.
func (r *Registry) Judge(s Server) Verdict {
	old, ok := r.records[s.Name]
	if !ok {
		if s.State == Gone || s.State == Silent || r.outlived(s) {
			return Stale
		}
		return Change
	}
	if s.State == Gone && s.Incarnation == 0 {
		// The end of a server may be announced without its incarnation.
		if old.State == Gone {
			return Stale
		}
		return Change
	}
	switch {
	case s.Incarnation < old.Incarnation:
		return Stale
	case s.Incarnation > old.Incarnation:
		if s.State == Silent || r.outlived(s) {
			return Stale
		}
		return Change
	}
	return judgeSame(*old, s)
}

// judgeSame compares two check-ins of one incarnation.
func judgeSame(old, s Server) Verdict {
	switch {
	case old.State == Gone:
		return Stale
	case s.State == Gone:
		return Change
	case s.State == Silent:
		if old.State == Ready && s.Sequence >= old.Sequence {
			return Change
		}
		return Stale
	case s.Sequence <= old.Sequence || old.State == Draining && s.State == Ready:
		return Stale
	case s.sameContent(old):
		return Renewal
	}
	return Change
}

// outlived reports whether another server with a later start uses the address:
// a delayed check-in of its predecessor must not take the address back.
func (r *Registry) outlived(s Server) bool {
	other, ok := r.addresses[s.Address]
	return ok && other != s.Name && r.records[other].Incarnation > s.Incarnation
}

// Apply takes one change with the log index and the time of its command. It
// reports whether the registry changed; indexes must not decrease.
func (r *Registry) Apply(index uint64, now time.Time, s Server) bool {
	if r.Judge(s) != Change {
		return false
	}
	if s.State == Gone || s.State == Silent {
		// Both speak of the record that is known.
		old := r.records[s.Name]
		if s.Incarnation > old.Incarnation {
			old.Incarnation = s.Incarnation
		}
		r.mark(old, index, now, s.State)
		r.forget(now)
		return true
	}
	if other, ok := r.addresses[s.Address]; ok && other != s.Name {
		r.mark(r.records[other], index, now, Gone)
	}
	if old, ok := r.records[s.Name]; ok {
		r.release(old)
	}
	s.Changed = index
	r.records[s.Name] = &s
	r.addresses[s.Address] = s.Name
	r.last = index
	return true
}

func (r *Registry) mark(old *Server, index uint64, now time.Time, state State) {
	old.State = state
	old.Changed = index
	r.last = index
	if state == Gone {
		old.Ended = now
		r.release(old)
	}
}

func (r *Registry) release(old *Server) {
	if r.addresses[old.Address] == old.Name {
		delete(r.addresses, old.Address)
	}
}

// forget drops servers that went long ago, and the oldest of too many.
func (r *Registry) forget(now time.Time) {
	var gone []*Server
	for _, rec := range r.records {
		if rec.State == Gone {
			gone = append(gone, rec)
		}
	}
	slices.SortFunc(gone, func(a, b *Server) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Name, b.Name))
	})
	for i, rec := range gone {
		if now.Sub(rec.Ended) < Memory && len(gone)-i <= maxGone {
			return
		}
		r.floor = max(r.floor, rec.Changed)
		delete(r.records, rec.Name)
	}
}

// Last returns the index of the last change.
func (r *Registry) Last() uint64 { return r.last }

// Floor returns the index of the newest change that was forgotten.
func (r *Registry) Floor() uint64 { return r.floor }

// Get returns the record of a server.
func (r *Registry) Get(name string) (Server, bool) {
	rec, ok := r.records[name]
	if !ok {
		return Server{}, false
	}
	return *rec, true
}

// Since returns the records that changed after index, in order of their
// changes. Complete is true when a holder of index may have missed changes that
// were forgotten; the list then holds every server that has not gone and
// replaces all that the holder knows.
func (r *Registry) Since(index uint64) (list []Server, complete bool) {
	complete = index < r.floor || index == 0
	for _, rec := range r.records {
		if complete && rec.State != Gone || !complete && rec.Changed > index {
			list = append(list, *rec)
		}
	}
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Changed, b.Changed), cmp.Compare(a.Name, b.Name))
	})
	return list, complete
}

// Each calls f for every server that has not gone.
func (r *Registry) Each(f func(Server)) {
	for _, rec := range r.records {
		if rec.State != Gone {
			f(*rec)
		}
	}
}

// List returns all records ordered by name, for a snapshot.
func (r *Registry) List() []Server {
	var list []Server
	for _, name := range slices.Sorted(maps.Keys(r.records)) {
		list = append(list, *r.records[name])
	}
	return list
}

// Load returns the registry of a snapshot.
func Load(list []Server, floor uint64) *Registry {
	r := New()
	r.floor = floor
	r.last = floor
	for _, s := range list {
		r.records[s.Name] = &s
		r.last = max(r.last, s.Changed)
		if s.State != Gone {
			r.addresses[s.Address] = s.Name
		}
	}
	return r
}
