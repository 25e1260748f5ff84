package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/caller"
)

const (
	// maxSuspectWait is how long a suspected request is held at most while another copy
	// of it runs, or until its service has another server to spare; a request that has
	// little time left is held for suspectWaitFraction of that.
	maxSuspectWait      = 500 * time.Millisecond
	suspectWaitFraction = 0.25
	// suspectPollInterval is how often it is decided again.
	suspectPollInterval = 10 * time.Millisecond
	// suspectRetryAfter is the time after which a client may retry a request that its
	// service cannot bear now.
	suspectRetryAfter = time.Second
	// reportDelay is how long the first end of a server under a safe request is kept before
	// it is reported, unless a retry shows earlier that the request is the cause. Most
	// requests that were on a server that ended complete on another one within that time,
	// and the other hosts need not hear of them.
	reportDelay = 100 * time.Millisecond
	// maxEndAge is how long ago a server may have ended for this host to take it for down.
	// It covers the time until the control hosts notice that the server is silent.
	maxEndAge = 2 * time.Second
)

// trial is the isolated run of a suspected request: it is sent to one server of one shard,
// and to the other shards only after it has completed there.
type trial struct {
	// running is true from the start of the trial to its outcome.
	running bool
	// shard is the index of the shard.
	shard int
	// round is the number of rounds that were known when it began.
	round int
	// begun is true once the guard counts the trial.
	begun bool
	// waiting is true while all sends are held until the guard decides or until has passed.
	waiting bool
	until   time.Time
}

// awaitStep decides whether a request may run, and waits for that until waitEnd or until ctx
// ends.
func (q *query) awaitStep(ctx context.Context) (quarantiner.Step, quarantiner.Suspicion) {
	until := q.waitEnd()
	for {
		step, s := q.nextStep(until)
		if step != quarantiner.StepWait {
			return step, s
		}
		select {
		case <-ctx.Done():
			return step, s
		case <-time.After(suspectPollInterval):
		}
	}
}

// waitEnd returns until when a wait that begins now lasts at most.
func (q *query) waitEnd() time.Time {
	now := time.Now()
	return now.Add(min(maxSuspectWait, time.Duration(suspectWaitFraction*float64(q.deadline.Sub(now)))))
}

// nextStep decides what to do with the request, which waits until a time at most. Then a
// copy that takes long does not keep others waiting, because it has not crashed its server
// at once; a request whose service can spare no server is refused. A trial counts from here
// on.
func (q *query) nextStep(until time.Time) (quarantiner.Step, quarantiner.Suspicion) {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	step, s := r.guard.Next(now, q.fingerprint, r.routing.Load().canSpare)
	if step == quarantiner.StepWait && !now.Before(until) {
		step = quarantiner.StepRefuse
		if s.Rounds <= 0 {
			step = quarantiner.StepTry
		}
	}
	if step == quarantiner.StepTry && !q.trial.begun {
		q.trial.begun = true
		r.guard.Begin(q.fingerprint)
	}
	return step, s
}

// endTrial ends what nextStep began.
func (q *query) endTrial() {
	if !q.trial.begun {
		return
	}
	q.relayer.mu.Lock()
	defer q.relayer.mu.Unlock()
	q.trial.begun = false
	q.relayer.guard.End(q.fingerprint)
}

// guardRequest refuses a request that crashes servers, or prepares the trial of one that
// may do so.
func (q *query) guardRequest(ctx context.Context) Answer {
	step, s := q.awaitStep(ctx)
	switch step {
	case quarantiner.StepRun:
		return Answer{}
	case quarantiner.StepTry:
		q.startTrial(s, q.shardOf(s.Archive))
		return Answer{}
	case quarantiner.StepWait:
		// The wait ends early only with the request's context.
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return Answer{Reason: Expired, RetryAfter: minRetryAfter}
		}
		return Answer{Reason: ClientLeft}
	}
	retryAfter := suspectRetryAfter
	switch s.State {
	case quarantiner.StateQuarantined:
		retryAfter = max(retryAfter, time.Until(s.Expiry))
	case quarantiner.StatePinned:
		retryAfter = quarantiner.TTL
	}
	q.relayer.config.Log.Warn("request refused because it crashes backend servers", "request", q.id, "fingerprint", fingerprintText(q.fingerprint),
		"state", s.State, "crashes", s.Crashes, "rounds", s.Rounds, "service", s.Archive, "server", s.Server, "retry", retryAfter)
	return Answer{Reason: Quarantined, RetryAfter: retryAfter}
}

// shardOf returns the index of the shard of a service, 0 if there is none.
func (q *query) shardOf(service string) int {
	for i := range q.shards {
		if q.shards[i].service == service {
			return i
		}
	}
	return 0
}

// startTrial makes the next send to a shard a trial and holds back the others.
func (q *query) startTrial(s quarantiner.Suspicion, shard int) {
	q.trial.running, q.trial.shard, q.trial.round = true, shard, s.Rounds
	q.relayer.config.Scope.Counter("trials").Inc(1)
	q.relayer.config.Log.Info("trying a suspected request on one server", "request", q.id, "fingerprint", fingerprintText(q.fingerprint),
		"service", q.shards[shard].service, "crashes", s.Crashes, "rounds", s.Rounds)
}

// isHeld reports whether sends to a shard have to wait for the outcome of the trial.
func (q *query) isHeld(shard int) bool {
	return q.trial.waiting || q.trial.running && shard != q.trial.shard
}

// handleEnd decides how to go on after a server has ended while it ran the request. A safe
// request is tried once more on another server, alone.
func (q *query) handleEnd(ctx context.Context, res sendResult) {
	s := &q.shards[res.shard]
	q.relayer.reportSendFailure(q, res)
	switch {
	case res.alone:
		q.failTrial()
	case s.inFlight > 0:
	case !q.maySendAgain(ctx, s):
		s.noMoreSends = true
	default:
		q.holdForTrial(res.shard, retrySend)
	}
}

// holdForTrial lets a shard wait until the guard decides how the suspected request may go
// on.
func (q *query) holdForTrial(shard int, cause sendCause) {
	q.hold(shard, cause)
	if !q.trial.running && !q.trial.waiting {
		q.trial.waiting, q.trial.until = true, q.waitEnd()
	}
}

// decideTrial goes on with a request that waits for the decision of the guard.
func (q *query) decideTrial(ctx context.Context) {
	step, s := q.nextStep(q.trial.until)
	switch step {
	case quarantiner.StepRun:
		q.trial.waiting = false
		q.releaseShards(ctx)
	case quarantiner.StepTry:
		q.trial.waiting = false
		shard := q.shardOf(s.Archive)
		if !q.shards[shard].held {
			shard = slices.IndexFunc(q.shards, func(s shardState) bool { return s.held })
		}
		q.startTrial(s, shard)
		q.releaseShard(ctx, shard)
	case quarantiner.StepRefuse:
		q.failTrial()
	}
}

// hold lets a shard wait for the outcome of the trial.
func (q *query) hold(shard int, cause sendCause) {
	s := &q.shards[shard]
	s.held, s.heldCause = true, cause
}

// failTrial ends the trial because the request is to be sent nowhere else.
func (q *query) failTrial() {
	q.trial.running, q.trial.waiting = false, false
	for i := range q.shards {
		q.shards[i].held = false
		q.shards[i].noMoreSends = q.shards[i].noMoreSends || q.shards[i].part == nil
	}
	q.endTrial()
}

// advanceTrial goes on with the shards that were held once the request has completed on a
// server, or tries another shard if the one of the trial has no server left.
func (q *query) advanceTrial(ctx context.Context) {
	if q.trial.waiting {
		q.decideTrial(ctx)
	}
	if !q.trial.running {
		return
	}
	s := &q.shards[q.trial.shard]
	if s.part != nil || s.failedResponse != nil || !q.suspected() {
		q.trial.running = false
		q.endTrial()
		q.releaseShards(ctx)
		return
	}
	if s.mayAnswer() {
		return
	}
	if next := slices.IndexFunc(q.shards, func(s shardState) bool { return s.held }); next >= 0 {
		q.trial.shard = next
		q.releaseShard(ctx, next)
	}
}

// releaseShards makes all sends that were held.
func (q *query) releaseShards(ctx context.Context) {
	for i := range q.shards {
		q.releaseShard(ctx, i)
	}
}

// releaseShard makes the send for which a shard was held.
func (q *query) releaseShard(ctx context.Context, shard int) {
	s := &q.shards[shard]
	if !s.held {
		return
	}
	s.held = false
	q.sendAgain(ctx, shard, s.heldCause)
}

// suspected reports whether there is still a suspicion against the request.
func (q *query) suspected() bool {
	r := q.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.Suspicion(time.Now(), q.fingerprint).State != quarantiner.StateClear
}

// observeRun tells the guard, and through it the control hosts, what a send revealed: that
// the server ended, or that the request completed. The caller holds the lock.
func (r *Relayer) observeRun(now time.Time, q *query, res sendResult) {
	o := quarantiner.Observation{
		Fingerprint: q.fingerprint, Archive: res.server.Service, Server: res.server.Name, Incarnation: res.server.Incarnation,
		Alone: res.alone, Round: res.round,
	}
	switch {
	case res.ended:
		o = r.guard.Crashed(now, o)
		if res.alone || q.route.Kind != router.Safe {
			r.reportKept(q.fingerprint)
			r.reportObservation(o)
		} else {
			r.keepReport(o)
		}
	case res.status == caller.Answered || res.status == caller.Failed && res.err == nil:
		o, suspected := r.guard.Completed(now, o)
		if !suspected {
			return
		}
		r.config.Log.Info("suspected request completed", "request", q.id, "fingerprint", fingerprintText(q.fingerprint), "server", res.server.Name)
		delete(r.keptReports, q.fingerprint)
		if r.guard.Shared(q.fingerprint) {
			r.reportObservation(o)
		}
	}
}

// keepReport keeps an observation for reportDelay. The caller holds the lock.
func (r *Relayer) keepReport(o quarantiner.Observation) {
	if r.keptReports == nil {
		r.keptReports = map[uint64][]quarantiner.Observation{}
	}
	if len(r.keptReports[o.Fingerprint]) == 0 {
		time.AfterFunc(reportDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reportKept(o.Fingerprint)
		})
	}
	r.keptReports[o.Fingerprint] = append(r.keptReports[o.Fingerprint], o)
}

// reportKept reports the observations of a request that were kept. The caller holds the
// lock.
func (r *Relayer) reportKept(fingerprint uint64) {
	for _, o := range r.keptReports[fingerprint] {
		r.reportObservation(o)
	}
	delete(r.keptReports, fingerprint)
}

// reportObservation passes an observation on to the control hosts.
func (r *Relayer) reportObservation(o quarantiner.Observation) {
	if r.config.Observe != nil && !r.config.Observe(o) {
		r.config.Scope.Counter("observations_dropped").Inc(1)
	}
}

// LearnSuspicions records the suspicions that the control hosts sent, with the times of
// this host's clock. It implements subscriber.SuspectLearner.
func (r *Relayer) LearnSuspicions(list []quarantiner.Suspicion, complete bool) {
	r.mu.Lock()
	now := time.Now()
	news := r.guard.Learn(now, list, complete)
	for _, o := range news {
		r.reportObservation(o)
	}
	r.mu.Unlock()
	servers := r.routing.Load().servers
	for _, s := range list {
		r.config.Log.Info("suspicion changed", "fingerprint", fingerprintText(s.Fingerprint), "state", s.State, "service", s.Archive,
			"crashes", s.Crashes, "rounds", s.Rounds, "server", s.Server, "age", now.Sub(s.LastCrash), "left", s.Expiry.Sub(now))
		// Whether a service can spare a server matters from the second end on.
		if s.Rounds <= 0 || now.Sub(s.LastCrash) > maxEndAge {
			continue
		}
		for _, p := range append([]quarantiner.Process{{Server: s.Server, Incarnation: s.Incarnation}}, s.Before...) {
			if target := servers[p.Server]; target != nil && target.Incarnation == p.Incarnation {
				r.markDown(r.runContext(), target)
			}
		}
	}
}

// canSpare reports whether a service can bear the loss of a server: another one can be
// reached, or it has a single one anyway. If none can be reached, no request gets there.
func (state *routingState) canSpare(service string) bool {
	m := state.services[service]
	reachable := 0
	for _, names := range [][]string{m.ready, m.silent} {
		for _, name := range names {
			if state.servers[name].reachable() {
				reachable++
			}
		}
	}
	return reachable != 1 || len(m.ready)+len(m.silent) == 1
}
