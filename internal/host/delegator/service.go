package delegator

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/relayer"
)

const (
	// maxRequestBytes bounds a request of another host with its headers.
	maxRequestBytes = 16 << 20
	// maxInFlight bounds the requests of other hosts that are served at a time.
	maxInFlight = 512
	// overloadRetryAfter is the time after which a caller is told to retry above
	// maxInFlight.
	overloadRetryAfter = 500 * time.Millisecond
	// nonceLifetime is how long the nonce of a call is remembered at least.
	nonceLifetime = 30 * time.Second
)

// RequestRelayer relays requests to backend servers.
type RequestRelayer interface {
	// Do relays a request and returns its final answer.
	Do(ctx context.Context, r relayer.Request) relayer.Answer
}

// Service serves the requests that other entry hosts hand over. Use NewService.
type Service struct {
	messenger.UnimplementedRelayServer
	delegator *Delegator
	relayer   RequestRelayer
	server    *grpc.Server
	// lending serves calls for allowances of accounts. It may be nil.
	lending LendingService
	// stopping is set by Drain. inFlight is the number of requests being served.
	stopping atomic.Bool
	inFlight atomic.Int64

	// mu guards nonces.
	mu sync.Mutex
	// nonces holds the nonces of recent calls.
	nonces recentNonces
}

// NewService returns the service of this host for the hosts that d may ask.
func NewService(d *Delegator, r RequestRelayer) *Service {
	s := &Service{delegator: d, relayer: r}
	s.server = messenger.NewServer(append(acceptor.LimitCalls(), grpc.MaxRecvMsgSize(maxRequestBytes))...)
	messenger.RegisterRelayServer(acceptor.CountCalls(s.server), s)
	return s
}

// Serve serves other hosts on a listener until Close or the end of Drain, after which it
// returns nil.
func (s *Service) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Close ends the service at once.
func (s *Service) Close() { s.server.Stop() }

// StopAccepting makes the service refuse further requests.
func (s *Service) StopAccepting() { s.stopping.Store(true) }

// Drain waits until the requests of other hosts have been answered, or until ctx ends.
func (s *Service) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.server.Stop()
		<-done
	}
}

// Forward serves a request of another host.
func (s *Service) Forward(ctx context.Context, m *messenger.ForwardRequest) (*messenger.ForwardReply, error) {
	now := time.Now()
	caller, ok := callerAddress(ctx)
	if !ok || !s.delegator.IsPeer(caller) {
		return nil, s.refuseCaller(caller)
	}
	if s.stopping.Load() {
		return encodeAnswer(relayer.Answer{Reason: relayer.NotReady}), nil
	}
	if !s.firstCall(now, m.GetNonce()) {
		return nil, status.Error(codes.AlreadyExists, "the call was sent twice")
	}
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > maxInFlight {
		return encodeAnswer(relayer.Answer{Reason: relayer.Overload, RetryAfter: overloadRetryAfter}), nil
	}
	s.delegator.config.Scope.Counter("taken_over").Inc(1)
	answer := s.relayer.Do(ctx, decodeRequest(m, now))
	defer answer.Release()
	return encodeAnswer(answer), nil
}

// firstCall reports whether a nonce arrives for the first time. grpc may send a call again
// that it believes was not processed.
func (s *Service) firstCall(now time.Time, nonce uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nonces.add(now, nonce)
}

// callerAddress returns the IP address of the host that made a call.
func callerAddress(ctx context.Context) (netip.Addr, bool) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return netip.Addr{}, false
	}
	a, err := netip.ParseAddrPort(p.Addr.String())
	return a.Addr().Unmap(), err == nil
}

// IsPeer reports whether the control hosts listed a host with this IP address.
func (d *Delegator) IsPeer(a netip.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.helpers, func(h *helper) bool { return h.address.Addr() == a })
}

// recentNonces holds the nonces of the last one to two nonceLifetimes.
type recentNonces struct {
	current, previous map[uint64]struct{}
	startedAt         time.Time
}

// add adds a nonce and reports whether it was new.
func (n *recentNonces) add(now time.Time, nonce uint64) bool {
	if now.Sub(n.startedAt) >= nonceLifetime || n.current == nil {
		n.previous, n.current, n.startedAt = n.current, map[uint64]struct{}{}, now
	}
	_, recent := n.current[nonce]
	_, older := n.previous[nonce]
	n.current[nonce] = struct{}{}
	return !recent && !older
}
