package relayer

import (
	"context"
	"net/http"
	"time"

	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/ranker"
)

// mergedAnswer returns the final answer: the parts of a fan-out that have arrived,
// merged, or the response of the one server.
func (q *query) mergedAnswer() Answer {
	if !q.route.Fanout() {
		res := q.shards[0].part.response
		return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	}
	a := Answer{Status: http.StatusOK}
	var bodies [][]byte
	for i := range q.shards {
		part := q.shards[i].part
		if part == nil {
			a.MissingParts++
			continue
		}
		a.Stamps = append(a.Stamps, part.metadata.Stamp)
		bodies = append(bodies, part.response.Body)
	}
	a.Body = ranker.Greatest(bodies, q.route.TopK)
	return a
}

// failureAnswer returns the final answer to a request that could not be served: the
// error response of a server if there is one, else the reason.
func (q *query) failureAnswer(ctx context.Context) Answer {
	ran, tried := false, false
	for i := range q.shards {
		s := &q.shards[i]
		ran = ran || s.attempts > 0
		tried = tried || len(s.triedServers) > 0
	}
	first := &q.shards[0]
	if !q.route.Fanout() && first.failedResponse != nil {
		res := first.failedResponse
		return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	}
	switch {
	case ran && (q.stopped || ctx.Err() != nil || !time.Now().Before(q.deadline)):
		return Answer{Reason: TimedOut}
	case ran && !q.route.Fanout() && first.unconfirmed:
		return Answer{Reason: Unconfirmed}
	case ran:
		return Answer{Reason: Broken}
	case tried:
		return Answer{Reason: Shed, RetryAfter: q.retryAfter()}
	}
	return Answer{Reason: NoServer, RetryAfter: q.retryAfter()}
}

// retryAfter returns when a refused request may come again: a random delay, so that refused
// clients do not all retry at the same time, and not before there is a server that wants
// requests for each shard that is missing.
func (q *query) retryAfter() time.Duration {
	r, now := q.relayer, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait time.Duration
	for i := range q.shards {
		if s := &q.shards[i]; s.part == nil {
			wait = max(wait, q.relayer.routing.Load().pauseOf(now, s.service))
		}
	}
	return wait + q.jitter(now)
}

// jitter returns a random delay that the client honours, given the time that it has left
// when it gets the answer. The caller holds the lock.
func (q *query) jitter(now time.Time) time.Duration {
	transit := q.plan.Start.Add(q.route.Objective).Sub(q.plan.SoftDeadline)
	return admitter.RetryAfter(q.relayer.rand, q.deadline.Add(deadlineMargin).Sub(now)-transit)
}
