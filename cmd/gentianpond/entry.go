package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/gateway"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/settings/loader"
	"gentianpond/internal/settings/scanner"
)

const helpEntry = `Run an entry host: serve callers' requests and accept backend servers' announcements.

SIGTERM starts a graceful shutdown: the host reports that it is not ready, waits
for the load balancer, finishes all requests in flight and exits with 0.`

// newEntryCommand returns the command that runs an entry host.
func newEntryCommand() command {
	sub := newSubcommand("entry", helpEntry)
	path := "entry.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, warnings, err := loader.ReadEntry(path)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		printWarnings(path, warnings)
		return runEntryHost(s)
	}}
}

// runEntryHost runs an entry host until a signal stops it or a part of it fails.
func runEntryHost(s loader.EntrySettings) (err error) {
	limitMemory(s.MemoryBytes)
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	traces, err := reporter.NewTraces(s.Trace)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, traces.Close()) }()
	g, err := gateway.New(s, reporter.NewLogger(os.Stderr, "entry "+s.Name), metrics, traces)
	if err != nil {
		return err
	}
	var group runner.Group
	g.AddTo(&group)
	group.AddSignalHandler(g.Drain)
	return group.Run()
}

// printWarnings prints the warnings about the settings file at path to standard
// error.
func printWarnings(path string, warnings []scanner.Fault) {
	for _, w := range warnings {
		fmt.Fprintf(os.Stderr, "%s: warning: %s\n", path, w)
	}
}
