package relayer

import (
	"time"

	"gentianpond/internal/guard/quarantiner"
)

// A request may live for seconds, in which it waits for a connection, is hedged or is sent
// again. What changes meanwhile is asked in two places: reserveServer chooses among the
// servers of the current routing state, and maySend is asked once more when a connection
// is there and the next step writes the request to it. Only the routing table and what
// follows from it (route, shards, attempts, time limit) stay those of the arrival, because
// an answer has to follow one table as a whole.

// maxPacedWait is for how long room that was taken within a rate limit holds. A send that
// waited longer for its connection would arrive together with those of that time.
const maxPacedWait = 250 * time.Millisecond

// accepts reports whether requests may still be sent to a server that was chosen earlier:
// the registry has this incarnation of it in use at its address, and it has said neither
// that it is about to stop nor that it wants no requests for a time.
func (r *Relayer) accepts(now time.Time, s *server) bool {
	current := r.routing.Load().servers[s.Name]
	return current != nil && current.endpoint == s.endpoint && current.isInUse() &&
		!s.misdirected.Load() && !s.leaving.Load() && s.pause(now) == 0
}

// maySend reports whether a send may begin that has waited for its connection. paced is
// when room within the server's rate limit was taken for it.
func (q *query) maySend(now time.Time, send *sendResult, paced *time.Time) bool {
	r, s := q.relayer, send.server
	if !r.accepts(now, s) || !q.allowsCurrent(s) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !q.guardAllows(now, send.alone) {
		return false
	}
	if now.Sub(*paced) <= maxPacedWait {
		return true
	}
	if !r.withinLimits(now, s) {
		return false
	}
	r.takeLimits(now, s)
	*paced = now
	return true
}

// mayRun reports whether the request may be sent like any other. A host may learn that it
// crashes servers while it is under way.
func (q *query) mayRun() bool {
	q.relayer.mu.Lock()
	defer q.relayer.mu.Unlock()
	return q.guardAllows(time.Now(), q.trial.running)
}

// guardAllows reports whether the guard lets a send begin. The isolated run of a suspected
// request was counted when it was allowed, and only a quarantine stops it. The caller holds
// the lock.
func (q *query) guardAllows(now time.Time, alone bool) bool {
	r := q.relayer
	if alone {
		state := r.guard.Suspicion(now, q.fingerprint).State
		return state != quarantiner.StateQuarantined && state != quarantiner.StatePinned
	}
	step, _ := r.guard.Next(now, q.fingerprint, r.routing.Load().canSpare)
	return step == quarantiner.StepRun
}
