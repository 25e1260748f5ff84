package relayer

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/search/caller"
)

// successesPerLogLine is the average number of complete and timely answers per log
// line about one.
const successesPerLogLine = 100

// reportRequest logs and counts the end of a request. Complete and timely answers are
// sampled.
func (r *Relayer) reportRequest(q *query, request *Request, a Answer) {
	took := time.Since(request.Received)
	tags := map[string]string{"reason": a.Reason.String()}
	r.config.Scope.Tagged(tags).Counter("requests").Inc(1)
	r.config.Scope.Timer("request").Record(took)
	late := took > q.route.Objective
	if a.Reason == Served && !late && a.MissingParts == 0 && a.Status < 500 {
		if r.sampleSuccess() {
			r.config.Log.Info("request served", "request", q.id, "route", q.route.Name, "took", took, "delegated", q.delegated, "hedges", q.hedgeCount, "retries", q.retryCount)
		}
		return
	}
	r.config.Log.Warn("request late, incomplete or failed", "request", q.id, "route", q.route.Name, "reason", a.Reason, "status", a.Status,
		"took", took, "objective", q.route.Objective, "late", late, "missing", a.MissingParts, "shards", len(q.shards),
		"out", q.congestedShards, "limited", q.limitedShards, "rank", q.table.Rank(q.route, q.account), "over", q.standing.Over(), "delegated", q.delegated,
		"hedges", q.hedgeCount, "retries", q.retryCount, "table", q.table.Version, "control", r.controlAge())
}

// Refuse logs and counts a request that ends before a route was chosen for it,
// and returns its answer.
func (r *Relayer) Refuse(request *Request, reason Reason) Answer {
	a := Answer{Reason: reason}
	switch reason {
	case NotReady:
		a.RetryAfter = startupRetryAfter
	case Expired:
		a.RetryAfter = minRetryAfter
	case NoMemory:
		a.RetryAfter = memoryRetryAfter
	}
	var version uint64
	if t := r.Table(); t != nil {
		version = t.Version
	}
	r.config.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("requests").Inc(1)
	r.config.Log.Warn("request refused", "request", request.ID, "reason", reason, "host", request.Host, "path", request.Path,
		"took", time.Since(request.Received), "deadline", request.Deadline, "table", version, "control", r.controlAge())
	return a
}

// controlAge returns the time since the last message from the control hosts,
// rounded for the log, or 0 if it is unknown.
func (r *Relayer) controlAge() time.Duration {
	if r.config.ControlAge == nil {
		return 0
	}
	return r.config.ControlAge().Round(time.Millisecond)
}

// reportResend logs and counts a send that is not the first one to its shard.
func (r *Relayer) reportResend(q *query, s *shardState, target *server, cause sendCause) {
	if cause == firstSend {
		return
	}
	r.config.Scope.Tagged(map[string]string{"cause": cause.String()}).Counter("extra_sends").Inc(1)
	waited := time.Duration(0)
	if !s.lastSent.IsZero() {
		waited = time.Since(s.lastSent)
	}
	r.config.Log.Info("request sent again", "request", q.id, "cause", cause, "service", s.service, "server", target.Name, "waited", waited, "open", q.openShards())
}

// sampleSuccess reports whether a success is logged.
func (r *Relayer) sampleSuccess() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(successesPerLogLine) == 0
}

// reportSendFailure counts and logs a send that yielded no part. Cancelled sends and
// sends that never started are only counted.
func (r *Relayer) reportSendFailure(q *query, res sendResult) {
	r.config.Scope.Tagged(map[string]string{"status": res.status.String()}).Counter("failed_sends").Inc(1)
	if res.status == caller.Cancelled || res.status == caller.Refused {
		return
	}
	switch {
	case errors.Is(res.err, connector.ErrTooLarge):
		r.config.Scope.Counter("answers_too_large").Inc(1)
	case errors.Is(res.err, connector.ErrExhausted):
		r.config.Scope.Counter("answers_without_memory").Inc(1)
	}
	status := 0
	if res.response != nil {
		status = res.response.Status
	}
	r.config.Log.Info("send to backend server failed", "request", q.id, "route", q.route.Name, "service", res.server.Service, "server", res.server.Name,
		"fingerprint", fingerprintText(q.fingerprint), "outcome", res.status, "status", status, "took", res.latency, "err", res.err)
}

// reportEnd logs and counts a server that ended after a request was sent to it.
func (r *Relayer) reportEnd(q *query, res sendResult) {
	r.config.Scope.Counter("server_ends").Inc(1)
	r.config.Log.Warn("backend server ended while it had a request", "request", q.id, "fingerprint", fingerprintText(q.fingerprint),
		"service", res.server.Service, "server", res.server.Name, "incarnation", res.server.Incarnation, "took", res.latency)
}

// fingerprintText returns a fingerprint in the form in which operators enter it.
func fingerprintText(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
