package main

import (
	"net/http"
	"net/netip"
	"time"

	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
)

const (
	// headerTimeout bounds the time for reading a request's header. Operators and
	// backend servers send it in one piece.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed. Backend
	// servers check in several times a minute.
	idleTimeout = 2 * time.Minute
)

// addHTTPServer adds to the group an HTTP server that listens at address.
func addHTTPServer(group *runner.Group, address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.AddServer(server.ListenAndServe, func() { _ = server.Close() })
}

// addMetricsServer adds a server of the metrics page, unless the settings give no
// address for it. further adds further pages.
func addMetricsServer(group *runner.Group, metrics *reporter.Metrics, address netip.AddrPort, further ...func(*http.ServeMux)) {
	if !address.IsValid() {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler)
	for _, add := range further {
		add(mux)
	}
	addHTTPServer(group, address, mux)
}
