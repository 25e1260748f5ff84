package relayer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/route/gatherer"
	"gentianpond/internal/route/ranker"
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
	// sends counts the sends that servers may have run, attempts all sends.
	sends    int
	attempts int
	flying   int
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
		return Answer{Reason: NotReady, Retry: startRetry}
	}
	route, ok := f.table.Match(request.Host, request.Path)
	if !ok {
		return Answer{Reason: NoRoute}
	}
	limit := request.Received.Add(route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(limit) {
		limit = request.Deadline
	}
	limit = limit.Add(-limitMargin)
	if !time.Now().Before(limit) {
		return Answer{Reason: Expired, Retry: retryLeast}
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
		q.hedge(ctx, now)
		verdict, until := q.plan.Decide(now, q.parts, q.open())
		switch verdict {
		case gatherer.Reply:
			return q.reply()
		case gatherer.Fail:
			return q.fail(ctx)
		}
		timer.Reset(time.Until(q.wake(until)))
		select {
		case res := <-q.results:
			q.handle(ctx, res)
		case <-timer.C:
		case <-ctx.Done():
			if context.Cause(ctx) != context.DeadlineExceeded {
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
func (q *query) wake(until time.Time) time.Time {
	delay := q.hedgeDelay()
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

// hedgeable reports whether a shard may get a hedge once it is late.
func (q *query) hedgeable(s *shard) bool {
	return q.route.Kind == router.Safe && s.part == nil && s.flying == 1 && !s.hedged && s.sends < q.route.Attempts
}

func (q *query) hedgeDelay() time.Duration {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedger(q.route).DelayBefore(time.Now(), q.plan.Aim.Sub(q.plan.Start))
}

// hedge sends another request for each shard that is late.
func (q *query) hedge(ctx context.Context, now time.Time) {
	delay := q.hedgeDelay()
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
	s.attempts++
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
	budget := r.budget(time.Now(), s.service)
	if why == first {
		budget.Earn()
	}
	target := r.pick(q.fleet, s.service, s.tried)
	if target == nil {
		return nil
	}
	switch why {
	case hedge:
		if !budget.TakeAbove(q.reserve(s, r.burst())) {
			return nil
		}
	case retry:
		if !budget.Take() {
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

// pick returns the best server of a service that was not tried: one that is up,
// else one that is silent, else one that is down. The lock is held.
func (r *Relayer) pick(f *fleet, service string, tried []string) *server {
	m := f.services[service]
	now := time.Now()
	for _, step := range []struct {
		names []string
		down  bool
	}{{m.ready, false}, {m.silent, false}, {m.ready, true}, {m.silent, true}} {
		excluded := tried
		for {
			name, ok := r.selector.Choose(now, r.rand, step.names, excluded)
			if !ok {
				break
			}
			s := f.servers[name]
			if !s.misdirected.Load() && s.down.Load() == step.down {
				return s
			}
			excluded = append(slices.Clone(excluded), name)
		}
	}
	return nil
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
	if s.sends >= q.route.Attempts || s.attempts >= maxSends || ctx.Err() != nil {
		s.closed = true
		return
	}
	q.launch(ctx, res.shard, why)
}

// reply returns the parts in hand.
func (q *query) reply() Answer {
	if !q.route.Fanout() {
		res := q.shards[0].part.response
		return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	}
	a := Answer{Status: http.StatusOK}
	var bodies [][]byte
	for i := range q.shards {
		part := q.shards[i].part
		if part == nil {
			a.Missing++
			continue
		}
		a.Stamps = append(a.Stamps, part.note.Stamp)
		bodies = append(bodies, part.response.Body)
	}
	a.Body = ranker.Greatest(bodies, q.route.Top)
	return a
}

// fail returns why there is no answer.
func (q *query) fail(ctx context.Context) Answer {
	ran, tried := false, false
	for i := range q.shards {
		s := &q.shards[i]
		ran = ran || s.sends > 0
		tried = tried || s.attempts > 0
	}
	if !q.route.Fanout() && q.shards[0].failure != nil {
		res := q.shards[0].failure
		return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	}
	switch {
	case ran && (ctx.Err() != nil || !time.Now().Before(q.limit)):
		return Answer{Reason: TimedOut}
	case ran:
		return Answer{Reason: Broken}
	case tried:
		return Answer{Reason: Shed, Retry: q.relayer.retryAfter()}
	}
	return Answer{Reason: NoServer, Retry: q.relayer.retryAfter()}
}

// retryAfter spreads the return of refused clients.
func (r *Relayer) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retryLeast + time.Duration(r.rand.Int64N(int64(2*retryLeast)))
}
