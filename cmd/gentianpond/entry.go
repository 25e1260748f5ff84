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

const helpEntry = `Run an entry host: take callers' requests and backend servers' announcements.

SIGTERM makes a planned stop: the host becomes unready, waits for the load
balancer, finishes everything in flight and exits with 0.`

func newEntry() command {
	sub := newSubcommand("entry", helpEntry)
	path := "entry.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, warnings, err := loader.ReadEntry(path)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		warn(path, warnings)
		return runEntry(s)
	}}
}

func runEntry(s loader.Entry) (err error) {
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	traces, err := reporter.NewTraces(s.Trace)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, traces.Close()) }()
	g, err := gateway.New(s, reporter.Log(os.Stderr, "entry "+s.Name), metrics, traces)
	if err != nil {
		return err
	}
	var group runner.Group
	g.AddTo(&group)
	group.AddSignalHandler(g.Drain)
	return group.Run()
}

func warn(path string, warnings []scanner.Fault) {
	for _, w := range warnings {
		fmt.Fprintf(os.Stderr, "%s: warning: %s\n", path, w)
	}
}
