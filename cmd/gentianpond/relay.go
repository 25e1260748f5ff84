package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/host/forwarder"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/settings/loader"
	"gentianpond/platform"
)

const helpRelay = `Run an entry host that relays the requests of a routing table to backend servers.

The settings name some control hosts; the others are found through them. SIGTERM
starts a graceful shutdown, SIGHUP reloads the settings.`

// clientMargin is the time reserved for the transfer of a request from the client
// and of its response back, so that the response arrives within the latency
// objective: two round trips of 6 ms, of which one opens the connection, and 3 ms
// of processing. Less is reserved where the round trip is known to be shorter.
const clientMargin = 15 * time.Millisecond

// newRelayCommand returns the command that runs an entry host that forwards
// requests by a routing table.
func newRelayCommand() command {
	sub := newSubcommand("relay", helpRelay)
	path := "relay.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, err := loader.ReadRelay(path)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		return runRelayHost(path, s)
	}}
}

// runRelayHost runs an entry host that forwards requests by a routing table, with the
// settings s, which were read from the file at path. The seeds are read again when
// the file changes.
func runRelayHost(path string, s loader.RelaySettings) (err error) {
	limitMemory(s.MemoryBytes)
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	logger, logWriter := reporter.NewAsyncLogger(os.Stdout, "relay "+s.Name, metrics.Scope)
	f, err := forwarder.New(s, forwarder.Adapter{
		DecodeDocument:      platform.DecodeDocument,
		NewEntryHandler:     func(r forwarder.RequestRelayer) http.Handler { return platform.NewEntryHandler(r) },
		NewReadinessHandler: platform.NewReadinessHandler,
		Codec:               platform.Codec{},
		ClientMargin:        clientMargin,
	}, logger, metrics.Scope)
	if err != nil {
		return err
	}
	logger.Info("starting", "zone", s.Zone, "listen", s.Listen, "seeds", s.Seeds)
	var group runner.Group
	f.AddTo(&group)
	group.Add(logWriter.Run)
	addMetricsServer(&group, metrics, s.Metrics, acceptor.Config{Limits: acceptor.SideLimits(s.MemoryBytes, s.Files), Log: logger}, func(mux *http.ServeMux) { mux.Handle("POST "+placementPath, f.NewPlacementHandler()) })
	group.AddReload(path, func() error {
		reloaded, err := loader.ReadRelay(path)
		if err == nil {
			f.SetSeeds(reloaded)
		}
		return err
	}, logger)
	group.AddSignalHandler(f.Drain)
	return group.Run()
}
