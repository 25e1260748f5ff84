package allotter

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLenders is the number of lenders at most.
	MaxLenders = 16
	// ForgetTime is the silence after which the leader counts a host as absent. It is
	// longer than TouchTime, after which the host itself stops to lend.
	ForgetTime = 4 * time.Second
	// AbsentTime is how long it does so.
	AbsentTime = 30 * time.Second
	// calmSilence is the silence of lenders up to which the leader uses further positions:
	// these take accounts from lenders that still grant requests, which have to learn of it.
	// It is also the silence of a host up to which it becomes a lender. Watch requests are
	// held for up to 2 s.
	calmSilence = 2500 * time.Millisecond
	// settleTime is the time in which a new leader hears from all hosts that reach it. If
	// none of them knows lenders, the whole system has started again.
	settleTime = 500 * time.Millisecond
	// pauseTime is the time between two calls of Lending from which the leader counts as
	// having been suspended. It then does not know who fell silent meanwhile.
	pauseTime = time.Second
)

// HostReport is what a host says about itself.
type HostReport struct {
	Name string
	Zone string
	// Address is where it serves other hosts. It is not valid if the host cannot lend.
	Address netip.AddrPort
	// Position is its position as a lender, -1 if it is none, and Fleet the number of hosts
	// that it knows of as a lender.
	Position int
	Fleet    int
	// Informed is true if it knows who lends.
	Informed bool
}

// rosterHost is a host that the leader has heard of.
type rosterHost struct {
	HostReport
	heardAt time.Duration
	// lends is true if it holds a position.
	lends bool
}

// Roster decides at the leader of the control hosts who lends. Use NewRoster. Times are
// those of the leader's clock.
type Roster struct {
	startedAt time.Duration
	hosts     map[string]*rosterHost
	positions [MaxLenders]*rosterHost
	// used tells which positions had a lender in the last result of Lending.
	used [MaxLenders]bool
	// fleet is the greatest number of hosts of which a lender knew when this leader began.
	// Those that it has not heard of since may use their own shares.
	fleet   int
	claimed bool
	// settled is set once Lending has told who lends.
	settled bool
	// lastAt is the time of the last call of Lending.
	lastAt time.Duration
}

// NewRoster returns the roster of a leader that begins to hear from hosts at now.
func NewRoster(now time.Duration) *Roster {
	return &Roster{startedAt: now, hosts: map[string]*rosterHost{}}
}

// Report records what a host says about itself.
func (r *Roster) Report(now time.Duration, report HostReport) {
	h := r.hosts[report.Name]
	if h == nil {
		h = &rosterHost{}
		r.hosts[report.Name] = h
	}
	if h.lends && h.Address != report.Address {
		r.leave(h)
	}
	h.HostReport, h.heardAt = report, now
	if !r.claimed {
		r.fleet = max(r.fleet, report.Fleet)
	}
}

// Touch records a contact with a host that said nothing new, or a reply to it.
func (r *Roster) Touch(now time.Duration, name string) {
	if h := r.hosts[name]; h != nil {
		h.heardAt = max(h.heardAt, now)
	}
}

// Lending returns who lends at now. It returns false while the leader has led for too short
// a time to know that.
func (r *Roster) Lending(now time.Duration) (Lending, bool) {
	if len(r.hosts) > 0 && r.lastAt > 0 && now-r.lastAt > pauseTime {
		r.startedAt, r.fleet, r.settled = now, max(r.fleet, len(r.hosts)), false
	}
	r.lastAt = now
	if now-r.startedAt < ForgetTime && !r.settled && (now-r.startedAt < settleTime || r.anyInformed()) {
		return Lending{}, false
	}
	r.settled = true
	l := Lending{Known: true}
	for name, h := range r.hosts {
		switch silence := now - h.heardAt; {
		case silence <= ForgetTime:
			l.Hosts++
			continue
		case silence <= ForgetTime+AbsentTime:
			l.Absent++
		default:
			delete(r.hosts, name)
		}
		r.leave(h)
	}
	if now-r.startedAt <= ForgetTime+AbsentTime {
		l.Absent = max(l.Absent, r.fleet-l.Hosts)
	}
	r.fill(now)
	for i, h := range r.positions {
		r.used[i] = h != nil
		if h != nil {
			l.Lenders = append(l.Lenders, Lender{Address: h.Address, Position: i})
		}
	}
	return l, true
}

// anyInformed reports whether a host of which the leader has heard knows who lends. Then
// others that know it, and lend, may still be silent.
func (r *Roster) anyInformed() bool {
	for _, h := range r.hosts {
		if h.Informed {
			return true
		}
	}
	return len(r.hosts) == 0
}

// Claimed returns the hosts that say that they lend, for hosts that know no lender while
// Lending does not tell. It is empty before settleTime.
func (r *Roster) Claimed(now time.Duration) []Lender {
	if now-r.startedAt < settleTime {
		return nil
	}
	var list []Lender
	for _, h := range r.hosts {
		if h.Position >= 0 && h.Position < MaxLenders && h.Address.IsValid() && now-h.heardAt <= calmSilence {
			list = append(list, Lender{Address: h.Address, Position: h.Position})
		}
	}
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), a.Address.Compare(b.Address))
	})
	return slices.CompactFunc(list, func(a, b Lender) bool { return a.Position == b.Position })
}

// IsLender reports whether a host holds a position.
func (r *Roster) IsLender(name string) bool {
	h := r.hosts[name]
	return h != nil && h.lends
}

// Addresses returns the addresses of the hosts that may ask lenders. Hosts that are only out
// of touch with the leader may.
func (r *Roster) Addresses(now time.Duration) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range r.hosts {
		if h.Address.IsValid() && now-h.heardAt <= ForgetTime+AbsentTime {
			list = append(list, h.Address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// leave frees the position of a host.
func (r *Roster) leave(h *rosterHost) {
	if i := slices.Index(r.positions[:], h); i >= 0 {
		r.positions[i] = nil
	}
	h.lends = false
}

// fill gives free positions to hosts: first to those that held them under the former
// leader, then to hosts of the zones with the fewest lenders.
func (r *Roster) fill(now time.Duration) {
	var free []*rosterHost
	zones := map[string]int{}
	calm := true
	for _, h := range r.hosts {
		switch {
		case h.lends:
			zones[h.Zone]++
			calm = calm && now-h.heardAt <= calmSilence
		case h.Address.IsValid() && now-h.heardAt <= calmSilence:
			free = append(free, h)
		}
	}
	slices.SortFunc(free, func(a, b *rosterHost) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	take := func(i int, h *rosterHost) {
		r.positions[i], h.lends = h, true
		zones[h.Zone]++
		free = slices.DeleteFunc(free, func(o *rosterHost) bool { return o == h })
	}
	if !r.claimed {
		r.claimed = true
		for _, h := range slices.Clone(free) {
			if i := h.Position; i >= 0 && i < MaxLenders && r.positions[i] == nil {
				take(i, h)
			}
		}
	}
	for i := range r.positions {
		// The accounts of a used position belonged to a host that has stopped to lend, so
		// that its successor takes none from others.
		if r.positions[i] == nil && len(free) > 0 && (r.used[i] || calm) {
			take(i, slices.MinFunc(free, func(a, b *rosterHost) int { return cmp.Compare(zones[a.Zone], zones[b.Zone]) }))
		}
	}
}
