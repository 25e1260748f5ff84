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
	"gentianpond/internal/protocol/messenger"
)

// callLimit bounds a call whose caller set no deadline.
const callLimit = 10 * time.Second

// Errors of calls. All but errLost mean that the request changed nothing.
var (
	errLost     = status.Error(codes.Aborted, "the leader changed; whether the request took effect is unknown")
	errInvalid  = status.Error(codes.InvalidArgument, "invalid request")
	errDraining = status.Error(codes.Unavailable, "this host is stopping")
	// errStopped may follow a request that takes effect later.
	errStopped = status.Error(codes.Aborted, "this host has stopped; whether the request took effect is unknown")
)

func timestamp() *timestamppb.Timestamp { return timestamppb.Now() }

// service is the grpc side of a server.
type service struct {
	messenger.UnimplementedControlServer
	server *Server
}

// ask runs start in the loop and waits for done.
func ask[T any](ctx context.Context, s *Server, start func(l *loop, done func(T, error))) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if s.draining.Load() {
		return zero, errDraining
	}
	s.calls.Add(1)
	defer s.calls.Add(-1)
	reply := make(chan outcome, 1)
	work := func(l *loop) {
		if ctx.Err() == nil {
			start(l, func(v T, err error) {
				select {
				case reply <- outcome{v, err}:
				default: // a second answer must not block the loop
				}
			})
		}
	}
	select {
	case s.queue <- work:
	case <-ctx.Done():
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-s.stopped:
		return zero, errDraining
	}
	select {
	case o := <-reply:
		return o.value, o.err
	case <-ctx.Done():
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-s.stopped:
		return zero, errStopped
	}
}

// proposeError gives the log core's errors a grpc code.
func proposeError(err error) error {
	switch {
	case errors.Is(err, replicator.ErrBusy):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, replicator.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return err
}

// Exchange takes messages of the replicated log. They are dropped when the
// queue is full or when they are meant for another id.
func (s *service) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	select {
	case s.server.queue <- func(l *loop) { l.exchange(r) }:
	default:
		s.server.scope.Counter("exchanges_dropped").Inc(1)
	}
	reply := &messenger.ExchangeReply{}
	if len(r.GetMessages()) == 0 {
		if known := s.server.known.Load(); known != nil {
			reply.Known = *known
		}
	}
	return reply, nil
}

func (l *loop) exchange(r *messenger.ExchangeRequest) {
	l.noteHello(r)
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
			l.failure = errors.Join(l.failure, err)
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
	return ask(ctx, s.server, func(l *loop, done func(*messenger.SyncReply, error)) { l.sync(r, done) })
}

func (l *loop) sync(r *messenger.SyncRequest, done func(*messenger.SyncReply, error)) {
	if !l.leads() {
		done(&messenger.SyncReply{Leader: l.leader()}, nil)
		return
	}
	if r.GetLeaving() {
		l.leave(r, done)
		return
	}
	l.roster.note(l.now(), r)
	l.confirm(func(confirmed bool) {
		if !confirmed {
			done(&messenger.SyncReply{Leader: l.leader()}, nil)
			return
		}
		reply := l.keeper.Sync(r, time.Now())
		view := l.keeper.View()
		reply.Settled = l.roster.settled(view)
		if l.roster.grants(view, r.GetMember()) {
			reply.Granted = true
			reply.Lease = durationpb.New(lease)
		}
		done(reply, nil)
	})
}

// leave answers once the host is out of the view.
func (l *loop) leave(r *messenger.SyncRequest, done func(*messenger.SyncReply, error)) {
	c := &messenger.ViewChange{Leave: []*messenger.Member{r.GetMember()}}
	l.roster.leave(r.GetMember())
	l.propose(&messenger.Command{Action: &messenger.Command_View{View: c}}, func(_ keeper.Result, err error) {
		l.logView(c, err)
		if err != nil {
			done(nil, proposeError(err))
			return
		}
		reply := l.keeper.Sync(r, time.Now())
		reply.Granted = true
		done(reply, nil)
	})
}

// Change replaces a section of the configuration.
func (s *service) Change(ctx context.Context, r *messenger.ChangeRequest) (*messenger.ChangeReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.ChangeReply, error)) { l.change(r, done) })
}

func (l *loop) change(r *messenger.ChangeRequest, done func(*messenger.ChangeReply, error)) {
	l.confirm(func(confirmed bool) {
		if !confirmed {
			done(&messenger.ChangeReply{Leader: l.leader(), Code: keeper.CodeUnavailable}, nil)
			return
		}
		if reply, ok := l.keeper.Preview(r); ok {
			done(reply, nil)
			return
		}
		l.propose(&messenger.Command{Action: &messenger.Command_Change{Change: r}}, func(result keeper.Result, err error) {
			if errors.Is(err, replicator.ErrNotLeader) {
				done(&messenger.ChangeReply{Leader: l.leader(), Code: keeper.CodeUnavailable}, nil)
				return
			}
			done(result.Change, proposeError(err))
		})
	})
}

// Show returns the configuration in force.
func (s *service) Show(ctx context.Context, _ *messenger.ShowRequest) (*messenger.ShowReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.ShowReply, error)) {
		l.confirm(func(confirmed bool) {
			if !confirmed {
				done(&messenger.ShowReply{Leader: l.leader()}, nil)
				return
			}
			done(&messenger.ShowReply{
				Granted:  true,
				Revision: l.keeper.Revision(),
				Sections: l.keeper.Sections(),
				History:  l.keeper.History(),
			}, nil)
		})
	})
}

// Status describes this host; the leader also describes the others, after
// read confirmation.
func (s *service) Status(ctx context.Context, _ *messenger.StatusRequest) (*messenger.StatusReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.StatusReply, error)) {
		l.confirm(func(confirmed bool) { done(l.describe(confirmed), nil) })
	})
}

// describe returns this host's status. Only a confirmed leader knows the
// progress of the others and the entry hosts.
func (l *loop) describe(confirmed bool) *messenger.StatusReply {
	status := l.core.Status()
	view := l.keeper.View()
	reply := &messenger.StatusReply{
		Host:     l.settings.Name,
		Leader:   l.leader(),
		Role:     status.Role.String(),
		Term:     status.Term,
		Commit:   status.CommitIndex,
		Applied:  status.AppliedIndex,
		Revision: l.keeper.Revision(),
		View:     view.GetNumber(),
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
		l.describeEntries(reply, view)
	}
	return reply
}

func (l *loop) describeEntries(reply *messenger.StatusReply, view *messenger.View) {
	reply.Settled = l.roster.settled(view)
	for _, m := range view.GetMembers() {
		e := &messenger.EntryStatus{Member: m, Silent: durationpb.New(l.roster.silence(l.now(), m))}
		if h := l.roster.find(m); h != nil {
			e.Adopted, e.Released, e.Revision = h.adopted, h.released, h.revision
		}
		reply.Entries = append(reply.Entries, e)
	}
	if l.repair != "" {
		reply.Repairs = []string{l.repair}
	}
}

// Reserve records the intent to run an order.
func (s *service) Reserve(ctx context.Context, r *messenger.ReserveRequest) (*messenger.OrderReply, error) {
	return s.order(ctx, &messenger.Command{Action: &messenger.Command_Reserve{Reserve: r}})
}

// Complete records the outcome of an order.
func (s *service) Complete(ctx context.Context, r *messenger.CompleteRequest) (*messenger.OrderReply, error) {
	return s.order(ctx, &messenger.Command{Action: &messenger.Command_Complete{Complete: r}})
}

func (s *service) order(ctx context.Context, c *messenger.Command) (*messenger.OrderReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.OrderReply, error)) {
		l.propose(c, func(result keeper.Result, err error) {
			if errors.Is(err, replicator.ErrNotLeader) {
				done(&messenger.OrderReply{Leader: l.leader()}, nil)
				return
			}
			done(result.Order, proposeError(err))
		})
	})
}

// Suspect records reports of crashes and of isolated runs.
func (s *service) Suspect(ctx context.Context, r *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	return s.quarantine(ctx, &messenger.Command{Action: &messenger.Command_Suspect{Suspect: r}})
}

// Release lists suspicions, or changes one for an operator.
func (s *service) Release(ctx context.Context, r *messenger.ReleaseRequest) (*messenger.SuspectReply, error) {
	switch r.GetAction() {
	case "clear", "pin":
		return s.quarantine(ctx, &messenger.Command{Action: &messenger.Command_Release{Release: r}})
	case "list":
		return s.suspects(ctx)
	}
	return nil, status.Errorf(codes.InvalidArgument, "action %q is not list, clear or pin", r.GetAction())
}

func (s *service) quarantine(ctx context.Context, c *messenger.Command) (*messenger.SuspectReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.SuspectReply, error)) {
		l.propose(c, func(_ keeper.Result, err error) {
			switch {
			case errors.Is(err, replicator.ErrNotLeader):
				done(&messenger.SuspectReply{Leader: l.leader()}, nil)
			case err != nil:
				done(nil, proposeError(err))
			default:
				done(l.suspects(), nil)
			}
		})
	})
}

func (s *service) suspects(ctx context.Context) (*messenger.SuspectReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.SuspectReply, error)) {
		l.confirm(func(confirmed bool) {
			if !confirmed {
				done(&messenger.SuspectReply{Leader: l.leader()}, nil)
				return
			}
			done(l.suspects(), nil)
		})
	})
}

func (l *loop) suspects() *messenger.SuspectReply {
	return &messenger.SuspectReply{Granted: true, Quarantine: l.keeper.Quarantine(), Suspects: l.keeper.Suspects()}
}

// Publish stores a routing document.
func (s *service) Publish(ctx context.Context, r *messenger.PublishRequest) (*messenger.PublishReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.PublishReply, error)) { l.publish(r, done) })
}

// Read returns the routing document in force.
func (s *service) Read(ctx context.Context, _ *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.ReadReply, error)) { l.readRouting(done) })
}

// Register takes a check-in of a backend server.
func (s *service) Register(ctx context.Context, r *messenger.RegisterRequest) (*messenger.RegisterReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.RegisterReply, error)) { l.register(r, done) })
}

// Watch brings an entry host up to date.
func (s *service) Watch(ctx context.Context, r *messenger.WatchRequest) (*messenger.WatchReply, error) {
	return ask(ctx, s.server, func(l *loop, done func(*messenger.WatchReply, error)) { l.watch(r, done) })
}
