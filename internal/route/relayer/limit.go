package relayer

import (
	"time"

	"gentianpond/internal/route/pacer"
)

// observeLimit records the rate limit that a server named in its answer to the request
// with the given id, or that it named none. The caller holds the lock.
func (r *Relayer) observeLimit(now time.Time, id string, res sendResult) {
	m := res.metadata
	if res.err != nil || m.RequestID != id || m.Misdirected {
		return
	}
	if m.Limit.Named && !(m.Limit.Rate > 0) {
		r.config.Scope.Counter("limits_unreadable").Inc(1)
		return
	}
	if !m.Limit.Named && m.Refused {
		// A server that is too busy for a request may be too busy to name its limit.
		return
	}
	s := res.server
	c, ok := r.limits.Observe(pacer.Observation{Server: s.Name, Incarnation: s.Incarnation, Rate: m.Limit.Rate, At: now})
	if ok {
		r.reportLimit(s, c, "answer", 0, "request", id)
	}
}

// LearnLimits records rate limits that other hosts observed, with the times of this
// host's clock.
func (r *Relayer) LearnLimits(list []pacer.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, servers := time.Now(), r.routing.Load().servers
	for _, o := range list {
		s := servers[o.Server]
		if s == nil || s.Incarnation != o.Incarnation {
			continue
		}
		if c, ok := r.limits.Learn(now, o); ok {
			r.reportLimit(s, c, "control", now.Sub(o.At))
		}
	}
}

// UnreportedLimits returns the rate limits that this host observed and that the control
// hosts do not have.
func (r *Relayer) UnreportedLimits() []pacer.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Unreported()
}

// ForgetSharedLimits makes this host report its rate limits again, because a new leader
// of the control hosts does not know them.
func (r *Relayer) ForgetSharedLimits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.ForgetShared()
}

// countWithheld counts sends that did not go to the best server, or to none, because of
// rate limits.
func (r *Relayer) countWithheld(cause sendCause, n int) {
	r.config.Scope.Tagged(map[string]string{"cause": cause.String()}).Counter("sends_withheld").Inc(int64(n))
}

// reportLimit logs and counts a change of a rate limit, where it comes from and how old
// it is. The caller holds the lock.
func (r *Relayer) reportLimit(s *server, c pacer.Change, source string, age time.Duration, more ...any) {
	message := "rate limit changed"
	switch {
	case c.Before == 0:
		message = "rate limit learned"
	case c.After == 0:
		message = "rate limit ended"
	}
	r.config.Scope.Tagged(map[string]string{"source": source}).Counter("limit_changes").Inc(1)
	position := r.limits.Position()
	r.config.Log.Info(message, append([]any{"server", s.Name, "service", s.Service, "limit", c.After, "before", c.Before,
		"rate", c.Share.Rate, "burst", c.Share.Burst, "rank", position.Rank, "hosts", position.Count, "source", source, "age", age}, more...)...)
}
