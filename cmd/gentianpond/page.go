package main

import (
	"net/http"
	"net/netip"
	"time"

	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
)

const (
	// headerTimeout bounds the time for the head of a request. Operators and backend
	// servers send it in one piece.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay unused. Backend servers check in
	// several times a minute.
	idleTimeout = 2 * time.Minute
)

// addPage serves HTTP at an address.
func addPage(group *runner.Group, address netip.AddrPort, handler http.Handler) {
	page := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.AddServer(page.ListenAndServe, func() { _ = page.Close() })
}

// addMetrics serves the metrics page unless there is no address for it.
func addMetrics(group *runner.Group, metrics *reporter.Metrics, address netip.AddrPort) {
	if !address.IsValid() {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Page)
	addPage(group, address, mux)
}
