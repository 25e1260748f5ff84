package main

import (
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"gentianpond/internal/host/acceptor"
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
	// bodyTimeout bounds the time for reading the body of a request.
	bodyTimeout = 10 * time.Second
	// runtimeMemoryShare is the share of the memory of the host up to which the Go runtime
	// collects garbage no more often than usual. The rest is left to the program's code and to
	// what is not collected in time.
	runtimeMemoryShare = 0.55
)

// addHTTPServer adds to the group an HTTP server that listens at address. The limits of its clients
// are in config.
func addHTTPServer(group *runner.Group, address netip.AddrPort, handler http.Handler, config acceptor.Config) {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	acceptor.Attach(server)
	config.BodyTime = bodyTimeout
	group.AddServer(func() error {
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			return err
		}
		return server.Serve(acceptor.New(l, config))
	}, func() { _ = server.Close() })
}

// addMetricsServer adds a server of the metrics page, unless the settings give no
// address for it. further adds further pages.
func addMetricsServer(
	group *runner.Group, metrics *reporter.Metrics, address netip.AddrPort, config acceptor.Config, further ...func(*http.ServeMux),
) {
	if !address.IsValid() {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler)
	for _, add := range further {
		add(mux)
	}
	config.Name, config.Scope = "metrics", metrics.Scope
	addHTTPServer(group, address, mux, config)
}

// limitMemory makes the Go runtime collect garbage more often when the process approaches the
// memory of the host.
func limitMemory(bytes int64) { debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(bytes))) }
