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
	"google.golang.org/grpc"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/value/container"
)

const (
	// eventQueueSize is the number of events that can wait for the loop.
	eventQueueSize = 4096
	// drainTimeout bounds the transfer of leadership and the wait for calls in flight at a
	// planned stop.
	drainTimeout = time.Second
	// leadershipTransferTimeout bounds the wait for another host to lead at a planned
	// stop. A transfer takes two rounds of messages and syncs; half an election
	// timeout of open groups is allowed for them.
	leadershipTransferTimeout = 150 * time.Millisecond
	// stopMargin is the part of Settings.Grace that is kept for the end of the process.
	stopMargin = time.Second
	// maxProposalBytes is the size of the largest proposal. A section may have 1 MB.
	maxProposalBytes = 2 << 20
	// openGroupElectionTimeout and openGroupHeartbeatInterval are the times of the log
	// core in open groups, whose entry hosts have no other source of their state when
	// all hosts start at once. A sync on a disk that is 30 times slower than usual
	// stays below a third of the election timeout.
	openGroupElectionTimeout   = 300 * time.Millisecond
	openGroupHeartbeatInterval = 75 * time.Millisecond
)

// Server runs one control host. It is created by New.
type Server struct {
	// document is the routing document that was read last.
	document unpackedDocument
	// packing is held while a document is compressed.
	packing  sync.Mutex
	settings Settings
	log      *log.Logger
	// scope holds the metrics of the control host.
	scope tally.Scope
	// journal is this host's open data folder.
	journal *journaler.Journal
	// loop owns the log core and the state machine. Calls reach it through events.
	loop *loop
	// events is the bounded queue of the loop. loopStopped is closed when the loop has
	// ended.
	events      chan event
	loopStopped chan struct{}
	// draining makes the host refuse new calls. callsInFlight counts those that it has
	// accepted and not yet answered.
	draining      atomic.Bool
	callsInFlight atomic.Int64
	// memberAddresses holds the inner addresses of the members, the leader first. They
	// are sent to hosts that look for the group.
	memberAddresses atomic.Pointer[[]string]
	// knownHosts holds the addresses of the hosts of the system. Others get less room at the
	// inner address.
	knownHosts atomic.Pointer[container.Set[netip.Addr]]
	// leaderConns holds the connections on which requests are forwarded to the leader.
	leaderConns messenger.Conns
}

// New opens the data folder. An empty folder gets a new identity, under which the host
// waits to be added to a group. Errors are ErrSettings and those of the journal. After
// journaler.ErrDamaged the folder has to be emptied; the host is then added again
// under a new identity.
func New(settings Settings, logger *log.Logger, scope tally.Scope) (*Server, error) {
	if err := settings.normalize(); err != nil {
		return nil, err
	}
	s := &Server{
		settings:    settings,
		leaderConns: messenger.Conns{DialOptions: []grpc.DialOption{messenger.FromAddress(settings.Inner.Addr())}},
		log:         logger,
		scope:       scope.SubScope("control"),
		events:      make(chan event, eventQueueSize),
		loopStopped: make(chan struct{}),
	}
	journal, state, err := s.openJournal()
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

// openJournal opens the data folder. In an empty folder it first writes the initial
// state of the group if this host is one of the first voters, or else a new identity.
func (s *Server) openJournal() (*journaler.Journal, journaler.State, error) {
	journal, state, err := journaler.OpenOn(s.settings.fileSystem, s.settings.Data)
	if !errors.Is(err, journaler.ErrNoState) {
		return journal, state, err
	}
	if s.settings.isFirstVoter() {
		if err := initFirstVoters(s.settings); err != nil {
			return nil, state, err
		}
		s.log.Info("formed a group with the other seeds", "seeds", s.settings.Seeds)
		return journaler.OpenOn(s.settings.fileSystem, s.settings.Data)
	}
	id, err := journaler.CreateOn(s.settings.fileSystem, s.settings.Data)
	if err != nil {
		return nil, state, err
	}
	s.log.Info("created a new identity; waiting to be added to a group", "id", id)
	return journaler.OpenOn(s.settings.fileSystem, s.settings.Data)
}

// coreConfig returns the log core's configuration for a loaded state.
func coreConfig(settings Settings, state journaler.State, snapshot replicator.Snapshot) replicator.Config {
	config := replicator.Config{
		ID:              state.Identity,
		HardState:       replicator.HardState(state.HardState),
		Snapshot:        snapshot,
		Entries:         entriesFromRecords(state.Records),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), state.Identity)),
		MaxMessageBytes: maxProposalBytes,
	}
	if settings.isOpenGroup() {
		config.ElectionTimeout = openGroupElectionTimeout
		config.HeartbeatInterval = openGroupHeartbeatInterval
	}
	return config
}

// Run serves until ctx ends, which is no error. It returns an error when the host
// cannot listen on its inner address or when the durable state fails; the process must
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
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	s.loop.storeMemberAddresses = func(list []string) { s.memberAddresses.Store(&list) }
	s.loop.storeKnownHosts = func(set container.Set[netip.Addr]) { s.knownHosts.Store(&set) }
	listener = acceptor.NewHostListener(listener, acceptor.HostConfig{
		Limits: acceptor.ControlHostLimits(s.settings.MemoryBytes, s.settings.Files), IsHost: s.isHost, Log: s.log, Scope: s.scope,
	})
	s.loop.senders = &senders{
		hostName:    s.settings.Name,
		hostID:      s.journal.Identity(),
		dialOptions: s.settings.DialOptions,
		address:     s.settings.Inner,
		zone:        s.settings.Zone,
		handleReply: s.handleHelloReply,
		scope:       s.scope,
		ctx:         runCtx,
		running:     &group,
		peers:       map[netip.AddrPort]*sender{},
	}
	rpc := messenger.NewServer(append(acceptor.LimitCalls(), s.settings.ServerOptions...)...)
	messenger.RegisterControlServer(acceptor.CountCalls(rpc), &service{server: s})
	loopDone := make(chan error, 1)
	go func() {
		err := s.loop.run(runCtx, s.events)
		close(s.loopStopped)
		loopDone <- err
	}()
	serveDone := make(chan error, 1)
	go func() { serveDone <- rpc.Serve(listener) }()
	err := s.waitForStop(ctx, serveDone)
	rpc.Stop()
	cancel()
	group.Wait()
	s.leaderConns.Close()
	return errors.Join(err, <-loopDone, s.journal.Close())
}

// Status returns the same description of this host as the gRPC call Status. It is
// meant for the status page of the process.
func (s *Server) Status(ctx context.Context) (*messenger.StatusReply, error) {
	return (&service{server: s}).Status(ctx, &messenger.StatusRequest{})
}

// SetSeeds replaces the seeds after a change of the settings.
func (s *Server) SetSeeds(seeds []netip.AddrPort) {
	s.log.Info("settings reloaded", "seeds", seeds)
	select {
	case s.events <- func(l *loop) { l.settings.Seeds = seeds }:
	case <-s.loopStopped:
	}
}

// handleHelloReply passes the reply of the host at an address to a hello to the loop. It
// drops the reply when the queue is full.
func (s *Server) handleHelloReply(from netip.AddrPort, reply *messenger.ExchangeReply) {
	select {
	case s.events <- func(l *loop) {
		l.storeReportedHosts(reply.GetKnown())
		l.observeDeparture(from, reply.GetDeparture())
	}:
	default:
		s.scope.Counter("hellos_dropped").Inc(1)
	}
}

// waitForStop returns when the server has to stop: when ctx ends, after draining, when
// the loop has ended, or when serving ended, with the error from served.
func (s *Server) waitForStop(ctx context.Context, served <-chan error) error {
	select {
	case <-ctx.Done():
		stopBy := time.Now().Add(s.settings.Grace - stopMargin)
		s.drainCalls()
		s.handOverVote(stopBy)
		return nil
	case <-s.loopStopped:
		return nil
	case err := <-served:
		return errors.Wrap(err, "serve the inner address")
	}
}

// drainCalls refuses new calls, transfers leadership and waits for the calls in
// flight, for drainTimeout at most.
func (s *Server) drainCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	s.draining.Store(true)
	s.loop.senders.leaving.Store(true)
	s.transferLeadership(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.callsInFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
