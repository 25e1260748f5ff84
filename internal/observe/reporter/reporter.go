// Package reporter creates the loggers, metrics and trace spans of a process.
package reporter

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often metric values are passed to the metrics page and
// finished spans are written to the trace file.
const reportInterval = time.Second

// NewLogger returns a logger whose lines start with prefix.
func NewLogger(w io.Writer, prefix string) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Prefix:          prefix,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// Metrics holds the metrics of a process.
type Metrics struct {
	// Scope is the root under which metrics are created.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// closer stops the reporting of Scope.
	closer io.Closer
}

// NewMetrics returns metrics whose names start with "gentianpond".
func NewMetrics() *Metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "gentianpond",
		CachedReporter: r,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus rejects names with dots.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: r.HTTPHandler(), closer: closer}
}

// Close passes the last values to the metrics page and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
