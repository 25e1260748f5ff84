package acceptor

import (
	"context"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/host/rationer"
	"gentianpond/internal/protocol/framer"
	"gentianpond/internal/protocol/messenger"
)

const (
	// streamBytes is the memory of a stream: its header fields, which take several times their
	// length once they are decoded, and the state of grpc. handlerBytes is that of the handling
	// of a call, beside the message.
	streamBytes  = 16 << 10
	handlerBytes = 8 << 10
	// frameBytes is the memory of a frame of a request beside its bytes: grpc keeps each in a
	// buffer of its own until the message is complete.
	frameBytes = 128
	// hostWait is how long a connection of a host waits for memory before it is closed. It is
	// shorter than the deadlines of most requests.
	hostWait = time.Second
	// roomInterval is how often a waiting connection looks for memory.
	roomInterval = 5 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). It is
	// the time limit of grpc's pings, which grpc sets on plain TCP connections only.
	unackedTimeout = 20 * time.Second
)

// HostConn is a connection of another host. It counts the memory of the calls on it by the frames
// that pass: from the start of a stream until the server has ended it, or the client has reset it.
type HostConn struct {
	net.Conn
	listener *HostListener
	// address is that of the other side.
	address netip.Addr

	// The mutex of the listener guards the fields below.

	// class is the class of which client is a client.
	class  *hostClass
	client *rationer.Client
	// in and out follow the frames from and to the other side.
	in, out framer.Scanner
	// streams holds the memory of each open stream by its id, and lastStream the highest id.
	streams    map[uint32]int64
	lastStream uint32
	// replies is the memory of answers that are not written yet.
	replies int64
}

// Read implements net.Conn. While the memory of its class is used up, no more is read from a connection
// that holds some of it, and those that have made the least progress are closed. What was read already
// reaches the server, so that it can refuse new calls.
func (c *HostConn) Read(b []byte) (int, error) {
	if !c.waitForRoom() {
		return 0, errClosed
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.observeRead(b[:n])
	}
	return n, err
}

// observeRead counts the frames in bytes that were read.
func (c *HostConn) observeRead(b []byte) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.class.Progress(c.client, len(b), time.Now())
	for p := range c.in.Parts(b) {
		switch {
		case p.Kind == framer.Headers && p.Start && p.Stream > c.lastStream:
			c.lastStream = p.Stream
			c.chargeLocked(p.Stream, streamBytes)
		case p.Kind == framer.Data:
			// Bytes of a stream that has ended are dropped.
			if _, ok := c.streams[p.Stream]; ok && p.Start {
				c.chargeLocked(p.Stream, frameBytes)
			} else if ok {
				c.chargeLocked(p.Stream, int64(p.Bytes))
			}
		case p.Kind == framer.Reset && p.Start:
			c.endLocked(p.Stream)
		}
	}
	c.class.update()
}

// Write implements net.Conn.
func (c *HostConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.observeWritten(b[:n])
	}
	return n, err
}

// observeWritten counts the frames in bytes that were written.
func (c *HostConn) observeWritten(b []byte) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.class.Progress(c.client, len(b), now)
	for p := range c.out.Parts(b) {
		switch {
		case p.Kind == framer.Headers && p.Start && p.Flags&framer.EndStream != 0:
			c.endLocked(p.Stream)
			// The client counts as one that was served.
			c.class.Enter(c.client, rationer.Running, now)
			c.class.Enter(c.client, rationer.Idle, now)
		case p.Kind == framer.Reset && p.Start:
			c.endLocked(p.Stream)
		case p.Kind == framer.Data && !p.Start:
			c.releaseReplyLocked(int64(p.Bytes))
		}
	}
	if len(c.streams) == 0 {
		c.releaseReplyLocked(c.replies)
	}
	c.class.update()
}

// chargeLocked adds memory to a stream.
func (c *HostConn) chargeLocked(stream uint32, n int64) {
	c.streams[stream] += n
	c.class.Charge(c.client, n)
}

// endLocked ends a stream and returns its memory.
func (c *HostConn) endLocked(stream uint32) {
	c.class.Release(c.client, c.streams[stream])
	delete(c.streams, stream)
}

// releaseReplyLocked returns memory of answers.
func (c *HostConn) releaseReplyLocked(n int64) {
	n = min(n, c.replies)
	c.replies -= n
	c.class.Release(c.client, n)
}

// waitForRoom waits until the class of the connection keeps its limit, or the connection holds nothing.
// After the time limit the connections that have made less progress are closed, or this one.
func (c *HostConn) waitForRoom() bool {
	return c.retry(func(last bool) ([]*HostConn, bool) {
		if !c.class.Exceeded(0) || c.client.Held() == 0 {
			return nil, true
		}
		if !last {
			return nil, false
		}
		victims, ok := c.class.Relieve(c.client, time.Now())
		return c.listener.removeLocked(victims...), ok
	})
}

// reserveReply waits for memory for an answer.
func (c *HostConn) reserveReply(n int64) bool {
	return c.retry(func(last bool) ([]*HostConn, bool) {
		var victims []*rationer.Client
		ok := !c.class.Exceeded(n)
		if !ok && last {
			victims, ok = c.class.Reserve(c.client, n, time.Now())
		} else if ok {
			c.class.Charge(c.client, n)
		}
		if ok {
			c.replies += n
		}
		return c.listener.removeLocked(victims...), ok
	})
}

// retry calls try, with the mutex held, until it returns true or the time limit of the class has
// passed; last is true for the last call. It closes the connections that try returns, and this one
// if try never returned true.
func (c *HostConn) retry(try func(last bool) ([]*HostConn, bool)) bool {
	l := c.listener
	start := time.Now()
	for {
		l.mu.Lock()
		last := time.Since(start) >= c.class.wait
		victims, ok := try(last)
		l.mu.Unlock()
		l.disconnect("slow", victims)
		switch {
		case ok:
			return true
		case last:
			l.disconnect("no memory", []*HostConn{c})
			return false
		}
		time.Sleep(roomInterval)
	}
}

// Close implements net.Conn.
func (c *HostConn) Close() error {
	l := c.listener
	l.mu.Lock()
	c.class.Leave(c.client)
	delete(l.conns, c.client)
	c.class.update()
	l.mu.Unlock()
	return c.Conn.Close()
}

// RemoteAddr implements net.Conn. Calls find their connection through it.
func (c *HostConn) RemoteAddr() net.Addr { return hostAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

// hostAddr is the address of the other side of a connection.
type hostAddr struct {
	net.Addr
	conn *HostConn
}

// ErrNoCallMemory is the error of a call that was refused before its request was read, because the
// memory for calls is used up. The call has not been handled. grpc itself does not use its code.
var ErrNoCallMemory = status.Error(codes.FailedPrecondition, "no memory for the call")

// LimitCalls returns the options for a server of a HostListener, whose services are registered through
// CountCalls. While the memory for calls is used up, new ones are refused. Requests count against it
// while they are handled, also after the client has reset the stream, and answers wait until there
// is memory for them. The connection of an answer that cannot be sent is closed.
func LimitCalls() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InTapHandle(refuseWithoutMemory), grpc.UnaryInterceptor(limitAnswer)}
}

// refuseWithoutMemory refuses a call when the memory of its connection's class is used up, or too
// little is left for the length that its request announces.
func refuseWithoutMemory(ctx context.Context, info *tap.Info) (context.Context, error) {
	c, ok := connOfCall(ctx)
	if !ok {
		return ctx, nil
	}
	ctx, ok = c.acceptCall(ctx, messenger.AnnouncedSize(info.Header))
	if !ok {
		return ctx, ErrNoCallMemory
	}
	return ctx, nil
}

// limitAnswer waits for the memory of the answer to a call.
func limitAnswer(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	reply, err := handler(ctx, request)
	if err != nil {
		return nil, err
	}
	c, ok := connOfCall(ctx)
	if n := messageBytes(reply); ok && n > freeBytes && !c.reserveReply(n) {
		return nil, errClosed
	}
	return reply, nil
}

// connOfCall returns the connection of a call.
func connOfCall(ctx context.Context) (*HostConn, bool) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil, false
	}
	address, ok := p.Addr.(hostAddr)
	return address.conn, ok
}

// messageBytes returns the encoded length of a message.
func messageBytes(message any) int64 {
	m, ok := message.(proto.Message)
	if !ok {
		return 0
	}
	return int64(proto.Size(m))
}

// setTimeout applies unackedTimeout to a TCP connection.
func setTimeout(conn net.Conn) {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the other side has disconnected.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
