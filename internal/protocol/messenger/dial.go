// Package messenger holds the inner protocol: the messages and services
// between the processes of one gentianpond system, and the options of its
// connections.
package messenger

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// MaxMessageBytes is the size of the largest message that a process sends or accepts.
// The largest one is a snapshot of the control state.
const MaxMessageBytes = 64 << 20

// MaxDocumentBytes is the size of the largest routing document. Compressed, such a
// document fits into one record of the log.
const MaxDocumentBytes = 8 << 20

// pingInterval is how long a connection may be idle before the client pings the
// server. grpc allows no less than 10 s on the client side.
const pingInterval = 10 * time.Second

// pingTimeout is how long a ping may stay unanswered before the connection is
// closed.
const pingTimeout = 3 * time.Second

const (
	// maxHeaderListBytes bounds the header fields of a call, as HTTP/2 counts them (RFC 9113,
	// section 6.5.2). Those of hosts have less than 1 KiB, with the context of a trace.
	maxHeaderListBytes = 4 << 10
	// handshakeTimeout bounds the time from the start of a connection to the end of the
	// handshake of HTTP/2.
	handshakeTimeout = 5 * time.Second
)

// Dial creates a connection to the process at addr; it connects on first use.
// Retries, service configuration and health checks of grpc are disabled, because
// callers decide which calls may be sent twice. grpc still resends a call that it
// believes the server never processed, so a receiver that must not run a call
// twice has to detect duplicates. The extra options are applied last.
func Dial(addr netip.AddrPort, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableHealthCheck(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes), grpc.ForceCodecV2(codec{})),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
	}, extra...)
	return grpc.NewClient("passthrough:///"+addr.String(), options...)
}

// FromAddress is an option of Dial: the connection comes from a local IP address, by which other hosts
// recognize this one. It changes nothing for an address from which the other process cannot be reached:
// one that is unspecified, of the other IP version, or a loopback address if that of the process is none.
func FromAddress(local netip.Addr) grpc.DialOption {
	dialer := net.Dialer{
		// The times are those of the system, as without this option.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: -1, Interval: -1, Count: -1},
	}
	bound := dialer
	bound.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		if to, err := netip.ParseAddrPort(address); err == nil && reaches(local, to.Addr()) {
			return bound.DialContext(ctx, "tcp", address)
		}
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// reaches reports whether a connection from a local address can reach another one.
func reaches(local, to netip.Addr) bool {
	return local.IsValid() && !local.IsUnspecified() && local.Is4() == to.Is4() && local.IsLoopback() == to.IsLoopback()
}

// NewServer returns a grpc server with the message, header and ping limits of the inner
// protocol. The extra options are applied last.
func NewServer(extra ...grpc.ServerOption) *grpc.Server {
	options := append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	}, extra...)
	return grpc.NewServer(options...)
}
