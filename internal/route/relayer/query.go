package relayer

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/route/gatherer"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/caller"
)

const (
	// limitMargin is how long before its time limit a request gets its final
	// answer.
	limitMargin = 30 * time.Millisecond
	// hedgePause is how long a hedge that found no budget waits for one.
	hedgePause = 5 * time.Millisecond
	// maxSends bounds the sends to one shard, those included that servers
	// refused and that did not leave this host.
	maxSends = 6
	// retryLeast is the least time that a client is told to stay away.
	retryLeast = 100 * time.Millisecond
	// startRetry is the time that a client is told to stay away from a host that
	// has just started. When all hosts start at once, electing a leader and
	// finding it takes about as long.
	startRetry = 800 * time.Millisecond
)

// Request is a client's request.
type Request struct {
	// ID is the client's name for this attempt.
	ID     string
	Method string
	// Target is the path and query as the client sent them, Path the path alone.
	Target string
	Path   string
	// Host is without a port, HostHeader as the client sent it.
	Host       string
	HostHeader string
	Header     http.Header
	Body       []byte
	// Received is when the request was read, Deadline when the client stops
	// waiting.
	Received time.Time
	Deadline time.Time
	// Way is the time that request and answer spend on the way; 0 is the
	// configured margin.
	Way time.Duration
}

// query is the state of one request. Only run's goroutine uses it; the
// goroutines that wait for servers write to results.
type query struct {
	relayer *Relayer
	request *connector.Request
	id      string
	route   *router.Route
	fleet   *fleet
	plan    gatherer.Plan
	limit   time.Time
	shards  []shard
	parts   int
	results chan result
	hedges  int
	retries int
	// out is the number of shards that were left out as congested.
	out int
}

// shard is the state of one shard; a request to one server has one.
type shard struct {
	service string
	tried   []string
	// sends counts the sends that servers may have run; tried has one for each send.
	sends  int
	flying int
	// sent is when the newest send left.
	sent   time.Time
	hedged bool
	// hedgeAt is when a hedge that found no budget is tried again.
	hedgeAt time.Time
	part    *result
	// failure is the last answer of a server that failed to serve the request.
	failure *connector.Response
	// closed is set when nothing more can be sent.
	closed bool
}

func (s *shard) open() bool { return s.part == nil && (s.flying > 0 || !s.closed) }

// Do carries a request and returns its final answer. It ends early when ctx
// does, because the client left.
func (r *Relayer) Do(ctx context.Context, request Request) Answer {
	f := r.fleet.Load()
	if f.table == nil {
		return r.Refuse(&request, NotReady)
	}
	route, ok := f.table.Match(request.Host, request.Path)
	if !ok {
		return r.Refuse(&request, NoRoute)
	}
	limit := request.Received.Add(route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(limit) {
		limit = request.Deadline
	}
	limit = limit.Add(-limitMargin)
	if !time.Now().Before(limit) {
		return r.Refuse(&request, Expired)
	}
	q := r.newQuery(f, route, &request, limit)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	answer := q.run(ctx)
	r.report(q, &request, answer)
	return answer
}

func (r *Relayer) newQuery(f *fleet, route *router.Route, request *Request, limit time.Time) *query {
	services := route.Shards
	if !route.Fanout() {
		services = []string{route.Pick()}
	}
	q := &query{
		relayer: r,
		request: &connector.Request{
			Method: request.Method, Target: request.Target, Host: request.HostHeader, Header: request.Header, Body: request.Body,
		},
		id:      request.ID,
		route:   route,
		fleet:   f,
		limit:   limit,
		shards:  make([]shard, len(services)),
		results: make(chan result, len(services)*maxSends),
		plan: gatherer.Plan{
			Start:     request.Received,
			Aim:       request.Received.Add(route.Objective - cmp.Or(request.Way, r.config.Margin)),
			Limit:     limit,
			Objective: route.Objective,
			Shards:    len(services),
			Need:      1,
		},
	}
	if route.Fanout() {
		q.plan.Need = route.Need()
	}
	for i, name := range services {
		q.shards[i].service = name
	}
	return q
}

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=cause -linecomment -output=cause_string.go

// cause says why a request is sent.
type cause uint8

const (
	first cause = iota // first
	hedge              // hedge
	retry              // retry
	// reroute replaces a send that did not reach a server.
	reroute // reroute
)

func (q *query) run(ctx context.Context) Answer {
	if !q.admit() {
		return Answer{Reason: Overload, Retry: q.relayer.retryAfter()}
	}
	for i := range q.shards {
		if !q.shards[i].closed {
			q.launch(ctx, i, first)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		delay := q.hedgeDelay(now)
		q.hedge(ctx, now, delay)
		verdict, until := q.plan.Decide(now, q.parts, q.open())
		switch verdict {
		case gatherer.Reply:
			return q.reply()
		case gatherer.Fail:
			return q.fail(ctx)
		}
		timer.Reset(time.Until(q.wake(until, delay)))
		select {
		case res := <-q.results:
			q.handle(ctx, res)
		case <-timer.C:
		case <-ctx.Done():
			if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				return Answer{Reason: Left}
			}
		}
	}
}

// admit leaves out shards that are congested. It reports whether enough are left
// for an answer; otherwise the request is refused before it costs the other
// shards anything.
func (q *query) admit() bool {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	left := len(q.shards)
	for i := range q.shards {
		s := &q.shards[i]
		share := r.gate(s.service).Share(q.route.Priority, q.fleet.table.Ranks())
		if share < 1 && r.rand.Float64() >= share {
			s.closed = true
			q.out++
			left--
		}
	}
	return left >= q.plan.Need
}

// open returns the number of shards of which a part may still come.
func (q *query) open() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].open() {
			n++
		}
	}
	return n
}

// wake returns the time of the next hedge, or until if that is earlier.
func (q *query) wake(until time.Time, delay time.Duration) time.Time {
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeable(s) {
			continue
		}
		if at := s.due(delay); at.Before(until) {
			until = at
		}
	}
	return until
}

// handle takes the end of one send.
func (q *query) handle(ctx context.Context, res result) {
	s := &q.shards[res.shard]
	s.flying--
	if s.part != nil {
		return
	}
	switch res.status {
	case caller.Answered:
		if q.route.Fanout() && !q.isPart(res) {
			q.again(ctx, res, retry)
			return
		}
		s.part = &res
		q.parts++
	case caller.Shed, caller.Missing:
		// The server did not run the request, but it was bothered with it.
		s.sends--
		q.again(ctx, res, retry)
	case caller.Unsent:
		s.sends--
		q.again(ctx, res, reroute)
	default:
		if res.status == caller.Failed {
			s.failure = res.response
		}
		if q.route.Kind != router.Safe {
			s.closed = true
			return
		}
		q.again(ctx, res, retry)
	}
}

// isPart reports whether an answer can be a part of a fan-out.
func (q *query) isPart(res result) bool {
	return res.response.Status >= 200 && res.response.Status < 300 && res.note.Stamp != ""
}

// again sends another request for a shard whose send failed, unless another one
// is under way.
func (q *query) again(ctx context.Context, res result, why cause) {
	s := &q.shards[res.shard]
	q.relayer.reportFailure(q, res)
	if s.flying > 0 {
		return
	}
	if s.sends >= q.route.Attempts || len(s.tried) >= maxSends || ctx.Err() != nil {
		s.closed = true
		return
	}
	q.launch(ctx, res.shard, why)
}
