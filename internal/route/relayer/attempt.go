package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/estimator"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/selector"
)

// sendResult is the outcome of one send.
type sendResult struct {
	// shard is the index of the shard in query.shards.
	shard int
	// server is the backend server that was chosen for the send.
	server *server
	// status classifies the outcome: whether the server answered and, if not, whether it
	// may have run the request.
	status caller.Status
	// response and metadata are set if err is nil.
	response *connector.Response
	metadata AnswerMetadata
	// latency is the time until the response arrived or the send failed.
	latency time.Duration
	// arrivedAt is when that was. writtenAt is when the request was written to a connection,
	// the zero value if it was not.
	arrivedAt time.Time
	writtenAt time.Time
	// cost is the estimator's account of the send.
	cost estimator.Send
	// err tells why there is no response. A response with an error status is none.
	err error
	// ended is true if the server has ended since the request was sent to it.
	ended bool
	// alone is true if the send was the trial of a suspected request, and round is then
	// the number of rounds that were known.
	alone bool
	round int
}

// send sends the request to a server once and passes the outcome to results. r holds the
// fields that do not depend on the outcome.
func (q *query) send(ctx context.Context, r sendResult) {
	s := r.server
	start := time.Now()
	request := *q.request
	request.BeforeSend = func(h http.Header) {
		q.relayer.config.Codec.Encode(h, q.id, time.Until(q.deadline), s.Name)
	}
	request.MatchesResponse = func(h http.Header) bool { return q.relayer.config.Codec.RequestID(h) == q.id }
	paced := start
	request.MayWait = func() bool { return q.relayer.accepts(time.Now(), s) }
	request.MaySend = func() bool {
		now := time.Now()
		if !q.maySend(now, &r, &paced) {
			return false
		}
		r.writtenAt = now
		return true
	}
	response, err := s.pool.Do(ctx, &request)
	r.response, r.err, r.arrivedAt = response, err, time.Now()
	r.latency = r.arrivedAt.Sub(start)
	if err == nil {
		r.metadata = q.relayer.config.Codec.Decode(response.Status, response.Header)
	}
	r.status = classify(ctx, q.id, r)
	if r.status == caller.Broken && q.relayer.hasEnded(s, err) {
		r.ended = true
		q.relayer.reportEnd(q, r)
	}
	if r.status == caller.Unsent || r.ended {
		q.relayer.markDown(q.relayer.runContext(), s)
	}
	q.relayer.recordResult(q, r)
	// The channel has room for every send of the query, so this does not block.
	q.results <- r
}

// classify returns the status of the send with the given result for the request with
// the given id.
func classify(ctx context.Context, id string, r sendResult) caller.Status {
	switch {
	case errors.Is(r.err, connector.ErrUnsent) && ctx.Err() != nil, errors.Is(r.err, connector.ErrWithheld), errors.Is(r.err, connector.ErrClosed):
		return caller.Refused
	case errors.Is(r.err, connector.ErrUnsent):
		return caller.Unsent
	case r.err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return caller.TimedOut
	case r.err != nil && ctx.Err() != nil:
		return caller.Cancelled
	case r.err != nil:
		return caller.Broken
	case r.metadata.RequestID != id:
		return caller.Crossed
	case r.metadata.Misdirected:
		return caller.Missing
	case r.metadata.Refused:
		return caller.Shed
	case r.response.Status >= http.StatusInternalServerError:
		return caller.Failed
	}
	return caller.Answered
}

// isUnconfirmed reports whether the server's status promises that the request has not run,
// while the server does not state it. Such an answer is not passed on, because the promise
// may be false. What it tells of the server is recorded all the same.
func (r sendResult) isUnconfirmed() bool {
	switch r.status {
	case caller.Answered, caller.Failed:
		return r.metadata.PromisesNotRun
	}
	return false
}

// recordResult updates the selector, the hedger of the route and the throttle of the
// service with the outcome of a send.
func (r *Relayer) recordResult(q *query, res sendResult) {
	now := time.Now()
	if res.status == caller.Missing {
		res.server.misdirected.Store(true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := selectorStatus(res)
	r.selector.Finished(now, res.server.Name, res.server.Incarnation, status, res.latency)
	r.cost.finish(now, q, res)
	if l := res.metadata.Load; l.Known {
		res.server.load.Store(&reportedLoad{Load: l, receivedAt: now})
		r.selector.LoadReported(now, res.server.Name, min(float64(l.Running+l.Waiting)/float64(max(l.Slots, 1)), 1))
	}
	r.observeLimit(now, q.id, res)
	r.observeNotice(now, q.id, res)
	r.observeLinks(now, res)
	r.observeRun(now, q, res)
	if signal, ok := q.loadSignal(now, res); ok {
		congested := signal.Congested() && r.othersCongested(now, r.routing.Load(), res.server)
		r.throttle(res.server.Service).Observe(now, now.Add(-res.latency), congested)
	}
	switch res.status {
	case caller.Answered, caller.Cancelled, caller.TimedOut:
		r.routeHedger(q.route).RecordLatency(now, res.latency)
	}
}

// loadSignal returns what a send reveals about the load of its service, and false if
// it reveals nothing. That is so for a send that was cancelled before the objective,
// because another one was answered first or the client disconnected.
func (q *query) loadSignal(now time.Time, res sendResult) (admitter.LoadSignal, bool) {
	s := admitter.LoadSignal{Shed: res.status == caller.Shed, Late: now.After(q.plan.SoftDeadline)}
	load := res.metadata.Load
	switch res.status {
	case caller.Answered, caller.Shed:
	case caller.Cancelled, caller.TimedOut:
		// The server has not answered, so the load that it reported last is used.
		last := res.server.load.Load()
		if !s.Late || last == nil {
			return s, false
		}
		load = last.Load
	default:
		return s, false
	}
	s.Known, s.Running, s.Waiting, s.Slots = load.Known, load.Running, load.Waiting, load.Slots
	return s, true
}

// selectorStatus returns the status that the selector records for the server of a
// send. A server that refuses a request while it has free slots counts as failed, one
// whose answer found no memory on this host does not.
func selectorStatus(res sendResult) selector.Status {
	switch res.status {
	case caller.Answered:
		return selector.Completed
	case caller.Shed:
		if l := res.metadata.Load; l.Known && l.Running < l.Slots {
			return selector.Failed
		}
		return selector.Shed
	case caller.TimedOut:
		return selector.TimedOut
	case caller.Cancelled, caller.Refused:
		return selector.Cancelled
	}
	if errors.Is(res.err, connector.ErrExhausted) {
		return selector.Cancelled
	}
	return selector.Failed
}
