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

// orders sends orders through the owners of backend servers.
type orders struct{ *Gateway }

// Choose returns the backend server for an order.
func (o orders) Choose(archive, key string) (executor.Target, error) {
	b, snapshot, shard, err := o.coordinator.ChooseReplica(archive, key)
	return executor.Target{Server: b.Name, Incarnation: b.Incarnation, Snapshot: snapshot, Shard: shard}, err
}

// Run sends one order to the owner of its backend server, once.
func (o orders) Run(ctx context.Context, t executor.Target, order executor.Order, attempt string) caller.Result {
	r := &messenger.RunRequest{
		Attempt: attempt, Archive: order.Archive, Body: order.Body, Server: t.Server, Incarnation: t.Incarnation,
		Deadline: durationpb.New(time.Until(order.Deadline)), Fingerprint: order.Fingerprint, Snapshot: t.Snapshot, Shard: t.Shard, Alone: order.Alone,
	}
	b, ok := o.coordinator.Directory().Backend(t.Server)
	if !ok {
		return caller.Result{Status: caller.Unsent, Err: errors.New("the backend server left")}
	}
	if b.Owner.Name == o.self.Name {
		return o.run(ctx, r)
	}
	client, err := o.peers.ready(ctx, b.Owner)
	if err != nil {
		return caller.Result{Status: caller.Unsent, Err: err}
	}
	m, err := client.Run(ctx, r)
	if err != nil {
		// The owner may have run it: only its own word proves otherwise.
		return caller.Result{Status: caller.Failed, Err: errors.Wrap(err, "owner")}
	}
	result := caller.Result{Status: caller.Status(m.GetStatus()), Body: m.GetAnswer()}
	if result.Status != caller.Answered {
		result.Err = errors.Errorf("backend server %s: %s", t.Server, result.Status)
	}
	return result
}

// run sends one order to a backend server that this host owns. An attempt
// that arrives a second time is not run again; its outcome is not known here.
func (g *Gateway) run(ctx context.Context, r *messenger.RunRequest) caller.Result {
	if !g.arrivals.Add(r.GetAttempt()) {
		return caller.Result{Status: caller.Failed, Err: errors.New("this attempt was received before")}
	}
	return g.do(ctx, dispatcher.Request{
		Server: r.GetServer(), Incarnation: r.GetIncarnation(), Path: caller.OrderPath, Lane: limiter.Interactive, Alone: r.GetAlone(),
		Deadline: time.Now().Add(r.GetDeadline().AsDuration()), Fingerprint: r.GetFingerprint(),
		Message: caller.Message{
			Query: r.GetAttempt(), Attempt: r.GetAttempt(), Incarnation: r.GetIncarnation(), Archive: r.GetArchive(),
			Snapshot: r.GetSnapshot(), Shard: r.GetShard(), Body: r.GetBody(),
		},
	})
}

func formatAttempt(n uint64) string { return strconv.FormatUint(n, 10) }

var _ coordinator.Sender = (*Gateway)(nil)
