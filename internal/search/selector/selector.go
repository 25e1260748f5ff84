// Package selector chooses the replica for a sub-request. What this host has
// observed of a backend server decides first. The load that a server reports
// counts for at most one request in flight, because reports lag and mislead.
package selector

import (
	"slices"
	"time"
)

const (
	// rampDuration is the time after a server's start over which its share of the
	// requests grows linearly from nothing to that of a warm server.
	rampDuration = 10 * time.Second
	// loadLifetime is the age from which a reported load no longer counts.
	loadLifetime = 2 * time.Second
	// initialBackOff is the back-off after the first request that a server sheds.
	// It doubles with each further one up to maxBackOff, and a completed request
	// resets it.
	initialBackOff = 100 * time.Millisecond
	maxBackOff     = time.Second
	// maxSameZoneRatio is the largest ratio of the score of a server in the host's
	// zone to the best score at which the former is still preferred.
	maxSameZoneRatio = 3.0
	// maxSameZoneTimeRatio is the same for expected times, which depend on what the request
	// costs and vary less than latencies do.
	maxSameZoneTimeRatio = 1.5
	// maxFailureShare is the share of failures of a server above which the servers of its
	// service are not chosen by expected times.
	maxFailureShare = 0.02
	// scoreJitter is the largest share by which a score is raised at random. It
	// spreads the choices of many hosts over servers that look alike.
	scoreJitter = 0.1
)

// Rand is the source of randomness, for example *rand.Rand of math/rand/v2.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Server is what is known of a backend server from its announcements or check-ins.
type Server struct {
	Name string
	// Zone is the server's own availability zone. OwnerZone is that of the host
	// that owns the server, if known, and takes precedence.
	Zone      string
	OwnerZone string
	// Incarnation is larger after each restart of the server.
	Incarnation uint64
	// Started is when the server started; the zero time means that it is warm.
	Started time.Time
	// Draining means that the server gets no further sub-requests.
	Draining bool
	// Slots is the number of requests that the server runs at once. A value below 1
	// counts as 1.
	Slots int
}

// Selector holds the state of the backend servers as seen by one host. It is
// not safe for concurrent use.
type Selector struct {
	// ExtraLatency returns the additional latency of a request that is sent to a
	// server now, for example because a connection has to be opened. It may be nil.
	ExtraLatency func(name string) time.Duration
	// ExpectedTime returns the expected time in nanoseconds until a server has answered the
	// request for which it is chosen, and whether the server has become slow for what
	// requests cost. Where it is set, the results take the place of the latency and the queue
	// in the score, and of a slowness that is judged by the latency. It may be nil.
	ExpectedTime func(now time.Time, name string) (expected float64, slow, ok bool)

	// zone is the host's availability zone.
	zone string
	// servers holds the states of the servers by name.
	servers map[string]*serverState
	// overallLatency is the average over all servers. It is assumed for a server
	// whose own latency is unknown.
	overallLatency average
	// choices and changed are the counts of ExpectedChoices.
	choices, changed uint64
}

// New returns a selector for a host in the given zone.
func New(zone string) *Selector {
	return &Selector{zone: zone, servers: map[string]*serverState{}}
}

// Update adds a server or changes it. A larger incarnation than the known one
// starts with an empty state; a smaller one is ignored.
func (s *Selector) Update(server Server) {
	t := s.servers[server.Name]
	if t != nil && server.Incarnation < t.info.Incarnation {
		return
	}
	if t == nil || server.Incarnation > t.info.Incarnation {
		t = &serverState{}
		s.servers[server.Name] = t
	}
	t.info = server
	t.removed = false
	t.sameZone = s.zone != "" && s.zone == serverZone(server)
}

// serverZone returns the zone through which requests reach a server.
func serverZone(server Server) string {
	if server.OwnerZone != "" {
		return server.OwnerZone
	}
	return server.Zone
}

// Resize changes only the number of slots of a server. An unknown server is
// ignored.
func (s *Selector) Resize(name string, slots int) {
	if t := s.servers[name]; t != nil {
		t.info.Slots = slots
	}
}

// Remove makes a server unavailable. Its state is kept until its last sub-request
// in flight has finished, so that the count is right if the server returns before.
func (s *Selector) Remove(name string) {
	t := s.servers[name]
	if t == nil {
		return
	}
	t.removed = true
	s.deleteIfUnused(t)
}

// deleteIfUnused deletes the state of a removed server that has no sub-request in
// flight.
func (s *Selector) deleteIfUnused(t *serverState) {
	if t.removed && t.inFlight == 0 {
		delete(s.servers, t.info.Name)
	}
}

// Choose returns the server for a sub-request among the candidates that are not
// excluded. Servers in back-off are chosen only if there is no other; draining
// and unknown ones are never chosen.
func (s *Selector) Choose(now time.Time, r Rand, candidates, exclude []string) (string, bool) {
	return s.choose(now, r, candidates, exclude, backedOff)
}

// ChooseRetry is like Choose, but for hedges and retries, which never go to a
// server in back-off.
func (s *Selector) ChooseRetry(now time.Time, r Rand, candidates, exclude []string) (string, bool) {
	return s.choose(now, r, candidates, exclude, cold)
}

// choose scans all candidates, because a shard has only a few replicas. It prefers
// the best server in the host's zone that has a free slot and is not slow to the
// best of all, unless that one is better by a class or by maxSameZoneRatio. Servers
// of a class above worstClass are left out.
func (s *Selector) choose(now time.Time, r Rand, candidates, exclude []string, worstClass priorityClass) (string, bool) {
	// withoutTimes is the ranking as it would be without ExpectedTime.
	ranked, withoutTimes := ranking{maxRatio: maxSameZoneTimeRatio}, ranking{maxRatio: maxSameZoneRatio}
	overallLatency := s.overallLatency.value(now, priorLatency)
	failing := false
	for _, name := range candidates {
		t := s.servers[name]
		if t == nil || t.removed || t.info.Draining || slices.Contains(exclude, name) {
			continue
		}
		failing = failing || t.currentFailureShare(now) > maxFailureShare
		c := candidate{state: t, class: t.drawClass(now, r)}
		extra, jitter := s.extraLatency(name), 1+scoreJitter*r.Float64()
		if c.class > worstClass {
			continue
		}
		near, slow := t.sameZone && t.inFlight < t.slots(), t.slow(now)
		c.score = (t.score(now, overallLatency) + extra) * jitter
		withoutTimes.add(c, near && !slow)
		if s.ExpectedTime != nil {
			if expected, slowForCost, ok := s.ExpectedTime(now, name); ok {
				slow = slowForCost
				c.score = (expected*t.penalty(now) + extra) * jitter
			}
			ranked.add(c, near && !slow)
		}
	}
	if s.ExpectedTime == nil {
		return withoutTimes.first()
	}
	if failing {
		// Requests that fail early end the work of a server without telling what it costs.
		ranked = withoutTimes
	}
	name, ok := ranked.first()
	if other, _ := withoutTimes.first(); other != name {
		s.changed++
	}
	s.choices++
	return name, ok
}

// ExpectedChoices returns how many choices were made with ExpectedTime, and how many of these
// would have been different without it.
func (s *Selector) ExpectedChoices() (choices, changed uint64) { return s.choices, s.changed }

// ranking holds the best candidates so far, of all and of those in the host's zone that are
// preferred.
type ranking struct {
	best, sameZone candidate
	// maxRatio is the largest ratio of the scores of sameZone and best at which the former is
	// preferred.
	maxRatio float64
}

// add adds a candidate.
func (k *ranking) add(c candidate, near bool) {
	k.best = k.best.betterOf(c)
	if near {
		k.sameZone = k.sameZone.betterOf(c)
	}
}

// first returns the name of the server to choose, and false if there is none.
func (k *ranking) first() (string, bool) {
	if k.best.state == nil {
		return "", false
	}
	if k.sameZone.state != nil && k.sameZone.class <= k.best.class && k.sameZone.score <= k.maxRatio*k.best.score {
		return k.sameZone.state.info.Name, true
	}
	return k.best.state.info.Name, true
}

// extraLatency returns the result of ExtraLatency in nanoseconds, 0 if it is nil.
func (s *Selector) extraLatency(name string) float64 {
	if s.ExtraLatency == nil {
		return 0
	}
	return float64(s.ExtraLatency(name))
}

// Started counts a sub-request sent to the given incarnation of a server.
func (s *Selector) Started(name string, incarnation uint64) {
	if t := s.stateOf(name, incarnation); t != nil {
		t.inFlight++
	}
}

// Finished records the end of a sub-request that Started counted, with the time
// since it was sent. Call it once per sub-request. The end of a sub-request to an
// earlier incarnation changes nothing.
func (s *Selector) Finished(now time.Time, name string, incarnation uint64, status Status, latency time.Duration) {
	t := s.stateOf(name, incarnation)
	if t == nil {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	t.recordLateness(now, status, latency, s.overallLatency.value(now, priorLatency))
	t.recordResult(now, status, latency)
	if status == Completed {
		s.overallLatency.add(now, float64(latency))
	}
	s.deleteIfUnused(t)
}

// LoadReported records the load, from 0 to 1, that a server reported at the given
// time. Other values, and reports older than the last one, are ignored.
func (s *Selector) LoadReported(at time.Time, name string, load float64) {
	t := s.servers[name]
	if t == nil || !(load >= 0 && load <= 1) || at.Before(t.reportedAt) {
		return
	}
	t.reportedLoad = load
	t.reportedAt = at
}

// InFlight returns the number of this host's sub-requests in flight to a server.
func (s *Selector) InFlight(name string) int {
	t := s.servers[name]
	if t == nil {
		return 0
	}
	return t.inFlight
}

// Incarnation returns the newest known incarnation of a server that is not
// removed.
func (s *Selector) Incarnation(name string) (uint64, bool) {
	t := s.servers[name]
	if t == nil || t.removed {
		return 0, false
	}
	return t.info.Incarnation, true
}

// stateOf returns the state of a server, or nil if its incarnation is not the
// given one.
func (s *Selector) stateOf(name string, incarnation uint64) *serverState {
	t := s.servers[name]
	if t == nil || t.info.Incarnation != incarnation {
		return nil
	}
	return t
}

// candidate is a server under comparison. The zero value loses against any other.
type candidate struct {
	// state is what is known of the server; it is nil in the zero value.
	state *serverState
	class priorityClass
	// score is the server's score with its extra latency, raised at random by up to
	// scoreJitter. A lower one is better.
	score float64
}

// betterOf returns the candidate of the better class or, within a class, of the
// lower score.
func (c candidate) betterOf(other candidate) candidate {
	switch {
	case c.state == nil, other.class < c.class:
		return other
	case other.class > c.class:
		return c
	case other.score < c.score:
		return other
	}
	return c
}

// RampStart returns the time for Server.Started of a server that becomes warm at the
// given time.
func RampStart(at time.Time) time.Time { return at.Add(-rampDuration) }
