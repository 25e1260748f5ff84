package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/value/packer"
)

const (
	// forwardTimeout bounds a request that came to this host, wherever the leader is.
	// Callers give a host one second.
	forwardTimeout = 900 * time.Millisecond
	// forwardAttemptTimeout bounds one call to the leader, so that there is time for
	// another.
	forwardAttemptTimeout = 600 * time.Millisecond
	// forwardRetryDelay is the time between two attempts to reach a leader.
	forwardRetryDelay = 30 * time.Millisecond
)

// Errors of requests that this host forwards to the leader.
var (
	// ErrNoLeader means that no leader confirmed the request in time. Whether it took
	// effect is unknown.
	ErrNoLeader = errors.New("no control leader confirmed the request")
	// ErrInvalidRequest means that the request is invalid and changed nothing.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrNotStored means that control hosts of an earlier version cannot store the request. It
	// changed nothing.
	ErrNotStored = errors.New("not stored")
	// ErrNoDocument means that no routing document has been published.
	ErrNoDocument = errors.New("no routing document has been published")
)

// leaderReply is a reply that names the leader unless the request was granted.
type leaderReply interface {
	GetGranted() bool
	GetLeader() string
}

// callLeader calls this host and then the leader that it names, until one grants the
// request. It returns the reply and the address of the leader if that is another host.
// The request has to be safe to repeat.
func callLeader[V leaderReply](ctx context.Context, s *Server, callLocal func(context.Context, messenger.ControlServer) (V, error),
	callRemote func(context.Context, messenger.ControlClient) (V, error)) (V, string, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var zero V
	lastErr := errors.New("no leader is known")
	for {
		reply, err := callLocal(ctx, &service{server: s})
		if err == nil && reply.GetGranted() {
			return reply, "", nil
		}
		if leader := reply.GetLeader(); err == nil && leader != "" {
			reply, err = forwardToLeader(ctx, s, leader, callRemote)
			if err == nil && reply.GetGranted() {
				return reply, leader, nil
			}
		}
		switch status.Code(err) {
		case codes.InvalidArgument:
			return zero, "", errors.Wrap(ErrInvalidRequest, err.Error())
		case codes.FailedPrecondition:
			return zero, "", errors.Wrap(ErrNotStored, err.Error())
		}
		if err != nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return zero, "", errors.Wrap(ErrNoLeader, lastErr.Error())
		case <-time.After(forwardRetryDelay):
		}
	}
}

// forwardToLeader makes one call to the leader. It drops the connection if the leader
// does not reply.
func forwardToLeader[V leaderReply](ctx context.Context, s *Server, leader string, callRemote func(context.Context, messenger.ControlClient) (V, error)) (V, error) {
	var zero V
	addr, err := netip.ParseAddrPort(leader)
	if err != nil {
		return zero, errors.Wrap(err, "parse address of the leader")
	}
	conn, err := s.leaderConns.Get(addr)
	if err != nil {
		return zero, err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, forwardAttemptTimeout)
	defer cancel()
	reply, err := callRemote(attemptCtx, messenger.NewControlClient(conn))
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		s.leaderConns.Drop(addr)
	}
	return reply, err
}

// Publish stores a routing document and returns the version in force. Errors are
// ErrNoLeader, ErrInvalidRequest and ErrNotStored.
func (s *Server) Publish(ctx context.Context, version uint64, text []byte) (uint64, error) {
	packed, err := s.pack(text)
	if err != nil {
		return 0, err
	}
	r := &messenger.PublishRequest{Version: version, Packed: packed}
	reply, _, err := callLeader(ctx, s,
		func(ctx context.Context, c messenger.ControlServer) (*messenger.PublishReply, error) {
			return c.Publish(ctx, r)
		},
		func(ctx context.Context, c messenger.ControlClient) (*messenger.PublishReply, error) {
			return c.Publish(ctx, r)
		})
	if err == nil && version == 0 && reply.GetVersion() == 0 && !reply.GetDocument() {
		// A leader of an earlier version acknowledges version 0 and does not store it.
		return 0, errors.Wrap(ErrNotStored, "the leader runs an earlier version")
	}
	return reply.GetVersion(), err
}

// pack compresses a document, one at a time: the state of the compression takes more than most
// documents.
func (s *Server) pack(text []byte) ([]byte, error) {
	s.packing.Lock()
	defer s.packing.Unlock()
	return packer.Pack(text)
}

// Read returns the routing document in force. The caller must not change the text. Errors are
// ErrNoLeader, ErrNoDocument and packer.ErrDamaged.
func (s *Server) Read(ctx context.Context) (version uint64, text []byte, err error) {
	r := &messenger.ReadRequest{}
	reply, _, err := callLeader(ctx, s,
		func(ctx context.Context, c messenger.ControlServer) (*messenger.ReadReply, error) {
			return c.Read(ctx, r)
		},
		func(ctx context.Context, c messenger.ControlClient) (*messenger.ReadReply, error) {
			return c.Read(ctx, r)
		})
	if err != nil {
		return 0, nil, err
	}
	if !reply.GetDocument() && reply.GetVersion() == 0 {
		return 0, nil, ErrNoDocument
	}
	text, err = s.document.unpack(reply.GetPacked())
	return reply.GetVersion(), text, err
}

// Register takes a check-in of a backend server. It returns the inner address of
// the leader if that is another host. Errors are ErrNoLeader and ErrInvalidRequest.
func (s *Server) Register(ctx context.Context, server registrar.Server) (netip.AddrPort, error) {
	if err := server.Check(); err != nil {
		return netip.AddrPort{}, errors.Wrap(ErrInvalidRequest, err.Error())
	}
	r := &messenger.RegisterRequest{Registration: server.Message()}
	_, leader, err := callLeader(ctx, s,
		func(ctx context.Context, c messenger.ControlServer) (*messenger.RegisterReply, error) {
			return c.Register(ctx, r)
		},
		func(ctx context.Context, c messenger.ControlClient) (*messenger.RegisterReply, error) {
			return c.Register(ctx, r)
		})
	if err != nil || leader == "" {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(leader)
}
