// Package pacer bounds the requests that this host sends to backend servers that name a
// rate limit. It does no I/O and reads no clock.
//
// It handles a server in need that names the number of requests a second that it takes
// from all hosts together. Every send counts against the limit, also hedges and retries.
// The hosts divide the limit by their number alone, so that the division also holds
// while they cannot reach each other or the control hosts. Hosts that agree on their
// number and know the limit L send the server at most 0.9*L*t + max(1, 1.5*L) requests
// in t seconds, and one probe in each probeSlot.
package pacer

import (
	"cmp"
	"math"
	"time"
)

const (
	// reopenStep is the time in which a limit that has ended doubles, and reopenSteps the
	// number of times until it is lifted. A server that was in need would otherwise get
	// all of its former requests at once.
	reopenStep  = time.Second
	reopenSteps = 4
	// minReopenLimit is the limit in requests a second from which the doubling starts at
	// least.
	minReopenLimit = 1.0
)

// Observation is what is known of the rate limit of a server at a time.
type Observation struct {
	Server      string
	Incarnation uint64
	// Rate is the limit in requests a second, 0 if the server named none.
	Rate float64
	// Group names servers of which the same hosts have a share, so that one host can send to
	// all of them. If it is empty, the hosts are different ones for each server.
	Group string
	// At is when a host received the answer that showed it.
	At time.Time
}

// Change is a change of a limit in force. Before and After are in requests a second, 0
// means none. Share is the share that this host has now.
type Change struct {
	Before, After float64
	Share         Share
}

// Pacer holds the rate limits of backend servers and this host's share of them. The zero
// value knows no limit and allows everything. It is not safe for concurrent use.
type Pacer struct {
	// BurstTime is the time for which the hosts together may save up what a limit allows;
	// 0 means the default, which needs a window of some seconds to stay within a limit.
	// With another one there are no probes.
	BurstTime time.Duration
	// ExtraBurst is the number of requests by which the common burst is larger. In large
	// fleets as many more hosts have a share.
	ExtraBurst float64

	position Position
	servers  map[string]*serverState
}

// serverState is the state of a server that names a limit or has done so recently.
type serverState struct {
	incarnation uint64
	// group is Observation.Group.
	group string
	// limit is the limit in force in requests a second. If endedAt is set, it is the
	// last one before the end.
	limit   float64
	endedAt time.Time
	// direct is the newest answer that this host received itself. shared is the newest
	// observation from the control hosts.
	direct, shared Observation
	// tokens is the number of requests that could be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
	// probedSlot is the number of the last slot in which this host, or one that had its
	// position before, may have sent a probe.
	probedSlot int64
	// promisedAt is the latest time at which a refused request was told to return.
	promisedAt time.Time
}

// Position returns the place of this host among the entry hosts.
func (p *Pacer) Position() Position { return p.position }

// Move changes the place of this host. What was saved before is kept up to the new
// burst.
func (p *Pacer) Move(now time.Time, position Position) {
	for name, s := range p.servers {
		s.refill(now, p.share(now, name, s))
	}
	p.position = position
	for name, s := range p.servers {
		s.tokens = min(s.tokens, p.share(now, name, s).Burst)
		s.probedSlot = probeSlotNumber(now)
	}
}

// Remove forgets a server.
func (p *Pacer) Remove(server string) { delete(p.servers, server) }

// Observe records an answer that this host received. It returns the change of the limit
// in force, and false if there is none.
func (p *Pacer) Observe(o Observation) (Change, bool) {
	s := p.stateFor(o.At, o)
	if s == nil {
		return Change{}, false
	}
	s.direct = o
	return p.apply(s, o)
}

// Learn records an observation that the control hosts sent. One that is older than the
// newest answer to this host changes nothing.
func (p *Pacer) Learn(now time.Time, o Observation) (Change, bool) {
	s := p.stateFor(now, o)
	if s == nil {
		return Change{}, false
	}
	s.shared = o
	if !o.At.After(s.direct.At) {
		return Change{}, false
	}
	return p.apply(s, o)
}

// stateFor returns the state of the observed server and creates it for a limit. It
// returns nil if the observation shows nothing new, an earlier incarnation or a rate that
// cannot be.
func (p *Pacer) stateFor(now time.Time, o Observation) *serverState {
	s := p.servers[o.Server]
	if !(o.Rate >= 0 && o.Rate < math.MaxFloat64) || s != nil && o.Incarnation < s.incarnation {
		return nil
	}
	if s == nil || o.Incarnation > s.incarnation {
		delete(p.servers, o.Server)
		if o.Rate <= 0 {
			return nil
		}
		if p.servers == nil {
			p.servers = map[string]*serverState{}
		}
		// This process or the one before may just have sent requests, so the state starts
		// without tokens and probes.
		s = &serverState{incarnation: o.Incarnation, refilledAt: now, probedSlot: probeSlotNumber(now)}
		p.servers[o.Server] = s
	}
	s.group = o.Group
	return s
}

// apply puts the limit of an observation in force.
func (p *Pacer) apply(s *serverState, o Observation) (Change, bool) {
	before := s.limit
	if !s.endedAt.IsZero() {
		before = 0
	}
	if o.Rate == before {
		return Change{}, false
	}
	s.refill(o.At, p.share(o.At, o.Server, s))
	if o.Rate > 0 {
		s.limit, s.endedAt = o.Rate, time.Time{}
	} else {
		s.endedAt = o.At
	}
	share := p.share(o.At, o.Server, s)
	s.tokens = min(s.tokens, share.Burst)
	return Change{Before: before, After: o.Rate, Share: share}, true
}

// HasRoom reports whether a request may be sent to a server now.
func (p *Pacer) HasRoom(now time.Time, server string) bool {
	s := p.servers[server]
	if s == nil {
		return true
	}
	if s.reopened(now) {
		p.forgetReported(server, s)
		return true
	}
	share := p.share(now, server, s)
	s.refill(now, share)
	return s.tokens >= 1 || p.mayProbe(now, s, share)
}

// Take counts a request to a server for which HasRoom returned true.
func (p *Pacer) Take(now time.Time, server string) {
	s := p.servers[server]
	if s == nil || s.reopened(now) {
		return
	}
	if s.tokens >= 1 {
		s.tokens--
		return
	}
	s.probedSlot = probeSlotNumber(now)
}

// NextRoom returns when there will be room for one more request to a server, after those
// to which a time was promised. It returns false if this host has no share of the limit.
func (p *Pacer) NextRoom(now time.Time, server string) (time.Time, bool) {
	s := p.servers[server]
	if s == nil || s.reopened(now) {
		return now, true
	}
	share := p.share(now, server, s)
	if share.Rate <= 0 {
		return time.Time{}, false
	}
	s.refill(now, share)
	next := now.Add(seconds(max(0, 1-s.tokens) / share.Rate))
	if after := s.promisedAt.Add(seconds(1 / share.Rate)); after.After(next) {
		next = after
	}
	return next, true
}

// Promise records that a refused request was told to return when there is room on a
// server, at a time from NextRoom. The refused requests so return one after the other.
func (p *Pacer) Promise(server string, at time.Time) {
	if s := p.servers[server]; s != nil {
		s.promisedAt = at
	}
}

// Limit returns the limit of a server in force, 0 if there is none.
func (p *Pacer) Limit(server string) float64 {
	if s := p.servers[server]; s != nil && s.endedAt.IsZero() {
		return s.limit
	}
	return 0
}

// Unreported returns the observations of this host that the control hosts do not have.
func (p *Pacer) Unreported() []Observation {
	var list []Observation
	for _, s := range p.servers {
		if s.direct.At.After(s.shared.At) && (s.shared.At.IsZero() || s.direct.Rate != s.shared.Rate) {
			list = append(list, s.direct)
		}
	}
	return list
}

// ForgetShared forgets what the control hosts sent. A new leader has to be told again.
func (p *Pacer) ForgetShared() {
	for _, s := range p.servers {
		s.shared = Observation{}
	}
}

// share returns this host's share of the limit of a server that is in force.
func (p *Pacer) share(now time.Time, server string, s *serverState) Share {
	return p.position.shareOf(s.currentLimit(now), cmp.Or(s.group, server), cmp.Or(p.BurstTime, burstTime), p.ExtraBurst)
}

// mayProbe reports whether a request may be sent although there are no tokens, to hear
// what the server names now. That is for hosts whose share is too small to hear of it
// otherwise.
func (p *Pacer) mayProbe(now time.Time, s *serverState, share Share) bool {
	number, own := p.position.probeSlotAt(now)
	return own && p.BurstTime == 0 && number != s.probedSlot && share.Rate*probeSlot.Seconds()*float64(p.position.Count) < 1
}

// forgetReported forgets a server whose limit has ended, once the control hosts know
// that too.
func (p *Pacer) forgetReported(server string, s *serverState) {
	if s.shared.Rate == 0 {
		delete(p.servers, server)
	}
}

// currentLimit returns the limit in force in requests a second. After its end it doubles
// with each reopenStep.
func (s *serverState) currentLimit(now time.Time) float64 {
	if s.endedAt.IsZero() {
		return s.limit
	}
	return max(s.limit, minReopenLimit) * math.Exp2(float64(now.Sub(s.endedAt))/float64(reopenStep))
}

// reopened reports whether a limit ended long enough ago to be lifted.
func (s *serverState) reopened(now time.Time) bool {
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) >= reopenSteps*reopenStep
}

// refill adds the tokens for the time since the last refill.
func (s *serverState) refill(now time.Time, share Share) {
	if now.After(s.refilledAt) {
		s.tokens = min(s.tokens+share.Rate*now.Sub(s.refilledAt).Seconds(), share.Burst)
		s.refilledAt = now
	}
}

// seconds converts a number of seconds to a duration, at most a day.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, (24*time.Hour).Seconds()) * float64(time.Second))
}
