// Package gateway is the process of an entry host. It serves callers' searches and
// orders and backend servers' announcements over HTTP, and the other entry hosts
// over gRPC.
package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
	"gentianpond/internal/value/container"
)

// stopTimeout bounds the wait for requests in flight at a planned stop. It is
// longer than any deadline that a configuration can allow.
const stopTimeout = time.Minute

// leaveTimeout bounds the call that removes this host from the view at a planned
// stop. If it fails, the control hosts remove the host once its syncs stop.
const leaveTimeout = 5 * time.Second

// answerMemoryDivisor is the reciprocal of the share of the host's memory that the answers of
// backend servers may hold.
const answerMemoryDivisor = 4

// bodyTime bounds the time to read the body of a request.
const bodyTime = 10 * time.Second

// maxCompletedFingerprints bounds completedFingerprints. A search whose fingerprint has
// been pushed out may need a canary again.
const maxCompletedFingerprints = 8192

// maxReceivedAttempts bounds receivedAttempts, the attempts of orders by which a resent
// call is recognized. gRPC resends a call at once or not at all, so those of a few
// seconds are enough.
const maxReceivedAttempts = 65536

// Gateway is the process of one entry host. Use New.
type Gateway struct {
	settings loader.EntrySettings
	// self is this host as a member of the view.
	self assigner.Member
	log  *log.Logger
	// scope is where this host counts events and times searches for the metrics.
	scope tally.Scope
	// metricsHandler serves GET /metrics.
	metricsHandler http.Handler
	// tracer starts the trace spans of searches, orders and requests to backend servers.
	tracer trace.Tracer

	// control is the client of the control hosts.
	control *subscriber.Subscriber
	// coordinator runs searches over the shards of an archive.
	coordinator *coordinator.Coordinator
	// dispatcher sends requests to the backend servers that this host owns.
	dispatcher *dispatcher.Dispatcher
	// executor runs orders.
	executor *executor.Executor
	// answers is the memory for the answers of backend servers to all requests.
	answers *connector.Allowance
	// peers returns clients of the other entry hosts.
	peers *peerClients
	// completedFingerprints holds the fingerprints (see admission) of recent searches
	// that completed without a crash: a repeated harmless search needs no canary.
	completedFingerprints *container.RecentSet[uint64]
	// receivedAttempts holds the recent attempts of orders that reached this host, so
	// that a call that gRPC resent does not run the order twice.
	receivedAttempts *container.RecentSet[string]
	// suspicions holds the crashes that this host has seen or was warned of lately.
	suspicions suspicions
	// httpServer serves callers and backend servers on httpListener.
	httpServer *http.Server
	// grpcServer serves the other entry hosts on grpcListener.
	grpcServer   *grpc.Server
	httpListener net.Listener
	// clients accepts connections from httpListener within limits.
	clients      *acceptor.Listener
	grpcListener net.Listener

	// fleetMu guards fleet.
	fleetMu sync.Mutex
	// fleet holds the backend servers by their announcements.
	fleet tracker.Table

	// currentConfig is nil until the first configuration arrives.
	currentConfig atomic.Pointer[configuration]
	// draining is true from the start of a planned stop; the host reports itself
	// not ready and still accepts requests.
	draining atomic.Bool
	// requestMu guards requestsClosed: no request is counted after the wait began.
	requestMu sync.Mutex
	// requestsClosed is true when callers' requests are no longer accepted.
	requestsClosed bool
	// requests counts the callers' requests in flight.
	requests sync.WaitGroup
	// backgroundTasks counts the executor's functions that outlive their request.
	backgroundTasks sync.WaitGroup
	// refreshMu guards builtFrom and lets one refresh run at a time.
	refreshMu sync.Mutex
	// builtFrom identifies what the current directory was built from.
	builtFrom directoryInputs
}

// configuration is a configuration document with its revision.
type configuration struct {
	// revision is the revision number of the document.
	revision uint64
	// document is the decoded configuration document.
	document checker.Document
	// unusable is set if this host cannot decode the document. It then refuses
	// requests, because the configuration before it is no longer in force.
	unusable bool
}

// New returns an entry host that listens on its addresses. It serves requests once
// its parts run; see AddTo.
func New(s loader.EntrySettings, logger *log.Logger, metrics *reporter.Metrics, traces *reporter.Traces) (*Gateway, error) {
	s.MemoryBytes = cmp.Or(s.MemoryBytes, acceptor.DefaultMemoryBytes)
	s.Files = cmp.Or(s.Files, acceptor.DefaultFiles)
	s.AnswerBytes = cmp.Or(s.AnswerBytes, caller.DefaultAnswerBytes)
	httpListener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	grpcListener, err := net.Listen("tcp", s.Inner.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for entry hosts"), httpListener.Close())
	}
	grpcAddress := grpcListener.Addr().(*net.TCPAddr).AddrPort()
	g := &Gateway{
		settings:              s,
		self:                  assigner.Member{Name: s.Name, Zone: s.Zone, Address: grpcAddress, Incarnation: uint64(time.Now().UnixNano())},
		log:                   logger,
		scope:                 metrics.Scope,
		metricsHandler:        metrics.Handler,
		tracer:                traces.Tracer("gateway"),
		peers:                 newPeerClients(grpcAddress.Addr(), traces),
		completedFingerprints: container.NewRecentSet[uint64](maxCompletedFingerprints),
		receivedAttempts:      container.NewRecentSet[string](maxReceivedAttempts),
		httpListener:          httpListener,
		grpcListener:          grpcListener,
	}
	g.answers = connector.NewAllowance(g.settings.MemoryBytes/answerMemoryDivisor, nil)
	g.control = g.newSubscriber()
	g.dispatcher = dispatcher.New(g.self, func() time.Time { return g.control.State().LeaseEnd }, g.reportObservation)
	g.dispatcher.LimitAnswers(g.answers, g.settings.AnswerBytes)
	g.coordinator = coordinator.New(g.self, g, metrics.Scope)
	g.executor = &executor.Executor{Host: s.Name, Incarnation: g.self.Incarnation, Ledger: ledgerClient{g}, Dispatcher: orderDispatcher{g}, Background: g.backgroundTasks.Go}
	g.grpcServer = messenger.NewServer(append(acceptor.LimitCalls(), grpc.StatsHandler(otelgrpc.NewServerHandler(traces.GRPCOptions()...)))...)
	messenger.RegisterEntryServer(acceptor.CountCalls(g.grpcServer), &entryService{gateway: g})
	g.httpServer = &http.Server{Handler: g.mux(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	acceptor.Attach(g.httpServer)
	g.clients = acceptor.New(httpListener, acceptor.Config{
		Limits: acceptor.ClientLimits(s.MemoryBytes, s.Files), BodyTime: bodyTime, Name: "callers", Log: logger, Scope: metrics.Scope,
	})
	g.grpcListener = acceptor.NewHostListener(grpcListener, acceptor.HostConfig{
		Limits: acceptor.EntryHostLimits(s.MemoryBytes, s.Files), IsHost: g.isHost, Log: logger, Scope: metrics.Scope,
	})
	return g, nil
}

// isHost reports whether an entry host of the current view has an address.
func (g *Gateway) isHost(a netip.Addr) bool {
	return slices.ContainsFunc(g.control.State().View.Members, func(m assigner.Member) bool { return m.Address.Addr() == a })
}

// Addr returns the address for callers and backend servers.
func (g *Gateway) Addr() netip.AddrPort { return g.httpListener.Addr().(*net.TCPAddr).AddrPort() }

// AddTo adds the parts of the entry host to a run group.
func (g *Gateway) AddTo(group *runner.Group) {
	group.Add(g.control.Run)
	group.Add(g.refreshLoop)
	group.Add(g.tickLoop)
	group.Add(g.shareLoop)
	group.AddServer(func() error { return g.grpcServer.Serve(g.grpcListener) }, g.grpcServer.Stop)
	group.AddServer(g.serveHTTP, func() { _ = g.httpServer.Close() })
}

// serveHTTP serves callers and backend servers until the server is closed.
func (g *Gateway) serveHTTP() error {
	g.log.Info("serving", "callers", g.httpListener.Addr(), "hosts", g.grpcListener.Addr(), "zone", g.settings.Zone)
	err := g.httpServer.Serve(g.clients)
	if errors.Is(err, http.ErrServerClosed) {
		return runner.ErrStopped
	}
	return err
}

// Drain stops the host gracefully: it reports itself not ready, keeps serving until
// the load balancer has moved callers away, finishes the requests in flight and
// leaves the view. It returns early when ctx ends.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.log.Info("stopping, waiting for the load balancer", "wait", g.settings.Drain)
	sleepContext(ctx, g.settings.Drain)
	g.requestMu.Lock()
	g.requestsClosed = true
	g.requestMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	waitContext(ctx, g.requests.Wait)
	waitContext(ctx, g.backgroundTasks.Wait)
	g.dispatcher.Close()
	for g.dispatcher.InFlight() > 0 && ctx.Err() == nil {
		sleepContext(ctx, time.Millisecond)
	}
	leaving, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	if err := g.control.Leave(leaving); err != nil {
		g.log.Warn("could not leave the view, the control hosts will remove this host once its syncs stop", "err", err.Error())
	}
	g.log.Info("stopped")
}

// beginRequest counts a caller's request as in flight, and returns false if the host
// no longer accepts requests.
func (g *Gateway) beginRequest() bool {
	g.requestMu.Lock()
	defer g.requestMu.Unlock()
	if g.requestsClosed {
		return false
	}
	g.requests.Add(1)
	return true
}

// waitContext calls f and returns when f does or when ctx ends, while f goes on.
func waitContext(ctx context.Context, f func()) {
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

// sleepContext waits for the duration or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
