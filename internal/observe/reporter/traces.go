package reporter

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// flushTimeout bounds the time that a stopping process spends on its spans.
const flushTimeout = 2 * time.Second

// Traces makes trace spans and writes them to a file, one JSON object a span.
type Traces struct {
	provider oteltrace.TracerProvider
	stop     func() error
}

// NewTraces writes spans to the file at path. An empty path makes no spans.
func NewTraces(path string) (*Traces, error) {
	if path == "" {
		return &Traces{provider: noop.NewTracerProvider(), stop: func() error { return nil }}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "start trace exporter"), f.Close())
	}
	p := trace.NewTracerProvider(trace.WithBatcher(exporter, trace.WithBatchTimeout(interval)))
	return &Traces{provider: p, stop: func() error { return stopTraces(p, f) }}, nil
}

// Tracer returns the tracer of one part.
func (t *Traces) Tracer(part string) oteltrace.Tracer { return t.provider.Tracer(part) }

// GRPC returns the options under which grpc makes a span for each call and
// carries the trace to the other side.
func (t *Traces) GRPC() []otelgrpc.Option {
	return []otelgrpc.Option{otelgrpc.WithTracerProvider(t.provider), otelgrpc.WithPropagators(propagation.TraceContext{})}
}

// Close writes the spans that are still held.
func (t *Traces) Close() error { return t.stop() }

func stopTraces(p *trace.TracerProvider, f *os.File) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return errors.Join(p.Shutdown(ctx), f.Close())
}
