package relayer

import (
	"context"
	"slices"
	"time"

	"gentianpond/internal/route/router"
)

// hedgeable reports whether a shard may get a hedge once it is late.
func (q *query) hedgeable(s *shard) bool {
	return q.route.Kind == router.Safe && s.part == nil && s.flying == 1 && !s.hedged && s.sends < q.route.Attempts
}

func (q *query) hedgeDelay(now time.Time) time.Duration {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedger(q.route).DelayBefore(now, q.plan.Aim.Sub(q.plan.Start))
}

// hedge sends another request for each shard that is late.
func (q *query) hedge(ctx context.Context, now time.Time, delay time.Duration) {
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeable(s) || now.Before(s.due(delay)) {
			continue
		}
		s.hedged = q.launch(ctx, i, hedge)
		s.hedgeAt = now.Add(hedgePause)
	}
}

// due returns when the shard gets a hedge.
func (s *shard) due(delay time.Duration) time.Time {
	at := s.sent.Add(delay)
	if s.hedgeAt.After(at) {
		return s.hedgeAt
	}
	return at
}

// launch chooses a server and sends the request to it, and reports whether it
// did. Without a server or a budget the shard is closed, unless this is a hedge.
func (q *query) launch(ctx context.Context, i int, why cause) bool {
	s := &q.shards[i]
	target := q.choose(s, why)
	if target == nil {
		s.closed = s.closed || why != hedge
		return false
	}
	q.relayer.reportAgain(q, s, target, why)
	s.tried = append(s.tried, target.Name)
	s.sends++
	s.flying++
	s.sent = time.Now()
	switch why {
	case hedge:
		q.hedges++
	case retry:
		q.retries++
	}
	go q.send(ctx, i, target)
	return true
}

// choose picks a server and takes the budget for it.
func (q *query) choose(s *shard, why cause) *server {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	budget := r.budget(now, s.service)
	if why == first {
		budget.Earn()
	}
	target := r.pick(q.fleet, s.service, s.tried)
	if target == nil {
		return nil
	}
	switch why {
	case hedge:
		if !budget.take(now, q.reserve(s, r.burst())) {
			return nil
		}
	case retry:
		if !budget.take(now, 0) {
			return nil
		}
	}
	r.selector.Started(target.Name, target.Incarnation)
	return target
}

// lateHedge is the share of the time until an answer has to leave after which a
// shard that is still open counts as a straggler.
const lateHedge = 0.4

// reserve returns how much of a budget of size burst a hedge leaves untouched.
// Hosts of a large fleet have little of it: what there is goes to shards without
// which there is no answer in time, and failures have to find a budget too.
func (q *query) reserve(s *shard, burst float64) float64 {
	late := time.Since(s.sent) >= time.Duration(lateHedge*float64(q.plan.Aim.Sub(q.plan.Start)))
	if late && q.open() > q.plan.Shards-q.plan.Need {
		return 0
	}
	// A budget that is full earns nothing more, and may as well be used.
	return min(burst/2, burst-1)
}

// pick returns the best server of a service that was not tried: one that checks
// in, else one that is silent. Servers that are down get nothing until a
// connection to them was opened; waiting for one would only make the answer late.
// The lock is held.
func (r *Relayer) pick(f *fleet, service string, tried []string) *server {
	m := f.services[service]
	now := time.Now()
	for _, names := range [][]string{m.ready, m.silent} {
		excluded := tried
		for {
			name, ok := r.selector.Choose(now, r.rand, names, excluded)
			if !ok {
				break
			}
			if s := f.servers[name]; !s.misdirected.Load() && !s.down.Load() {
				return s
			}
			excluded = append(slices.Clone(excluded), name)
		}
	}
	return nil
}
