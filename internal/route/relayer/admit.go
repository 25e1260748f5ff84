package relayer

import (
	"slices"
	"time"
)

// availability tells whether a service can get a request.
type availability uint8

const (
	// unknown means that no server of the service is known.
	unknown availability = iota
	// unreachable means that servers check in, but none can be reached from this host.
	unreachable
	// limited means that all servers that can be reached name a rate limit within which this
	// host has no room, or want no requests for a time.
	limited
	// available means that at least one server can take the request.
	available
)

// admit decides which shards get the request and chooses their servers, one for each
// shard, nil for a shard that is left out. If too few shards can get it, the request is
// refused before it uses capacity of the others.
func (q *query) admit() (targets []*server, refusal Answer) {
	r, now := q.relayer, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := len(q.shards)
	open := 0
	q.recordDemand(now)
	var limitedServices []string
	left := q.leaveOut(now)
	for i := range q.shards {
		s := &q.shards[i]
		if left[i] {
			s.noMoreSends = true
			q.congestedShards++
			sent--
			continue
		}
		switch r.availabilityOf(now, r.routing.Load(), s.service, q.allowsServer) {
		case available:
			open++
		case limited:
			s.noMoreSends = true
			limitedServices = append(limitedServices, s.service)
		case unreachable:
			s.noMoreSends = true
			q.unreachableShards++
		case unknown:
			s.noMoreSends = true
		}
	}
	q.limitedShards = len(limitedServices)
	if q.limitedShards > 0 {
		r.countWithheld(firstSend, q.limitedShards)
	}
	missing := q.plan.MinParts - open
	switch {
	case sent < q.plan.MinParts:
		return nil, Answer{Reason: Overload, RetryAfter: q.jitter(now)}
	case missing > len(limitedServices):
		return nil, Answer{Reason: NoServer, RetryAfter: q.jitter(now)}
	case missing > 0:
		return nil, q.refuseLimited(now, limitedServices, missing)
	}
	targets = make([]*server, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		if s.noMoreSends {
			continue
		}
		if q.isHeld(i) {
			q.hold(i, firstSend)
			if !q.counted {
				r.serviceBudget(now, s.service).AddEvent()
			}
		} else {
			targets[i] = q.reserveServer(now, s, firstSend)
			s.noMoreSends = targets[i] == nil
		}
	}
	q.counted = true
	return targets, Answer{}
}

// availabilityOf tells whether a service has an allowed server that can get a request now. The
// caller holds the lock.
func (r *Relayer) availabilityOf(now time.Time, routing *routingState, service string, allowed func(*server) bool) availability {
	m := routing.services[service]
	result := unknown
	if slices.ContainsFunc(m.ready, func(name string) bool { return !routing.servers[name].leaving.Load() && allowed(routing.servers[name]) }) {
		result = unreachable
	}
	for _, names := range [][]string{m.ready, m.silent} {
		for _, name := range names {
			if s := routing.servers[name]; !s.reachable() || !allowed(s) {
				continue
			}
			if r.hasRoom(now, routing.servers[name]) {
				return available
			}
			result = limited
		}
		if result == limited {
			break
		}
	}
	return result
}

// refuseLimited refuses a request because of rate limits or of servers that want no
// requests for a time. It may return when as many of the services as are missing have
// room. If this host has no share of their limits, another one may take the request at any
// time. The caller holds the lock.
func (q *query) refuseLimited(now time.Time, services []string, missing int) Answer {
	r := q.relayer
	routing := r.routing.Load()
	type wait struct {
		server string
		until  time.Time
	}
	var waits []wait
	for _, service := range services {
		var next wait
		for _, name := range routing.services[service].ready {
			at, ok := r.nextRoom(now, routing.servers[name])
			if ok && routing.servers[name].reachable() && q.allowsServer(routing.servers[name]) && (next.server == "" || at.Before(next.until)) {
				next = wait{server: name, until: at}
			}
		}
		if next.server != "" {
			waits = append(waits, next)
		}
	}
	slices.SortFunc(waits, func(a, b wait) int { return a.until.Compare(b.until) })
	retryAfter := q.jitter(now)
	if len(waits) >= missing {
		for _, w := range waits[:missing] {
			r.promiseLimits(w.server, w.until)
		}
		retryAfter = max(retryAfter, waits[missing-1].until.Sub(now))
	}
	r.config.Log.Info("no room within rate limits, or all servers paused", "request", q.id, "route", q.route.Name, "services", services, "missing", missing,
		"retry", retryAfter)
	return Answer{Reason: RateLimited, RetryAfter: retryAfter}
}
