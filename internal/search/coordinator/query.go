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

// maxRestarts bounds how often one query restarts on another snapshot.
const maxRestarts = 3

// maxHedges bounds the hedges of one shard. With 340 shards and 1 in 100
// sub-requests slow, 1 query in 30 has a shard whose first hedge is slow too.
const maxHedges = 2

// query is the state of one running search. Its fields belong to the goroutine
// of run; the goroutines that wait for owners only send to replies.
type query struct {
	coordinator *Coordinator
	request     Request
	// settings are those of the searched archive.
	settings checker.ArchiveSettings
	// id is unique among the queries of all entry hosts.
	id string
	// directory is the one from the start or the latest restart of the query.
	directory *Directory
	// replies gets the replies to the attempts of all runs.
	replies chan attemptReply

	// snapshot is the one that the query is pinned to.
	snapshot *pinner.Snapshot
	// merger collects the answers of the run on snapshot.
	merger *merger.Merger[[]byte]
	// attempts holds the attempts in flight by number.
	attempts map[uint64]*attempt
	// shards is indexed by shard.
	shards []shardState
	// triedSnapshots holds the versions that the query has been pinned to.
	triedSnapshots []string
	// guard decides what may be sent when sub-requests may crash backend servers.
	guard crashGuard
	// mayHaveStarted is true once a backend server may have started a
	// sub-request.
	mayHaveStarted bool
}

// attempt is one sub-request in flight.
type attempt struct {
	// shard is the number of the shard that is searched.
	shard uint32
	// server is the name of the backend server, incarnation that of its process.
	server      string
	incarnation uint64
	sentAt      time.Time
	// owner is the entry host that the sub-request is sent through.
	owner assigner.Member
	// alone means that it runs with no other request in flight on the server.
	alone bool
}

// shardState records the attempts at one shard.
type shardState struct {
	// triedServers holds the names of the servers of all attempts.
	triedServers []string
	// newest is the attempt sent last. It may have ended.
	newest *attempt
	// hedges is the number of hedges sent.
	hedges int
	// snapshotWithdrawn is true when a replica no longer served the snapshot.
	snapshotWithdrawn bool
}

// run pins the query to s and runs it, restarting on other snapshots as needed.
func (q *query) run(ctx context.Context, s *pinner.Snapshot) (Answer, error) {
	for {
		next := q.runPinned(ctx, s)
		if next == nil {
			return q.result()
		}
		s = next
	}
}

// runPinned runs the query on one snapshot. It returns the snapshot to restart
// on, or nil when the query is done.
func (q *query) runPinned(ctx context.Context, s *pinner.Snapshot) *pinner.Snapshot {
	sub, stop := context.WithCancel(ctx)
	defer q.cancelAttempts(stop)
	q.pin(s)
	q.sendFirstAttempts(sub)
	timer := time.NewTimer(q.hedgeDelay())
	defer timer.Stop()
	// Attempts at shards that are answered already are not waited for: they
	// are the stragglers.
	for !q.merger.Done() {
		select {
		case r := <-q.replies:
			q.handleReply(sub, r)
		case <-timer.C:
			q.sendHedges(sub)
			timer.Reset(q.hedgeDelay())
		case <-ctx.Done():
			q.mayHaveStarted = true
			return nil
		}
		if next, ok := q.restartSnapshot(); ok {
			return next
		}
	}
	return nil
}

// pin resets the state of the query to the start of a run on snapshot s.
func (q *query) pin(s *pinner.Snapshot) {
	q.snapshot = s
	q.triedSnapshots = append(q.triedSnapshots, s.Version())
	q.merger = merger.New[[]byte](q.id, s.Version(), s.ShardCount())
	q.attempts = make(map[uint64]*attempt, s.ShardCount())
	q.shards = make([]shardState, s.ShardCount())
	q.guard = crashGuard{alone: q.request.Alone, canary: q.request.Canary || q.request.Alone}
}

// cancelAttempts cancels the attempts in flight, which servers may have started.
// The time that they ran is recorded: without the stragglers that lost to a hedge,
// the hedge delay would shrink.
func (q *query) cancelAttempts(stop context.CancelFunc) {
	stop()
	if len(q.attempts) > 0 {
		q.mayHaveStarted = true
	}
	now := time.Now()
	for _, a := range q.attempts {
		q.recordOutcome(now, a, selector.Cancelled)
	}
	q.attempts = nil
}

// sendFirstAttempts sends the first sub-request of every shard that has a usable
// replica, or of only one of them, chosen at random, in canary mode.
func (q *query) sendFirstAttempts(ctx context.Context) {
	var shards []uint32
	for shard := range q.snapshot.ShardCount() {
		if len(q.snapshot.Candidates(shard)) > 0 {
			shards = append(shards, shard)
		}
	}
	if q.guard.canary && len(shards) > 1 {
		first := q.coordinator.randIntN(len(shards))
		q.guard.heldShards = slices.Delete(slices.Clone(shards), first, first+1)
		shards = shards[first : first+1]
	}
	q.send(ctx, shards, firstAttempt)
}

// attemptKind says why a sub-request is sent.
type attemptKind int

const (
	// firstAttempt is the first attempt at a shard.
	firstAttempt attemptKind = iota
	// hedgeAttempt follows an attempt that has not been answered for the hedge
	// delay.
	hedgeAttempt
	// retryAttempt follows an attempt that failed.
	retryAttempt
	// rerouteAttempt follows an attempt that was never sent to its backend
	// server.
	rerouteAttempt
)

// send chooses a replica for each shard, within the budget for attempts of this
// kind, and sends the sub-requests to the owners, one batch each. It returns
// the shards for which none could be sent.
func (q *query) send(ctx context.Context, shards []uint32, kind attemptKind) (unsent []uint32) {
	batches := map[assigner.Member][]uint64{}
	c := q.coordinator
	c.mu.Lock()
	now := time.Now()
	for _, shard := range shards {
		number, a := q.newAttempt(now, shard, kind)
		if a == nil {
			unsent = append(unsent, shard)
			continue
		}
		batches[a.owner] = append(batches[a.owner], number)
	}
	c.mu.Unlock()
	for owner, numbers := range batches {
		request := q.scanRequest(numbers)
		go q.callOwner(ctx, owner, request)
	}
	return unsent
}

// chooseReplica returns the name of the replica for an attempt. A hedge of a
// shard whose replicas were all tried goes to one of them again: a request that
// is slow once is rarely slow twice. The caller holds the coordinator's lock.
func (q *query) chooseReplica(now time.Time, shard uint32, kind attemptKind) (string, bool) {
	c := q.coordinator
	candidates := q.snapshot.Candidates(shard)
	tried := q.shards[shard].triedServers
	if kind == firstAttempt {
		return c.selector.Choose(now, c.rand, candidates, tried)
	}
	name, ok := c.selector.ChooseRetry(now, c.rand, candidates, tried)
	if !ok && kind == hedgeAttempt {
		return c.selector.ChooseRetry(now, c.rand, candidates, nil)
	}
	return name, ok
}

// newAttempt chooses a replica for the shard and registers an attempt at it. It
// returns the attempt and its number, or nil when no replica or no budget is
// left or the shard is answered. The caller holds the coordinator's lock.
func (q *query) newAttempt(now time.Time, shard uint32, kind attemptKind) (uint64, *attempt) {
	c := q.coordinator
	state := &q.shards[shard]
	h := c.hedgerOf(q.settings, q.request.Lane)
	name, ok := q.chooseReplica(now, shard, kind)
	if !ok {
		return 0, nil
	}
	b, ok := q.directory.Backend(name)
	if !ok || !q.takeBudget(kind) {
		return 0, nil
	}
	number := c.attemptCount.Add(1)
	if !q.merger.Expect(shard, number, b.Incarnation) {
		return 0, nil
	}
	if kind == firstAttempt {
		h.RecordFirstAttempt()
	}
	c.selector.Started(name, b.Incarnation)
	state.triedServers = append(state.triedServers, name)
	a := &attempt{shard: shard, server: name, incarnation: b.Incarnation, sentAt: now, owner: b.Owner, alone: q.guard.nextAlone()}
	q.attempts[number] = a
	state.newest = a
	if kind == hedgeAttempt {
		state.hedges++
	}
	return number, a
}

// takeBudget takes a token for a hedge or a retry and reports whether there was
// one. First attempts and reroutes need none. Attempts that may be sent are
// counted in the metrics. The caller holds the coordinator's lock.
func (q *query) takeBudget(kind attemptKind) bool {
	m := q.coordinator.metrics
	h := q.coordinator.hedgerOf(q.settings, q.request.Lane)
	switch kind {
	case hedgeAttempt:
		if !h.AllowHedge() {
			return false
		}
		m.hedges.Inc(1)
	case retryAttempt:
		if !h.AllowRetry() {
			return false
		}
		m.retries.Inc(1)
	case rerouteAttempt:
		m.reroutes.Inc(1)
	default:
		m.firstAttempts.Inc(1)
	}
	return true
}

// scanRequest builds the batch of the attempts with the given numbers.
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

// callOwner sends a batch to its owner and waits for the replies. Attempts that
// the owner leaves unanswered get the status Unsent or Failed, so that each
// attempt has a reply.
func (q *query) callOwner(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest) {
	waiting := make(map[uint64]uint32, len(r.GetSubrequests()))
	for _, s := range r.GetSubrequests() {
		waiting[s.GetAttempt()] = s.GetShard()
	}
	err := q.coordinator.sender.Scan(ctx, owner, r, func(m *messenger.ScanReply) {
		delete(waiting, m.GetAttempt())
		q.deliver(ctx, q.countAnswer(attemptReply{attempt: m.GetAttempt(), shard: m.GetShard(), status: caller.Status(m.GetStatus()), body: m.GetBody(), snapshot: m.GetSnapshot()}))
	})
	status := caller.Failed
	if errors.Is(err, ErrUnsent) {
		status = caller.Unsent
	}
	for number, shard := range waiting {
		q.deliver(ctx, attemptReply{attempt: number, shard: shard, status: status, snapshot: r.GetSnapshot()})
	}
}

// uncountedBytes is the size up to which an answer needs no memory of the allowance.
const uncountedBytes = 2 << 10

// countAnswer counts the memory of an answer until the search ends. An answer for which there
// is none is dropped, which says nothing about its server.
func (q *query) countAnswer(r attemptReply) attemptReply {
	if len(r.body) <= uncountedBytes {
		return r
	}
	if err := q.request.Answers.Take(int64(len(r.body))); err != nil {
		q.coordinator.metrics.uncountedAnswers.Inc(1)
		r.status, r.body = caller.Cancelled, nil
	}
	return r
}

// deliver passes a reply to the goroutine of run, or drops it when the run on
// this snapshot has ended.
func (q *query) deliver(ctx context.Context, r attemptReply) {
	select {
	case q.replies <- r:
	case <-ctx.Done():
	}
}

// hedgeDelay returns how long after the newest attempt at a shard a hedge is sent.
func (q *query) hedgeDelay() time.Duration {
	c := q.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedgerOf(q.settings, q.request.Lane).Delay(time.Now())
}

// sendHedges sends another sub-request for each shard whose newest attempt was
// sent the hedge delay ago or earlier. That attempt may have failed meanwhile,
// as one to a server that is down does. A shard for which the budget is empty
// is considered again after a further delay.
func (q *query) sendHedges(ctx context.Context) {
	if !q.guard.mayHedge() {
		return
	}
	delay := q.hedgeDelay()
	now := time.Now()
	var late []uint32
	for _, a := range q.attempts {
		state := &q.shards[a.shard]
		due := state.hedges < maxHedges && now.Sub(state.newest.sentAt) >= delay && !q.merger.Answered(a.shard)
		if due && !slices.Contains(late, a.shard) {
			late = append(late, a.shard)
		}
	}
	q.send(ctx, late, hedgeAttempt)
}

// recordOutcome reports to the selector and the hedger how an attempt ended.
func (q *query) recordOutcome(now time.Time, a *attempt, status selector.Status) {
	c := q.coordinator
	latency := now.Sub(a.sentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.Finished(now, a.server, a.incarnation, status, latency)
	h := c.hedgerOf(q.settings, q.request.Lane)
	switch status {
	case selector.Completed:
		h.RecordLatency(now, latency)
		h.RecordSuccess()
	case selector.Cancelled, selector.TimedOut:
		h.RecordLatency(now, latency)
	}
}

// result returns the merged answer. Without any answered shard it returns the
// coverage with ErrNoAnswer or ErrNotStarted.
func (q *query) result() (Answer, error) {
	r := q.merger.Result()
	if r.Coverage.Answered == 0 {
		if q.mayHaveStarted {
			return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage, Crashed: q.guard.crashed()}, ErrNoAnswer
		}
		return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage}, ErrNotStarted
	}
	return Answer{Snapshot: r.Snapshot, Coverage: r.Coverage, Bodies: r.Bodies, Crashed: q.guard.crashed()}, nil
}

// restartSnapshot returns the snapshot to restart on, if the pinned one was
// withdrawn and another one covers a larger share of its shards.
func (q *query) restartSnapshot() (*pinner.Snapshot, bool) {
	if len(q.triedSnapshots) > maxRestarts || !q.lostToWithdrawal() {
		return nil, false
	}
	d := q.coordinator.directory.Load()
	a, ok := d.archives[q.request.Archive]
	if !ok {
		return nil, false
	}
	next, ok := a.snapshots.Next(q.triedSnapshots...)
	if !ok || !q.coversMore(next) {
		return nil, false
	}
	q.directory = d
	q.coordinator.metrics.restarts.Inc(1)
	return next, true
}

// lostToWithdrawal reports whether a shard is neither answered nor in flight and
// a replica of it no longer served the snapshot.
func (q *query) lostToWithdrawal() bool {
	for shard := range q.shards {
		if q.shards[shard].snapshotWithdrawn && !q.merger.Answered(uint32(shard)) && !q.inFlight(uint32(shard)) {
			return true
		}
	}
	return false
}

// inFlight reports whether an attempt at the shard is in flight.
func (q *query) inFlight(shard uint32) bool {
	for _, a := range q.attempts {
		if a.shard == shard {
			return true
		}
	}
	return false
}

// coversMore reports whether next covers a larger share of its shards than the
// pinned snapshot can still reach.
func (q *query) coversMore(next *pinner.Snapshot) bool {
	reachable := 0
	for shard := range q.snapshot.ShardCount() {
		if q.merger.Answered(shard) || q.inFlight(shard) {
			reachable++
		}
	}
	return uint64(next.CoveredShards())*uint64(q.snapshot.ShardCount()) > uint64(reachable)*uint64(next.ShardCount())
}
