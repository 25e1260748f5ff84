package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/settings/checker"
)

// maxBody is the largest request body in bytes.
const maxBody = 1 << 20

func (g *Gateway) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", g.handleSearch)
	mux.HandleFunc("POST /v1/order", g.handleOrder)
	mux.HandleFunc("POST /v1/announce", g.handleAnnounce)
	mux.HandleFunc("GET /v1/status", g.handleStatus)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", g.handleReady)
	mux.Handle("GET /metrics", g.page)
	return mux
}

func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	switch {
	case g.draining.Load():
		reason = "stopping"
	case !g.control.State().Holds(time.Now()):
		reason = "no lease from the control hosts"
	case g.coordinator.Directory() == nil:
		reason = "no configuration yet"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) handleSearch(w http.ResponseWriter, r *http.Request) {
	var q SearchRequest
	a := SearchAnswer{Outcome: OutcomeNotRun, Coverage: Coverage{Missing: []uint32{}}, Hits: []json.RawMessage{}}
	fault := g.decode(w, r, &q)
	if fault == nil {
		a.ID = q.ID
		fault = g.search(r.Context(), q, &a)
	}
	if fault != nil {
		a.Code, a.Reason = fault.code, fault.reason
	}
	g.scope.Tagged(map[string]string{"outcome": a.Outcome, "code": a.Code}).Counter("searches").Inc(1)
	reply(w, statusOf(a.Code), a)
}

// decode reads a request body strictly.
func (g *Gateway) decode(w http.ResponseWriter, r *http.Request, v any) *refusal {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return refuse(CodeOversized, "the body is longer than 1 MiB")
	}
	if err != nil {
		return refuse(CodeMalformed, "the body could not be read: "+err.Error())
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return refuse(CodeMalformed, "the body is not a request: "+err.Error())
	}
	if d.More() {
		return refuse(CodeMalformed, "the body holds more than one JSON value")
	}
	return nil
}

// admission is what is known of a request before it may run.
type admission struct {
	settings    checker.Archive
	deadline    time.Time
	fingerprint uint64
	body        json.RawMessage
	alone       bool
	canary      bool
}

// admit checks what searches and orders have in common. A request is only
// taken while the lease holds: without it the configuration may be out of
// date.
func (g *Gateway) admit(archive, lane, deadline string, body json.RawMessage) (admission, *refusal) {
	now := time.Now()
	if !g.control.State().Holds(now) {
		return admission{}, refuse(CodeNoLease, "this host has no lease from the control hosts, its configuration may be out of date")
	}
	settings, ok := g.coordinator.Directory().ArchiveSettings(archive)
	if !ok {
		return admission{}, refuse(CodeUnknownArchive, "no team has configured the archive "+archive)
	}
	if !settings.Allows(checker.Lane(lane)) {
		return admission{}, refuse(CodeUnknownLane, "the archive has no lane "+lane)
	}
	limit, fault := timeLimit(settings, deadline)
	if fault != nil {
		return admission{}, fault
	}
	var compact bytes.Buffer
	if len(body) == 0 || json.Compact(&compact, body) != nil {
		return admission{}, refuse(CodeMalformed, "the request has no content")
	}
	a := admission{settings: settings, deadline: now.Add(limit), body: compact.Bytes()}
	a.fingerprint = xxhash.Sum64String(archive + "\x00" + compact.String())
	return a, g.guard(now, archive, &a)
}

// guard applies the quarantine.
func (g *Gateway) guard(now time.Time, archive string, a *admission) *refusal {
	list := g.control.State().Quarantine
	switch g.verdict(now, a.fingerprint) {
	case quarantiner.VerdictRefuse:
		return refuse(CodeQuarantined, "this request crashed backend servers and is quarantined")
	case quarantiner.VerdictAlone:
		a.alone = true
	}
	switch a.settings.Canary {
	case checker.CanaryAlways:
		a.canary = !g.proven.Has(a.fingerprint)
	case checker.CanaryAlert:
		a.canary = list.HasAlert(archive, now) && !g.proven.Has(a.fingerprint)
	}
	return nil
}

// verdict is the stricter of what the control hosts and this host know.
func (g *Gateway) verdict(now time.Time, fingerprint uint64) quarantiner.Verdict {
	return max(g.control.State().Quarantine.Verdict(fingerprint, now), g.suspicions.verdict(now, fingerprint))
}

func timeLimit(settings checker.Archive, text string) (time.Duration, *refusal) {
	if text == "" {
		return settings.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return 0, refuse(CodeInvalidDeadline, "the deadline is not a duration such as 160ms")
	case d <= 0:
		return 0, refuse(CodeInvalidDeadline, "the deadline has passed")
	case d > settings.Ceiling:
		return 0, refuse(CodeInvalidDeadline, "the deadline is longer than the archive allows: "+settings.Ceiling.String())
	}
	return d, nil
}

func (g *Gateway) search(ctx context.Context, q SearchRequest, a *SearchAnswer) *refusal {
	if !g.begin() {
		return refuse(CodeDraining, "this host is stopping")
	}
	defer g.requests.Done()
	if q.Lane == "" {
		q.Lane = LaneInteractive
	}
	adm, fault := g.admit(q.Archive, q.Lane, q.Deadline, q.Query)
	if fault != nil {
		return fault
	}
	ctx, span := g.tracer.Start(ctx, "search")
	defer span.End()
	span.SetAttributes(attribute.String("archive", q.Archive), attribute.String("lane", q.Lane), attribute.String("id", q.ID))
	start := time.Now()
	result, err := g.coordinator.Search(ctx, coordinator.Request{
		Archive: q.Archive, Lane: q.Lane, Body: adm.body, Deadline: adm.deadline, Fingerprint: adm.fingerprint, Alone: adm.alone, Canary: adm.canary,
	})
	g.scope.Tagged(map[string]string{"archive": q.Archive, "lane": q.Lane}).Timer("search_latency").Record(time.Since(start))
	a.Snapshot = result.Snapshot
	a.Coverage = Coverage{Shards: result.Coverage.Shards, Answered: result.Coverage.Answered, Missing: append([]uint32{}, result.Coverage.Missing...)}
	if err != nil {
		if errors.Is(err, coordinator.ErrNoAnswer) {
			a.Outcome = OutcomeUnknown
		}
		return refuse(codeOf(err), err.Error())
	}
	a.Outcome = OutcomeRan
	a.Hits = hits(result.Bodies)
	if result.Coverage.Complete() && !result.Crashed {
		g.proven.Add(adm.fingerprint)
	}
	return nil
}

// hits joins the shards' lists of hits in shard order.
func hits(bodies [][]byte) []json.RawMessage {
	all := []json.RawMessage{}
	for _, body := range bodies {
		var list []json.RawMessage
		if json.Unmarshal(body, &list) == nil {
			all = append(all, list...)
		}
	}
	return all
}

func (g *Gateway) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o OrderRequest
	a := OrderAnswer{Outcome: OutcomeNotRun}
	fault := g.decode(w, r, &o)
	if fault == nil {
		a.ID = o.ID
		fault = g.order(r.Context(), o, r.Header.Get(IdempotencyKeyHeader), &a)
	}
	if fault != nil {
		a.Code, a.Reason = fault.code, fault.reason
	}
	g.scope.Tagged(map[string]string{"outcome": a.Outcome, "code": a.Code}).Counter("orders").Inc(1)
	reply(w, statusOf(a.Code), a)
}

func (g *Gateway) order(ctx context.Context, o OrderRequest, key string, a *OrderAnswer) *refusal {
	if !g.begin() {
		return refuse(CodeDraining, "this host is stopping")
	}
	defer g.requests.Done()
	if key != "" {
		if _, err := recorder.CreationTime(key); err != nil {
			return refuse(executor.CodeInvalidKey, err.Error())
		}
	}
	adm, fault := g.admit(o.Archive, LaneInteractive, o.Deadline, o.Body)
	if fault != nil {
		if g.executor.WasGranted(key) {
			a.Outcome = OutcomeUnknown
		}
		return fault
	}
	ctx, span := g.tracer.Start(ctx, "order")
	defer span.End()
	span.SetAttributes(attribute.String("archive", o.Archive), attribute.String("id", o.ID))
	result := g.executor.Run(ctx, executor.Order{
		Archive: o.Archive, Key: key, Body: adm.body, Deadline: adm.deadline, Fingerprint: adm.fingerprint, Alone: adm.alone, Retention: adm.settings.Retention,
	})
	a.Outcome = outcomes[result.Outcome]
	a.Code, a.Reason, a.Repeat, a.Answer = result.Code, result.Reason, result.Repeat, result.Body
	return nil
}

var outcomes = map[recorder.Outcome]string{
	recorder.OutcomeRan:     OutcomeRan,
	recorder.OutcomeNotRun:  OutcomeNotRun,
	recorder.OutcomeUnknown: OutcomeUnknown,
}

// reply writes an answer. A caller that has gone away is no error here.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
