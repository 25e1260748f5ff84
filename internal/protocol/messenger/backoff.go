package messenger

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// minConnectTimeout is the least time that an attempt to connect gets, up to the first
// bytes from the other process; later attempts get longer. The SYN to a host that is
// powered off is lost, and TCP sends it again after a second. When all hosts come back
// within half a second, waiting for that would delay the first election.
const minConnectTimeout = 250 * time.Millisecond

// connectParams returns the timeouts of connection attempts. The delay between two
// attempts is at most a second: grpc's default of two minutes would outlast every
// lease.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  50 * time.Millisecond,
			Multiplier: 1.6,
			Jitter:     0.2,
			MaxDelay:   time.Second,
		},
		MinConnectTimeout: minConnectTimeout,
	}
}
