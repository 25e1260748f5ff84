package reporter

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is an output that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBlockedOutput guards against a reader of the logs that stands still and
// delays requests, and against lines that are lost without a count.
func TestBlockedOutput(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	logger, w := Stream(out, "test")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	const lines = 3 * streamBurst
	start := time.Now()
	for i := range lines {
		logger.Info("line", "number", i)
	}
	require.Less(t, time.Since(start), time.Second)
	require.Positive(t, w.Dropped())
	close(out.release)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	out.mu.Lock()
	defer out.mu.Unlock()
	require.EqualValues(t, lines, uint64(strings.Count(out.text.String(), "\n"))+w.Dropped())
}
