// Package forwarder is the entry process that relays the requests of a routing
// table. It serves clients and the load balancer's checks, follows control, and
// makes planned stops.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/route/relayer"
	"gentianpond/internal/route/router"
	"gentianpond/internal/settings/loader"
)

const (
	// maxHeader is the largest head of a request in bytes. A routing table may
	// allow less.
	maxHeader = 64 << 10
	// headerTimeout bounds the time for the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client's connection may stay unused. It is longer
	// than any idle time that clients are told of.
	idleTimeout = 2 * time.Minute
	// balancerWait is the share of the grace time for which a stopping host still
	// takes new connections: the balancer asks once a second and needs two
	// misses.
	balancerWait = 0.42
	// finishWait is the share of the grace time after which it is cut short.
	finishWait = 0.92
)

// Adapter translates between the users' formats and the product's types.
type Adapter struct {
	// DecodeDocument decodes a routing document.
	DecodeDocument func(text []byte) (*router.Table, error)
	// NewEntryHandler and Ready make the handlers for clients and for the balancer.
	NewEntryHandler     func(RequestRelayer) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
	Codec               relayer.Codec
	// ClientMargin is the time that an answer needs on the way from and to clients.
	ClientMargin time.Duration
}

// RequestRelayer carries clients' requests.
type RequestRelayer interface {
	Do(ctx context.Context, r relayer.Request) relayer.Answer
	Refuse(r *relayer.Request, reason relayer.Reason) relayer.Answer
	Table() *router.Table
}

// Forwarder is one entry host. Use New.
type Forwarder struct {
	settings loader.Relay
	dialect  Adapter
	log      *log.Logger
	relayer  *relayer.Relayer
	watcher  *subscriber.Watcher
	clients  *http.Server
	checks   *http.Server
	listen   net.Listener
	ready    net.Listener
	draining atomic.Bool
	// drained is closed when a planned stop has finished what was in flight.
	drained chan struct{}
	ctx     atomic.Pointer[context.Context]
	table   *router.Table
}

// New listens on the addresses of an entry host.
func New(s loader.Relay, d Adapter, logger *log.Logger, scope tally.Scope) (*Forwarder, error) {
	listen, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", s.Ready.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for checks"), listen.Close())
	}
	f := &Forwarder{settings: s, dialect: d, log: logger, listen: listen, ready: ready, drained: make(chan struct{})}
	f.relayer = relayer.New(relayer.Config{
		Zone:   s.Zone,
		Codec:  d.Codec,
		Budget: relayer.Budget{Ratio: s.Ratio, Extra: s.Extra, Window: s.Window},
		Margin: d.ClientMargin,
		Age:    func() time.Duration { return time.Since(f.watcher.State().At) },
		Log:    logger,
		Scope:  scope.SubScope("relay"),
	})
	f.watcher = subscriber.NewWatcher(subscriber.WatcherConfig{
		Host: s.Listen.Addr().String(), Incarnation: uint64(time.Now().UnixNano()), Seeds: s.Seeds, Changed: f.changed, Log: logger,
	})
	f.clients = &http.Server{
		Handler:           f.closing(d.NewEntryHandler(entry{f})),
		ConnContext:       withClient,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	f.checks = &http.Server{Handler: d.NewReadinessHandler(f.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return f, nil
}

// Ready reports whether the host takes clients: it knows a routing table and is
// not stopping. A host that lost control goes on with what it knows.
func (f *Forwarder) Ready() bool { return !f.draining.Load() && f.relayer.Table() != nil }

// AddTo adds the parts of the host to a run group.
func (f *Forwarder) AddTo(group *runner.Group) {
	group.Add(func(ctx context.Context) error {
		f.ctx.Store(&ctx)
		return f.watcher.Run(ctx)
	})
	group.Add(f.relayer.Run)
	group.AddCloser(func() error { return f.serve(f.checks, f.ready) }, func() { _ = f.checks.Close() })
	group.AddCloser(func() error { return f.serve(f.clients, f.listen) }, func() { _ = f.clients.Close() })
}

func (f *Forwarder) serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	// Serve returns when a planned stop begins to wait for requests in flight;
	// the end of this part would end the process.
	if f.draining.Load() {
		<-f.drained
	}
	return runner.ErrStopped
}

// SetSeeds replaces the seeds after a change of the settings.
func (f *Forwarder) SetSeeds(s loader.Relay) {
	f.log.Info("settings read again", "seeds", s.Seeds)
	f.watcher.Seed(s.Seeds)
}

// changed takes what control says. The watcher makes one call at a time.
func (f *Forwarder) changed(w subscriber.Watched) {
	if w.Version > 0 && (f.table == nil || f.table.Version != w.Version) {
		table, err := f.dialect.DecodeDocument(w.Text)
		if err != nil {
			// Control accepts only what it can decode, so that this host runs an
			// older program; it goes on with the table that it has.
			f.log.Error("routing document cannot be used", "version", w.Version, "err", err)
		} else {
			f.table = table
			f.log.Info("routing table in force", "version", w.Version, "routes", len(table.Routes()))
		}
	}
	f.relayer.Update(*f.ctx.Load(), f.table, w.Servers, w.Hosts)
}

// closing asks clients to leave their connections while the host is stopping.
func (f *Forwarder) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain makes a planned stop: the host is not ready any more, goes on serving
// until the balancer has noticed, and finishes what is in flight.
func (f *Forwarder) Drain(ctx context.Context) {
	f.draining.Store(true)
	defer close(f.drained)
	start := time.Now()
	f.log.Info("stopping, waiting for the load balancer", "grace", f.settings.Grace)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(balancerWait * float64(f.settings.Grace))):
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(time.Duration(finishWait*float64(f.settings.Grace))))
	defer cancel()
	if err := f.clients.Shutdown(ctx); err != nil {
		f.log.Warn("requests in flight were cut short", "err", err)
	}
	f.log.Info("stopped")
}
