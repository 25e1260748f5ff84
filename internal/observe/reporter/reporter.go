// Package reporter gives the parts of a process their logs, metrics and trace
// spans.
package reporter

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// interval is how often metrics are passed to the metrics page.
const interval = time.Second

// Log returns a logger whose lines start with prefix.
func Log(w io.Writer, prefix string) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Prefix:          prefix,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// Metrics is the root of a process's metrics and the page that shows them.
type Metrics struct {
	Scope  tally.Scope
	Page   http.Handler
	closer io.Closer
}

// NewMetrics returns metrics whose names start with "gentianpond".
func NewMetrics() *Metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "gentianpond",
		CachedReporter: r,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus refuses names with dots.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{Scope: scope, Page: r.HTTPHandler(), closer: closer}
}

// Close passes the last values on and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
