package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/settings/checker"
)

// maxBodyBytes bounds the body of a search or an order.
const maxBodyBytes = 1 << 20

// mux returns the handler of all HTTP paths.
func (g *Gateway) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", g.handleSearch)
	mux.HandleFunc("POST /v1/order", g.handleOrder)
	mux.HandleFunc("POST /v1/announce", g.handleAnnounce)
	mux.HandleFunc("GET /v1/status", g.handleStatus)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", g.handleReady)
	mux.Handle("GET /metrics", g.metricsHandler)
	return mux
}

// handleReady serves the load balancer's readiness check.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	switch {
	case g.draining.Load():
		reason = "stopping"
	case !g.control.State().LeaseCovers(time.Now()):
		reason = "no lease from the control hosts"
	case g.coordinator.Directory() == nil:
		reason = "no configuration yet"
	case g.currentConfig.Load().unusable:
		reason = "the configuration cannot be decoded"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleSearch serves POST /v1/search.
func (g *Gateway) handleSearch(w http.ResponseWriter, r *http.Request) {
	var q SearchRequest
	a := SearchAnswer{Outcome: OutcomeNotRun, Coverage: Coverage{Missing: []uint32{}}, Hits: []json.RawMessage{}}
	answers := g.newAnswers()
	defer answers.Close()
	var bodies [][]byte
	refused := g.decodeRequest(w, r, &q)
	if refused == nil {
		a.ID = q.ID
		bodies, refused = g.search(r.Context(), q, answers, &a)
	}
	if refused != nil {
		a.Code, a.Reason = refused.code, refused.reason
	}
	g.scope.Tagged(map[string]string{"outcome": a.Outcome, "code": a.Code}).Counter("searches").Inc(1)
	writeSearchAnswer(w, httpStatus(a.Code), a, bodies)
}

// decodeRequest decodes the JSON body of a request into v. A body with unknown fields
// or with more than one value is malformed.
func (g *Gateway) decodeRequest(w http.ResponseWriter, r *http.Request, v any) *refusal {
	data, err := acceptor.ReadBody(r, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return newRefusal(CodeOversized, "the body is longer than 1 MiB")
	}
	if errors.Is(err, acceptor.ErrNoMemory) {
		w.Header().Set("Retry-After", acceptor.RetryAfter)
		w.Header().Set("Connection", "close")
		return newRefusal(CodeNoMemory, err.Error())
	}
	if err != nil {
		return newRefusal(CodeMalformed, "the body could not be read: "+err.Error())
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return newRefusal(CodeMalformed, "the body is not a request: "+err.Error())
	}
	if d.More() {
		return newRefusal(CodeMalformed, "the body holds more than one JSON value")
	}
	return nil
}

// admission holds what admit found out about a request that may run.
type admission struct {
	// settings are the settings of the archive that the request names.
	settings checker.ArchiveSettings
	// deadline is the end of the request's time limit, counted from its admission.
	deadline time.Time
	// fingerprint identifies the archive and the body where requests that crash
	// backend servers are tracked.
	fingerprint uint64
	// body is the query or the order's body in compact JSON.
	body json.RawMessage
	// alone requires a backend server with no other request in flight.
	alone bool
	// canary requires that one shard is searched before the others.
	canary bool
}

// admit makes the checks that searches and orders have in common. It admits requests
// only while this host holds a lease: without one the configuration may be out of
// date.
func (g *Gateway) admit(archive, lane, deadline string, body json.RawMessage) (admission, *refusal) {
	now := time.Now()
	if !g.control.State().LeaseCovers(now) {
		return admission{}, newRefusal(CodeNoLease, "this host has no lease from the control hosts, its configuration may be out of date")
	}
	if c := g.currentConfig.Load(); c != nil && c.unusable {
		return admission{}, newRefusal(CodeNoLease, "this host cannot decode the configuration in force")
	}
	settings, ok := g.coordinator.Directory().ArchiveSettings(archive)
	if !ok {
		return admission{}, newRefusal(CodeUnknownArchive, "no team has configured the archive "+archive)
	}
	if !settings.Allows(checker.Lane(lane)) {
		return admission{}, newRefusal(CodeUnknownLane, "the archive has no lane "+lane)
	}
	limit, refused := parseTimeLimit(settings, deadline)
	if refused != nil {
		return admission{}, refused
	}
	var compact bytes.Buffer
	if len(body) == 0 || json.Compact(&compact, body) != nil {
		return admission{}, newRefusal(CodeMalformed, "the request has no content")
	}
	a := admission{settings: settings, deadline: now.Add(limit), body: compact.Bytes()}
	a.fingerprint = xxhash.Sum64String(archive + "\x00" + compact.String())
	return a, g.applyQuarantine(now, archive, &a)
}

// applyQuarantine refuses a quarantined request, and sets in a whether the request
// runs alone and whether it needs a canary.
func (g *Gateway) applyQuarantine(now time.Time, archive string, a *admission) *refusal {
	list := g.control.State().Quarantine
	switch g.verdict(now, a.fingerprint) {
	case quarantiner.VerdictRefuse:
		return newRefusal(CodeQuarantined, "this request crashed backend servers and is quarantined")
	case quarantiner.VerdictAlone:
		a.alone = true
	}
	switch a.settings.Canary {
	case checker.CanaryAlways:
		a.canary = !g.completedFingerprints.Has(a.fingerprint)
	case checker.CanaryAlert:
		a.canary = list.HasAlert(archive, now) && !g.completedFingerprints.Has(a.fingerprint)
	}
	return nil
}

// verdict returns the stricter of the verdicts of the control hosts' quarantine list
// and of this host's suspicions.
func (g *Gateway) verdict(now time.Time, fingerprint uint64) quarantiner.Verdict {
	return max(g.control.State().Quarantine.Verdict(fingerprint, now), g.suspicions.verdict(now, fingerprint))
}

// parseTimeLimit returns the time that a request may take: the deadline in text, a
// duration, or the archive's default if text is empty.
func parseTimeLimit(settings checker.ArchiveSettings, text string) (time.Duration, *refusal) {
	if text == "" {
		return settings.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return 0, newRefusal(CodeInvalidDeadline, "the deadline is not a duration such as 160ms")
	case d <= 0:
		return 0, newRefusal(CodeInvalidDeadline, "the deadline has passed")
	case d > settings.Ceiling:
		return 0, newRefusal(CodeInvalidDeadline, "the deadline is longer than the archive allows: "+settings.Ceiling.String())
	}
	return d, nil
}

// search runs a search and returns the lists of hits of the shards. It sets the rest of the
// result in a, except the code and the reason of the refusal that it returns. The lists are
// counted in answers.
func (g *Gateway) search(ctx context.Context, q SearchRequest, answers *connector.Allowance, a *SearchAnswer) ([][]byte, *refusal) {
	if !g.beginRequest() {
		return nil, newRefusal(CodeDraining, "this host is stopping")
	}
	defer g.requests.Done()
	if q.Lane == "" {
		q.Lane = LaneInteractive
	}
	adm, refused := g.admit(q.Archive, q.Lane, q.Deadline, q.Query)
	if refused != nil {
		return nil, refused
	}
	ctx, span := g.tracer.Start(ctx, "search")
	defer span.End()
	span.SetAttributes(attribute.String("archive", q.Archive), attribute.String("lane", q.Lane), attribute.String("id", q.ID))
	start := time.Now()
	result, err := g.coordinator.Search(ctx, coordinator.Request{
		Archive: q.Archive, Lane: q.Lane, Body: adm.body, Deadline: adm.deadline, Fingerprint: adm.fingerprint, Alone: adm.alone, Canary: adm.canary,
		Answers: answers,
	})
	g.scope.Tagged(map[string]string{"archive": q.Archive, "lane": q.Lane}).Timer("search_latency").Record(time.Since(start))
	a.Snapshot = result.Snapshot
	a.Coverage = Coverage{Shards: result.Coverage.Shards, Answered: result.Coverage.Answered, Missing: append([]uint32{}, result.Coverage.Missing...)}
	if err != nil {
		if errors.Is(err, coordinator.ErrNoAnswer) {
			a.Outcome = OutcomeUnknown
		}
		return nil, newRefusal(searchErrorCode(err), err.Error())
	}
	a.Outcome = OutcomeRan
	if result.Coverage.Complete() && !result.Crashed {
		g.completedFingerprints.Add(adm.fingerprint)
	}
	return result.Bodies, nil
}

// newAnswers returns the memory for the answers to one request of a caller.
func (g *Gateway) newAnswers() *connector.Allowance {
	return connector.NewAllowance(g.settings.AnswerBytes, g.answers)
}

// writeSearchAnswer writes the answer to a search, whose hits are the lists in bodies in this
// order. It decodes and copies none of them: decoded, a list of short hits takes many times
// its length. Bodies that are not a JSON list are left out.
func writeSearchAnswer(w http.ResponseWriter, status int, a SearchAnswer, bodies [][]byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The list of hits is the last field of an answer, and empty here.
	a.Hits = []json.RawMessage{}
	frame, err := json.Marshal(a)
	before, ok := bytes.CutSuffix(frame, []byte("]}"))
	if err != nil || !ok {
		return
	}
	// Write errors mean that the caller has disconnected.
	_, _ = w.Write(before)
	first := true
	for _, body := range bodies {
		hits, ok := listContent(body)
		if !ok || len(hits) == 0 {
			continue
		}
		if !first {
			_, _ = w.Write([]byte{','})
		}
		first = false
		_, _ = w.Write(hits)
	}
	_, _ = w.Write([]byte("]}\n"))
}

// listContent returns what stands between the brackets of a JSON list, and false for anything
// else.
func listContent(body []byte) ([]byte, bool) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || !json.Valid(body) {
		return nil, false
	}
	return bytes.TrimSpace(body[1 : len(body)-1]), true
}

// handleOrder serves POST /v1/order.
func (g *Gateway) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o OrderRequest
	a := OrderAnswer{Outcome: OutcomeNotRun}
	answers := g.newAnswers()
	defer answers.Close()
	refused := g.decodeRequest(w, r, &o)
	if refused == nil {
		a.ID = o.ID
		refused = g.order(r.Context(), o, r.Header.Get(IdempotencyKeyHeader), answers, &a)
	}
	if refused != nil {
		a.Code, a.Reason = refused.code, refused.reason
	}
	g.scope.Tagged(map[string]string{"outcome": a.Outcome, "code": a.Code}).Counter("orders").Inc(1)
	writeJSON(w, httpStatus(a.Code), a)
}

// order runs an order under its idempotency key, which may be empty, and sets its
// result in a, except the code and the reason of the refusal that it returns. An
// order that is refused now may have run earlier if its key was granted. The answer of the
// backend server is counted in answers.
func (g *Gateway) order(ctx context.Context, o OrderRequest, key string, answers *connector.Allowance, a *OrderAnswer) *refusal {
	if !g.beginRequest() {
		return newRefusal(CodeDraining, "this host is stopping")
	}
	defer g.requests.Done()
	if key != "" {
		if _, err := recorder.CreationTime(key); err != nil {
			return newRefusal(executor.CodeInvalidKey, err.Error())
		}
	}
	adm, refused := g.admit(o.Archive, LaneInteractive, o.Deadline, o.Body)
	if refused != nil {
		if g.executor.WasGranted(key) {
			a.Outcome = OutcomeUnknown
		}
		return refused
	}
	ctx, span := g.tracer.Start(ctx, "order")
	defer span.End()
	span.SetAttributes(attribute.String("archive", o.Archive), attribute.String("id", o.ID))
	result := g.executor.Run(ctx, executor.Order{
		Archive: o.Archive, Key: key, Body: adm.body, Deadline: adm.deadline, Fingerprint: adm.fingerprint, Alone: adm.alone, Retention: adm.settings.Retention,
		Answers: answers,
	})
	a.Outcome = outcomeNames[result.Outcome]
	a.Code, a.Reason, a.Repeat, a.Answer = result.Code, result.Reason, result.Repeat, result.Body
	return nil
}

// outcomeNames are the outcomes of orders as callers see them.
var outcomeNames = map[recorder.Outcome]string{
	recorder.OutcomeRan:     OutcomeRan,
	recorder.OutcomeNotRun:  OutcomeNotRun,
	recorder.OutcomeUnknown: OutcomeUnknown,
}

// writeJSON writes a response. It ignores write errors, as they mean that the caller
// has disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
