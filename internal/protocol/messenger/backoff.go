package messenger

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectTimeout is the least time that an attempt to connect gets, including the
// first bytes of the other process; later attempts get longer. The opening packet
// to a host that has no power is lost and sent again after a second. When all hosts
// come back within half a second, waiting for that would delay the first election.
const connectTimeout = 250 * time.Millisecond

// connectParams keeps reconnection quick: grpc's default waits up to two
// minutes, which would outlast every lease.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  50 * time.Millisecond,
			Multiplier: 1.6,
			Jitter:     0.2,
			MaxDelay:   time.Second,
		},
		MinConnectTimeout: connectTimeout,
	}
}
