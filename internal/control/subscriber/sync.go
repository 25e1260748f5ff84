package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
)

var (
	// errStaleReply is returned for a reply that is older than the host's state.
	errStaleReply = errors.New("reply is older than the state in force")
	// errIncompleteReply is returned for a reply with a newer revision but without
	// the document or list of that revision.
	errIncompleteReply = errors.New("reply names a newer revision but lacks its contents")
)

// syncLoop sends sync requests until ctx ends or the host leaves. Only one is in
// flight at a time, so that replies arrive in the order of the requests.
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
		sent := s.syncOnce(ctx)
		if !wait(ctx, time.Until(sent.Add(syncInterval))) {
			return
		}
	}
}

// syncOnce syncs once and returns the time at which the answered request was sent.
func (s *Subscriber) syncOnce(ctx context.Context) time.Time {
	s.syncSlot <- struct{}{}
	defer func() { <-s.syncSlot }()
	select {
	case <-s.leaving:
		return time.Now()
	default:
	}
	reply, sent, err := s.requestSync(ctx, false)
	if err == nil {
		err = s.applySyncReply(reply, sent, time.Now())
	}
	if err != nil && ctx.Err() == nil {
		s.config.Log.Warn("sync with the control leader failed", "err", err)
	}
	return sent
}

// requestSync repeats a sync request until the leader answers. It returns the time
// of the attempt that was answered, because the leader confirmed only that one.
func (s *Subscriber) requestSync(ctx context.Context, leaving bool) (*messenger.SyncReply, time.Time, error) {
	var sent time.Time
	reply, err := askLeader(ctx, s.locator, func(ctx context.Context, c messenger.ControlClient) (*messenger.SyncReply, error) {
		request := s.newSyncRequest(leaving)
		sent = time.Now()
		return c.Sync(ctx, request)
	}, (*messenger.SyncReply).GetGranted)
	return reply, sent, err
}

// newSyncRequest returns a sync request with the revisions and the progress of this
// host as they are now. With leaving, it asks to be removed from the view.
func (s *Subscriber) newSyncRequest(leaving bool) *messenger.SyncRequest {
	state := s.State()
	progress := s.config.Progress()
	return &messenger.SyncRequest{
		Member:     s.config.Member.Message(),
		Adopted:    progress.Adopted,
		Released:   progress.Released,
		Revision:   state.ConfigRevision,
		Quarantine: state.QuarantineRevision,
		Leaving:    leaving,
	}
}

// applySyncReply replaces the state with that of a reply and renews the lease. A
// reply that does not bring the host up to date does not renew the lease: a lease
// means that the host acts on the current state.
func (s *Subscriber) applySyncReply(reply *messenger.SyncReply, sent, received time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.State()
	fresh, err := mergeSyncReply(old, reply, received)
	if err != nil {
		return err
	}
	if !fresh.equalExceptLease(old) {
		s.state.Store(&fresh)
		if s.config.OnChange != nil {
			s.config.OnChange(fresh)
		}
	}
	s.extendLease(fresh, sent.Add(leaseDuration(reply)))
	return nil
}

// extendLease stores a state, with the lease extended to end if that is later.
func (s *Subscriber) extendLease(state State, end time.Time) {
	if end.After(state.LeaseEnd) {
		state.LeaseEnd = end
	}
	s.state.Store(&state)
	select {
	case s.renewed <- struct{}{}:
	default:
	}
}

// leaseDuration returns the duration of the lease that a reply grants, at most
// MaxLease. A reply without a duration grants MaxLease.
func leaseDuration(reply *messenger.SyncReply) time.Duration {
	d := reply.GetLease().AsDuration()
	if d <= 0 {
		return MaxLease
	}
	return min(d, MaxLease)
}

// mergeSyncReply returns the state updated by a reply, or an error if the reply is
// stale, incomplete or invalid.
func mergeSyncReply(state State, reply *messenger.SyncReply, received time.Time) (State, error) {
	if reply.Revision < state.ConfigRevision || reply.Quarantine < state.QuarantineRevision {
		return state, errStaleReply
	}
	if reply.View != nil && reply.View.Number < state.View.Number {
		return state, errStaleReply
	}
	if reply.Revision > state.ConfigRevision {
		if len(reply.Document) == 0 {
			return state, errIncompleteReply
		}
		state.ConfigRevision, state.ConfigDocument = reply.Revision, reply.Document
	}
	if reply.Quarantine > state.QuarantineRevision {
		if !reply.SuspectsSet {
			return state, errIncompleteReply
		}
		state.QuarantineRevision = reply.Quarantine
		state.Quarantine = newQuarantineList(reply, received)
	}
	// A reply without a view refers to the view that the request named.
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

// expireLoop calls Config.OnLeaseExpired for each lease that ends without renewal.
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
		for s.State().LeaseCovers(time.Now()) {
			if !wait(ctx, time.Until(s.State().LeaseEnd)) {
				return
			}
		}
		// The signal may belong to a lease whose end was already reported.
		lease := s.State().LeaseEnd
		if lease.Equal(reported) || lease.IsZero() {
			continue
		}
		reported = lease
		s.config.Log.Warn("lease expired without renewal")
		if s.config.OnLeaseExpired != nil {
			s.config.OnLeaseExpired()
		}
	}
}

// Leave removes the host from the view and gives up its lease. It must be called
// only when no requests are in flight. It returns an error if no leader confirmed the
// removal before ctx ended; the leader then removes the host because of its silence.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.leaveOnce.Do(func() { close(s.leaving) })
	select {
	case s.syncSlot <- struct{}{}:
		defer func() { <-s.syncSlot }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the sync in flight")
	}
	s.mu.Lock()
	state := s.State()
	state.LeaseEnd = time.Time{}
	s.state.Store(&state)
	s.mu.Unlock()
	if _, _, err := s.requestSync(ctx, true); err != nil {
		return errors.Wrap(err, "leave the view")
	}
	return nil
}
