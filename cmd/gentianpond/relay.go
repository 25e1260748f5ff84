package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/forwarder"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/settings/loader"
	"gentianpond/platform"
)

const helpRelay = `Run an entry host that relays the requests of a routing table to backend servers.

The settings name some control hosts; the others are found through them. SIGTERM
makes a planned stop, SIGHUP reads the settings again.`

// clientMargin is how long before its objective an answer leaves an entry host at
// the most: two round trips of 6 ms, of which one opens the connection, and 3 ms
// of processing. It is less where the round trip is known to be shorter.
const clientMargin = 15 * time.Millisecond

func newRelay() command {
	sub := newSubcommand("relay", helpRelay)
	path := "relay.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, err := loader.ReadRelay(path)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		return runRelay(path, s)
	}}
}

func runRelay(path string, s loader.Relay) (err error) {
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	logger, logs := reporter.Stream(os.Stdout, "relay "+s.Name)
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
	group.Add(logs.Run)
	addMetrics(&group, metrics, s.Metrics)
	group.AddReload(path, func() error {
		fresh, err := loader.ReadRelay(path)
		if err == nil {
			f.SetSeeds(fresh)
		}
		return err
	}, logger)
	group.AddSignalHandler(f.Drain)
	return group.Run()
}
