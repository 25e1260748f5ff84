package relayer

import (
	"context"
	"time"
)

const (
	// downFirst and downMost bound the pause between two attempts to connect to a
	// server that is down.
	downFirst = 100 * time.Millisecond
	downMost  = 500 * time.Millisecond
)

// takeDown keeps requests away from a server to which no connection could be
// opened, and tries to connect until it succeeds or the server has gone. It
// answers the pattern of a host without power: every request that is sent there
// waits for the dial timeout, and a share of requests spent on finding out
// whether it is back would all be late.
func (r *Relayer) takeDown(ctx context.Context, s *server) {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	r.config.Log.Warn("backend server is down", "server", s.Name, "service", s.Service, "address", s.Address)
	go func() {
		start := time.Now()
		for pause := downFirst; ; pause = min(2*pause, downMost) {
			timer := time.NewTimer(pause)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			if r.fleet.Load().servers[s.Name] != s {
				return
			}
			if s.pool.Connect(ctx) == nil {
				s.down.Store(false)
				r.config.Log.Info("backend server is up", "server", s.Name, "service", s.Service, "after", time.Since(start))
				return
			}
		}
	}()
}
