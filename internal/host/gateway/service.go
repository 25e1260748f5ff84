package gateway

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/dispatcher"
)

// entryService is the gRPC service for the other entry hosts.
type entryService struct {
	messenger.UnimplementedEntryServer
	gateway *Gateway
}

// Scan runs sub-requests for another entry host.
func (s *entryService) Scan(r *messenger.ScanRequest, stream grpc.ServerStreamingServer[messenger.ScanReply]) error {
	return s.gateway.scan(stream.Context(), r, stream.Send)
}

// Run runs an order for another entry host. The order continues if that host's call
// breaks, as an order of this host's own callers does.
func (s *entryService) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	result := s.gateway.runOrder(context.WithoutCancel(ctx), r)
	defer result.Release()
	return &messenger.RunReply{Status: uint32(result.Status), Answer: result.Body}, nil
}

// Share returns the announcements that changed after the number that the peer has
// seen, or all of them if that number is of another process of this host.
func (s *entryService) Share(_ context.Context, r *messenger.ShareRequest) (*messenger.ShareReply, error) {
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

// Warn records a crash that another entry host observed.
func (s *entryService) Warn(_ context.Context, o *messenger.Observation) (*messenger.WarnReply, error) {
	s.gateway.suspicions.record(time.Now(), dispatcher.Observation{
		Fingerprint: o.GetFingerprint(), Archive: o.GetArchive(), Server: o.GetServer(), Incarnation: o.GetIncarnation(),
		Crashed: o.GetCrashed(), Alone: o.GetAlone(),
	})
	return &messenger.WarnReply{}, nil
}
