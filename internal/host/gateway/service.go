package gateway

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/dispatcher"
)

// service answers the other entry hosts.
type service struct {
	messenger.UnimplementedEntryServer
	gateway *Gateway
}

// Scan runs sub-requests for another entry host.
func (s *service) Scan(r *messenger.ScanRequest, stream grpc.ServerStreamingServer[messenger.ScanReply]) error {
	return s.gateway.scan(stream.Context(), r, stream.Send)
}

// Run runs an order for another entry host. It goes on when that host's call
// breaks, as it would on the host itself.
func (s *service) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	result := s.gateway.run(context.WithoutCancel(ctx), r)
	return &messenger.RunReply{Status: uint32(result.Status), Answer: result.Body}, nil
}

// Share returns announcements that the caller has not seen.
func (s *service) Share(_ context.Context, r *messenger.ShareRequest) (*messenger.ShareReply, error) {
	g := s.gateway
	since := r.GetSince()
	if r.GetIncarnation() != g.self.Incarnation {
		since = 0
	}
	g.fleetMu.Lock()
	defer g.fleetMu.Unlock()
	last, shared := g.fleet.Share(time.Now(), since)
	return &messenger.ShareReply{Incarnation: g.self.Incarnation, Last: last, Shared: shared}, nil
}

// Warn takes another entry host's word for a crash.
func (s *service) Warn(_ context.Context, o *messenger.Observation) (*messenger.WarnReply, error) {
	s.gateway.suspicions.observe(time.Now(), dispatcher.Observation{
		Fingerprint: o.GetFingerprint(), Archive: o.GetArchive(), Server: o.GetServer(), Incarnation: o.GetIncarnation(),
		Crashed: o.GetCrashed(), Alone: o.GetAlone(),
	})
	return &messenger.WarnReply{}, nil
}
