package reporter

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/value/container"
)

const (
	// maxQueuedLines bounds the log lines that are queued for a slow reader. Further
	// lines are dropped and counted.
	maxQueuedLines = 4096
	// maxQueuedBytes bounds the memory of the queued lines in the same way.
	maxQueuedBytes = 1 << 20
	// maxLineBytes bounds a line, which may name the path and the id of a request. The rest is
	// cut off.
	maxLineBytes = 4 << 10
	// maxLinesPerSecond bounds the lines that are queued on average, and maxBurstLines
	// those that are queued at once. Lines over the limits are dropped and counted.
	maxLinesPerSecond = 200
	maxBurstLines     = 1000
)

// AsyncWriter queues log lines and writes them in Run, so that a reader that has
// stopped reading delays no request. Use NewAsyncLogger.
type AsyncWriter struct {
	// out is where Run writes the lines.
	out io.Writer

	// mu guards queue, queuedBytes, tokens and refillTime.
	mu sync.Mutex
	// queue holds the lines that Run has not written yet, and queuedBytes is their length.
	queue       container.Ring[[]byte]
	queuedBytes int
	// wake tells Run that lines are queued.
	wake chan struct{}
	// dropped counts the lines that exceeded a limit or could not be written, and
	// droppedMetric does so on the metrics page.
	dropped       atomic.Uint64
	droppedMetric tally.Counter
	// tokens is the number of lines that the rate limit admitted at refillTime.
	tokens float64
	// refillTime is when tokens was last brought up to date.
	refillTime time.Time
}

// NewAsyncLogger returns a logger that never waits for out, and the writer, whose Run has to
// be called. Lines are in the logfmt format and limited in rate. Those that are dropped
// are counted in scope.
func NewAsyncLogger(out io.Writer, prefix string, scope tally.Scope) (*log.Logger, *AsyncWriter) {
	w := &AsyncWriter{out: out, droppedMetric: scope.Counter("log_lines_dropped"), queue: container.NewRing[[]byte](maxQueuedLines), wake: make(chan struct{}, 1), tokens: maxBurstLines, refillTime: time.Now()}
	logger := log.NewWithOptions(w, log.Options{
		Prefix:          prefix,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger, w
}

// Write queues a line. It never fails: a line that exceeds the rate limit or finds
// the queue full is dropped and counted.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := clipLine(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(maxBurstLines, w.tokens+now.Sub(w.refillTime).Seconds()*maxLinesPerSecond)
	w.refillTime = now
	if w.tokens < 1 || w.queuedBytes+len(line) > maxQueuedBytes || !w.queue.Push(line) {
		w.countDropped()
		return len(p), nil
	}
	w.tokens--
	w.queuedBytes += len(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// clipLine returns a copy of a line that is cut off at maxLineBytes.
func clipLine(p []byte) []byte {
	if len(p) <= maxLineBytes {
		return bytes.Clone(p)
	}
	return append(bytes.Clone(p[:maxLineBytes-len(clipMark)]), clipMark...)
}

// clipMark ends a line that was cut off.
const clipMark = "...\n"

// Dropped returns the number of lines that exceeded a limit or could not be written.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// countDropped counts a line that is lost.
func (w *AsyncWriter) countDropped() {
	w.dropped.Add(1)
	w.droppedMetric.Inc(1)
}

// Run writes queued lines until ctx ends, and then those that are left.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.writeQueued()
			return ctx.Err()
		case <-w.wake:
			w.writeQueued()
		}
	}
}

// writeQueued writes lines to out until the queue is empty.
func (w *AsyncWriter) writeQueued() {
	for {
		w.mu.Lock()
		line, ok := w.queue.Pop()
		w.queuedBytes -= len(line)
		w.mu.Unlock()
		if !ok {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// The log itself fails, so that the error can only be counted.
			w.countDropped()
		}
	}
}
