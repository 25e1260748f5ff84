// Package selector chooses the replica for a sub-request. What this host saw of
// a backend server decides first; the load that a server reports weighs at most
// as much as one request in flight, because reports lag and mislead.
package selector

import (
	"slices"
	"time"
)

const (
	// rampLength is the time over which a cold server's share of requests grows
	// linearly from nothing to that of a warm one.
	rampLength = 10 * time.Second
	// loadLifetime is the age at which a reported load no longer counts.
	loadLifetime = 2 * time.Second
	// backOffFirst is the back-off after a first shed. It doubles with each
	// further shed up to backOffLimit, and a completed request resets it.
	backOffFirst = 100 * time.Millisecond
	backOffLimit = time.Second
	// farPreference is how many times worse than the best server a server of
	// the own zone may be and still be preferred.
	farPreference = 3.0
	// jitter is the largest relative random change of a score. It spreads the
	// choices of many hosts over servers that look alike.
	jitter = 0.1
)

// Rand is the source of randomness, for example a *rand.Rand of math/rand/v2.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Server is what is known of a backend server from its announcements.
type Server struct {
	Name string
	// Zone is the server's own availability zone, OwnerZone that of the host
	// that owns it, if known.
	Zone      string
	OwnerZone string
	// Incarnation is larger after each restart of the server.
	Incarnation uint64
	// Started is when the server started; zero means that it is warm.
	Started  time.Time
	Draining bool
	// Slots is the number of requests that the server runs at once; less than 1
	// counts as 1.
	Slots int
}

// Selector holds the state of the backend servers as seen by one host. It is
// not safe for concurrent use.
type Selector struct {
	// Extra returns how much longer than usual an answer of a server takes if it is
	// sent a request now, for example because a connection has to be opened. It may
	// be nil.
	Extra func(name string) time.Duration

	zone    string
	servers map[string]*state
	// typical is the latency of all servers, which stands in for the unknown
	// latency of one.
	typical average
}

// New returns a selector for a host in the given zone.
func New(zone string) *Selector {
	return &Selector{zone: zone, servers: map[string]*state{}}
}

// Update adds a server or changes it. A larger incarnation starts with a clean
// state; a smaller one is ignored. A server that is unknown is never chosen.
func (s *Selector) Update(server Server) {
	t := s.servers[server.Name]
	if t != nil && server.Incarnation < t.info.Incarnation {
		return
	}
	if t == nil || server.Incarnation > t.info.Incarnation {
		t = &state{}
		s.servers[server.Name] = t
	}
	t.info = server
	t.gone = false
	t.near = s.zone != "" && s.zone == serverZone(server)
}

func serverZone(server Server) string {
	if server.OwnerZone != "" {
		return server.OwnerZone
	}
	return server.Zone
}

// Resize changes how many requests a server runs at once, and nothing else that
// is known of it. An unknown server is ignored.
func (s *Selector) Resize(name string, slots int) {
	if t := s.servers[name]; t != nil {
		t.info.Slots = slots
	}
}

// Remove takes a server out. Its state is kept until its last sub-request in
// flight has finished, so that a server that returns meanwhile is counted right.
func (s *Selector) Remove(name string) {
	t := s.servers[name]
	if t == nil {
		return
	}
	t.gone = true
	s.forget(t)
}

func (s *Selector) forget(t *state) {
	if t.gone && t.inFlight == 0 {
		delete(s.servers, t.info.Name)
	}
}

// Choose returns the server for a sub-request among the candidates that are not
// excluded. Servers that shed recently are chosen only if there is nothing
// else, draining and unknown ones never.
func (s *Selector) Choose(now time.Time, r Rand, candidates, exclude []string) (string, bool) {
	return s.choose(now, r, candidates, exclude, backedOff)
}

// ChooseRetry is Choose for hedges and retries, which never go to a server that
// shed recently.
func (s *Selector) ChooseRetry(now time.Time, r Rand, candidates, exclude []string) (string, bool) {
	return s.choose(now, r, candidates, exclude, cold)
}

// choose scans all candidates; a shard has only a few replicas. It keeps the
// best server of all and the best one near, each by class and then by score.
func (s *Selector) choose(now time.Time, r Rand, candidates, exclude []string, worst class) (string, bool) {
	var best, near pick
	typical := s.typical.value(now, priorLatency)
	for _, name := range candidates {
		t := s.servers[name]
		if t == nil || t.gone || t.info.Draining || slices.Contains(exclude, name) {
			continue
		}
		p := pick{
			state: t,
			class: t.class(now, r),
			score: (t.score(now, typical) + s.extra(name)) * (1 + jitter*r.Float64()),
		}
		if p.class > worst {
			continue
		}
		best = best.better(p)
		if t.near && t.inFlight < t.slots() && !t.slow(now) {
			near = near.better(p)
		}
	}
	if best.state == nil {
		return "", false
	}
	if near.state != nil && near.class <= best.class && near.score <= farPreference*best.score {
		return near.state.info.Name, true
	}
	return best.state.info.Name, true
}

func (s *Selector) extra(name string) float64 {
	if s.Extra == nil {
		return 0
	}
	return float64(s.Extra(name))
}

// Started counts a sub-request sent to the given incarnation of a server.
func (s *Selector) Started(name string, incarnation uint64) {
	if t := s.current(name, incarnation); t != nil {
		t.inFlight++
	}
}

// Finished counts the end of a sub-request counted by Started, once each, with
// the time since it was sent. The end of a sub-request to an earlier
// incarnation changes nothing.
func (s *Selector) Finished(now time.Time, name string, incarnation uint64, status Status, latency time.Duration) {
	t := s.current(name, incarnation)
	if t == nil {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	t.judge(now, status, latency, s.typical.value(now, priorLatency))
	t.observe(now, status, latency)
	if status == Completed {
		s.typical.add(now, float64(latency))
	}
	s.forget(t)
}

// Observed notes the load, 0 to 1, that a server reported at the given time.
// Anything else is ignored.
func (s *Selector) Observed(at time.Time, name string, load float64) {
	t := s.servers[name]
	if t == nil || !(load >= 0 && load <= 1) || at.Before(t.loadAt) {
		return
	}
	t.load = load
	t.loadAt = at
}

// InFlight returns the number of this host's sub-requests in flight to a server.
func (s *Selector) InFlight(name string) int {
	t := s.servers[name]
	if t == nil {
		return 0
	}
	return t.inFlight
}

// Incarnation returns the known incarnation of a server.
func (s *Selector) Incarnation(name string) (uint64, bool) {
	t := s.servers[name]
	if t == nil || t.gone {
		return 0, false
	}
	return t.info.Incarnation, true
}

func (s *Selector) current(name string, incarnation uint64) *state {
	t := s.servers[name]
	if t == nil || t.info.Incarnation != incarnation {
		return nil
	}
	return t
}

// pick is a candidate under comparison.
type pick struct {
	state *state
	class class
	score float64
}

func (p pick) better(other pick) pick {
	switch {
	case p.state == nil, other.class < p.class:
		return other
	case other.class > p.class:
		return p
	case other.score < p.score:
		return other
	}
	return p
}

// WarmAt returns the start of a server that is warm at the given time.
func WarmAt(at time.Time) time.Time { return at.Add(-rampLength) }
