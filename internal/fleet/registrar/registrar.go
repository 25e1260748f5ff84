// Package registrar keeps the registry of backend servers that the control
// hosts replicate. It reads no clock and does no I/O, so that hosts which apply
// the same changes hold the same registry.
//
// The check-ins of a server are ordered by (incarnation, sequence) alone. Only
// changes enter the replicated log; a check-in that repeats what is known is a
// renewal, which only the leader notes.
package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// GoneRetention is how long the record of a gone server is kept. It exceeds
	// every delay after which one of its check-ins can still arrive.
	GoneRetention = 10 * time.Minute
	// maxGoneRecords bounds the memory of the records of gone servers.
	maxGoneRecords = 8192
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=State,Verdict -linecomment -output=enums_string.go

// State tells whether a backend server takes work.
type State uint8

// States of a backend server.
const (
	// Ready servers take work.
	Ready State = iota // ready
	// Silent servers have not checked in for a while. They take work only where
	// no other server is left, because their check-ins may only be late or cut
	// off.
	Silent // silent
	// Draining servers take no new work. Within an incarnation, only Gone can
	// follow.
	Draining // draining
	// Gone servers have ended. The state is final within an incarnation.
	Gone // gone
)

// Server is the record of one backend server, or one check-in of it. A check-in is a
// message by which a backend server reports its state to the control hosts.
type Server struct {
	// Name is unique among the backend servers.
	Name string
	// Service is the name of the service that the server belongs to.
	Service string
	// Address is where the server takes requests.
	Address netip.AddrPort
	// Zone is the server's availability zone.
	Zone string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Incarnation grows with each start of the server. Incarnation 0 means that the
	// incarnation is unknown.
	Incarnation uint64
	// Sequence grows with each check-in of one incarnation.
	Sequence uint64
	State    State
	// ColdRemaining is the remaining warm-up time, during which the server is slow, as of
	// the check-in that made this record.
	ColdRemaining time.Duration
	// ChangeIndex is the log index of the last change of this record.
	ChangeIndex uint64
	// EndedAt is when the server was found to be gone; it is set only then.
	EndedAt time.Time
}

// sameContent reports whether two check-ins of one incarnation differ at most in
// sequence and remaining warm-up time.
func (s Server) sameContent(o Server) bool {
	return s.Service == o.Service && s.Address == o.Address && s.Zone == o.Zone && s.Slots == o.Slots && s.State == o.State
}

// Verdict tells what a check-in means for the registry.
type Verdict uint8

// Verdicts on a check-in.
const (
	// VerdictStale: the check-in is older than what is known and changes nothing.
	VerdictStale Verdict = iota // stale
	// VerdictRenewal: the check-in is newer and repeats what is known.
	VerdictRenewal // renewal
	// VerdictChange: the check-in changes the registry and must enter the log.
	VerdictChange // change
	// VerdictCold: the check-in is newer and repeats what is known, except that the server
	// is cold for a time. Whether that time only runs down is known to who keeps a clock;
	// the check-in changes the registry if it enters the log.
	VerdictCold // cold
)

// Registry is the set of known backend servers. Use New.
type Registry struct {
	// records holds the servers by name, gone ones included.
	records map[string]*Server
	// nameByAddress holds the name of the server at each address, unless it is
	// gone.
	nameByAddress map[netip.AddrPort]string
	// lastForgotten is the log index of the newest change whose record was
	// dropped.
	lastForgotten uint64
	// lastChange is the log index of the last change.
	lastChange uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[string]*Server{}, nameByAddress: map[netip.AddrPort]string{}}
}

// Classify returns what a check-in means for the registry, without changing it.
func (r *Registry) Classify(s Server) Verdict {
	old, ok := r.records[s.Name]
	if !ok {
		if s.State == Gone || s.State == Silent || r.addressTakenOver(s) {
			return VerdictStale
		}
		return VerdictChange
	}
	if s.State == Gone && s.Incarnation == 0 {
		// The end of a server may be announced without its incarnation.
		if old.State == Gone {
			return VerdictStale
		}
		return VerdictChange
	}
	switch {
	case s.Incarnation < old.Incarnation:
		return VerdictStale
	case s.Incarnation > old.Incarnation:
		if s.State == Silent || r.addressTakenOver(s) {
			return VerdictStale
		}
		return VerdictChange
	}
	return classifySameIncarnation(*old, s)
}

// classifySameIncarnation returns what the check-in s means when old is the record
// of the same incarnation.
func classifySameIncarnation(old, s Server) Verdict {
	switch {
	case old.State == Gone:
		return VerdictStale
	case s.State == Gone:
		return VerdictChange
	case s.State == Silent:
		if old.State == Ready && s.Sequence >= old.Sequence {
			return VerdictChange
		}
		return VerdictStale
	case s.Sequence <= old.Sequence || old.State == Draining && s.State == Ready:
		return VerdictStale
	case s.sameContent(old) && s.ColdRemaining > 0:
		return VerdictCold
	case s.sameContent(old):
		return VerdictRenewal
	}
	return VerdictChange
}

// addressTakenOver reports whether another server that started later uses the
// address of s: a delayed check-in of its predecessor must not take the address
// back.
func (r *Registry) addressTakenOver(s Server) bool {
	other, ok := r.nameByAddress[s.Address]
	return ok && other != s.Name && r.records[other].Incarnation > s.Incarnation
}

// Apply applies a check-in with the log index and the time of its command, unless
// it is stale or a renewal. It reports whether the registry changed. Indexes must
// not decrease. A server that takes over an address ends the one that used it.
func (r *Registry) Apply(index uint64, now time.Time, s Server) bool {
	if v := r.Classify(s); v != VerdictChange && v != VerdictCold {
		return false
	}
	if s.State == Gone || s.State == Silent {
		// Both change only the state of the known record.
		old := r.records[s.Name]
		if s.Incarnation > old.Incarnation {
			old.Incarnation = s.Incarnation
		}
		r.setState(old, index, now, s.State)
		r.forgetGone(now)
		return true
	}
	if other, ok := r.nameByAddress[s.Address]; ok && other != s.Name {
		r.setState(r.records[other], index, now, Gone)
	}
	if old, ok := r.records[s.Name]; ok {
		r.releaseAddress(old)
	}
	s.ChangeIndex = index
	r.records[s.Name] = &s
	r.nameByAddress[s.Address] = s.Name
	r.lastChange = index
	return true
}

// setState sets the state of a record; now becomes the end of a gone server.
func (r *Registry) setState(old *Server, index uint64, now time.Time, state State) {
	old.State = state
	old.ChangeIndex = index
	r.lastChange = index
	if state == Gone {
		old.EndedAt = now
		r.releaseAddress(old)
	}
}

// releaseAddress frees the address of a record, unless another server has taken it.
func (r *Registry) releaseAddress(old *Server) {
	if r.nameByAddress[old.Address] == old.Name {
		delete(r.nameByAddress, old.Address)
	}
}

// forgetGone drops the records of servers that have been gone for GoneRetention,
// and the oldest ones beyond maxGoneRecords.
func (r *Registry) forgetGone(now time.Time) {
	var gone []*Server
	for _, rec := range r.records {
		if rec.State == Gone {
			gone = append(gone, rec)
		}
	}
	slices.SortFunc(gone, func(a, b *Server) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Name, b.Name))
	})
	for i, rec := range gone {
		if now.Sub(rec.EndedAt) < GoneRetention && len(gone)-i <= maxGoneRecords {
			return
		}
		r.lastForgotten = max(r.lastForgotten, rec.ChangeIndex)
		delete(r.records, rec.Name)
	}
}

// LastChange returns the log index of the last change.
func (r *Registry) LastChange() uint64 { return r.lastChange }

// Floor returns the log index of the newest change whose record was dropped. A caller
// that knows the registry only up to an earlier index may have missed that change.
func (r *Registry) Floor() uint64 { return r.lastForgotten }

// Get returns the record of a server, gone or not, and whether there is one.
func (r *Registry) Get(name string) (Server, bool) {
	rec, ok := r.records[name]
	if !ok {
		return Server{}, false
	}
	return *rec, true
}

// ChangesSince returns the records that changed after index, in order of their
// changes. Complete is true when a caller that knows the registry up to index may
// have missed changes whose records were dropped, and when index is 0; the list
// then holds every server that is not gone and replaces all that the caller knows.
func (r *Registry) ChangesSince(index uint64) (list []Server, complete bool) {
	complete = index < r.lastForgotten || index == 0
	for _, rec := range r.records {
		if complete && rec.State != Gone || !complete && rec.ChangeIndex > index {
			list = append(list, *rec)
		}
	}
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.ChangeIndex, b.ChangeIndex), cmp.Compare(a.Name, b.Name))
	})
	return list, complete
}

// EachPresent calls f for every server that is not gone, in no particular order.
func (r *Registry) EachPresent(f func(Server)) {
	for _, rec := range r.records {
		if rec.State != Gone {
			f(*rec)
		}
	}
}

// Records returns all records, those of gone servers included, ordered by name, for
// a snapshot.
func (r *Registry) Records() []Server {
	var list []Server
	for _, name := range slices.Sorted(maps.Keys(r.records)) {
		list = append(list, *r.records[name])
	}
	return list
}

// Restore returns the registry of a snapshot, from the records and the floor that
// Records and Floor returned.
func Restore(list []Server, floor uint64) *Registry {
	r := New()
	r.lastForgotten = floor
	r.lastChange = floor
	for _, s := range list {
		r.records[s.Name] = &s
		r.lastChange = max(r.lastChange, s.ChangeIndex)
		if s.State != Gone {
			r.nameByAddress[s.Address] = s.Name
		}
	}
	return r
}
