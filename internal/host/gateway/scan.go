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

// Scan passes sub-requests to their owner, which may be this host.
func (g *Gateway) Scan(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest, each func(*messenger.ScanReply)) error {
	if owner.Name == g.self.Name {
		return g.scan(ctx, r, func(m *messenger.ScanReply) error {
			each(m)
			return nil
		})
	}
	client, err := g.peers.ready(ctx, owner)
	if err != nil {
		return err
	}
	stream, err := client.Scan(ctx, r)
	if err != nil {
		return errors.Wrap(err, "scan")
	}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "scan")
		}
		each(m)
	}
}

// scan runs sub-requests on backend servers that this host owns and passes
// each reply on, one at a time.
func (g *Gateway) scan(ctx context.Context, r *messenger.ScanRequest, each func(*messenger.ScanReply) error) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed error
	deadline := time.Now().Add(r.GetDeadline().AsDuration())
	for _, s := range r.GetSubrequests() {
		group.Go(func() {
			m := g.subrequest(ctx, r, s, deadline)
			mu.Lock()
			defer mu.Unlock()
			if failed == nil {
				failed = each(m)
			}
		})
	}
	group.Wait()
	return failed
}

func (g *Gateway) subrequest(ctx context.Context, r *messenger.ScanRequest, s *messenger.Subrequest, deadline time.Time) *messenger.ScanReply {
	result := g.do(ctx, dispatcher.Request{
		Server: s.GetServer(), Incarnation: s.GetIncarnation(), Path: caller.SearchPath, Lane: laneOf(r.GetLane()), Alone: s.GetAlone(),
		Deadline: deadline, Fingerprint: r.GetFingerprint(),
		Message: caller.Message{
			Query: r.GetQuery(), Attempt: formatAttempt(s.GetAttempt()), Incarnation: s.GetIncarnation(), Archive: r.GetArchive(),
			Snapshot: r.GetSnapshot(), Shard: s.GetShard(), Body: r.GetBody(),
		},
	})
	return &messenger.ScanReply{
		Attempt: s.GetAttempt(), Shard: s.GetShard(), Status: uint32(result.Status), Body: result.Body, Snapshot: r.GetSnapshot(),
		Latency: durationpb.New(result.Latency),
	}
}

// do sends a request to a backend server that this host owns, unless it is
// known here to crash servers: the root may not know of it yet.
func (g *Gateway) do(ctx context.Context, r dispatcher.Request) caller.Result {
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

func laneOf(name string) limiter.Lane {
	if name == LaneBulk {
		return limiter.Bulk
	}
	return limiter.Interactive
}
