package relayer

import (
	"context"
	"slices"
	"time"

	"gentianpond/internal/route/router"
)

// hedgeable reports whether a shard may be hedged once it is late. Unsafe requests
// never are, because a hedge could run them twice, nor are suspected ones, because it
// could end another server.
func (q *query) hedgeable(s *shardState) bool {
	return !q.trial.running && q.route.Kind == router.Safe && s.part == nil && s.inFlight == 1 && !s.hedged && s.attempts < q.route.MaxAttempts
}

// hedgeDelay returns how long after the latest send to a shard a hedge is sent.
func (q *query) hedgeDelay(now time.Time) time.Duration {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routeHedger(q.route).DelayWithin(now, q.plan.SoftDeadline.Sub(q.plan.Start))
}

// hedgeLateShards sends a hedge to each shard that is late.
func (q *query) hedgeLateShards(ctx context.Context, now time.Time, delay time.Duration) {
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeable(s) || now.Before(s.hedgeDue(delay)) {
			continue
		}
		if !q.mayRun() {
			return
		}
		s.hedged = q.sendToShard(ctx, i, hedgeSend)
		s.hedgeRetryAt = now.Add(hedgeRetryDelay)
	}
}

// hedgeDue returns when the next hedge to the shard is due.
func (s *shardState) hedgeDue(delay time.Duration) time.Time {
	at := s.lastSent.Add(delay)
	if s.hedgeRetryAt.After(at) {
		return s.hedgeRetryAt
	}
	return at
}

// sendToShard chooses a server of shard i and starts a send to it. It reports whether
// it did. If there is no server or no budget, the shard gets no further sends, unless
// this one was a hedge, which may be tried again.
func (q *query) sendToShard(ctx context.Context, i int, cause sendCause) bool {
	s := &q.shards[i]
	target := q.chooseServer(s, cause)
	if target == nil {
		s.noMoreSends = s.noMoreSends || cause != hedgeSend
		return false
	}
	q.startSend(ctx, i, target, cause)
	return true
}

// startSend starts a send for shard i to the server that was chosen for it.
func (q *query) startSend(ctx context.Context, i int, target *server, cause sendCause) {
	s := &q.shards[i]
	q.relayer.reportResend(q, s, target, cause)
	s.triedServers = append(s.triedServers, target.Name)
	s.attempts++
	s.inFlight++
	s.lastSent = time.Now()
	switch cause {
	case hedgeSend:
		q.hedgeCount++
	case retrySend:
		q.retryCount++
	}
	go q.send(ctx, sendResult{shard: i, server: target, cost: s.cost, alone: q.trial.running, round: q.trial.round})
}

// chooseServer selects a server for a send. See reserveServer.
func (q *query) chooseServer(s *shardState, cause sendCause) *server {
	q.relayer.mu.Lock()
	defer q.relayer.mu.Unlock()
	return q.reserveServer(time.Now(), s, cause)
}

// reserveServer selects a server for a send, counts the send as in flight in the selector
// and against the server's rate limit, and takes a token from the service's budget for a
// hedge or a retry. It returns nil if there is no server or no budget. The caller holds
// the lock.
func (q *query) reserveServer(now time.Time, s *shardState, cause sendCause) *server {
	r := q.relayer
	budget := r.serviceBudget(now, s.service)
	if cause == firstSend && !q.counted {
		budget.AddEvent()
	}
	r.cost.prepare(now, q.costRequest(s.service))
	target, withheld := r.pickServer(now, r.routing.Load(), s.service, s.triedServers, q.allowsServer)
	if withheld > 0 && s.hedgeRetryAt.IsZero() {
		r.countWithheld(cause, withheld)
	}
	if target == nil {
		return nil
	}
	switch cause {
	case hedgeSend:
		if !budget.take(now, q.hedgeReserve(s, r.burstCapacity())) {
			return nil
		}
	case retrySend:
		if !budget.take(now, 0) {
			return nil
		}
	}
	r.takeLimits(now, target)
	r.selector.Started(target.Name, target.Incarnation)
	s.cost = r.cost.begin(now, target, q.costRequest(s.service))
	return target
}

// stragglerFraction is the fraction of the time from the start of a request until its
// answer has to be sent. A send that takes longer marks its shard as a straggler.
const stragglerFraction = 0.4

// hedgeReserve returns the number of tokens that a hedge must leave in a budget that
// holds at most burst. In a large fleet each host has a small budget: only hedges to
// stragglers without which there is no answer in time may use all of it, and the rest
// is kept for retries after failures.
func (q *query) hedgeReserve(s *shardState, burst float64) float64 {
	late := time.Since(s.lastSent) >= time.Duration(stragglerFraction*float64(q.plan.SoftDeadline.Sub(q.plan.Start)))
	if late && q.openShards() > q.plan.Shards-q.plan.MinParts {
		return 0
	}
	// A hedge may always use one token of a full budget, which could not
	// accumulate more.
	return min(burst/2, burst-1)
}

// pickServer returns the best server of a service that is allowed and not in tried: a ready one
// or, if there is none, a silent one, which has not checked in for a while. Servers
// that are down are skipped until a connection to them has been opened, because
// waiting for the connection would make the answer late. Servers without room in their
// rate limit, and those that want no requests for a time, are skipped too; withheld is the number of those that would have been
// chosen. The caller holds the lock.
func (r *Relayer) pickServer(now time.Time, routing *routingState, service string, tried []string, allowed func(*server) bool) (target *server, withheld int) {
	m := routing.services[service]
	for _, names := range [][]string{m.ready, m.silent} {
		excluded := tried
		for {
			name, ok := r.selector.Choose(now, r.rand, names, excluded)
			if !ok {
				break
			}
			if s := routing.servers[name]; s.reachable() && allowed(s) {
				if r.hasRoom(now, s) {
					return s, withheld
				}
				withheld++
			}
			excluded = append(slices.Clone(excluded), name)
		}
		// A server that is only silent is no substitute for one with a rate limit.
		if withheld > 0 {
			break
		}
	}
	return nil, withheld
}
