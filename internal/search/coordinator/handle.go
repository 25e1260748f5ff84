package coordinator

import (
	"context"
	"time"

	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/merger"
	"gentianpond/internal/search/selector"
)

// handle takes one reply. Replies to attempts that were given up, or that
// belong to an earlier start of the query, are dropped and counted.
func (q *query) handle(ctx context.Context, r reply) {
	a, ok := q.attempts[r.attempt]
	if !ok {
		q.coordinator.metrics.dropped.Inc(1)
		return
	}
	delete(q.attempts, r.attempt)
	q.finished(time.Now(), a, outcomeOf(r.status))
	if !r.status.NotStarted() {
		q.started = true
	}
	if r.status == caller.Answered && q.accept(a, r) {
		q.proceed(ctx, q.guard.answered(a.alone))
		return
	}
	shard, lost := q.merger.Lost(r.attempt)
	if !lost {
		return
	}
	q.recover(ctx, shard, a, r.status)
}

func (q *query) accept(a *attempt, r reply) bool {
	outcome := q.merger.Add(merger.Answer[[]byte]{
		Query: q.id, Attempt: r.attempt, Incarnation: a.incarnation, Snapshot: r.snapshot, Shard: r.shard, Body: r.body,
	})
	if outcome == merger.Accepted || outcome == merger.Duplicate {
		return true
	}
	q.coordinator.metrics.dropped.Inc(1)
	return false
}

// recover decides what follows a shard's last failed attempt.
func (q *query) recover(ctx context.Context, shard uint32, a *attempt, status caller.Status) {
	if status == caller.Missing {
		q.shards[shard].withdrawn = true
	}
	if status == caller.Broken {
		q.proceed(ctx, q.guard.broke(shard, a.alone))
		return
	}
	retried := q.retry(ctx, shard, status)
	if !retried && (a.alone || q.guard.canary) {
		q.guard.undecided()
	}
}

// retry sends a shard once more when the guard and the budget allow it. A
// sub-request that never left for a backend server put no load on it, so
// sending it elsewhere takes nothing from the budget.
func (q *query) retry(ctx context.Context, shard uint32, status caller.Status) bool {
	if !q.guard.mayRetry() {
		return false
	}
	why := retry
	if status == caller.Unsent {
		why = reroute
	}
	return len(q.send(ctx, []uint32{shard}, why)) == 0
}

// proceed sends the shards that the guard has released.
func (q *query) proceed(ctx context.Context, next step) {
	if len(next.shards) == 0 {
		return
	}
	why := retry
	if next.held {
		why = first
	}
	unsent := q.send(ctx, next.shards, why)
	if next.alone && len(unsent) > 0 {
		q.guard.undecided()
	}
}

func outcomeOf(s caller.Status) selector.Status {
	switch s {
	case caller.Answered:
		return selector.Completed
	case caller.Shed, caller.Refused, caller.Missing:
		return selector.Shed
	case caller.TimedOut:
		return selector.TimedOut
	case caller.Cancelled:
		return selector.Cancelled
	default:
		return selector.Failed
	}
}
