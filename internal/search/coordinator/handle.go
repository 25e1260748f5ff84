package coordinator

import (
	"context"
	"time"

	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/merger"
	"gentianpond/internal/search/selector"
)

// handleReply processes the reply to one attempt. Replies to attempts that were
// given up, or that were sent before a restart of the query, are dropped and
// counted.
func (q *query) handleReply(ctx context.Context, r attemptReply) {
	a, ok := q.attempts[r.attempt]
	if !ok {
		q.coordinator.metrics.droppedAnswers.Inc(1)
		return
	}
	delete(q.attempts, r.attempt)
	q.recordOutcome(time.Now(), a, selectorStatus(r.status))
	if !r.status.NotStarted() {
		q.mayHaveStarted = true
	}
	if r.status == caller.Answered && q.acceptAnswer(a, r) {
		q.sendReleased(ctx, q.guard.recordAnswer(a.alone))
		return
	}
	shard, lost := q.merger.FailAttempt(r.attempt)
	if !lost {
		return
	}
	q.recoverShard(ctx, shard, a, r.status)
}

// acceptAnswer passes an answer to the merger. It reports whether the answer
// matches its attempt, whether or not it is the first one for the shard.
func (q *query) acceptAnswer(a *attempt, r attemptReply) bool {
	outcome := q.merger.Add(merger.Answer[[]byte]{
		Query: q.id, Attempt: r.attempt, Incarnation: a.incarnation, Snapshot: r.snapshot, Shard: r.shard, Body: r.body,
	})
	if outcome == merger.Accepted || outcome == merger.Duplicate {
		return true
	}
	q.coordinator.metrics.droppedAnswers.Inc(1)
	return false
}

// recoverShard handles a shard whose last open attempt a has failed: it probes
// after a crash, and retries otherwise.
func (q *query) recoverShard(ctx context.Context, shard uint32, a *attempt, status caller.Status) {
	if status == caller.Missing {
		q.shards[shard].snapshotWithdrawn = true
	}
	if status == caller.Broken {
		q.sendReleased(ctx, q.guard.recordCrash(shard, a.alone))
		return
	}
	retried := q.retryShard(ctx, shard, status)
	if !retried && (a.alone || q.guard.canary) {
		q.guard.stop()
	}
}

// retryShard sends a shard once more when the guard and the budget allow it, and
// reports whether it did. A sub-request that was never sent to a backend server
// put no load on it, so sending it elsewhere takes nothing from the budget.
func (q *query) retryShard(ctx context.Context, shard uint32, status caller.Status) bool {
	if !q.guard.mayRetry() {
		return false
	}
	kind := retryAttempt
	if status == caller.Unsent {
		kind = rerouteAttempt
	}
	return len(q.send(ctx, []uint32{shard}, kind)) == 0
}

// sendReleased sends the shards that the guard has released.
func (q *query) sendReleased(ctx context.Context, next release) {
	if len(next.shards) == 0 {
		return
	}
	kind := retryAttempt
	if next.held {
		kind = firstAttempt
	}
	unsent := q.send(ctx, next.shards, kind)
	if next.alone && len(unsent) > 0 {
		q.guard.stop()
	}
}

// selectorStatus converts the status of a call to the selector's form.
func selectorStatus(s caller.Status) selector.Status {
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
