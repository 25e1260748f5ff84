package relayer

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianpond/internal/route/estimator"
	"gentianpond/internal/search/caller"
)

// zoneRoundTrip is the round trip to a server in another availability zone, which is not
// part of the work of a request. Within a zone it is too short to matter.
const zoneRoundTrip = 1800 * time.Microsecond

// maxError bounds the recorded errors, so that none falls into the bucket without a bound,
// whose sum is meaningless.
const maxError = 10

// errorBuckets are the bounds of the histogram of observed over expected work.
var errorBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 4, maxError}

// costing ranks servers by the expected cost of the request and by the work that each
// server still has to do. All methods may be called on nil, which does nothing: then servers
// are ranked by their latency and queue alone. The relayer's lock guards it.
type costing struct {
	relayer   *Relayer
	estimator *estimator.Estimator
	// work is the expected work of the request for which expectedTime is called.
	work time.Duration
	// expected is the method expectedTime, kept because taking it allocates memory.
	expected func(time.Time, string) (float64, bool, bool)
	// known tells which routes had an estimate when a server was last chosen for them.
	known map[string]bool
	// error is the histogram of observed over expected work.
	error tally.Histogram
	// choices and changed are the counts of the selector that have been reported.
	choices, changed uint64
}

// newCosting returns a costing without evidence.
func newCosting(r *Relayer) *costing {
	c := &costing{relayer: r, estimator: estimator.New(), known: map[string]bool{}, error: r.config.Scope.Histogram("cost_error", errorBuckets)}
	c.expected = c.expectedTime
	return c
}

// update makes a server known, or changes its slots.
func (c *costing) update(s *server) {
	if c != nil {
		c.estimator.Update(s.Name, s.Service, s.Incarnation, s.Slots)
	}
}

// remove forgets a server.
func (c *costing) remove(name string) {
	if c != nil {
		c.estimator.Remove(name)
	}
}

// costRequest returns what tells a request to a service from others.
func (q *query) costRequest(service string) estimator.Request {
	request := estimator.Request{Route: q.route.Name, Service: service, Fingerprint: q.fingerprint}
	if q.account != nil {
		request.Account = q.account.Name
	}
	return request
}

// set makes the next choice of the selector one for the request, by its expected time if its
// work is known.
func (c *costing) set(now time.Time, request estimator.Request) (estimator.Estimate, bool) {
	if c == nil {
		return estimator.Estimate{}, false
	}
	c.relayer.selector.ExpectedTime = nil
	e, ok := c.estimator.Estimate(now, request)
	if ok {
		c.work = e.Work
		c.relayer.selector.ExpectedTime = c.expected
	}
	return e, ok
}

// prepare is like set, and logs when the cost of a route becomes known or unknown.
func (c *costing) prepare(now time.Time, request estimator.Request) {
	e, ok := c.set(now, request)
	if c == nil || c.known[request.Route] == ok {
		return
	}
	c.known[request.Route] = ok
	message := "cost of a route is unknown"
	if ok {
		message = "cost of a route is known"
	}
	c.relayer.config.Log.Info(message, "route", request.Route, "service", request.Service, "work", e.Work, "samples", e.Samples)
}

// expectedTime is the selector's ExpectedTime.
func (c *costing) expectedTime(now time.Time, name string) (expected float64, slow, ok bool) {
	limit := 1
	if s := c.relayer.routing.Load().servers[name]; s != nil {
		limit = s.pool.Limit()
	}
	d, slow, ok := c.estimator.Time(now, name, c.work, limit)
	return float64(d), slow, ok
}

// begin counts a send for the request to a server.
func (c *costing) begin(now time.Time, target *server, request estimator.Request) estimator.Send {
	if c == nil {
		return estimator.Send{}
	}
	return c.estimator.Begin(now, target.Name, target.Incarnation, request)
}

// finish ends a send that begin counted and learns from it.
func (c *costing) finish(now time.Time, q *query, res sendResult) {
	if c == nil {
		return
	}
	result := estimator.Result{Ending: endingOf(res)}
	if !res.writtenAt.IsZero() {
		result.Elapsed = res.arrivedAt.Sub(res.writtenAt)
	}
	if res.server.Zone != c.relayer.config.Zone {
		result.RoundTrip = zoneRoundTrip
	}
	if l := res.metadata.Load; l.Known {
		result.Load = estimator.Load{Known: true, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}
	}
	observed, expected, ok := c.estimator.Finish(now, res.server.Name, res.server.Incarnation, q.costRequest(res.server.Service), res.cost, result)
	if ok && expected > 0 {
		c.error.RecordValue(min(observed/expected, maxError))
	}
}

// endingOf returns what the end of a send tells of the work of its request. Answers with an
// error status may have taken a server no work.
func endingOf(res sendResult) estimator.Ending {
	switch res.status {
	case caller.Answered:
		if res.response.Status < http.StatusBadRequest {
			return estimator.Answered
		}
	case caller.Cancelled, caller.TimedOut:
		return estimator.Unfinished
	}
	return estimator.Untold
}

// report updates the metrics of the choices and of the entries held.
func (c *costing) report() {
	if c == nil {
		return
	}
	c.relayer.mu.Lock()
	choices, changed := c.relayer.selector.ExpectedChoices()
	requests, servers := c.estimator.Len()
	newChoices, newChanged := choices-c.choices, changed-c.changed
	c.choices, c.changed = choices, changed
	c.relayer.mu.Unlock()
	scope := c.relayer.config.Scope
	scope.Counter("cost_choices").Inc(int64(newChoices))
	scope.Counter("cost_choices_changed").Inc(int64(newChanged))
	scope.Tagged(map[string]string{"kind": "request"}).Gauge("cost_entries").Update(float64(requests))
	scope.Tagged(map[string]string{"kind": "server"}).Gauge("cost_entries").Update(float64(servers))
}
