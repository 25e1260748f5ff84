package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

const (
	// queueLimit is the number of events that wait for the loop.
	queueLimit = 4096
	// drainLimit bounds the wait for calls in flight at a planned stop.
	drainLimit = time.Second
	// handoverLimit bounds the wait for another host to lead at a planned stop. It
	// takes two rounds of messages and syncs; half an election timeout of open groups
	// is kept for them.
	handoverLimit = 150 * time.Millisecond
	// proposalLimit is the largest proposal in bytes. A section may have 1 MB.
	proposalLimit = 2 << 20
	// openElection and openHeartbeat are the times of the log core in open
	// groups, whose entry hosts have no other source of their state when all
	// hosts start at once. A sync on a disk that is 30 times slower than usual
	// stays below a third of the election timeout.
	openElection  = 300 * time.Millisecond
	openHeartbeat = 75 * time.Millisecond
)

// Server is one control host. Use New.
type Server struct {
	settings Settings
	log      *log.Logger
	scope    tally.Scope
	journal  *journaler.Journal
	loop     *loop
	queue    chan event
	stopped  chan struct{}
	draining atomic.Bool
	calls    atomic.Int64
	// known holds the addresses of the members, for hosts that look for them.
	known atomic.Pointer[[]string]
	// leaders holds the connections to other hosts as leaders.
	leaders messenger.Conns
}

// New opens the data folder. An empty one gets a new identity, under which the
// host waits to be taken into a group. Errors are ErrSettings and those of the
// journal; after journaler.ErrDamaged the folder has to be emptied, and the
// host is then taken in again under a new identity.
func New(settings Settings, logger *log.Logger, scope tally.Scope) (*Server, error) {
	if err := settings.complete(); err != nil {
		return nil, err
	}
	s := &Server{
		settings: settings,
		log:      logger,
		scope:    scope.SubScope("control"),
		queue:    make(chan event, queueLimit),
		stopped:  make(chan struct{}),
	}
	journal, state, err := s.open()
	if err != nil {
		return nil, err
	}
	s.journal = journal
	s.loop, err = newLoop(settings, journal, state, s.log, s.scope)
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "load data folder"), journal.Close())
	}
	s.log.Info("opened the data folder", "id", state.Identity, "last", state.LastIndex(), "bytes", journal.Size())
	return s, nil
}

func (s *Server) open() (*journaler.Journal, journaler.State, error) {
	journal, state, err := journaler.OpenOn(s.settings.disk, s.settings.Data)
	if !errors.Is(err, journaler.ErrNoState) {
		return journal, state, err
	}
	if s.settings.founds() {
		if err := writeFounders(s.settings); err != nil {
			return nil, state, err
		}
		s.log.Info("formed a group with the other seeds", "seeds", s.settings.Seeds)
		return journaler.OpenOn(s.settings.disk, s.settings.Data)
	}
	id, err := journaler.CreateOn(s.settings.disk, s.settings.Data)
	if err != nil {
		return nil, state, err
	}
	s.log.Info("made a new identity; waiting to be taken into a group", "id", id)
	return journaler.OpenOn(s.settings.disk, s.settings.Data)
}

// coreConfig returns the log core's configuration for a loaded state.
func coreConfig(settings Settings, state journaler.State, snapshot replicator.Snapshot) replicator.Config {
	config := replicator.Config{
		ID:              state.Identity,
		HardState:       replicator.HardState(state.HardState),
		Snapshot:        snapshot,
		Entries:         loadedEntries(state.Records),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), state.Identity)),
		MaxMessageBytes: proposalLimit,
	}
	if settings.open() {
		config.ElectionTimeout = openElection
		config.HeartbeatInterval = openHeartbeat
	}
	return config
}

// Run serves until ctx ends, which is no error. It returns an error when the
// service cannot listen or when the durable state fails; the process must
// then end. Run can be called once and closes the data folder.
func (s *Server) Run(ctx context.Context) error {
	listener := s.settings.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", s.settings.Inner.String())
		if err != nil {
			return errors.Join(errors.Wrap(err, "listen on the inner address"), s.journal.Close())
		}
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	s.loop.publishKnown = func(list []string) { s.known.Store(&list) }
	s.loop.senders = &senders{
		name:    s.settings.Name,
		id:      s.journal.Identity(),
		options: s.settings.DialOptions,
		address: s.settings.Inner,
		zone:    s.settings.Zone,
		learn:   s.learn,
		scope:   s.scope,
		ctx:     inner,
		group:   &group,
		peers:   map[netip.AddrPort]*sender{},
	}
	rpc := messenger.NewServer(s.settings.ServerOptions...)
	messenger.RegisterControlServer(rpc, &service{server: s})
	loopDone := make(chan error, 1)
	go func() {
		err := s.loop.run(inner, s.queue)
		close(s.stopped)
		loopDone <- err
	}()
	serveDone := make(chan error, 1)
	go func() { serveDone <- rpc.Serve(listener) }()
	err := s.wait(ctx, serveDone)
	rpc.Stop()
	cancel()
	group.Wait()
	s.leaders.Close()
	return errors.Join(err, <-loopDone, s.journal.Close())
}

// Status describes this host as the call of the same name does, for the
// process's own status page.
func (s *Server) Status(ctx context.Context) (*messenger.StatusReply, error) {
	return (&service{server: s}).Status(ctx, &messenger.StatusRequest{})
}

// Seed replaces the seeds after a change of the settings.
func (s *Server) Seed(seeds []netip.AddrPort) {
	s.log.Info("settings read again", "seeds", seeds)
	select {
	case s.queue <- func(l *loop) { l.settings.Seeds = seeds }:
	case <-s.stopped:
	}
}

// learn passes the members that another host named to the loop.
func (s *Server) learn(known []string) {
	select {
	case s.queue <- func(l *loop) { l.learn(known) }:
	default:
		s.scope.Counter("hellos_dropped").Inc(1)
	}
}

// wait returns when the server has to stop.
func (s *Server) wait(ctx context.Context, served <-chan error) error {
	select {
	case <-ctx.Done():
		s.drain()
		return nil
	case <-s.stopped:
		return nil
	case err := <-served:
		return errors.Wrap(err, "serve the inner address")
	}
}

// drain refuses new calls, hands over the lead and waits for the calls in flight,
// bounded.
func (s *Server) drain() {
	s.draining.Store(true)
	s.handOver()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for range int(drainLimit / tick) {
		if s.calls.Load() == 0 {
			return
		}
		<-ticker.C
	}
}

// handOver asks another host to lead until one does.
func (s *Server) handOver() {
	start := time.Now()
	for asked := false; time.Since(start) < handoverLimit; asked = true {
		leads := make(chan bool, 1)
		select {
		case s.queue <- func(l *loop) { leads <- l.handOver() }:
		case <-s.stopped:
			return
		}
		select {
		case still := <-leads:
			if !still {
				if asked {
					s.log.Info("handed over the lead", "took", time.Since(start))
				}
				return
			}
		case <-s.stopped:
			return
		}
		time.Sleep(tick)
	}
	s.log.Warn("no other host took the lead", "limit", handoverLimit)
}

// handOver reports whether this host leads, and asks another one to.
func (l *loop) handOver() bool {
	if !l.leads() {
		return false
	}
	l.core.TransferLeadership(l.now())
	return true
}
