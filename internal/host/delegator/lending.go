package delegator

import (
	"context"
	"net/netip"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/protocol/messenger"
)

// LendingService grants requests of client accounts to other entry hosts.
type LendingService interface {
	// Take takes a request of an account for the host with an IP address. It returns false
	// if that is no entry host of this system.
	Take(caller netip.Addr, r *messenger.TakeRequest) (*messenger.TakeReply, bool)
	// Give gives back what was taken for requests that did not run.
	Give(caller netip.Addr, r *messenger.GiveRequest) bool
}

// SetLending sets the service for the allowances of accounts, before Serve. Without it the
// host grants nothing to others.
func (s *Service) SetLending(l LendingService) { s.lending = l }

// Take takes a request of an account for another host.
func (s *Service) Take(ctx context.Context, r *messenger.TakeRequest) (*messenger.TakeReply, error) {
	caller, known := callerAddress(ctx)
	if s.lending == nil {
		return nil, status.Error(codes.Unimplemented, "this host has no accounts")
	}
	if known {
		if reply, ok := s.lending.Take(caller, r); ok {
			return reply, nil
		}
	}
	return nil, s.refuseCaller(caller)
}

// Give gives back what another host took for requests that did not run.
func (s *Service) Give(ctx context.Context, r *messenger.GiveRequest) (*messenger.GiveReply, error) {
	caller, known := callerAddress(ctx)
	if s.lending == nil {
		return nil, status.Error(codes.Unimplemented, "this host has no accounts")
	}
	if known && s.lending.Give(caller, r) {
		return &messenger.GiveReply{}, nil
	}
	return nil, s.refuseCaller(caller)
}

// refuseCaller counts a call of a host that is not listed, and returns its error. Anybody can make such
// calls, so that lines about them would displace others.
func (s *Service) refuseCaller(caller netip.Addr) error {
	s.delegator.config.Scope.Counter("callers_refused").Inc(1)
	s.delegator.config.Log.Debug("refused a call of an unknown host", "host", caller)
	return status.Error(codes.PermissionDenied, "not an entry host of this system")
}
