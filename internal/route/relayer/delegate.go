package relayer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// hopTime is the time that a request and its answer spend between two hosts.
const hopTime = 4 * time.Millisecond

// uncountedBytes is the size up to which the answer of another host needs no memory of the
// allowance.
const uncountedBytes = 2 << 10

// ErrNotTaken means that no other host took a request. It has not run and will not.
var ErrNotTaken = errors.New("no other host took the request")

// Delegator hands requests over to other entry hosts.
type Delegator interface {
	// Delegate hands a request over and returns the final answer to it. The error wraps
	// ErrNotTaken if no host took it; after any other error the request may have run.
	Delegate(ctx context.Context, r Request) (Answer, error)
}

// serve answers the request, through another host if this one cannot reach the backend
// servers. That is decided before anything was sent, or when nothing that was sent has
// left this host, so that the other host has all attempts and the whole budget.
func (q *query) serve(ctx context.Context, request *Request) Answer {
	asked := false
	if q.cutOff() {
		asked = true
		if a, ok := q.delegate(ctx, request); ok {
			return a
		}
	}
	a := q.run(ctx)
	if !q.serversUnreachable(a) {
		return a
	}
	if request.Delegated {
		// The host that handed the request over may ask another one.
		a.Reason = NoServer
	}
	if asked {
		return a
	}
	if delegated, ok := q.delegate(ctx, request); ok {
		return delegated
	}
	return a
}

// cutOff reports whether this host has lost its links to the backend servers.
func (q *query) cutOff() bool {
	q.relayer.mu.Lock()
	defer q.relayer.mu.Unlock()
	return q.relayer.checkLinks(time.Now())
}

// serversUnreachable reports whether the answer is a failure to reach servers that check in with
// the control hosts, and no server has received the request.
func (q *query) serversUnreachable(a Answer) bool {
	switch a.Reason {
	case NoServer:
		return q.unreachableShards > 0
	case Shed:
		return !q.received && slices.ContainsFunc(q.shards, func(s shardState) bool {
			return s.noMoreSends && q.hasReadyServer(s.service)
		})
	}
	return false
}

// delegate hands the request over. It reports false if no host took it, or if it has been
// handed over before: a request passes through two hosts at most.
func (q *query) delegate(ctx context.Context, request *Request) (Answer, bool) {
	d := q.relayer.config.Delegator
	if d == nil || request.Delegated {
		return Answer{}, false
	}
	r := *request
	r.Table, r.Counted = q.table.Version, q.counted
	r.Deadline = q.deadline
	r.MayHandOverTo = q.allowsHost
	if q.account != nil {
		r.Account = q.account.Name
	}
	r.TransitTime = cmp.Or(r.TransitTime, q.relayer.config.TransitTime) + hopTime
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-q.relayer.stopped:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	a, err := d.Delegate(ctx, r)
	switch {
	case err == nil:
		q.delegated = true
		return q.countDelegated(q.confirmDelegated(a)), true
	case errors.Is(err, ErrNotTaken):
		return Answer{}, false
	case errors.Is(context.Cause(ctx), context.Canceled):
		return Answer{Reason: ClientLeft}, true
	case ctx.Err() != nil:
		return Answer{Reason: TimedOut}, true
	}
	return Answer{Reason: Broken}, true
}

// confirmDelegated returns the answer of another host, unless it is that of a server whose
// status promises that the request has not run. Only hosts of earlier versions pass such an
// answer on.
func (q *query) confirmDelegated(a Answer) Answer {
	if a.Reason == Served && q.relayer.config.Codec.Decode(a.Status, a.Header).PromisesNotRun {
		a.Release()
		return Answer{Reason: Unconfirmed}
	}
	return a
}

// countDelegated counts the answer of another host in the memory for answers, until it is
// written. One for which there is no room is dropped; the request may have run.
func (q *query) countDelegated(a Answer) Answer {
	if a.Reason != Served || len(a.Body) <= uncountedBytes {
		return a
	}
	if err := q.request.Allowance.Take(int64(len(a.Body))); err != nil {
		q.relayer.config.Scope.Counter("answers_without_memory").Inc(1)
		q.relayer.config.Log.Info("no memory for the answer of another host", "request", q.id, "bytes", len(a.Body), "err", err)
		return Answer{Reason: Broken}
	}
	return a
}
