package server

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

const (
	// senderQueueSize is the number of messages that can wait for a peer. More are
	// dropped; the log core sends again what was not acknowledged.
	senderQueueSize = 256
	// exchangeBatchBytes is the size at which a request is sent even if more messages
	// wait.
	exchangeBatchBytes = 4 << 20
	// exchangeTimeout bounds a call. exchangeBytesPerSecond extends it for large
	// requests, such as snapshots.
	exchangeTimeout        = time.Second
	exchangeBytesPerSecond = 4 << 20
)

// outgoingMessage is a message to a peer. Without a kind it is a hello, which is sent
// as a request without messages.
type outgoingMessage struct {
	// receiver is the name of the peer.
	receiver string
	// message is the message of the log core to be sent.
	message replicator.Message
}

// sender sends messages to one peer address.
type sender struct {
	// queue holds the messages that wait to be sent. enqueue fills it, and the sender's
	// goroutine empties it.
	queue chan outgoingMessage
	// hostName, hostID, address and zone are those of this host.
	hostName string
	hostID   uint64
	address  string
	zone     string
	// leaving is set once this host is about to stop.
	leaving *atomic.Bool
	// handleReply takes the peer's reply to a hello.
	handleReply func(*messenger.ExchangeReply)
	// conn is the connection to the peer, and dial opens another one.
	conn *grpc.ClientConn
	dial func() (*grpc.ClientConn, error)
	// dropped counts messages that found the queue full or whose request failed.
	dropped tally.Counter
}

// senders holds a sender with its own goroutine for each peer address. It is used by
// the loop only.
type senders struct {
	// hostName, hostID, address and zone are those of this host, dialOptions those of
	// the connections to peers.
	hostName    string
	hostID      uint64
	dialOptions []grpc.DialOption
	address     netip.AddrPort
	zone        string
	// leaving is set once this host is about to stop.
	leaving atomic.Bool
	// handleReply takes the reply of the peer at an address to a hello.
	handleReply func(netip.AddrPort, *messenger.ExchangeReply)
	// scope holds the metrics of the control host.
	scope tally.Scope
	// ctx ends the goroutines of the senders, and running waits for them.
	ctx     context.Context
	running *sync.WaitGroup
	// peers is keyed by the inner address of the peer.
	peers map[netip.AddrPort]*sender
}

// enqueue queues a message for the peer at addr and drops it when the peer's queue is
// full.
func (s *senders) enqueue(addr netip.AddrPort, m outgoingMessage) {
	peer, err := s.senderTo(addr)
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

// senderTo returns the sender to an address and starts it if there is none.
func (s *senders) senderTo(addr netip.AddrPort) (*sender, error) {
	if peer, ok := s.peers[addr]; ok {
		return peer, nil
	}
	dial := func() (*grpc.ClientConn, error) { return messenger.Dial(addr, s.dialOptions...) }
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	peer := &sender{
		queue:       make(chan outgoingMessage, senderQueueSize),
		hostName:    s.hostName,
		hostID:      s.hostID,
		address:     s.address.String(),
		zone:        s.zone,
		leaving:     &s.leaving,
		handleReply: func(r *messenger.ExchangeReply) { s.handleReply(addr, r) },
		conn:        conn,
		dial:        dial,
		dropped:     s.scope.Counter("messages_dropped"),
	}
	s.peers[addr] = peer
	s.running.Go(func() {
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

// sendFrom sends one request with m and the queued messages to the same receiver. It
// returns the first message that it took from the queue for another receiver, or nil.
func (s *sender) sendFrom(ctx context.Context, m outgoingMessage) *outgoingMessage {
	request, size := s.newRequest(m)
	size, next := s.addQueued(request, m, size)
	s.exchange(ctx, request, size)
	return next
}

// newRequest returns a request that holds m and the size of its content in bytes.
func (s *sender) newRequest(m outgoingMessage) (*messenger.ExchangeRequest, int) {
	r := &messenger.ExchangeRequest{
		From:            s.hostName,
		To:              m.receiver,
		FromIncarnation: s.hostID,
		ToIncarnation:   m.message.To,
		Address:         s.address,
		Zone:            s.zone,
		Leaving:         s.leaving.Load(),
		Format:          stateFormat,
	}
	return r, addMessage(r, m.message)
}

// addQueued adds queued messages to the same receiver. It returns the request's size
// in bytes and the first message that belongs to another request, or nil.
func (s *sender) addQueued(r *messenger.ExchangeRequest, first outgoingMessage, size int) (int, *outgoingMessage) {
	for size < exchangeBatchBytes {
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

// addMessage adds a message to a request, unless it is a hello, and returns the size
// of its content in bytes.
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

// exchange sends a request. After a timeout it replaces the connection.
func (s *sender) exchange(ctx context.Context, r *messenger.ExchangeRequest, size int) {
	timeout := exchangeTimeout + time.Duration(size)*time.Second/exchangeBytesPerSecond
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := messenger.NewControlClient(s.conn).Exchange(limited, r)
	if err != nil {
		s.dropped.Inc(int64(len(r.Messages)))
	} else if len(r.Messages) == 0 {
		s.handleReply(reply)
	}
	if status.Code(err) == codes.DeadlineExceeded && ctx.Err() == nil {
		s.redial()
	}
}

// redial replaces the connection after a call without a reply, because a connection
// can stop delivering for good while new ones work.
func (s *sender) redial() {
	conn, err := s.dial()
	if err != nil {
		return
	}
	_ = s.conn.Close()
	s.conn = conn
}
