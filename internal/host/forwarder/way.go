package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gentianpond/internal/route/relayer"
	"gentianpond/internal/route/router"
)

// processing is the processor time that stands between an answer that is due and
// its last byte, on a whole core: the parts that arrive together with the due
// time are read first. A host with a fifth of a core needs five times as long.
const processing = 1700 * time.Microsecond

// clientConn is one connection of a client.
type clientConn struct {
	conn     net.Conn
	requests atomic.Int64
}

type clientKey struct{}

// withClient remembers the connection of a request.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, &clientConn{conn: c})
}

// way returns the time that a request and its answer spend on the way: one round
// trip, and one more if the client opened the connection for it. It is the
// default where the round trip is not known, and never more. Share is the part of
// a core that this host has.
func (c *clientConn) way(def time.Duration, share float64) time.Duration {
	rtt, ok := roundTrip(c.conn)
	if !ok {
		return def
	}
	if c.requests.Add(1) == 1 {
		rtt *= 2
	}
	return min(rtt+time.Duration(float64(processing)/share), def)
}

// roundTrip returns the kernel's estimate for a connection.
func roundTrip(c net.Conn) (time.Duration, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) { info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || failure != nil || info.Rtt == 0 {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}

// entry is what the clients' interface needs of this host.
type entry struct{ *Forwarder }

// Do carries a request.
func (e entry) Do(ctx context.Context, r relayer.Request) relayer.Answer {
	if c, ok := ctx.Value(clientKey{}).(*clientConn); ok {
		r.Way = c.way(e.dialect.ClientMargin, e.settings.Share)
	}
	return e.relayer.Do(ctx, r)
}

// Refuse ends a request that cannot be served as it is.
func (e entry) Refuse(r *relayer.Request, reason relayer.Reason) relayer.Answer {
	return e.relayer.Refuse(r, reason)
}

// Table returns the routing table in force, or nil.
func (e entry) Table() *router.Table { return e.relayer.Table() }
