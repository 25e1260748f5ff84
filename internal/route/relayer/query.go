package relayer

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/estimator"
	"gentianpond/internal/route/gatherer"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/caller"
)

const (
	// deadlineMargin is how long before the time limit of a request its final answer
	// is sent.
	deadlineMargin = 30 * time.Millisecond
	// hedgeRetryDelay is the delay until a hedge that was denied by the budget is
	// tried again.
	hedgeRetryDelay = 5 * time.Millisecond
	// maxSendsPerShard bounds the sends to one shard, including those that servers
	// refused and those that did not leave this host.
	maxSendsPerShard = 6
	// minRetryAfter is the shortest time after which a client is told to retry.
	minRetryAfter = 100 * time.Millisecond
	// memoryRetryAfter is the time after which clients that hold memory without progress have
	// been disconnected.
	memoryRetryAfter = time.Second
	// startupRetryAfter is the time after which a client is told to retry at a host
	// that has just started. When all hosts start at once, it takes about as long
	// to elect a leader of the control hosts and to find it.
	startupRetryAfter = 800 * time.Millisecond
)

// Request is a client's request.
type Request struct {
	// ID is the request id that the client chose for this attempt.
	ID     string
	Method string
	// Target is the path and query as the client sent them, Path the path alone.
	Target string
	Path   string
	// Host is the requested host without a port, HostHeader as the client sent it.
	Host       string
	HostHeader string
	Header     http.Header
	Body       []byte
	// Received is when the request was read. Deadline is when the client stops
	// waiting; the zero value means that it set none.
	Received time.Time
	Deadline time.Time
	// TransitTime is the network time between the client and this host, both ways; 0
	// means Config.TransitTime.
	TransitTime time.Duration
	// Delegated is true if another host handed the request over. Table is then the
	// version of the routing table by which that host matched it, and Counted is true if
	// it has counted the request for the budgets of the services.
	Delegated bool
	Table     uint64
	Counted   bool
	// Account is the name of the account that the other host found for the request.
	Account string
	// MayHandOverTo reports whether the request may be handed over to a host in an
	// availability zone. Nil means any.
	MayHandOverTo func(zone string) bool
}

// query is the state of one client request. Only the goroutine of run uses it; the
// goroutines that wait for servers send to results.
type query struct {
	relayer *Relayer
	// request is the client's request in the form that is copied for every send to a
	// backend server.
	request *connector.Request
	// id is the client's request id.
	id string
	// fingerprint identifies requests that are equal to this one.
	fingerprint uint64
	// route is the route that the request matched in the routing table.
	route *router.Route
	// table is the routing table when the request arrived. It is used until the final
	// answer, so that all parts belong to the shards of one table. The servers are those
	// of the current routing state; see late.go.
	table *router.Table
	// account is the client account of the request, nil if there is none.
	account *router.Account
	// standing compares the account to its usual demand.
	standing admitter.Standing
	// plan tells when to answer with the parts that have arrived. A request that is not
	// a fan-out has a plan for a single part.
	plan gatherer.Plan
	// deadline is when the final answer is sent at the latest.
	deadline time.Time
	// shards holds the shards of a fan-out in the order of the route, or the one
	// service of another request.
	shards []shardState
	// partCount is the number of shards that have answered with a part.
	partCount int
	// results gets the result of every send.
	results chan sendResult
	// hedgeCount and retryCount are the numbers of hedges and retries sent to all
	// shards.
	hedgeCount int
	retryCount int
	// congestedShards is the number of shards that get no request because they are
	// congested.
	congestedShards int
	// limitedShards is the number of shards that get no request because all of their
	// servers name a rate limit and this host has no room within it.
	limitedShards int
	// unreachableShards is the number of shards whose servers check in but cannot be
	// reached from this host.
	unreachableShards int
	// received is set once a server may have received the request, counted once it counts
	// for the budgets of the services.
	received bool
	counted  bool
	// delegated is set if another host answered the request.
	delegated bool
	// stopped is set if a planned stop ended the request.
	stopped bool
	// trial is the isolated run of a suspected request.
	trial trial
}

// shardState is the state of one shard of a fan-out. A request to a single server has
// exactly one.
type shardState struct {
	// service is the name of the service whose servers get the sends for this shard.
	service string
	// triedServers holds the names of the servers to which a send was started.
	triedServers []string
	// attempts is the number of sends that servers may have run. It is at most
	// len(triedServers), which counts all sends.
	attempts int
	// cost is the estimator's account of the send for which a server was chosen last.
	cost estimator.Send
	// inFlight is the number of sends whose result has not been handled.
	inFlight int
	// lastSent is when the latest send started.
	lastSent time.Time
	// hedged is set once a hedge has been sent. There is at most one per shard.
	hedged bool
	// hedgeRetryAt is when a hedge that was denied by the budget is tried again.
	hedgeRetryAt time.Time
	// part is the answer of the shard, nil until it has arrived.
	part *sendResult
	// failedResponse is the last answer with a status of 500 or above that may be passed
	// on.
	failedResponse *connector.Response
	// unconfirmed is set once a server has answered with a status that promises, without a
	// statement of the server, that the request has not run.
	unconfirmed bool
	// noMoreSends is set when no further send is allowed or possible.
	noMoreSends bool
	// held is set while the shard waits for the outcome of a trial, to make a send for
	// heldCause.
	held      bool
	heldCause sendCause
}

// mayAnswer reports whether a part may still come from the shard.
func (s *shardState) mayAnswer() bool { return s.part == nil && (s.inFlight > 0 || !s.noMoreSends) }

// Do forwards a request and returns its final answer. It returns early when ctx is
// cancelled because the client disconnected.
func (r *Relayer) Do(ctx context.Context, request Request) Answer {
	routing := r.routing.Load()
	if routing.table == nil {
		return r.Refuse(&request, NotReady)
	}
	route, ok := routing.table.Match(request.Host, request.Path)
	if request.Delegated && request.Table != routing.table.Version {
		return r.Refuse(&request, NotReady)
	}
	if !ok {
		return r.Refuse(&request, NoRoute)
	}
	account, ok := r.identify(routing.table, route, &request)
	if !ok {
		return r.Refuse(&request, Unauthorized)
	}
	deadline := request.Received.Add(route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(deadline) {
		deadline = request.Deadline
	}
	deadline = deadline.Add(-deadlineMargin)
	if stop := r.stopAt.Load(); stop != nil && stop.Before(deadline) {
		if time.Until(*stop) < route.Objective {
			return r.Refuse(&request, NotReady)
		}
		deadline = *stop
	}
	if !time.Now().Before(deadline) {
		return r.Refuse(&request, Expired)
	}
	if wait, ok := r.takeAllowance(ctx, account, route, &request); !ok {
		return r.refuseAllowance(&request, account, wait)
	}
	q := r.newQuery(routing.table, route, &request, deadline)
	q.account = account
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer q.endTrial()
	answer := q.guardRequest(ctx)
	if answer.Reason == Served {
		answer = q.serve(ctx, &request)
	}
	answer.allowance = q.request.Allowance
	if answer.Reason.NotRun() {
		r.returnAllowance(account, &request)
	}
	r.reportRequest(q, &request, answer)
	return answer
}

// newQuery returns the query for a request to a route. deadline is when its final
// answer is sent at the latest.
func (r *Relayer) newQuery(table *router.Table, route *router.Route, request *Request, deadline time.Time) *query {
	services := route.Shards
	if !route.Fanout() {
		services = []string{route.PickService()}
	}
	q := &query{
		relayer: r,
		request: &connector.Request{
			Method: request.Method, Target: request.Target, Host: request.HostHeader, Header: request.Header, Body: request.Body,
			Exclusive: request.ID == "",
			Allowance: connector.NewAllowance(cmp.Or(r.config.AnswerBytes, defaultAnswerBytes), r.memory),
		},
		id:          request.ID,
		fingerprint: request.fingerprint(),
		counted:     request.Counted,
		route:       route,
		table:       table,
		deadline:    deadline,
		shards:      make([]shardState, len(services)),
		results:     make(chan sendResult, len(services)*maxSendsPerShard),
		plan: gatherer.Plan{
			Start:        request.Received,
			SoftDeadline: request.Received.Add(route.Objective - cmp.Or(request.TransitTime, r.config.TransitTime)),
			HardDeadline: deadline,
			Shards:       len(services),
			MinParts:     1,
		},
	}
	if route.Fanout() {
		q.plan.MinParts = route.MinParts()
	}
	for i, name := range services {
		q.shards[i].service = name
	}
	return q
}

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=sendCause -linecomment -output=cause_string.go

// sendCause is the reason for a send.
type sendCause uint8

const (
	// firstSend is the first send to a shard.
	firstSend sendCause = iota // first
	// hedgeSend goes to another server while a send to the shard is late.
	hedgeSend // hedge
	// retrySend follows a send that reached a server and yielded no part.
	retrySend // retry
	// rerouteSend replaces a send of which nothing reached the server. It needs no
	// budget.
	rerouteSend // reroute
)

// run sends the request to all shards and handles results, hedges and timeouts until
// the final answer is decided.
func (q *query) run(ctx context.Context) Answer {
	targets, refusal := q.admit()
	if refusal.Reason != Served {
		q.countRefusal(refusal.Reason)
		return refusal
	}
	sendCtx, cancelSends := context.WithCancel(ctx)
	defer cancelSends()
	for i, target := range targets {
		if target != nil {
			q.startSend(sendCtx, i, target, firstSend)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		q.advanceTrial(sendCtx)
		delay := q.hedgeDelay(now)
		q.hedgeLateShards(sendCtx, now, delay)
		verdict, until := q.plan.Decide(now, q.partCount, q.openShards())
		switch verdict {
		case gatherer.Reply:
			return q.mergedAnswer()
		case gatherer.Fail:
			return q.giveUp(ctx, cancelSends)
		}
		timer.Reset(time.Until(q.nextWake(until, delay)))
		select {
		case res := <-q.results:
			q.handleResult(sendCtx, res)
		case <-timer.C:
		case <-ctx.Done():
			if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				return Answer{Reason: ClientLeft}
			}
		case <-q.relayer.stopped:
			if q.partCount >= q.plan.MinParts {
				return q.mergedAnswer()
			}
			q.stopped = true
			return q.giveUp(ctx, cancelSends)
		}
	}
}

// giveUp returns the final answer to a request that could not be served. A request that no
// server has received is cancelled first, so that it certainly has not run.
func (q *query) giveUp(ctx context.Context, cancelSends context.CancelFunc) Answer {
	if !q.received {
		cancelSends()
		q.awaitCancelled()
	}
	return q.failureAnswer(ctx)
}

// openShards returns the number of shards from which a part may still come.
func (q *query) openShards() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].mayAnswer() {
			n++
		}
	}
	return n
}

// nextWake returns when run has to act next if no result arrives: the time of the
// next hedge, the next decision on a trial, or until, whichever is earliest.
func (q *query) nextWake(until time.Time, delay time.Duration) time.Time {
	if poll := time.Now().Add(suspectPollInterval); q.trial.waiting && poll.Before(until) {
		until = poll
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeable(s) {
			continue
		}
		if at := s.hedgeDue(delay); at.Before(until) {
			until = at
		}
	}
	return until
}

// handleResult records the result of one send and sends again where that is needed
// and allowed.
func (q *query) handleResult(ctx context.Context, res sendResult) {
	s := &q.shards[res.shard]
	s.inFlight--
	if res.status != caller.Unsent && res.status != caller.Refused {
		q.received = true
	}
	if s.part != nil {
		return
	}
	s.unconfirmed = s.unconfirmed || res.isUnconfirmed()
	switch res.status {
	case caller.Answered:
		if !q.isAnswer(res) {
			q.handleFailure(ctx, res)
			return
		}
		s.part = &res
		q.partCount++
	case caller.Shed, caller.Missing:
		// The server did not run the request. The next send is a retry, which takes
		// budget, because the server had to handle this one.
		s.attempts--
		q.resend(ctx, res, retrySend)
	case caller.Unsent, caller.Refused:
		s.attempts--
		q.resend(ctx, res, rerouteSend)
	default:
		if res.status == caller.Failed && !res.metadata.PromisesNotRun {
			s.failedResponse = res.response
		}
		q.handleFailure(ctx, res)
	}
}

// handleFailure decides how to go on after a send that the server may have run and that
// yielded no answer. Only a safe request is sent again.
func (q *query) handleFailure(ctx context.Context, res sendResult) {
	switch {
	case q.route.Kind != router.Safe:
		q.relayer.reportSendFailure(q, res)
		q.shards[res.shard].noMoreSends = true
	case res.ended:
		q.handleEnd(ctx, res)
	default:
		q.resend(ctx, res, retrySend)
	}
}

// awaitCancelled waits for the results of the sends in flight, which have been cancelled,
// to learn whether any of them left this host. If none did, the request has not run.
func (q *query) awaitCancelled() {
	for i := range q.shards {
		for q.shards[i].inFlight > 0 {
			res := <-q.results
			s := &q.shards[res.shard]
			s.inFlight--
			if res.status == caller.Unsent || res.status == caller.Refused {
				s.attempts--
				continue
			}
			q.received = true
		}
	}
}

// isAnswer reports whether a response can be the answer to the client or a part of it. A
// success has to be signed, a part has to be a success, and a promise has to be confirmed.
func (q *query) isAnswer(res sendResult) bool {
	if res.isUnconfirmed() {
		return false
	}
	success := res.response.Status >= 200 && res.response.Status < 300
	return success && res.metadata.Stamp != "" || !success && !q.route.Fanout()
}

// resend sends the request to a shard again after a failed send, unless another send
// to it is still in flight.
func (q *query) resend(ctx context.Context, res sendResult, cause sendCause) {
	s := &q.shards[res.shard]
	q.relayer.reportSendFailure(q, res)
	if s.inFlight > 0 {
		return
	}
	if q.isHeld(res.shard) {
		q.hold(res.shard, cause)
		return
	}
	if q.maySendAgain(ctx, s) && !q.mayRun() {
		q.holdForTrial(res.shard, cause)
		return
	}
	q.sendAgain(ctx, res.shard, cause)
}

// sendAgain sends the request to a shard again if that is allowed.
func (q *query) sendAgain(ctx context.Context, shard int, cause sendCause) {
	if s := &q.shards[shard]; !q.maySendAgain(ctx, s) {
		s.noMoreSends = true
		return
	}
	q.sendToShard(ctx, shard, cause)
}

// maySendAgain reports whether a shard has attempts left.
func (q *query) maySendAgain(ctx context.Context, s *shardState) bool {
	return s.attempts < q.route.MaxAttempts && len(s.triedServers) < maxSendsPerShard && ctx.Err() == nil
}
