package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the exponential delay between two
	// attempts to connect to a server that is down.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

// markDown excludes a server from selection after a connection to it could not be
// opened, and retries in the background until it is connected or the server has left
// the registry. It handles a host without power, where every request waits for the
// dial timeout: probing with client requests would make all of those late.
func (r *Relayer) markDown(ctx context.Context, s *server) {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	r.config.Log.Warn("backend server is down", "server", s.Name, "service", s.Service, "address", s.Address)
	go func() {
		start := time.Now()
		for delay := minReconnectDelay; ; delay = min(2*delay, maxReconnectDelay) {
			timer := time.NewTimer(delay)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			if current := r.routing.Load().servers[s.Name]; current == nil || current.endpoint != s.endpoint {
				return
			} else if current.evacuated {
				continue
			}
			err := s.pool.Connect(ctx)
			if errors.Is(err, connector.ErrAtLimit) {
				// Only a new connection shows that the server can be reached: open ones may
				// hang. Those in use make room when they end.
				s.pool.CloseIdle()
			}
			if err == nil {
				s.down.Store(false)
				r.mu.Lock()
				r.linkWorks(time.Now(), s)
				r.mu.Unlock()
				r.config.Log.Info("backend server is up", "server", s.Name, "service", s.Service, "after", time.Since(start))
				return
			}
		}
	}()
}
