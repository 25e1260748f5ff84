package forwarder

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gentianpond/internal/route/relayer"
	"gentianpond/internal/route/router"
)

// responseCPUTime is the CPU time on one whole core between the moment a response
// is due and its last byte: shard responses that arrive at that moment are read
// first. A host with a fifth of a core needs five times as long.
const responseCPUTime = 1700 * time.Microsecond

// transitTime returns the time that a request and its response spend between client
// and host: one round trip, another one if the client opened the connection for the
// request, and the CPU time of the response on a host that has coreShare of a core.
// It returns fallback if the round trip is not known, and never more than that.
func (c *clientConn) transitTime(fallback time.Duration, coreShare float64) time.Duration {
	rtt, ok := kernelRTT(c.Conn)
	if !ok {
		return fallback
	}
	if c.requests.Add(1) == 1 {
		rtt *= 2
	}
	return min(rtt+time.Duration(float64(responseCPUTime)/coreShare), fallback)
}

// kernelRTT returns the kernel's estimate of a connection's round-trip time.
func kernelRTT(c net.Conn) (time.Duration, bool) {
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

// transitRelayer is the RequestRelayer of a Forwarder. It sets the transit time of
// each request and ends the limit for reading its body.
type transitRelayer struct{ *Forwarder }

// Do relays a request.
func (e transitRelayer) Do(ctx context.Context, r relayer.Request) relayer.Answer {
	if c := connOf(ctx); c != nil {
		// An error means that the client has disconnected, which ends ctx.
		_ = c.Conn.SetReadDeadline(time.Time{})
		r.TransitTime = c.transitTime(e.adapter.ClientMargin, e.settings.Share)
	}
	return e.relayer.Do(ctx, r)
}

// Refuse rejects a request that cannot be served as it is.
func (e transitRelayer) Refuse(r *relayer.Request, reason relayer.Reason) relayer.Answer {
	return e.relayer.Refuse(r, reason)
}

// Table returns the routing table in force, or nil.
func (e transitRelayer) Table() *router.Table { return e.relayer.Table() }
