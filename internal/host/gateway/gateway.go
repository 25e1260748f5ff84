// Package gateway is the entry process: it takes callers' requests and backend
// servers' announcements over HTTP and serves the other entry hosts over grpc.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
	"gentianpond/internal/value/container"
)

// stopTimeout bounds the wait for requests in flight at a planned stop. It is
// longer than any deadline that a configuration can allow.
const stopTimeout = time.Minute

// leaveTimeout bounds the wait for the control hosts at a planned stop. Without
// them the host leaves the view by silence.
const leaveTimeout = 5 * time.Second

// provenSize is how many fingerprints of completed requests are remembered.
const provenSize = 8192

// arrivalsSize is how many attempts of orders are remembered. grpc resends a
// call at once or not at all, so a few seconds' worth is enough.
const arrivalsSize = 65536

// Gateway is one entry host. Use New.
type Gateway struct {
	settings loader.Entry
	self     assigner.Member
	log      *log.Logger
	scope    tally.Scope
	page     http.Handler
	tracer   trace.Tracer

	control     *subscriber.Subscriber
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	executor    *executor.Executor
	peers       *peers
	// proven holds fingerprints of requests that completed: a repeated harmless
	// request needs no canary. arrivals holds attempts of orders that reached
	// this host, so that a call that grpc resent is not run twice.
	proven      *container.Recent[uint64]
	arrivals    *container.Recent[string]
	suspicions  suspicions
	server      *http.Server
	inner       *grpc.Server
	listener    net.Listener
	innerListen net.Listener

	fleetMu sync.Mutex
	fleet   tracker.Table

	configured atomic.Pointer[configuration]
	draining   atomic.Bool
	// requestMu guards closed: no request is counted after the wait began.
	requestMu  sync.Mutex
	closed     bool
	requests   sync.WaitGroup
	background sync.WaitGroup
	refreshMu  sync.Mutex
	built      built
}

// configuration is the document in force.
type configuration struct {
	revision uint64
	document checker.Document
}

// New listens on both addresses of an entry host. Run serves.
func New(s loader.Entry, logger *log.Logger, metrics *reporter.Metrics, traces *reporter.Traces) (*Gateway, error) {
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	innerListen, err := net.Listen("tcp", s.Inner.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for hosts"), listener.Close())
	}
	inner := innerListen.Addr().(*net.TCPAddr).AddrPort()
	g := &Gateway{
		settings:    s,
		self:        assigner.Member{Name: s.Name, Zone: s.Zone, Address: inner, Incarnation: uint64(time.Now().UnixNano())},
		log:         logger,
		scope:       metrics.Scope,
		page:        metrics.Page,
		tracer:      traces.Tracer("gateway"),
		peers:       newPeers(traces),
		proven:      container.NewRecent[uint64](provenSize),
		arrivals:    container.NewRecent[string](arrivalsSize),
		listener:    listener,
		innerListen: innerListen,
	}
	g.control = g.newSubscriber()
	g.dispatcher = dispatcher.New(g.self, func() time.Time { return g.control.State().Lease }, g.observe)
	g.coordinator = coordinator.New(g.self, g, metrics.Scope)
	g.executor = &executor.Executor{Host: s.Name, Incarnation: g.self.Incarnation, Ledger: ledger{g}, Dispatcher: orders{g}, Background: g.background.Go}
	g.inner = messenger.NewServer(grpc.StatsHandler(otelgrpc.NewServerHandler(traces.GRPC()...)))
	messenger.RegisterEntryServer(g.inner, &service{gateway: g})
	g.server = &http.Server{Handler: g.mux(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	return g, nil
}

// Addr returns the address for callers.
func (g *Gateway) Addr() netip.AddrPort { return g.listener.Addr().(*net.TCPAddr).AddrPort() }

// AddTo adds the parts of the entry host to a run group.
func (g *Gateway) AddTo(group *runner.Group) {
	group.Add(g.control.Run)
	group.Add(g.refreshLoop)
	group.Add(g.tickLoop)
	group.Add(g.shareLoop)
	group.AddServer(func() error { return g.inner.Serve(g.innerListen) }, g.inner.Stop)
	group.AddServer(g.serveHTTP, func() { _ = g.server.Close() })
}

func (g *Gateway) serveHTTP() error {
	g.log.Info("serving", "callers", g.listener.Addr(), "hosts", g.innerListen.Addr(), "zone", g.settings.Zone)
	err := g.server.Serve(g.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return runner.ErrStopped
	}
	return err
}

// Drain makes a planned stop: it lets the load balancer move callers away,
// finishes every request and leaves the view. It returns early when ctx ends.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.log.Info("stopping, waiting for the load balancer", "wait", g.settings.Drain)
	sleep(ctx, g.settings.Drain)
	g.requestMu.Lock()
	g.closed = true
	g.requestMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	wait(ctx, g.requests.Wait)
	wait(ctx, g.background.Wait)
	g.dispatcher.Close()
	for g.dispatcher.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, time.Millisecond)
	}
	leaving, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	if err := g.control.Leave(leaving); err != nil {
		g.log.Warn("could not leave the view, it ends by silence", "err", err.Error())
	}
	g.log.Info("stopped")
}

// begin counts a caller's request as in flight. It is false once the host has
// stopped taking requests.
func (g *Gateway) begin() bool {
	g.requestMu.Lock()
	defer g.requestMu.Unlock()
	if g.closed {
		return false
	}
	g.requests.Add(1)
	return true
}

func wait(ctx context.Context, f func()) {
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
