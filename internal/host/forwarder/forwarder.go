// Package forwarder is the process of an entry host, which relays clients' requests
// according to the routing table. It serves clients and the load balancer's health
// checks, applies updates from the control hosts, and shuts down gracefully.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/host/delegator"
	"gentianpond/internal/host/lender"
	"gentianpond/internal/host/rationer"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/relayer"
	"gentianpond/internal/route/router"
	"gentianpond/internal/settings/loader"
)

const (
	// maxHeaderBytes bounds the request line and headers. A routing table may set a
	// lower limit.
	maxHeaderBytes = 64 << 10
	// answerMemoryDivisor is the reciprocal of the share of the host's memory that the
	// answers of backend servers may hold at a time.
	answerMemoryDivisor = 4
	// maxServerWait is how long a host that has a routing table waits for servers of all
	// its routes before it reports itself ready without them. Servers check in more
	// often.
	maxServerWait = 3 * time.Second
	// maxLenderWait is how long it waits for the lenders of client accounts. A new leader of
	// the control hosts names them after four seconds.
	maxLenderWait = 5 * time.Second
	// balancerGraceShare is the share of the grace period during which a stopping
	// host still accepts connections: the load balancer checks once a second and
	// needs two failed checks to take the host out of service.
	balancerGraceShare = 0.42
	// shutdownGraceShare is the share of the grace period after which requests still
	// in flight are aborted.
	shutdownGraceShare = 0.92
	// answerMargin is how long before that requests still in flight get their final answer.
	answerMargin = 100 * time.Millisecond
)

// Adapter translates between the users' platform and internal types.
type Adapter struct {
	// DecodeDocument decodes a routing document.
	DecodeDocument func(text []byte) (*router.Table, error)
	// NewEntryHandler returns the handler for clients' requests.
	NewEntryHandler func(RequestRelayer) http.Handler
	// NewReadinessHandler returns the handler for the load balancer's health checks.
	NewReadinessHandler func(ready func() bool) http.Handler
	// Codec encodes and decodes the headers exchanged with backend servers.
	Codec relayer.Codec
	// ClientMargin is the time reserved for the transfer of a request from the client
	// and of its response back. It is used where the round trip is not known, and is
	// the upper bound where it is.
	ClientMargin time.Duration
}

// RequestRelayer relays clients' requests to backend servers.
type RequestRelayer interface {
	// Do relays a request and returns its final answer.
	Do(ctx context.Context, r relayer.Request) relayer.Answer
	// Refuse logs and counts a request that is not relayed and returns its answer.
	Refuse(r *relayer.Request, reason relayer.Reason) relayer.Answer
	// Table returns the routing table in force, or nil before the first.
	Table() *router.Table
}

// Forwarder is the process of an entry host. Use New.
type Forwarder struct {
	settings loader.RelaySettings
	// adapter translates the wire formats of the platform; see Adapter.
	adapter Adapter
	log     *log.Logger
	// relayer forwards clients' requests to backend servers.
	relayer *relayer.Relayer
	// watcher receives updates from the control hosts and passes them to applyUpdate.
	watcher *subscriber.Watcher
	// delegator hands requests over to other entry hosts, and service serves theirs on
	// peerListener. They are nil if this host takes no part in that.
	delegator    *delegator.Delegator
	service      *delegator.Service
	peerListener net.Listener
	// lender takes requests from the allowances of client accounts, also for other hosts.
	lender *lender.Lender
	// clientServer serves clients on clientListener.
	clientServer *http.Server
	// readinessServer serves the load balancer's health checks on readinessListener.
	readinessServer *http.Server
	// clients and checks accept connections from clientListener and readinessListener within
	// limits.
	clients, checks *acceptor.Listener
	// descriptors is the account that the clients and the connections to backend servers
	// share.
	descriptors       *rationer.Descriptors
	clientListener    *clientListener
	readinessListener net.Listener
	// draining is set by Drain.
	draining atomic.Bool
	// tableReceivedAt is when the first routing table arrived, nil before. canServe is
	// set once the host could serve it.
	tableReceivedAt atomic.Pointer[time.Time]
	canServe        atomic.Bool
	// drained is closed when Drain returns.
	drained chan struct{}
	// runContext is the context of the watcher's run, which is passed to the relayer
	// with each update.
	runContext atomic.Pointer[context.Context]
	// table is the routing table in force, nil before the first. Only applyUpdate
	// uses it.
	table *router.Table
}

// New returns an entry host that listens on its addresses. It serves requests once
// its parts run; see AddTo.
func New(s loader.RelaySettings, a Adapter, logger *log.Logger, scope tally.Scope) (*Forwarder, error) {
	listen, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", s.Ready.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for readiness checks"), listen.Close())
	}
	peers, err := listenForPeers(s.Peer)
	if err != nil {
		return nil, errors.Join(err, listen.Close(), ready.Close())
	}
	f := &Forwarder{settings: s, peerListener: peers, adapter: a, log: logger, readinessListener: ready, drained: make(chan struct{})}
	f.clientListener = newClientListener(listen, f.clientTimeouts)
	f.limitClients(scope)
	if peers != nil {
		f.delegator = delegator.New(delegator.Config{Address: s.Peer, Zone: s.Zone, Log: logger, Scope: scope.SubScope("peer")})
	}
	f.lender = lender.New(lender.Config{
		Address: s.Peer, Bounds: s.Quota, ContactAt: func() time.Time { return f.watcher.State().ContactAt },
		Log: logger, Scope: scope.SubScope("allowance"),
	})
	f.relayer = relayer.New(relayer.Config{
		Zone:          s.Zone,
		Region:        s.Region,
		Zones:         s.Zones,
		Codec:         a.Codec,
		Budget:        relayer.Budget{Ratio: s.Ratio, ExtraPerWindow: s.Extra, Window: s.Window},
		TransitTime:   a.ClientMargin,
		AnswerBytes:   s.AnswerBytes,
		HostBytes:     s.MemoryBytes / answerMemoryDivisor,
		Descriptors:   f.descriptors,
		Delegator:     f.requestDelegator(),
		Allowances:    f.lender,
		ControlAge:    func() time.Duration { return time.Since(f.watcher.State().LastReply) },
		ReportLeaving: func(server string, incarnation uint64) { f.watcher.ReportLeaving(server, incarnation) },
		Observe:       func(o quarantiner.Observation) bool { return f.watcher.ReportObservation(o) },
		Cost:          s.Cost,
		Log:           logger,
		Scope:         scope.SubScope("relay"),
	})
	f.descriptors.SetReclaim(f.relayer.CloseUnused)
	if peers != nil {
		f.service = delegator.NewService(f.delegator, f.relayer)
		f.service.SetLending(f.lender.Service())
	}
	f.watcher = subscriber.NewWatcher(subscriber.WatcherConfig{
		Host: s.Listen.Addr().String(), Incarnation: uint64(time.Now().UnixNano()), Seeds: s.Seeds, OnChange: f.applyUpdate, Limits: f.relayer, Suspects: f.relayer, Lending: f.lender,
		Connect: subscriber.Connect(messenger.FromAddress(s.Listen.Addr())),
		Peer:    subscriber.Peer{Address: s.Peer, Zone: s.Zone}, Log: logger,
	})
	f.clientServer = &http.Server{
		Handler:           f.limitBody(a.NewEntryHandler(transitRelayer{f})),
		ConnContext:       withClientConn,
		ConnState:         stateChanged,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	f.readinessServer = &http.Server{Handler: a.NewReadinessHandler(f.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout}
	acceptor.Attach(f.clientServer)
	acceptor.Attach(f.readinessServer)
	return f, nil
}

// listenForPeers listens for other entry hosts, unless there is no address for them.
func listenForPeers(address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		return nil, nil
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for other entry hosts")
	}
	return l, nil
}

// requestDelegator returns the delegator of the relayer, or nil if there is none.
func (f *Forwarder) requestDelegator() relayer.Delegator {
	if f.delegator == nil {
		return nil
	}
	return f.delegator
}

// Ready reports whether the host accepts clients' requests: it is not draining, and
// since its start it has known servers for all routes, or waited for them for
// maxServerWait. A host that has lost contact with control stays ready and uses the
// last state that it received.
func (f *Forwarder) Ready() bool {
	if f.draining.Load() {
		return false
	}
	if f.canServe.Load() {
		return true
	}
	received := f.tableReceivedAt.Load()
	if received == nil || !f.relayer.CanServe() && time.Since(*received) < maxServerWait {
		return false
	}
	if !f.lender.Ready() && time.Since(*received) < maxLenderWait {
		return false
	}
	f.canServe.Store(true)
	f.log.Info("ready", "waited", time.Since(*received))
	return true
}

// AddTo adds the parts of the host to a run group.
func (f *Forwarder) AddTo(group *runner.Group) {
	group.Add(func(ctx context.Context) error {
		f.runContext.Store(&ctx)
		return f.watcher.Run(ctx)
	})
	group.Add(f.relayer.Run)
	group.Add(f.lender.Run)
	if f.service != nil {
		group.Add(f.delegator.Run)
		group.AddServer(f.servePeers, f.service.Close)
	}
	group.AddServer(func() error { return f.serve(f.readinessServer, f.checks) }, func() { _ = f.readinessServer.Close() })
	group.AddServer(func() error { return f.serve(f.clientServer, f.clients) }, func() { _ = f.clientServer.Close() })
}

// serve runs a server until it is closed, and during a drain until Drain returns.
func (f *Forwarder) serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	// Serve returns as soon as Drain closes the listener. Returning here would end the
	// run group and with it the process.
	if f.draining.Load() {
		<-f.drained
		return runner.ErrStopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return runner.ErrStopped
	}
	return err
}

// servePeers serves other entry hosts until the service is closed, and during a drain
// until Drain returns.
func (f *Forwarder) servePeers() error {
	err := f.service.Serve(f.peerListener)
	if f.draining.Load() {
		<-f.drained
		return runner.ErrStopped
	}
	return err
}

// SetSeeds replaces the seeds with those of the reloaded settings.
func (f *Forwarder) SetSeeds(s loader.RelaySettings) {
	f.log.Info("settings reloaded", "seeds", s.Seeds)
	f.watcher.SetSeeds(s.Seeds)
}

// applyUpdate decodes the routing document if its version is new, and passes what the
// relayer, the lender and the delegator need of the update. The watcher makes one call at a
// time.
func (f *Forwarder) applyUpdate(w subscriber.RoutingState) {
	if w.Document != nil && (f.table == nil || f.table.Version != w.Version) {
		table, err := f.adapter.DecodeDocument(w.Document)
		if err != nil {
			// Control hosts accept only documents that they can decode, so this host
			// runs an older version. It keeps its current routing table.
			f.log.Error("routing document cannot be used", "version", w.Version, "err", err)
		} else {
			f.table = table
			now := time.Now()
			f.tableReceivedAt.CompareAndSwap(nil, &now)
			f.log.Info("routing table in force", "version", w.Version, "routes", len(table.Routes()))
		}
	}
	if f.delegator != nil {
		f.delegator.SetPeers(w.Peers)
	}
	f.relayer.SetEvacuations(w.Evacuations)
	position := pacer.Position{Rank: w.HostRank, Count: w.EntryHosts}
	f.lender.Update(f.table, w.Lending, w.Callers, position)
	f.relayer.Update(*f.runContext.Load(), f.table, w.Servers, position)
}

// clientTimeouts returns the limits of the routing table in force for the headers of a
// request and for idle connections, 0 where there is none.
func (f *Forwarder) clientTimeouts() (header, idle time.Duration) {
	if t := f.relayer.Table(); t != nil {
		return t.Limits.HeaderTimeout, t.Limits.IdleTimeout
	}
	return 0, 0
}

// limitBody limits the time to read the body of a request, and asks clients to close
// their connections while the host is draining.
func (f *Forwarder) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
			// An error means that the client has disconnected.
			_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain stops the host gracefully: it reports itself not ready, keeps serving until
// the load balancer has noticed, and then finishes the requests in flight.
func (f *Forwarder) Drain(ctx context.Context) {
	f.draining.Store(true)
	defer close(f.drained)
	start := time.Now()
	end := start.Add(time.Duration(shutdownGraceShare * float64(f.settings.Grace)))
	f.relayer.StopAt(end.Add(-answerMargin))
	if f.service != nil {
		f.service.StopAccepting()
	}
	f.lender.StopLending()
	f.log.Info("stopping, waiting for the load balancer", "grace", f.settings.Grace)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(balancerGraceShare * float64(f.settings.Grace))):
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	// Accept fails from here on; Serve waits for this function. The listener is closed
	// again by Shutdown.
	_ = f.clientListener.Close()
	f.clientListener.closeIdle(ctx)
	if err := f.clientServer.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.Warn("requests in flight were aborted", "err", err)
	}
	if f.service != nil {
		f.service.Drain(ctx)
	}
	f.log.Info("stopped")
}
