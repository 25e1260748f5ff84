package server

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/protocol/messenger"
)

// callTimeout bounds a call whose caller set no deadline.
const callTimeout = 10 * time.Second

// Errors of calls. After errLeaderChanged and errStopped the request may still take
// effect; the others mean that it changed nothing.
var (
	errLeaderChanged = status.Error(codes.Aborted, "the leader changed; whether the request took effect is unknown")
	errInvalid       = status.Error(codes.InvalidArgument, "invalid request")
	errDraining      = status.Error(codes.Unavailable, "this host is stopping")
	// errNotOffered is the error of calls for the configuration and the orders of listed hosts. An
	// open group has neither, and must not spend memory and time on them.
	errNotOffered = status.Error(codes.Unimplemented, "this group keeps no configuration and no orders")
	errStopped    = status.Error(codes.Aborted, "this host has stopped; whether the request took effect is unknown")
)

// timestamp returns this host's wall clock time.
func timestamp() *timestamppb.Timestamp { return timestamppb.Now() }

// service implements the gRPC service Control on a server.
type service struct {
	messenger.UnimplementedControlServer
	server *Server
}

// runInLoop runs start in the loop and waits until it calls done, ctx ends or the loop
// stops.
func runInLoop[T any](ctx context.Context, s *Server, start func(l *loop, done func(T, error))) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.draining.Load() {
		return zero, errDraining
	}
	s.callsInFlight.Add(1)
	defer s.callsInFlight.Add(-1)
	reply := make(chan outcome, 1)
	// The request waits in the queue also after the call has timed out.
	release := acceptor.Keep(ctx)
	work := func(l *loop) {
		defer release()
		if ctx.Err() == nil {
			start(l, func(v T, err error) {
				select {
				case reply <- outcome{v, err}:
				default: // a second reply must not block the loop
				}
			})
		}
	}
	select {
	case s.events <- work:
	case <-ctx.Done():
		release()
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-s.loopStopped:
		release()
		return zero, errDraining
	}
	select {
	case o := <-reply:
		return o.value, o.err
	case <-ctx.Done():
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-s.loopStopped:
		return zero, errStopped
	}
}

// proposalStatus adds a gRPC code to errors of the log core.
func proposalStatus(err error) error {
	switch {
	case errors.Is(err, replicator.ErrBusy):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, replicator.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return err
}

// Exchange passes messages of the replicated log to the loop, and replies to a hello
// with the members' addresses and, if the sender is about to stop, whether it may end.
// Messages are dropped when the queue is full or when they are addressed to another id.
func (s *service) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	isHello := len(r.GetMessages()) == 0
	departure := make(chan messenger.Departure, 1)
	release := acceptor.Keep(ctx)
	select {
	case s.server.events <- func(l *loop) {
		defer release()
		l.handleExchange(r)
		if isHello && r.GetLeaving() {
			departure <- l.checkDeparture(r.GetFromIncarnation())
		}
	}:
	default:
		release()
		s.server.scope.Counter("exchanges_dropped").Inc(1)
		return &messenger.ExchangeReply{Departure: messenger.Departure_DEPARTURE_UNKNOWN}, nil
	}
	reply := &messenger.ExchangeReply{}
	if !isHello {
		return reply, nil
	}
	if known := s.server.memberAddresses.Load(); known != nil {
		reply.Known = *known
	}
	if r.GetLeaving() {
		reply.Departure = messenger.Departure_DEPARTURE_UNKNOWN
		select {
		case reply.Departure = <-departure:
		case <-ctx.Done():
		case <-s.server.loopStopped:
		}
	}
	return reply, nil
}

// handleExchange records the sender and passes the messages that are addressed to this
// host's id to the core. It counts the others as refused.
func (l *loop) handleExchange(r *messenger.ExchangeRequest) {
	l.recordHello(r)
	l.recordFormat(r)
	for _, w := range r.GetMessages() {
		if r.GetToIncarnation() != l.status.ID {
			l.scope.Counter("messages_refused").Inc(1)
			continue
		}
		m, err := replicator.FromWire(r.GetFromIncarnation(), r.GetToIncarnation(), w)
		if err == nil {
			err = l.core.Step(l.now(), m)
		}
		if errors.Is(err, replicator.ErrCorrupt) {
			l.fatalErr = errors.Join(l.fatalErr, err)
			return
		}
		if err != nil {
			l.scope.Counter("messages_refused").Inc(1)
		}
	}
}

// Sync renews the lease of an entry host.
func (s *service) Sync(ctx context.Context, r *messenger.SyncRequest) (*messenger.SyncReply, error) {
	if r.GetMember().GetName() == "" {
		return nil, errInvalid
	}
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.SyncReply, error)) { l.handleSync(r, done) })
}

// handleSync records a sync request and replies with a lease if the host may hold one,
// after read confirmation.
func (l *loop) handleSync(r *messenger.SyncRequest, done func(*messenger.SyncReply, error)) {
	if !l.isLeader() {
		done(&messenger.SyncReply{Leader: l.leaderAddress()}, nil)
		return
	}
	if r.GetLeaving() {
		l.removeLeaving(r, done)
		return
	}
	l.entryHosts.recordSync(l.now(), r)
	l.confirmLeadership(func(confirmed bool) {
		if !confirmed {
			done(&messenger.SyncReply{Leader: l.leaderAddress()}, nil)
			return
		}
		reply := l.keeper.SyncReply(r, time.Now())
		view := l.keeper.View()
		reply.Settled = l.entryHosts.isSettled(view)
		if l.entryHosts.mayHoldLease(view, r.GetMember()) {
			reply.Granted = true
			reply.Lease = durationpb.New(leaseDuration)
		}
		done(reply, nil)
	})
}

// removeLeaving removes a host that leaves from the view and replies once it is out.
func (l *loop) removeLeaving(r *messenger.SyncRequest, done func(*messenger.SyncReply, error)) {
	c := &messenger.ViewChange{Leave: []*messenger.Member{r.GetMember()}}
	l.entryHosts.markLeaving(r.GetMember())
	l.propose(&messenger.Command{Action: &messenger.Command_View{View: c}}, func(_ keeper.Result, err error) {
		l.logViewChange(c, err)
		if err != nil {
			done(nil, proposalStatus(err))
			return
		}
		reply := l.keeper.SyncReply(r, time.Now())
		reply.Granted = true
		done(reply, nil)
	})
}

// Change replaces a section of the configuration.
func (s *service) Change(ctx context.Context, r *messenger.ChangeRequest) (*messenger.ChangeReply, error) {
	if s.server.settings.isOpenGroup() {
		return nil, errNotOffered
	}
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.ChangeReply, error)) { l.handleChange(r, done) })
}

// handleChange replies to a request to change the configuration, after read
// confirmation. It proposes a change only if the reply depends on the log.
func (l *loop) handleChange(r *messenger.ChangeRequest, done func(*messenger.ChangeReply, error)) {
	l.confirmLeadership(func(confirmed bool) {
		if !confirmed {
			done(&messenger.ChangeReply{Leader: l.leaderAddress(), Code: keeper.CodeUnavailable}, nil)
			return
		}
		if reply, ok := l.keeper.FinalReply(r); ok {
			done(reply, nil)
			return
		}
		l.propose(&messenger.Command{Action: &messenger.Command_Change{Change: r}}, func(result keeper.Result, err error) {
			if errors.Is(err, replicator.ErrNotLeader) {
				done(&messenger.ChangeReply{Leader: l.leaderAddress(), Code: keeper.CodeUnavailable}, nil)
				return
			}
			done(result.ChangeReply, proposalStatus(err))
		})
	})
}

// Show returns the configuration in force.
func (s *service) Show(ctx context.Context, _ *messenger.ShowRequest) (*messenger.ShowReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.ShowReply, error)) {
		l.confirmLeadership(func(confirmed bool) {
			if !confirmed {
				done(&messenger.ShowReply{Leader: l.leaderAddress()}, nil)
				return
			}
			done(&messenger.ShowReply{
				Granted:  true,
				Revision: l.keeper.ConfigRevision(),
				Sections: l.keeper.ConfigSections(),
				History:  l.keeper.ChangeHistory(),
			}, nil)
		})
	})
}

// Status describes this host. The leader also describes the others, after read
// confirmation.
func (s *service) Status(ctx context.Context, _ *messenger.StatusRequest) (*messenger.StatusReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.StatusReply, error)) {
		l.confirmLeadership(func(confirmed bool) { done(l.statusReply(confirmed), nil) })
	})
}

// statusReply returns this host's status. Only a confirmed leader knows the progress
// of the others and the entry hosts.
func (l *loop) statusReply(confirmed bool) *messenger.StatusReply {
	status := l.core.Status()
	view := l.keeper.View()
	reply := &messenger.StatusReply{
		Host:     l.settings.Name,
		Leader:   l.leaderAddress(),
		Role:     status.Role.String(),
		Term:     status.Term,
		Commit:   status.CommitIndex,
		Applied:  status.AppliedIndex,
		Revision: l.keeper.ConfigRevision(),
		View:     view.GetNumber(),

		Evacuated: l.keeper.EvacuatedZones(),
	}
	if len(status.Members) == 0 {
		reply.Role = roleWaiting
	}
	for _, m := range status.Members {
		v := &messenger.VoterStatus{Name: m.Name, Address: m.Address.String(), Zone: m.Zone, Voter: m.Voter, Incarnation: m.ID}
		if confirmed {
			v.Match = m.MatchIndex
			v.Silent = durationpb.New(m.Silence)
		}
		reply.Voters = append(reply.Voters, v)
	}
	if confirmed {
		l.addEntryStatuses(reply, view)
	}
	return reply
}

// addEntryStatuses adds to reply what only the leader knows: whether the view is
// settled, the state of each entry host in it, rate limits, suspicions and the current repair.
func (l *loop) addEntryStatuses(reply *messenger.StatusReply, view *messenger.View) {
	reply.Settled = l.entryHosts.isSettled(view)
	for _, m := range view.GetMembers() {
		e := &messenger.EntryStatus{Member: m, Silent: durationpb.New(l.entryHosts.silenceOf(l.now(), m))}
		if h := l.entryHosts.processOf(m); h != nil {
			e.Adopted, e.Released, e.Revision = h.adoptedView, h.releasedView, h.configRevision
		}
		reply.Entries = append(reply.Entries, e)
	}
	for _, m := range l.limits.changesSince(l.now(), l.keeper.Registry(), 0) {
		if m.GetRate() > 0 {
			reply.Limits = append(reply.Limits, m)
		}
	}
	reply.Suspects = l.keeper.RouteSuspicions()
	if l.repairReason != "" {
		reply.Repairs = []string{l.repairReason}
	}
}

// Reserve asks the order ledger to grant an attempt to run an order.
func (s *service) Reserve(ctx context.Context, r *messenger.ReserveRequest) (*messenger.OrderReply, error) {
	return s.proposeOrder(ctx, &messenger.Command{Action: &messenger.Command_Reserve{Reserve: r}})
}

// Complete records the outcome of an attempt to run an order.
func (s *service) Complete(ctx context.Context, r *messenger.CompleteRequest) (*messenger.OrderReply, error) {
	return s.proposeOrder(ctx, &messenger.Command{Action: &messenger.Command_Complete{Complete: r}})
}

// proposeOrder commits a command on an order and returns the result.
func (s *service) proposeOrder(ctx context.Context, c *messenger.Command) (*messenger.OrderReply, error) {
	if s.server.settings.isOpenGroup() {
		return nil, errNotOffered
	}
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.OrderReply, error)) {
		l.propose(c, func(result keeper.Result, err error) {
			if errors.Is(err, replicator.ErrNotLeader) {
				done(&messenger.OrderReply{Leader: l.leaderAddress()}, nil)
				return
			}
			done(result.OrderReply, proposalStatus(err))
		})
	})
}

// Suspect passes reports of crashes and of isolated runs to the quarantine, and takes
// servers that are about to stop out of service.
func (s *service) Suspect(ctx context.Context, r *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	if len(r.GetLeaving()) > 0 {
		reply, err := runInLoop(ctx, s.server, func(l *loop, done func(*messenger.SuspectReply, error)) { l.markLeaving(r.GetLeaving(), done) })
		if err != nil || !reply.GetGranted() || len(r.GetObservations())+len(r.GetRoutes()) == 0 {
			return reply, err
		}
	}
	c := &messenger.SuspectRequest{Observations: r.GetObservations(), Routes: r.GetRoutes()}
	return s.proposeQuarantineChange(ctx, &messenger.Command{Action: &messenger.Command_Suspect{Suspect: c}})
}

// Release lists suspicions, or changes one for an operator.
func (s *service) Release(ctx context.Context, r *messenger.ReleaseRequest) (*messenger.SuspectReply, error) {
	switch r.GetAction() {
	case "clear", "pin", "pinroute":
		return s.proposeQuarantineChange(ctx, &messenger.Command{Action: &messenger.Command_Release{Release: r}})
	case "list":
		return s.listSuspects(ctx)
	}
	return nil, status.Errorf(codes.InvalidArgument, "action %q is not list, clear, pin or pinroute", r.GetAction())
}

// proposeQuarantineChange commits a command on the quarantine and returns the suspects
// after it.
func (s *service) proposeQuarantineChange(ctx context.Context, c *messenger.Command) (*messenger.SuspectReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.SuspectReply, error)) {
		l.propose(c, func(_ keeper.Result, err error) {
			switch {
			case errors.Is(err, replicator.ErrNotLeader):
				done(&messenger.SuspectReply{Leader: l.leaderAddress()}, nil)
			case err != nil:
				done(nil, proposalStatus(err))
			default:
				done(l.suspectReply(), nil)
			}
		})
	})
}

// listSuspects returns the quarantine settings and suspects, after read confirmation.
func (s *service) listSuspects(ctx context.Context) (*messenger.SuspectReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.SuspectReply, error)) {
		l.confirmLeadership(func(confirmed bool) {
			if !confirmed {
				done(&messenger.SuspectReply{Leader: l.leaderAddress()}, nil)
				return
			}
			done(l.suspectReply(), nil)
		})
	})
}

// suspectReply returns the revision of the quarantine list and all suspicions.
func (l *loop) suspectReply() *messenger.SuspectReply {
	return &messenger.SuspectReply{Granted: true, Quarantine: l.keeper.QuarantineRevision(),
		Suspects: append(l.keeper.Suspicions(), l.keeper.RouteSuspicions()...)}
}

// Publish stores a routing document.
func (s *service) Publish(ctx context.Context, r *messenger.PublishRequest) (*messenger.PublishReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.PublishReply, error)) { l.publishRouting(r, done) })
}

// Read returns the routing document in force.
func (s *service) Read(ctx context.Context, _ *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.ReadReply, error)) { l.readRouting(done) })
}

// Register handles a check-in of a backend server.
func (s *service) Register(ctx context.Context, r *messenger.RegisterRequest) (*messenger.RegisterReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.RegisterReply, error)) { l.handleCheckIn(r, done) })
}

// Watch sends an entry host the changes that it lacks, and waits for some if there are
// none.
func (s *service) Watch(ctx context.Context, r *messenger.WatchRequest) (*messenger.WatchReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.WatchReply, error)) { l.handleWatch(r, done) })
}
