// Package relayer forwards client requests to backend servers according to the
// routing table: to one server of a service, or to one server of each shard of a
// fan-out.
//
// A send is one transmission of a request to one server. A shard gets a first send
// and, while it has not answered, further ones: hedges, retries and reroutes (see
// sendCause). An attempt is a send that the server may have run.
//
// Each host selects servers on its own, based on the registry, on the latencies
// and failures that it observes and on the load that servers report. Extra sends
// (hedges and retries) are limited by a budget per service, and all sends to a server
// that names a rate limit by that limit; the hosts divide both among them. A host that
// cannot reach the servers hands requests over to another one.
package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/detector"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/hedger"
	"gentianpond/internal/search/selector"
)

const (
	// idleSweepInterval is how often idle connections are checked.
	idleSweepInterval = time.Second
	// hedgeQuantile is the latency quantile of a route after which a hedge is
	// sent. Hedging one request in ten takes half of a retry budget of 0.2 and
	// leaves the other half to retries.
	hedgeQuantile = 0.9
	// initialHedgeDelay is the hedge delay of a route until there are enough
	// latency samples.
	initialHedgeDelay = 60 * time.Millisecond
	// budgetFraction is the fraction of the fleet's budget that is divided among
	// the hosts. The rest covers hosts that have joined but that the others do not
	// count yet.
	budgetFraction = 0.9
	// burstFraction is the fraction of a host's allowance that may be spent at
	// once, since a fault usually affects many shards at the same time.
	burstFraction = 0.85
	// connectLatency is the latency that opening a connection adds to a request:
	// two round trips between zones and the 6 ms that backend servers need to
	// accept it.
	connectLatency = 8 * time.Millisecond
	// initialHostCount is the number of hosts assumed until the control hosts
	// report it.
	initialHostCount = 64
	// defaultAnswerBytes is the memory that the answers to one request may hold unless
	// Config.AnswerBytes is set.
	defaultAnswerBytes = 4 << 20
	// connectionFraction is the fraction of a server's connection limit that is
	// divided among the hosts. The rest covers hosts that join and connections
	// that are being closed.
	connectionFraction = 0.85
	// reclaimAge is how long an idle connection to a backend server has not been used before it
	// is closed in favor of others.
	reclaimAge = 100 * time.Millisecond
)

// Codec encodes and decodes the headers that backend servers expect and send.
type Codec interface {
	// Encode sets the headers of one send: the client's request id, the time left
	// until the deadline and the name of the intended server.
	Encode(h http.Header, id string, left time.Duration, server string)
	// Key returns the key of a client account that a request carries, or an empty string.
	Key(h http.Header) string
	// SetAccount removes the key from the headers of a request and sets the name of the
	// account for backend servers. An empty name removes one that the client sent.
	SetAccount(h http.Header, account string)
	// RequestID returns the id of the request that an answer belongs to.
	RequestID(h http.Header) string
	// Decode reads the metadata of an answer from its status and headers.
	Decode(status int, h http.Header) AnswerMetadata
}

// AnswerMetadata is the metadata that a backend server sends with its answer.
type AnswerMetadata struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Stamp is the signature of the answer, empty if there is none.
	Stamp string
	// Refused means that the server did not run the request.
	Refused bool
	// Misdirected means that the address now belongs to a server other than the
	// intended one.
	Misdirected bool
	// PromisesNotRun means that clients take the status for a promise that the request has
	// not run and will not. The server may not have meant that; see Refused.
	PromisesNotRun bool
	// Load is the load that the server reported, if any.
	Load Load
	// Limit is the rate limit that the server named, if any.
	Limit NamedLimit
	// Leaving means that the server is about to stop and takes no further requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this host, 0 if it does
	// not say.
	RetryAfter time.Duration
}

// NamedLimit is the rate limit that a server named in an answer.
type NamedLimit struct {
	// Named is true if the answer has a limit, even one that cannot be read.
	Named bool
	// Rate is the number of requests a second that the server takes from all hosts
	// together. It is 0 if no limit was named or it cannot be read.
	Rate float64
}

// Load is the load of a server when it answered: its running and waiting requests
// and its slots, the number of requests that it runs at a time.
type Load struct {
	// Known is false for servers that do not report their load.
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Budget bounds the extra sends to a service, summed over all hosts.
type Budget struct {
	// Ratio is the number of extra sends allowed per request. ExtraPerWindow is the
	// number allowed in addition within any period of length Window.
	Ratio          float64
	ExtraPerWindow int
	Window         time.Duration
}

// Config holds the settings of a relayer.
type Config struct {
	// Zone is the availability zone of this host.
	Zone string
	// Region is the region of this host, and Zones holds the region of each availability
	// zone. Without zones all regions count as one.
	Region string
	Zones  map[string]string
	// Codec writes the headers of each send and reads those of the answers.
	Codec Codec
	// Budget bounds the extra sends to each service.
	Budget Budget
	// TransitTime is the network time between the client and this host, both ways. An
	// answer is sent this long before the latency objective ends.
	TransitTime time.Duration
	// AnswerBytes bounds the memory that the answers of all servers to one request may
	// hold, and HostBytes that of all requests. 0 means defaultAnswerBytes and no bound.
	AnswerBytes int64
	HostBytes   int64
	// Dial opens the connections to backend servers. Nil means TCP connections.
	Dial connector.DialFunc
	// Descriptors is the account of the connections to backend servers. Nil means no limit.
	Descriptors connector.Descriptors
	// Delegator hands requests over to other hosts while this one cannot reach the backend
	// servers. It is nil if there is no such way.
	Delegator Delegator
	// ReportLeaving passes on that a server is about to stop. It must not block. It may be
	// nil.
	ReportLeaving func(server string, incarnation uint64)
	// Allowances grants the requests of accounts that have a limit. Nil grants all.
	Allowances Allowances
	// ControlAge returns the time since the last message from the control hosts. It is
	// nil if that is unknown.
	ControlAge func() time.Duration
	// Observe passes on what a run of a request revealed, and returns false if it cannot.
	// It must not block. It may be nil.
	Observe func(o quarantiner.Observation) bool
	// Cost ranks servers by the expected cost of requests and the work of each server.
	Cost  bool
	Log   *log.Logger
	Scope tally.Scope
}

// Relayer forwards requests to backend servers. Use New. It is safe for concurrent
// use.
type Relayer struct {
	config Config
	// routing is the current routing state. Update replaces it.
	routing atomic.Pointer[routingState]
	// memory is the allowance for the answers to all requests, nil without a bound.
	memory *connector.Allowance
	// stopAt is when the last final answers are sent in a planned stop, nil before one.
	// stopped is closed at that time.
	stopAt  atomic.Pointer[time.Time]
	stopped chan struct{}
	// runCtx is the context of the first Update. It ends when the host stops.
	runCtx atomic.Pointer[context.Context]

	// mu guards the fields below.
	mu sync.Mutex
	// selector chooses the backend server for each send.
	selector *selector.Selector
	// cost learns what requests cost, nil unless Config.Cost is set.
	cost *costing
	// hedgers holds the hedgers by route name.
	hedgers map[string]*hedger.Hedger
	// budgets holds the budgets for extra sends by service name.
	budgets map[string]*hostBudget
	// startedAt is when New was called.
	startedAt time.Time
	// limits holds the rate limits that servers name.
	limits pacer.Pacer
	// guard decides which requests may run.
	guard quarantiner.Guard
	// keptReports holds observations that are not reported yet, by fingerprint.
	keptReports map[uint64][]quarantiner.Observation
	// cold holds the limits of cold servers, and coldStates until when servers are cold, by
	// name.
	cold       pacer.Pacer
	coldStates map[string]coldState
	// withdrawnZones holds when the evacuation of a zone was withdrawn; its servers may be
	// cold.
	withdrawnZones map[string]time.Time
	// evacuatedZones holds the availability zones to whose servers no request is sent.
	evacuatedZones map[string]bool
	// links tells whether this host has lost its links to the servers.
	links detector.Detector
	// throttles holds the throttles by service name.
	throttles map[string]*admitter.Throttle
	// demand tracks the requests of accounts.
	demand admitter.Demand
	// hostCount is the number of hosts among which budgets and connections are
	// divided.
	hostCount int
	// rand is the source of random numbers for choosing servers, dropping requests to
	// congested services, spreading retries and sampling log lines.
	rand *rand.Rand
}

// New returns a relayer without a routing table.
func New(c Config) *Relayer {
	r := &Relayer{
		config:    c,
		selector:  selector.New(c.Zone),
		hedgers:   map[string]*hedger.Hedger{},
		budgets:   map[string]*hostBudget{},
		startedAt: time.Now(),

		cold:       pacer.Pacer{BurstTime: pacer.ColdBurstTime, ExtraBurst: pacer.ColdExtraBurst},
		coldStates: map[string]coldState{},
		throttles:  map[string]*admitter.Throttle{},
		hostCount:  initialHostCount,
		stopped:    make(chan struct{}),
		rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if c.HostBytes > 0 {
		r.memory = connector.NewAllowance(c.HostBytes, nil)
	}
	if c.Cost {
		r.cost = newCosting(r)
	}
	r.routing.Store(&routingState{servers: map[string]*server{}})
	r.selector.ExtraLatency = func(name string) time.Duration {
		if s := r.routing.Load().servers[name]; s == nil || s.pool.HasIdle() {
			return 0
		}
		return connectLatency
	}
	return r
}

// Table returns the current routing table, or nil if there is none yet.
func (r *Relayer) Table() *router.Table { return r.routing.Load().table }

// CanServe reports whether every route of the current table has servers for enough of
// its shards.
func (r *Relayer) CanServe() bool { return r.routing.Load().canServe() }

// Update installs a routing table, the servers of the registry and the place of this
// host among the entry hosts.
func (r *Relayer) Update(ctx context.Context, table *router.Table, registry []registrar.Server, position pacer.Position) {
	r.runCtx.CompareAndSwap(nil, &ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Count > 0 && position != r.limits.Position() {
		r.hostCount = position.Count
		r.limits.Move(time.Now(), position)
		r.cold.Move(time.Now(), position)
	}
	old := r.routing.Load()
	next := newRoutingState(table)
	now, shards := time.Now(), shardServices(table)
	for _, s := range registry {
		r.addServer(ctx, old, next, s)
		r.learnCold(now, table, shards, s, len(old.servers) == 0)
	}
	for name, s := range old.servers {
		if _, ok := next.servers[name]; !ok {
			s.pool.Close()
			r.selector.Remove(name)
			r.limits.Remove(name)
			r.cost.remove(name)
			r.forgetCold(name)
		}
	}
	for _, b := range r.budgets {
		b.Resize(r.burstCapacity())
	}
	r.updateLinks(next)
	r.routing.Store(next)
	for name, s := range next.servers {
		if before := old.servers[name]; before != nil && before.isInUse() && !s.isInUse() {
			s.pool.WakeWaiting()
			if s.evacuated {
				s.pool.CloseIdle()
			}
		}
	}
}

// StopAt begins a planned stop: at the given time, requests that are still in flight get
// their final answer, and from now on requests that would be late by then are refused. It
// may be called once.
func (r *Relayer) StopAt(at time.Time) {
	r.stopAt.Store(&at)
	time.AfterFunc(time.Until(at), func() { close(r.stopped) })
}

// runContext returns a context that ends when the host stops. It never ends before
// the first Update.
func (r *Relayer) runContext() context.Context {
	if ctx := r.runCtx.Load(); ctx != nil {
		return *ctx
	}
	return context.Background()
}

// Run closes idle connections that have expired or are not worth keeping until ctx
// ends.
func (r *Relayer) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			r.routing.Load().closeIdle(now)
			r.cost.report()
		}
	}
}

// throttle returns the throttle of a service and creates it if needed. The caller
// holds the lock.
func (r *Relayer) throttle(service string) *admitter.Throttle {
	t, ok := r.throttles[service]
	if !ok {
		t = &admitter.Throttle{}
		r.throttles[service] = t
	}
	return t
}

// routeHedger returns the hedger that holds the latencies of a route and creates it
// if needed. The caller holds the lock.
func (r *Relayer) routeHedger(route *router.Route) *hedger.Hedger {
	h, ok := r.hedgers[route.Name]
	if !ok {
		h = hedger.New(hedger.Config{Quantile: hedgeQuantile, InitialDelay: min(initialHedgeDelay, route.Objective/2)})
		r.hedgers[route.Name] = h
	}
	return h
}
