package gateway

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/coordinator"
)

// peerClients returns gRPC clients of the other entry hosts, with one connection to
// each.
type peerClients struct {
	// conns holds the connections by the address of the entry host.
	conns messenger.Conns
}

// maxReplyBytes bounds a reply of another entry host. It is above the longest body that a host
// takes from a backend server.
const maxReplyBytes = 9 << 20

// limitReply applies maxReplyBytes to a call.
var limitReply = grpc.MaxCallRecvMsgSize(maxReplyBytes)

// newPeerClients returns clients whose calls are traced and come from a local address.
func newPeerClients(local netip.Addr, traces *reporter.Traces) *peerClients {
	handler := otelgrpc.NewClientHandler(traces.GRPCOptions()...)
	return &peerClients{conns: messenger.Conns{DialOptions: []grpc.DialOption{grpc.WithStatsHandler(handler), messenger.FromAddress(local)}}}
}

// client returns a client of the member, whose connection may still be down.
func (p *peerClients) client(m assigner.Member) (messenger.EntryClient, error) {
	c, err := p.conns.Get(m.Address)
	if err != nil {
		return nil, err
	}
	return messenger.NewEntryClient(c), nil
}

// connectedClient waits for the connection to the member and returns its client. The
// error is ErrUnsent, as nothing was sent without a connection.
func (p *peerClients) connectedClient(ctx context.Context, m assigner.Member) (messenger.EntryClient, error) {
	c, err := p.conns.Get(m.Address)
	if err != nil {
		return nil, errors.Wrap(coordinator.ErrUnsent, err.Error())
	}
	for state := c.GetState(); state != connectivity.Ready; state = c.GetState() {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return nil, coordinator.ErrUnsent
		}
		c.Connect()
		if !c.WaitForStateChange(ctx, state) {
			return nil, coordinator.ErrUnsent
		}
	}
	return messenger.NewEntryClient(c), nil
}
