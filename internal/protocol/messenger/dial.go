// Package messenger holds the inner protocol: the messages and services
// between the processes of one gentianpond system, and the options under
// which its connections are made.
package messenger

import (
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// MaxMessage is the largest message in bytes that a process accepts. A
// snapshot of the control state is the largest one sent.
const MaxMessage = 64 << 20

// MaxDocument is the largest routing document in bytes. Packed, it fits into one
// record of the log.
const MaxDocument = 8 << 20

// pingInterval is how long a connection may be silent before it is probed.
// grpc allows no less than 10 s on the client side.
const pingInterval = 10 * time.Second

// pingTimeout is how long a probe may stay unanswered.
const pingTimeout = 3 * time.Second

// Dial prepares a connection to a process at addr; it connects on first use.
// Retries, service configuration and health checks of grpc are off: the
// system decides by itself what may be sent twice. grpc still resends a call
// that it believes the server never processed, so a receiver that must not
// run a call twice has to recognise the second arrival.
func Dial(addr netip.AddrPort, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableHealthCheck(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
	}, extra...)
	return grpc.NewClient("passthrough:///"+addr.String(), options...)
}

// NewServer returns a grpc server with the limits of the inner protocol.
func NewServer(extra ...grpc.ServerOption) *grpc.Server {
	options := append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	}, extra...)
	return grpc.NewServer(options...)
}
