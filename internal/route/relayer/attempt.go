package relayer

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/selector"
)

// result is what became of one send.
type result struct {
	shard    int
	server   *server
	status   caller.Status
	response *connector.Response
	note     Note
	latency  time.Duration
	err      error
}

// send sends the request of a query to a server once.
func (q *query) send(ctx context.Context, shard int, s *server) {
	start := time.Now()
	header := make(http.Header, len(q.request.Header)+4)
	maps.Copy(header, q.request.Header)
	request := *q.request
	request.Header = header
	request.BeforeSend = func(h http.Header) {
		q.relayer.config.Codec.Encode(h, q.id, time.Until(q.limit), s.Name)
	}
	request.MatchesResponse = func(h http.Header) bool { return q.relayer.config.Codec.ID(h) == q.id }
	response, err := s.pool.Do(ctx, &request)
	r := result{shard: shard, server: s, response: response, err: err, latency: time.Since(start)}
	if err == nil {
		r.note = q.relayer.config.Codec.Decode(response.Status, response.Header)
	}
	r.status = classify(ctx, q.id, r)
	if r.status == caller.Unsent {
		q.relayer.takeDown(q.relayer.life(), s)
	}
	q.relayer.observe(q, r)
	// There is room for every send of the query.
	q.results <- r
}

// classify says what an answer or an error means.
func classify(ctx context.Context, id string, r result) caller.Status {
	switch {
	case errors.Is(r.err, connector.ErrUnsent) && ctx.Err() != nil:
		return caller.Refused
	case errors.Is(r.err, connector.ErrUnsent):
		return caller.Unsent
	case r.err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return caller.TimedOut
	case r.err != nil && ctx.Err() != nil:
		return caller.Cancelled
	case r.err != nil:
		return caller.Broken
	case r.note.ID != id:
		return caller.Crossed
	case r.note.Misdirected:
		return caller.Missing
	case r.note.Refused:
		return caller.Shed
	case r.response.Status >= http.StatusInternalServerError:
		return caller.Failed
	}
	return caller.Answered
}

// observe tells the selector and the latencies of the route how a send ended.
func (r *Relayer) observe(q *query, res result) {
	now := time.Now()
	if res.status == caller.Missing {
		res.server.misdirected.Store(true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := selectorStatus(res)
	r.selector.Finished(now, res.server.Name, res.server.Incarnation, status, res.latency)
	if l := res.note.Load; l.Known {
		res.server.load.Store(&toldLoad{Load: l, at: now})
		r.selector.Observed(now, res.server.Name, min(float64(l.Running+l.Waiting)/float64(max(l.Slots, 1)), 1))
	}
	if sign, ok := q.sign(now, res); ok {
		congested := sign.Congested() && q.fleet.congested(now, res.server)
		r.gate(res.server.Service).Observe(now, now.Add(-res.latency), congested)
	}
	switch res.status {
	case caller.Answered, caller.Cancelled, caller.TimedOut:
		r.hedger(q.route).Observe(now, res.latency)
	}
}

// sign returns what a send says of the load of its service, if anything. A send
// that was called off before the objective, because another one won or the
// client left, says nothing.
func (q *query) sign(now time.Time, res result) (admitter.Sign, bool) {
	s := admitter.Sign{Shed: res.status == caller.Shed, Late: now.After(q.plan.Aim)}
	load := res.note.Load
	switch res.status {
	case caller.Answered, caller.Shed:
	case caller.Cancelled, caller.TimedOut:
		// The server has not answered; what it told last has to do.
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

// selectorStatus returns how a send counts for its server. One that refuses work
// while it has free slots fails.
func selectorStatus(res result) selector.Status {
	switch res.status {
	case caller.Answered:
		return selector.Completed
	case caller.Shed:
		if l := res.note.Load; l.Known && l.Running < l.Slots {
			return selector.Failed
		}
		return selector.Shed
	case caller.TimedOut:
		return selector.TimedOut
	case caller.Cancelled, caller.Refused:
		return selector.Cancelled
	}
	return selector.Failed
}
