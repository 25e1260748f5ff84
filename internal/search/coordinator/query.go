package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/merger"
	"gentianpond/internal/search/pinner"
	"gentianpond/internal/search/selector"
	"gentianpond/internal/settings/checker"
)

// maxRestarts bounds how often one query starts again on another snapshot.
const maxRestarts = 3

// maxHedges bounds the hedges of one shard. With 340 shards and 1 in 100
// sub-requests slow, 1 query in 30 has a shard whose first hedge is slow too.
const maxHedges = 2

// query is the state of one running search. Only run's goroutine uses it; the
// goroutines that wait for owners write to replies.
type query struct {
	coordinator *Coordinator
	request     Request
	settings    checker.Archive
	id          string
	directory   *Directory
	replies     chan reply

	snapshot *pinner.Snapshot
	merger   *merger.Merger[[]byte]
	attempts map[uint64]*attempt
	shards   []shardState
	tried    []string
	guard    guard
	// started is true once a backend server may have started a sub-request.
	started bool
}

// attempt is one sub-request in flight.
type attempt struct {
	shard       uint32
	server      string
	incarnation uint64
	sent        time.Time
	owner       assigner.Member
	alone       bool
}

// shardState is what was tried for one shard.
type shardState struct {
	tried []string
	// newest is the attempt sent last.
	newest *attempt
	hedges int
	// withdrawn is true when a replica no longer had the snapshot.
	withdrawn bool
}

func (q *query) run(ctx context.Context, s *pinner.Snapshot) (Answer, error) {
	for {
		next := q.pinned(ctx, s)
		if next == nil {
			return q.result()
		}
		s = next
	}
}

// pinned runs the query on one snapshot. It returns the snapshot to start
// again on, or nil when the query is done.
func (q *query) pinned(ctx context.Context, s *pinner.Snapshot) *pinner.Snapshot {
	sub, stop := context.WithCancel(ctx)
	defer q.end(stop)
	q.begin(s)
	q.launch(sub)
	timer := time.NewTimer(q.delay())
	defer timer.Stop()
	// The losers of hedges are not waited for: they are the stragglers.
	for !q.merger.Done() {
		select {
		case r := <-q.replies:
			q.handle(sub, r)
		case <-timer.C:
			q.hedge(sub)
			timer.Reset(q.delay())
		case <-ctx.Done():
			q.started = true
			return nil
		}
		if next, ok := q.restart(); ok {
			return next
		}
	}
	return nil
}

// begin pins a snapshot.
func (q *query) begin(s *pinner.Snapshot) {
	q.snapshot = s
	q.tried = append(q.tried, s.Version())
	q.merger = merger.New[[]byte](q.id, s.Version(), s.Count())
	q.attempts = make(map[uint64]*attempt, s.Count())
	q.shards = make([]shardState, s.Count())
	q.guard = guard{alone: q.request.Alone, canary: q.request.Canary || q.request.Alone}
}

// end gives up what is still in flight. The stragglers' time is observed, so
// that losing to a hedge does not shorten the hedge delay.
func (q *query) end(stop context.CancelFunc) {
	stop()
	now := time.Now()
	for _, a := range q.attempts {
		q.finished(now, a, selector.Cancelled)
	}
	q.attempts = nil
}

// launch sends the first sub-requests: all shards, or one when the request
// has to prove itself first.
func (q *query) launch(ctx context.Context) {
	var shards []uint32
	for shard := range q.snapshot.Count() {
		if len(q.snapshot.Candidates(shard)) > 0 {
			shards = append(shards, shard)
		}
	}
	if q.guard.canary && len(shards) > 1 {
		first := q.coordinator.pick(len(shards))
		q.guard.held = slices.Delete(slices.Clone(shards), first, first+1)
		shards = shards[first : first+1]
	}
	q.send(ctx, shards, first)
}

// cause says why a sub-request is sent.
type cause int

const (
	first cause = iota
	hedge
	retry
	reroute
)

// send chooses a replica for each shard, within the budget of the cause, and
// hands the sub-requests to their owners, one batch each. It returns the
// shards that could not be sent.
func (q *query) send(ctx context.Context, shards []uint32, why cause) (unsent []uint32) {
	batches := map[assigner.Member][]uint64{}
	c := q.coordinator
	c.mu.Lock()
	now := time.Now()
	for _, shard := range shards {
		number, a := q.choose(now, shard, why)
		if a == nil {
			unsent = append(unsent, shard)
			continue
		}
		batches[a.owner] = append(batches[a.owner], number)
	}
	c.mu.Unlock()
	for owner, numbers := range batches {
		request := q.scanRequest(numbers)
		go q.scan(ctx, owner, request)
	}
	return unsent
}

// replica picks the replica for an attempt. A hedge of a shard whose replicas
// were all tried goes to one of them again: a request that is slow once is
// rarely slow twice. The coordinator's lock is held.
func (q *query) replica(now time.Time, shard uint32, why cause) (string, bool) {
	c := q.coordinator
	candidates := q.snapshot.Candidates(shard)
	tried := q.shards[shard].tried
	if why == first {
		return c.selector.Choose(now, c.rand, candidates, tried)
	}
	name, ok := c.selector.ChooseRetry(now, c.rand, candidates, tried)
	if !ok && why == hedge {
		return c.selector.ChooseRetry(now, c.rand, candidates, nil)
	}
	return name, ok
}

// choose picks a replica and registers the attempt. The coordinator's lock is
// held.
func (q *query) choose(now time.Time, shard uint32, why cause) (uint64, *attempt) {
	c := q.coordinator
	state := &q.shards[shard]
	h := c.hedgerOf(q.settings, q.request.Lane)
	name, ok := q.replica(now, shard, why)
	if !ok {
		return 0, nil
	}
	b, ok := q.directory.Backend(name)
	if !ok || !q.allowed(why) {
		return 0, nil
	}
	number := c.attempts.Add(1)
	if !q.merger.Expect(shard, number, b.Incarnation) {
		return 0, nil
	}
	if why == first {
		h.FirstAttempt()
	}
	c.selector.Started(name, b.Incarnation)
	state.tried = append(state.tried, name)
	a := &attempt{shard: shard, server: name, incarnation: b.Incarnation, sent: now, owner: b.Owner, alone: q.guard.lone()}
	q.attempts[number] = a
	state.newest = a
	if why == hedge {
		state.hedges++
	}
	return number, a
}

// allowed takes a token for an extra sub-request. The coordinator's lock is
// held.
func (q *query) allowed(why cause) bool {
	m := q.coordinator.metrics
	h := q.coordinator.hedgerOf(q.settings, q.request.Lane)
	switch why {
	case hedge:
		if !h.AllowHedge() {
			return false
		}
		m.hedges.Inc(1)
	case retry:
		if !h.AllowRetry() {
			return false
		}
		m.retries.Inc(1)
	case reroute:
		m.reroutes.Inc(1)
	default:
		m.first.Inc(1)
	}
	return true
}

func (q *query) scanRequest(numbers []uint64) *messenger.ScanRequest {
	r := &messenger.ScanRequest{
		Query: q.id, Archive: q.request.Archive, Snapshot: q.snapshot.Version(), Body: q.request.Body, Lane: q.request.Lane,
		Deadline: durationpb.New(time.Until(q.request.Deadline)), Fingerprint: q.request.Fingerprint,
	}
	for _, number := range numbers {
		a := q.attempts[number]
		r.Subrequests = append(r.Subrequests, &messenger.Subrequest{
			Attempt: number, Server: a.server, Incarnation: a.incarnation, Shard: a.shard, Alone: a.alone,
		})
	}
	return r
}

// scan waits for the replies of one owner. Sub-requests that it leaves
// unanswered are reported as such, so that each attempt has one reply.
func (q *query) scan(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest) {
	waiting := make(map[uint64]uint32, len(r.GetSubrequests()))
	for _, s := range r.GetSubrequests() {
		waiting[s.GetAttempt()] = s.GetShard()
	}
	err := q.coordinator.sender.Scan(ctx, owner, r, func(m *messenger.ScanReply) {
		delete(waiting, m.GetAttempt())
		q.pass(ctx, reply{attempt: m.GetAttempt(), shard: m.GetShard(), status: caller.Status(m.GetStatus()), body: m.GetBody(), snapshot: m.GetSnapshot()})
	})
	status := caller.Failed
	if errors.Is(err, ErrUnsent) {
		status = caller.Unsent
	}
	for number, shard := range waiting {
		q.pass(ctx, reply{attempt: number, shard: shard, status: status, snapshot: r.GetSnapshot()})
	}
}

// pass hands a reply to run, or drops it when the query has ended.
func (q *query) pass(ctx context.Context, r reply) {
	select {
	case q.replies <- r:
	case <-ctx.Done():
	}
}

func (q *query) delay() time.Duration {
	c := q.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedgerOf(q.settings, q.request.Lane).Delay(time.Now())
}

// hedge sends another sub-request for each shard whose newest one was sent the
// hedge delay ago or earlier. The newest one may have failed meanwhile, as one
// to a server that is down does. A shard that finds the budget empty is looked at
// again after a further delay.
func (q *query) hedge(ctx context.Context) {
	if !q.guard.mayHedge() {
		return
	}
	delay := q.delay()
	now := time.Now()
	var late []uint32
	for _, a := range q.attempts {
		state := &q.shards[a.shard]
		due := state.hedges < maxHedges && now.Sub(state.newest.sent) >= delay && !q.merger.Answered(a.shard)
		if due && !slices.Contains(late, a.shard) {
			late = append(late, a.shard)
		}
	}
	q.send(ctx, late, hedge)
}

// finished tells the selector and the digest how an attempt ended.
func (q *query) finished(now time.Time, a *attempt, status selector.Status) {
	c := q.coordinator
	latency := now.Sub(a.sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.Finished(now, a.server, a.incarnation, status, latency)
	h := c.hedgerOf(q.settings, q.request.Lane)
	switch status {
	case selector.Completed:
		h.Observe(now, latency)
		h.Success()
	case selector.Cancelled, selector.TimedOut:
		h.Observe(now, latency)
	}
}

// result ends the query.
func (q *query) result() (Answer, error) {
	r := q.merger.Result()
	if r.Coverage.Answered == 0 {
		if q.started {
			return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage, Crashed: q.guard.crashed()}, ErrNoAnswer
		}
		return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage}, ErrNotStarted
	}
	return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage, Bodies: r.Bodies, Crashed: q.guard.crashed()}, nil
}

// restart returns the snapshot to start again on, when the pinned one was
// withdrawn and another one promises more than this one can still give.
func (q *query) restart() (*pinner.Snapshot, bool) {
	if len(q.tried) > maxRestarts || !q.withdrawn() {
		return nil, false
	}
	d := q.coordinator.directory.Load()
	a, ok := d.archives[q.request.Archive]
	if !ok {
		return nil, false
	}
	next, ok := a.snapshot.Next(q.tried...)
	if !ok || !q.better(next) {
		return nil, false
	}
	q.directory = d
	q.coordinator.metrics.restarts.Inc(1)
	return next, true
}

// withdrawn reports whether a shard was lost because its replicas no longer
// have the snapshot.
func (q *query) withdrawn() bool {
	for shard := range q.shards {
		if q.shards[shard].withdrawn && !q.merger.Answered(uint32(shard)) && !q.inFlight(uint32(shard)) {
			return true
		}
	}
	return false
}

func (q *query) inFlight(shard uint32) bool {
	for _, a := range q.attempts {
		if a.shard == shard {
			return true
		}
	}
	return false
}

// better compares the share of shards that next covers with the share that
// this snapshot can still reach.
func (q *query) better(next *pinner.Snapshot) bool {
	reachable := 0
	for shard := range q.snapshot.Count() {
		if q.merger.Answered(shard) || q.inFlight(shard) {
			reachable++
		}
	}
	return uint64(next.Covered())*uint64(q.snapshot.Count()) > uint64(reachable)*uint64(next.Count())
}
