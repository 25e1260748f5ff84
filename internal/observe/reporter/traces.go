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

// traceFlushTimeout bounds the time that a stopping process spends on writing its
// last spans.
const traceFlushTimeout = 2 * time.Second

// Traces records trace spans and writes them to a file, one JSON object per span.
type Traces struct {
	// provider makes the tracers; without a file it records nothing.
	provider oteltrace.TracerProvider
	// stop writes the buffered spans and closes the file.
	stop func() error
}

// NewTraces returns traces that append spans to the file at path. With an empty path
// no spans are recorded.
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
	p := trace.NewTracerProvider(trace.WithBatcher(exporter, trace.WithBatchTimeout(reportInterval)))
	return &Traces{provider: p, stop: func() error { return stopTraces(p, f) }}, nil
}

// Tracer returns the tracer for one component of the process.
func (t *Traces) Tracer(component string) oteltrace.Tracer { return t.provider.Tracer(component) }

// GRPCOptions returns the options with which grpc records a span for each call and
// propagates the trace to the other process.
func (t *Traces) GRPCOptions() []otelgrpc.Option {
	return []otelgrpc.Option{otelgrpc.WithTracerProvider(t.provider), otelgrpc.WithPropagators(propagation.TraceContext{})}
}

// Close writes the spans that are still buffered and closes the file.
func (t *Traces) Close() error { return t.stop() }

// stopTraces writes the buffered spans within traceFlushTimeout and closes f.
func stopTraces(p *trace.TracerProvider, f *os.File) error {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	return errors.Join(p.Shutdown(ctx), f.Close())
}
