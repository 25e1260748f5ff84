package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/search/limiter"
)

// Scan sends sub-requests to the owner of their backend servers, which may be this
// host. It implements coordinator.Sender.
func (g *Gateway) Scan(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest, onReply func(*messenger.ScanReply)) error {
	if owner.Name == g.self.Name {
		return g.scan(ctx, r, func(m *messenger.ScanReply) error {
			onReply(m)
			return nil
		})
	}
	client, err := g.peers.connectedClient(ctx, owner)
	if err != nil {
		return err
	}
	stream, err := client.Scan(ctx, r, limitReply)
	if err != nil {
		return errors.Wrap(err, "start scan")
	}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive scan reply")
		}
		onReply(m)
	}
}

// scan runs sub-requests at once on backend servers that this host owns and calls
// onReply for each reply, one at a time. After an error of onReply it drops the
// further replies and returns that error.
func (g *Gateway) scan(ctx context.Context, r *messenger.ScanRequest, onReply func(*messenger.ScanReply) error) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var replyErr error
	deadline := time.Now().Add(r.GetDeadline().AsDuration())
	for _, s := range r.GetSubrequests() {
		group.Go(func() {
			m, release := g.runSubrequest(ctx, r, s, deadline)
			defer release()
			mu.Lock()
			defer mu.Unlock()
			if replyErr == nil {
				replyErr = onReply(m)
			}
		})
	}
	group.Wait()
	return replyErr
}

// runSubrequest runs one sub-request and returns its reply, and a function that returns the
// memory of the reply.
func (g *Gateway) runSubrequest(ctx context.Context, r *messenger.ScanRequest, s *messenger.Subrequest, deadline time.Time) (*messenger.ScanReply, func()) {
	result := g.dispatch(ctx, dispatcher.Request{
		Server: s.GetServer(), Incarnation: s.GetIncarnation(), Path: caller.SearchPath, Lane: parseLane(r.GetLane()), Alone: s.GetAlone(),
		Deadline: deadline, Fingerprint: r.GetFingerprint(),
		Message: caller.Message{
			Query: r.GetQuery(), Attempt: formatAttempt(s.GetAttempt()), Incarnation: s.GetIncarnation(), Archive: r.GetArchive(),
			Snapshot: r.GetSnapshot(), Shard: s.GetShard(), Body: r.GetBody(),
		},
	})
	return &messenger.ScanReply{
		Attempt: s.GetAttempt(), Shard: s.GetShard(), Status: uint32(result.Status), Body: result.Body, Snapshot: r.GetSnapshot(),
		Latency: durationpb.New(result.Latency),
	}, result.Release
}

// dispatch sends a request to a backend server that this host owns, unless this host
// suspects the request of crashing servers: the entry host that coordinates it may
// not know of the crash yet.
func (g *Gateway) dispatch(ctx context.Context, r dispatcher.Request) caller.Result {
	verdict := g.verdict(time.Now(), r.Fingerprint)
	if verdict == quarantiner.VerdictRefuse || verdict == quarantiner.VerdictAlone && !r.Alone {
		return caller.Result{Status: caller.Refused, Err: errors.New("the request is suspected of crashing backend servers")}
	}
	ctx, span := g.tracer.Start(ctx, "backend"+r.Path, trace.WithAttributes(attribute.String("server", r.Server)))
	defer span.End()
	result := g.dispatcher.Do(ctx, r)
	span.SetAttributes(attribute.String("status", result.Status.String()))
	return result
}

// parseLane returns the limiter's lane with that name. All but bulk are interactive.
func parseLane(name string) limiter.Lane {
	if name == LaneBulk {
		return limiter.Bulk
	}
	return limiter.Interactive
}
