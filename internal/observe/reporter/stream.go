package reporter

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"gentianpond/internal/value/container"
)

const (
	// streamLines is the number of log lines that wait for a slow reader. More
	// are dropped and counted.
	streamLines = 4096
	// streamRate is the number of lines a second that are written on average, and
	// streamBurst how many may be written at once.
	streamRate  = 200
	streamBurst = 1000
)

// Writer writes log lines from a bounded ring, so that a reader that stands
// still delays nothing. Use Stream.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	lines   container.Ring[[]byte]
	filled  chan struct{}
	dropped atomic.Uint64
	tokens  float64
	at      time.Time
}

// Stream returns a logger that never waits for its output, and the writer that
// has to run. Lines are logfmt and bounded in number.
func Stream(out io.Writer, prefix string) (*log.Logger, *Writer) {
	w := &Writer{out: out, lines: container.NewRing[[]byte](streamLines), filled: make(chan struct{}, 1), tokens: streamBurst, at: time.Now()}
	logger := log.NewWithOptions(w, log.Options{
		Prefix:          prefix,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger, w
}

// Write queues a line. It never fails: a line for which there is no room is
// counted, and the number is logged with the next line that finds room.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(streamBurst, w.tokens+now.Sub(w.at).Seconds()*streamRate)
	w.at = now
	if w.tokens < 1 || !w.lines.Push(line) {
		w.dropped.Add(1)
		return len(p), nil
	}
	w.tokens--
	select {
	case w.filled <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns the number of lines for which there was no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case <-w.filled:
			w.flush()
		}
	}
}

func (w *Writer) flush() {
	for {
		w.mu.Lock()
		line, ok := w.lines.Pop()
		w.mu.Unlock()
		if !ok {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// Nothing is left to report to.
			w.dropped.Add(1)
		}
	}
}
