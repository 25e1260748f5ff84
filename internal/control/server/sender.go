package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

const (
	// senderQueue is the number of messages that wait for a peer. More are
	// dropped: the log core sends again what was not acknowledged.
	senderQueue = 256
	// exchangeBytes is the size in bytes after which a request is sent even if
	// more messages wait.
	exchangeBytes = 4 << 20
	// exchangeTimeout bounds a call; exchangeRate in bytes per second adds the
	// time for a snapshot.
	exchangeTimeout = time.Second
	exchangeRate    = 4 << 20
)

// outgoing is one message to a peer, or a hello if it has no kind.
type outgoing struct {
	name    string
	message replicator.Message
}

// sender sends to one address.
type sender struct {
	queue   chan outgoing
	name    string
	id      uint64
	address string
	zone    string
	learn   func([]string)
	conn    *grpc.ClientConn
	dial    func() (*grpc.ClientConn, error)
	dropped tally.Counter
}

// senders holds a goroutine for each peer address. It is used by the loop only.
type senders struct {
	name    string
	id      uint64
	options []grpc.DialOption
	// address and zone are those of this host.
	address netip.AddrPort
	zone    string
	// learn takes the members that a greeted host names.
	learn func([]string)
	scope tally.Scope
	ctx   context.Context
	group *sync.WaitGroup
	peers map[netip.AddrPort]*sender
}

// send queues a message and drops it when the peer's queue is full.
func (s *senders) send(addr netip.AddrPort, m outgoing) {
	peer, err := s.peer(addr)
	if err != nil {
		s.scope.Counter("messages_dropped").Inc(1)
		return
	}
	select {
	case peer.queue <- m:
	default:
		peer.dropped.Inc(1)
	}
}

func (s *senders) peer(addr netip.AddrPort) (*sender, error) {
	if peer, ok := s.peers[addr]; ok {
		return peer, nil
	}
	dial := func() (*grpc.ClientConn, error) { return messenger.Dial(addr, s.options...) }
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	peer := &sender{
		queue:   make(chan outgoing, senderQueue),
		name:    s.name,
		id:      s.id,
		address: s.address.String(),
		zone:    s.zone,
		learn:   s.learn,
		conn:    conn,
		dial:    dial,
		dropped: s.scope.Counter("messages_dropped"),
	}
	s.peers[addr] = peer
	s.group.Go(func() {
		peer.run(s.ctx)
		_ = peer.conn.Close()
	})
	return peer, nil
}

// run sends until ctx ends, one request at a time.
func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			for next := &m; next != nil && ctx.Err() == nil; {
				next = s.sendFrom(ctx, *next)
			}
		}
	}
}

// sendFrom sends one request that starts with m and holds what else waits for
// the same receiver. It returns the first message that it took for another.
func (s *sender) sendFrom(ctx context.Context, m outgoing) *outgoing {
	request, size := s.request(m)
	size, next := s.fill(request, m, size)
	s.exchange(ctx, request, size)
	return next
}

func (s *sender) request(m outgoing) (*messenger.ExchangeRequest, int) {
	r := &messenger.ExchangeRequest{
		From:            s.name,
		To:              m.name,
		FromIncarnation: s.id,
		ToIncarnation:   m.message.To,
		Address:         s.address,
		Zone:            s.zone,
	}
	return r, addMessage(r, m.message)
}

// fill adds waiting messages to the same receiver. It returns the size in
// bytes and the first message that belongs to another request.
func (s *sender) fill(r *messenger.ExchangeRequest, first outgoing, size int) (int, *outgoing) {
	for size < exchangeBytes {
		select {
		case m := <-s.queue:
			if m.message.To != first.message.To {
				return size, &m
			}
			size += addMessage(r, m.message)
		default:
			return size, nil
		}
	}
	return size, nil
}

func addMessage(r *messenger.ExchangeRequest, m replicator.Message) int {
	if m.Kind == 0 {
		return 0
	}
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	r.Messages = append(r.Messages, replicator.ToWire(m))
	return size
}

func (s *sender) exchange(ctx context.Context, r *messenger.ExchangeRequest, size int) {
	timeout := exchangeTimeout + time.Duration(size)*time.Second/exchangeRate
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := messenger.NewControlClient(s.conn).Exchange(limited, r)
	if err != nil {
		s.dropped.Inc(int64(len(r.Messages)))
	}
	if status.Code(err) == codes.DeadlineExceeded && ctx.Err() == nil {
		s.redial()
	}
	if len(reply.GetKnown()) > 0 && s.learn != nil {
		s.learn(reply.GetKnown())
	}
}

// redial replaces the connection after a call without an answer: a connection
// can go silent for good while new ones work.
func (s *sender) redial() {
	conn, err := s.dial()
	if err != nil {
		return
	}
	_ = s.conn.Close()
	s.conn = conn
}
