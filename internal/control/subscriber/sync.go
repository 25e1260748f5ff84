package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
)

var (
	// errStale marks a reply that is older than what the host already knows.
	errStale = errors.New("reply is older than the state in force")
	// errIncomplete marks a reply that lacks what the host needs to be current.
	errIncomplete = errors.New("reply names a newer state and does not hold it")
)

// syncLoop keeps one request in flight at a time, so that replies come in the
// order of the requests.
func (s *Subscriber) syncLoop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.leaving:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		sent := s.round(ctx)
		if !wait(ctx, time.Until(sent.Add(interval))) {
			return
		}
	}
}

// round syncs once and returns when the answered request was sent.
func (s *Subscriber) round(ctx context.Context) time.Time {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	select {
	case <-s.leaving:
		return time.Now()
	default:
	}
	reply, sent, err := s.sync(ctx, false)
	if err == nil {
		err = s.adopt(reply, sent, time.Now())
	}
	if err != nil && ctx.Err() == nil {
		s.config.Log.Warn("sync failed", "err", err)
	}
	return sent
}

// sync asks until the leader answers. The time returned is that of the try
// that was answered: only that one was confirmed by the leader.
func (s *Subscriber) sync(ctx context.Context, leaving bool) (*messenger.SyncReply, time.Time, error) {
	var sent time.Time
	reply, err := ask(ctx, s.locator, func(ctx context.Context, c messenger.ControlClient) (*messenger.SyncReply, error) {
		request := s.request(leaving)
		sent = time.Now()
		return c.Sync(ctx, request)
	}, (*messenger.SyncReply).GetGranted)
	return reply, sent, err
}

func (s *Subscriber) request(leaving bool) *messenger.SyncRequest {
	state := s.State()
	progress := s.config.Progress()
	return &messenger.SyncRequest{
		Member:     s.config.Member.Message(),
		Adopted:    progress.Adopted,
		Released:   progress.Released,
		Revision:   state.Revision,
		Quarantine: state.QuarantineRevision,
		Leaving:    leaving,
	}
}

// adopt takes a reply over. A reply that does not bring the host up to date
// renews no lease: the lease says that the host acts on current state.
func (s *Subscriber) adopt(reply *messenger.SyncReply, sent, received time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.State()
	fresh, err := merge(old, reply, received)
	if err != nil {
		return err
	}
	if !fresh.sameAs(old) {
		s.state.Store(&fresh)
		if s.config.Changed != nil {
			s.config.Changed(fresh)
		}
	}
	s.extend(fresh, sent.Add(leaseOf(reply)))
	return nil
}

func (s *Subscriber) extend(state State, end time.Time) {
	if end.After(state.Lease) {
		state.Lease = end
	}
	s.state.Store(&state)
	select {
	case s.renewed <- struct{}{}:
	default:
	}
}

func leaseOf(reply *messenger.SyncReply) time.Duration {
	d := reply.GetLease().AsDuration()
	if d <= 0 {
		return Lease
	}
	return min(d, Lease)
}

// merge returns the state after a reply.
func merge(state State, reply *messenger.SyncReply, received time.Time) (State, error) {
	if reply.Revision < state.Revision || reply.Quarantine < state.QuarantineRevision {
		return state, errStale
	}
	if reply.View != nil && reply.View.Number < state.View.Number {
		return state, errStale
	}
	if reply.Revision > state.Revision {
		if len(reply.Document) == 0 {
			return state, errIncomplete
		}
		state.Revision, state.Document = reply.Revision, reply.Document
	}
	if reply.Quarantine > state.QuarantineRevision {
		if !reply.SuspectsSet {
			return state, errIncomplete
		}
		state.QuarantineRevision = reply.Quarantine
		state.Quarantine = quarantineOf(reply, received)
	}
	// Without a view the reply speaks of the one that the request named.
	if reply.View.GetNumber() > state.View.Number {
		view, err := assigner.ViewFromMessage(reply.View)
		if err != nil {
			return state, err
		}
		state.View = view
	}
	state.Settled = reply.Settled
	return state, nil
}

// expireLoop reports the end of a lease that was not renewed.
func (s *Subscriber) expireLoop(ctx context.Context) {
	var reported time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.leaving:
			return
		case <-s.renewed:
		}
		for s.State().Holds(time.Now()) {
			if !wait(ctx, time.Until(s.State().Lease)) {
				return
			}
		}
		// The signal may be one of a lease that was reported already.
		lease := s.State().Lease
		if lease.Equal(reported) || lease.IsZero() {
			continue
		}
		reported = lease
		s.config.Log.Warn("lease ended")
		if s.config.Expired != nil {
			s.config.Expired()
		}
	}
}

// Leave takes the host out of the view and gives up its lease. It is called
// when nothing is in flight any more. It returns an error when no leader
// confirmed it before ctx ended; the host then leaves the view by silence.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.leave.Do(func() { close(s.leaving) })
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the last sync")
	}
	s.mu.Lock()
	state := s.State()
	state.Lease = time.Time{}
	s.state.Store(&state)
	s.mu.Unlock()
	if _, _, err := s.sync(ctx, true); err != nil {
		return errors.Wrap(err, "leave the view")
	}
	return nil
}
