package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/coordinator"
)

// peers holds one connection to each other entry host.
type peers struct {
	conns messenger.Conns
}

func newPeers(traces *reporter.Traces) *peers {
	handler := otelgrpc.NewClientHandler(traces.GRPC()...)
	return &peers{conns: messenger.Conns{Options: []grpc.DialOption{grpc.WithStatsHandler(handler)}}}
}

func (p *peers) client(m assigner.Member) (messenger.EntryClient, error) {
	c, err := p.conns.Get(m.Address)
	if err != nil {
		return nil, err
	}
	return messenger.NewEntryClient(c), nil
}

// ready returns a client whose connection stands. Without it nothing was
// sent, which is what ErrUnsent says.
func (p *peers) ready(ctx context.Context, m assigner.Member) (messenger.EntryClient, error) {
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
