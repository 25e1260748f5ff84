// Package subscriber is the control client of an entry host. A Subscriber keeps the
// host's lease, configuration, view and quarantine list up to date and sends order
// intents and crash reports to the leader of the control hosts. A Watcher keeps the
// routing document and the registry of backend servers up to date.
//
// The view is the numbered list of the entry hosts that share the backend servers. A
// host may act on the view only while it holds a lease, which the leader grants in
// reply to a sync request. An order may be dispatched only after the leader recorded
// the intent to run it and granted its execution to this host's attempt.
package subscriber

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
)

const (
	// MaxLease is the maximum duration of a lease. The host counts it from when it
	// sent the request, the leader from when it received the request, so the host's
	// lease always ends first.
	MaxLease = 4 * time.Second
	// syncInterval is the minimum time from one sync request to the next.
	syncInterval = 500 * time.Millisecond
	// callTimeout limits a call to one control host. Two calls in a row can time out
	// within a lease.
	callTimeout = time.Second
	// avoidDuration is how long a host that timed out is not called while there are
	// others. Without it, a host that still names a dead leader would cost a
	// callTimeout with each redirect.
	avoidDuration = 2 * time.Second
	// minRoundDelay and maxRoundDelay bound the duration of one round of calls to all
	// control hosts while none of them is the leader.
	minRoundDelay = 50 * time.Millisecond
	maxRoundDelay = 500 * time.Millisecond
	// maxRedirects bounds the redirects that are followed in a row without a pause.
	maxRedirects = 3
)

// ErrUnavailable is returned if no leader answered in time. Whether the request took
// effect is unknown.
var ErrUnavailable = errors.New("no control leader answered")

// ViewProgress tells how far a host has adopted the changes of the view.
type ViewProgress struct {
	// Adopted is the number of the view that the host uses.
	Adopted uint64
	// Released is the number of the newest view for which the host has no requests
	// in flight to servers that the view took from it.
	Released uint64
}

// Connector returns a client for the control host at an address, and the closer of
// its connection.
type Connector func(netip.AddrPort) (messenger.ControlClient, io.Closer, error)

// Connect returns a Connector over gRPC with extra dial options, such as tracing.
func Connect(extra ...grpc.DialOption) Connector {
	return func(addr netip.AddrPort) (messenger.ControlClient, io.Closer, error) {
		conn, err := messenger.Dial(addr, extra...)
		if err != nil {
			return nil, nil, errors.Wrap(err, "dial control host")
		}
		return messenger.NewControlClient(conn), conn, nil
	}
}

// Config configures a Subscriber.
type Config struct {
	// Member identifies this entry host in the view.
	Member assigner.Member
	// Addresses of the control hosts; at least one.
	Addresses []netip.AddrPort
	// Progress is called before each sync request.
	Progress func() ViewProgress
	// OnChange is called after each change of the configuration, the view, Settled or
	// the quarantine list, before the lease is extended: when it returns, the host
	// must act on the new state. Calls do not overlap and must not call Leave. It may
	// be nil.
	OnChange func(State)
	// OnLeaseExpired is called once when a lease has ended without renewal; requests
	// in flight must then be cancelled. It may be nil.
	OnLeaseExpired func()
	// Connect defaults to gRPC without extra options.
	Connect Connector
	// Log defaults to one that discards all lines.
	Log *log.Logger
}

// Subscriber is the control client of an entry host that holds a lease. Use New. Its
// methods are safe for concurrent use.
type Subscriber struct {
	config  Config
	locator *locator // finds the leader
	// state is the newest state, which State returns.
	state     atomic.Pointer[State]
	mu        sync.Mutex    // held while the state is replaced
	renewed   chan struct{} // signals a renewed lease to expireLoop
	syncSlot  chan struct{} // semaphore: one sync at a time
	leaving   chan struct{} // closed by Leave
	leaveOnce sync.Once     // closes leaving
	reports   *reportQueue  // crash reports for the leader
}

// New returns a Subscriber. It connects when Run or another method needs it.
func New(config Config) *Subscriber {
	if config.Connect == nil {
		config.Connect = Connect()
	}
	if config.Log == nil {
		config.Log = log.New(io.Discard)
	}
	if config.Progress == nil {
		config.Progress = func() ViewProgress { return ViewProgress{} }
	}
	s := &Subscriber{
		config:   config,
		locator:  newLocator(config.Addresses, config.Connect),
		renewed:  make(chan struct{}, 1),
		syncSlot: make(chan struct{}, 1),
		leaving:  make(chan struct{}),
		reports:  newReportQueue(),
	}
	s.state.Store(&State{ConfigDocument: []byte("{}")})
	return s
}

// State returns the current state.
func (s *Subscriber) State() State { return *s.state.Load() }

// Run keeps the state up to date and sends crash reports until ctx ends, then closes
// all connections.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.locator.close()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.syncLoop, s.expireLoop, s.reportLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	return ctx.Err()
}

// wait pauses for d or until ctx ends, and returns false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
