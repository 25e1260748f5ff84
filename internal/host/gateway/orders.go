package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/order/executor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/search/limiter"
)

// orderAnswerCost is the number of times that the answer to an order is held: it is encoded
// once more for the caller.
const orderAnswerCost = 2

// orderDispatcher is the executor's Dispatcher. It sends each order to the entry host
// that owns the backend server.
type orderDispatcher struct{ *Gateway }

// Choose chooses the backend server for an order. The hash of key decides the shard.
func (o orderDispatcher) Choose(archive, key string) (executor.Target, error) {
	b, snapshot, shard, err := o.coordinator.ChooseReplica(archive, key)
	return executor.Target{Server: b.Name, Incarnation: b.Incarnation, Snapshot: snapshot, Shard: shard}, err
}

// Run sends one order to the owner of its backend server, once. The answer is counted in the
// memory of the order.
func (o orderDispatcher) Run(ctx context.Context, t executor.Target, order executor.Order, attempt string) caller.Result {
	result := o.run(ctx, t, order, attempt)
	defer result.Release()
	if err := order.Answers.Take(orderAnswerCost * int64(len(result.Body))); err != nil {
		return caller.Result{Status: caller.Cancelled, Err: errors.Wrap(err, "answer to the order")}
	}
	return result
}

// run sends one order to the owner of its backend server, once.
func (o orderDispatcher) run(ctx context.Context, t executor.Target, order executor.Order, attempt string) caller.Result {
	r := &messenger.RunRequest{
		Attempt: attempt, Archive: order.Archive, Body: order.Body, Server: t.Server, Incarnation: t.Incarnation,
		Deadline: durationpb.New(time.Until(order.Deadline)), Fingerprint: order.Fingerprint, Snapshot: t.Snapshot, Shard: t.Shard, Alone: order.Alone,
	}
	b, ok := o.coordinator.Directory().Backend(t.Server)
	if !ok {
		return caller.Result{Status: caller.Unsent, Err: errors.New("the backend server is no longer usable")}
	}
	if b.Owner.Name == o.self.Name {
		return o.runOrder(ctx, r)
	}
	client, err := o.peers.connectedClient(ctx, b.Owner)
	if err != nil {
		return caller.Result{Status: caller.Unsent, Err: err}
	}
	m, err := client.Run(ctx, r, limitReply)
	if err != nil {
		// The owner may have run the order: only its reply could prove otherwise.
		return caller.Result{Status: caller.Failed, Err: errors.Wrap(err, "run on the owner")}
	}
	result := caller.Result{Status: caller.Status(m.GetStatus()), Body: m.GetAnswer()}
	if result.Status != caller.Answered {
		result.Err = errors.Errorf("backend server %s: %s", t.Server, result.Status)
	}
	return result
}

// runOrder sends one order to a backend server that this host owns. It does not send
// an attempt that arrives a second time, whose outcome is not known here.
func (g *Gateway) runOrder(ctx context.Context, r *messenger.RunRequest) caller.Result {
	if !g.receivedAttempts.Add(r.GetAttempt()) {
		return caller.Result{Status: caller.Failed, Err: errors.New("this attempt was received before")}
	}
	return g.dispatch(ctx, dispatcher.Request{
		Server: r.GetServer(), Incarnation: r.GetIncarnation(), Path: caller.OrderPath, Lane: limiter.Interactive, Alone: r.GetAlone(),
		Deadline: time.Now().Add(r.GetDeadline().AsDuration()), Fingerprint: r.GetFingerprint(),
		Message: caller.Message{
			Query: r.GetAttempt(), Attempt: r.GetAttempt(), Incarnation: r.GetIncarnation(), Archive: r.GetArchive(),
			Snapshot: r.GetSnapshot(), Shard: r.GetShard(), Body: r.GetBody(),
		},
	})
}

// formatAttempt returns the number of a search attempt as backend servers get it.
func formatAttempt(n uint64) string { return strconv.FormatUint(n, 10) }

var _ coordinator.Sender = (*Gateway)(nil)
