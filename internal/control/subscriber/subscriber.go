// Package subscriber is an entry host's side of the control role. It finds the
// leader, keeps the host's lease, configuration, view and quarantine list up
// to date, and passes order intents and crash reports on.
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
	// Lease is the longest lease. It counts from when the request was sent,
	// because the leader counts from when it received it, which is later.
	Lease = 4 * time.Second
	// interval between two sync requests.
	interval = 500 * time.Millisecond
	// tryTimeout is how long one control host may take to answer. Two silent
	// hosts in a row fit into a lease.
	tryTimeout = time.Second
	// silence is how long a host that let tryTimeout pass is not asked again
	// while there are others. Without it a host that still names a dead leader
	// would cost a tryTimeout each time around.
	silence = 2 * time.Second
	// firstDelay and lastDelay bound how long one round of all control hosts
	// takes while none of them leads.
	firstDelay = 50 * time.Millisecond
	lastDelay  = 500 * time.Millisecond
	// maxRedirects is how often a redirect is followed without a pause.
	maxRedirects = 3
)

// ErrUnavailable is returned when no leader answered in time. Whether a
// request of that call took effect is not known.
var ErrUnavailable = errors.New("no control leader answered")

// Progress is how far a host has followed the view.
type Progress struct {
	// Adopted is the number of the view that the host uses.
	Adopted uint64
	// Released is the newest view for which nothing is in flight to servers
	// that the view took from the host.
	Released uint64
}

// Connector prepares a connection to a control host.
type Connector func(netip.AddrPort) (messenger.ControlClient, io.Closer, error)

// Connect returns a connector over grpc with extra options, such as traces.
func Connect(extra ...grpc.DialOption) Connector {
	return func(addr netip.AddrPort) (messenger.ControlClient, io.Closer, error) {
		conn, err := messenger.Dial(addr, extra...)
		if err != nil {
			return nil, nil, errors.Wrap(err, "dial control host")
		}
		return messenger.NewControlClient(conn), conn, nil
	}
}

// Config says who subscribes and where to.
type Config struct {
	Member assigner.Member
	// Addresses of the control hosts; at least one.
	Addresses []netip.AddrPort
	// Progress is called before each sync request.
	Progress func() Progress
	// Changed is called after each change of revision, view, settledness or
	// quarantine, and before the lease is extended: when it returns, the host
	// has to act on the new state. Calls do not overlap, and must not
	// call Leave. It may be nil.
	Changed func(State)
	// Expired is called once when a lease has ended without a renewal; what is
	// in flight has to be cancelled. It may be nil.
	Expired func()
	// Connect defaults to grpc without extra options.
	Connect Connector
	Log     *log.Logger
}

// Subscriber is the entry side of control. Use New. Its methods are safe for
// concurrent use.
type Subscriber struct {
	config   Config
	locator  *locator
	state    atomic.Pointer[State]
	mu       sync.Mutex // held while the state changes
	renewed  chan struct{}
	turn     chan struct{} // holds an item during a sync
	leaving  chan struct{}
	leave    sync.Once
	suspects *queue
}

// New returns a subscriber that has not connected yet.
func New(config Config) *Subscriber {
	if config.Connect == nil {
		config.Connect = Connect()
	}
	if config.Log == nil {
		config.Log = log.New(io.Discard)
	}
	if config.Progress == nil {
		config.Progress = func() Progress { return Progress{} }
	}
	s := &Subscriber{
		config:   config,
		locator:  newLocator(config.Addresses, config.Connect),
		renewed:  make(chan struct{}, 1),
		turn:     make(chan struct{}, 1),
		leaving:  make(chan struct{}),
		suspects: newQueue(),
	}
	s.state.Store(&State{Document: []byte("{}")})
	return s
}

// State returns the current state.
func (s *Subscriber) State() State { return *s.state.Load() }

// Run keeps the state up to date until ctx ends, and closes all connections
// then.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.locator.close()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){s.syncLoop, s.expireLoop, s.suspectLoop} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
	return ctx.Err()
}

// wait pauses for d and reports whether ctx is still alive.
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
