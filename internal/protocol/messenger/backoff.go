package messenger

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

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
		MinConnectTimeout: time.Second,
	}
}
