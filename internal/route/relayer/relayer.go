// Package relayer carries requests of a routing table to backend servers: to one
// server of a service, or to one server of each shard of a fan-out.
//
// Every host chooses servers by itself, from the registry, from what it sees and
// from the load that servers report. Extra sends (hedges and retries) draw on a
// budget per service, of which each host has its share.
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

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/hedger"
	"gentianpond/internal/search/selector"
)

const (
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// hedgeQuantile is the share of sends to a route that are answered before a
	// hedge is sent. One in ten fits into a retry budget of 0.2 and leaves half
	// of it to retries.
	hedgeQuantile = 0.9
	// hedgeInitial is the hedge delay before enough answers were seen.
	hedgeInitial = 60 * time.Millisecond
	// budgetShare is the part of the fleet's budget that the hosts share out; the
	// rest covers hosts that join before the others know.
	budgetShare = 0.9
	// burstShare is the part of a host's share that may be saved up. Trouble
	// starts at many shards at once.
	burstShare = 0.85
	// connectTime is what opening a connection adds to an answer: two round trips
	// between zones and the 6 ms that backend servers need for it.
	connectTime = 8 * time.Millisecond
	// hostsUnknown is the number of hosts assumed until control has counted them.
	hostsUnknown = 64
	// connectionShare is the part of a server's connections that the hosts share
	// out; the rest covers hosts that join and connections being closed.
	connectionShare = 0.85
)

// Codec speaks the backend servers' protocol.
type Codec interface {
	// Encode adds to the header what tells a server about a send: the client's
	// request id, the time left and the server that is meant.
	Encode(h http.Header, id string, left time.Duration, server string)
	// ID returns the id of the request that an answer belongs to.
	ID(h http.Header) string
	// Decode reads what a server says about its answer.
	Decode(status int, h http.Header) Note
}

// Note is what a backend server says about its answer.
type Note struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// Stamp is the signature of the answer, empty if there is none.
	Stamp string
	// Refused means that the server did not run the request.
	Refused bool
	// Misdirected means that another server than the one meant has the address.
	Misdirected bool
	// Load is the server's load, if it is told.
	Load Load
}

// Load is the load of a server when it answered.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Budget bounds the extra sends to a service, summed over all hosts.
type Budget struct {
	// Ratio is the number of extra sends per request, Extra the number that is
	// allowed besides in any time of length Window.
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Config says how a relayer works.
type Config struct {
	Zone   string
	Codec  Codec
	Budget Budget
	// Margin is how long before the objective an answer leaves this host: the
	// time on the way from and to the client.
	Margin time.Duration
	// Age returns how long ago control was last heard from; nil if unknown.
	Age   func() time.Duration
	Log   *log.Logger
	Scope tally.Scope
}

// Relayer carries requests. Use New. It is safe for concurrent use.
type Relayer struct {
	config Config
	fleet  atomic.Pointer[fleet]
	// ctx ends with Run.
	ctx atomic.Pointer[context.Context]

	// mu guards what follows.
	mu       sync.Mutex
	selector *selector.Selector
	hedgers  map[string]*hedger.Hedger
	budgets  map[string]*budget
	started  time.Time
	gates    map[string]*admitter.Gate
	hosts    int
	rand     *rand.Rand
}

// New returns a relayer without a routing table.
func New(c Config) *Relayer {
	r := &Relayer{
		config:   c,
		selector: selector.New(c.Zone),
		hedgers:  map[string]*hedger.Hedger{},
		budgets:  map[string]*budget{},
		started:  time.Now(),
		gates:    map[string]*admitter.Gate{},
		hosts:    hostsUnknown,
		rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	r.fleet.Store(&fleet{servers: map[string]*server{}})
	r.selector.Extra = func(name string) time.Duration {
		if s := r.fleet.Load().servers[name]; s == nil || s.pool.HasIdle() {
			return 0
		}
		return connectTime
	}
	return r
}

// Table returns the routing table in force, or nil.
func (r *Relayer) Table() *router.Table { return r.fleet.Load().table }

// Update takes the routing table, the registry and the number of hosts, which
// is 0 while it is unknown.
func (r *Relayer) Update(ctx context.Context, table *router.Table, registry []registrar.Server, hosts int) {
	r.ctx.CompareAndSwap(nil, &ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if hosts > 0 {
		r.hosts = hosts
	}
	old := r.fleet.Load()
	next := newFleet(table)
	for _, s := range registry {
		r.adopt(ctx, old, next, s)
	}
	for name, s := range old.servers {
		if _, ok := next.servers[name]; !ok {
			s.pool.Close()
			r.selector.Remove(name)
		}
	}
	for _, b := range r.budgets {
		b.Resize(r.burst())
	}
	r.fleet.Store(next)
}

// life returns a context that ends when the host stops.
func (r *Relayer) life() context.Context {
	if ctx := r.ctx.Load(); ctx != nil {
		return *ctx
	}
	return context.Background()
}

// Run looks after idle connections until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, s := range r.fleet.Load().servers {
				s.pool.CloseExpired(now)
			}
		}
	}
}

// gate returns the gate of a service. The lock is held.
func (r *Relayer) gate(service string) *admitter.Gate {
	g, ok := r.gates[service]
	if !ok {
		g = &admitter.Gate{}
		r.gates[service] = g
	}
	return g
}

// hedger returns the latencies of a route. The lock is held.
func (r *Relayer) hedger(route *router.Route) *hedger.Hedger {
	h, ok := r.hedgers[route.Name]
	if !ok {
		h = hedger.New(hedger.Config{Quantile: hedgeQuantile, Initial: min(hedgeInitial, route.Objective/2)})
		r.hedgers[route.Name] = h
	}
	return h
}
