package relayer

import (
	"time"

	"gentianpond/internal/search/caller"
)

// sampleEvery is how many plainly served requests there are to one log line.
const sampleEvery = 100

// report logs and counts the end of a request. Plain successes are sampled.
func (r *Relayer) report(q *query, request *Request, a Answer) {
	took := time.Since(request.Received)
	tags := map[string]string{"reason": a.Reason.String()}
	r.config.Scope.Tagged(tags).Counter("requests").Inc(1)
	r.config.Scope.Timer("request").Record(took)
	late := took > q.route.Objective
	if a.Reason == Served && !late && a.Missing == 0 && a.Status < 500 {
		if r.sampled() {
			r.config.Log.Info("served", "request", q.id, "route", q.route.Name, "took", took, "hedges", q.hedges, "retries", q.retries)
		}
		return
	}
	r.config.Log.Warn("request not served plainly", "request", q.id, "route", q.route.Name, "reason", a.Reason, "status", a.Status,
		"took", took, "objective", q.route.Objective, "late", late, "missing", a.Missing, "shards", len(q.shards),
		"out", q.out, "hedges", q.hedges, "retries", q.retries, "table", q.fleet.table.Version, "control", r.age())
}

// Refuse logs and counts a request that ends before a route was chosen for it,
// and returns its answer.
func (r *Relayer) Refuse(request *Request, reason Reason) Answer {
	a := Answer{Reason: reason}
	switch reason {
	case NotReady:
		a.Retry = startRetry
	case Expired:
		a.Retry = retryLeast
	}
	var version uint64
	if t := r.Table(); t != nil {
		version = t.Version
	}
	r.config.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("requests").Inc(1)
	r.config.Log.Warn("request refused", "request", request.ID, "reason", reason, "host", request.Host, "path", request.Path,
		"took", time.Since(request.Received), "deadline", request.Deadline, "table", version, "control", r.age())
	return a
}

// age returns how old what this host knows from control may be.
func (r *Relayer) age() time.Duration {
	if r.config.Age == nil {
		return 0
	}
	return r.config.Age().Round(time.Millisecond)
}

// reportAgain logs a hedge or a retry.
func (r *Relayer) reportAgain(q *query, s *shard, target *server, why cause) {
	if why == first {
		return
	}
	r.config.Scope.Tagged(map[string]string{"cause": why.String()}).Counter("extra_sends").Inc(1)
	waited := time.Duration(0)
	if !s.sent.IsZero() {
		waited = time.Since(s.sent)
	}
	r.config.Log.Info("sent again", "request", q.id, "cause", why, "service", s.service, "server", target.Name, "waited", waited, "open", q.open())
}

func (r *Relayer) sampled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(sampleEvery) == 0
}

// reportFailure logs a send that brought no part.
func (r *Relayer) reportFailure(q *query, res result) {
	r.config.Scope.Tagged(map[string]string{"status": res.status.String()}).Counter("failed_sends").Inc(1)
	if res.status == caller.Cancelled || res.status == caller.Refused {
		return
	}
	status := 0
	if res.response != nil {
		status = res.response.Status
	}
	r.config.Log.Info("send failed", "request", q.id, "route", q.route.Name, "service", res.server.Service, "server", res.server.Name,
		"outcome", res.status, "status", status, "took", res.latency, "err", res.err)
}
