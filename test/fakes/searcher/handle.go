package searcher

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// mux returns the handler of requests from entry hosts and of control requests from
// tests.
func (f *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /search", func(w http.ResponseWriter, r *http.Request) { f.handle(w, r, false) })
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) { f.handle(w, r, true) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Stats()) })
	mux.HandleFunc("POST /behavior", f.setBehavior)
	mux.HandleFunc("POST /served", f.setServed)
	return mux
}

func (f *Server) setBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetBehavior(b)
}

func (f *Server) setServed(w http.ResponseWriter, r *http.Request) {
	var s []ServedSnapshot
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetServed(s)
}

func (f *Server) handle(w http.ResponseWriter, r *http.Request, order bool) {
	b := f.countRequest()
	if b.CloseAt == "before" {
		panic(http.ErrAbortHandler)
	}
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b.CrashText != "" && strings.Contains(string(q.Body), b.CrashText) {
		f.countRun(q, order)
		f.crash()
	}
	if code := f.admit(q, b); code != 0 {
		w.Header().Set("Gentianpond-Started", "no")
		w.WriteHeader(code)
		return
	}
	defer f.finish()
	f.countRun(q, order)
	if b.CloseAt == "running" {
		panic(http.ErrAbortHandler)
	}
	if !f.work(r, b) {
		return
	}
	if isEndless(b.Endless) {
		SendEndless(w, b.Endless)
		return
	}
	f.reply(w, q, b)
}

// countRequest counts an arrived request and returns the behavior to handle it with.
func (f *Server) countRequest() Behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	f.stats.LastRequest = time.Now()
	if f.behavior.Draining {
		f.stats.WhileDraining++
	}
	return f.behavior
}

// crash ends the process without an answer, or calls OnCrash in its place.
func (f *Server) crash() {
	if f.settings.OnCrash == nil {
		os.Exit(3)
	}
	f.settings.OnCrash()
	panic(http.ErrAbortHandler)
}

// admit takes a slot for the request and returns 0, or returns the status with
// which the request is refused before it runs.
func (f *Server) admit(q request, b Behavior) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Shed || f.running >= f.settings.Slots {
		f.stats.Shed++
		f.stats.MaxRunning = max(f.stats.MaxRunning, f.running+1)
		return http.StatusServiceUnavailable
	}
	if q.Incarnation != f.incarnation || !f.holdsShard(q) {
		return http.StatusConflict
	}
	f.running++
	f.stats.MaxRunning = max(f.stats.MaxRunning, f.running)
	return 0
}

func (f *Server) holdsShard(q request) bool {
	return slices.ContainsFunc(f.served, func(s ServedSnapshot) bool {
		return s.Archive == q.Archive && s.Snapshot == q.Snapshot && slices.Contains(s.Shards, q.Shard)
	})
}

// finish frees the slot that admit took.
func (f *Server) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// countRun counts a request that begins to run, and appends the body of an order to
// the order log.
func (f *Server) countRun(q request, order bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !order {
		f.stats.Searches++
		return
	}
	f.stats.Orders[q.Attempt]++
	f.stats.Bodies[string(q.Body)]++
	if f.orderLog != nil {
		_, _ = f.orderLog.WriteString(string(q.Body) + "\n")
	}
}

// work waits for the execution time of the request. It reports false if the caller
// cancelled the request before that.
func (f *Server) work(r *http.Request, b Behavior) bool {
	delay := b.Delay
	f.mu.Lock()
	if b.SlowEvery > 0 && f.requests%b.SlowEvery == 0 {
		delay = b.SlowDelay
	}
	f.mu.Unlock()
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stats.Cancelled++
		return false
	}
}

// reply writes the answer to a request that has run.
func (f *Server) reply(w http.ResponseWriter, q request, b Behavior) {
	if b.CloseAt == "after" {
		panic(http.ErrAbortHandler)
	}
	a := answer{
		Query: q.Query, Attempt: q.Attempt, Incarnation: f.incarnation, Snapshot: q.Snapshot, Shard: q.Shard,
		Body: []hit{{Shard: q.Shard, Snapshot: q.Snapshot, Query: q.Query, Server: f.settings.Name, Padding: strings.Repeat("x", b.HitBytes)}},
	}
	f.mu.Lock()
	previous := f.previousAnswer
	f.previousAnswer = &a
	f.mu.Unlock()
	if b.RepeatAnswer && previous != nil {
		a = *previous
	}
	w.Header().Set("Content-Type", "application/json")
	if b.CloseAt == "answer" {
		w.Header().Set("Content-Length", "100000")
		_ = json.NewEncoder(w).Encode(a)
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(a)
}
