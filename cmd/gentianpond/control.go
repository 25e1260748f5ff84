package main

import (
	"context"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/server"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
	"gentianpond/internal/settings/scanner"
)

const helpControl = `Run a control host: keep the configuration, the order ledger and the view of
entry hosts, replicated with the other control hosts.

A host whose data folder is empty waits until the others add it to the group.`

// newControlCommand returns the command that runs a control host.
func newControlCommand() command {
	sub := newSubcommand("control", helpControl)
	path := "control.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, err := readControlSettings(path)
		if err != nil {
			return err
		}
		return runControlHost(s)
	}}
}

// readControlSettings reads the settings file of a control host and prints the
// warnings about it. Its error is errUsage.
func readControlSettings(path string) (loader.ControlSettings, error) {
	s, warnings, err := loader.ReadControl(path)
	if err != nil {
		return s, errors.Wrap(errUsage, err.Error())
	}
	printWarnings(path, warnings)
	return s, nil
}

// serverSettings converts the settings file to the settings of the control server.
func serverSettings(s loader.ControlSettings) server.Settings {
	settings := server.Settings{Name: s.Name, Zone: s.Zone, Inner: s.Inner, Data: s.Data, CheckDocument: checkDocument}
	for _, h := range s.Hosts {
		settings.Hosts = append(settings.Hosts, repairer.Host{Name: h.Name, Zone: h.Zone, Address: h.Address})
	}
	return settings
}

// runControlHost runs a control host until a signal stops it or a part of it fails.
func runControlHost(s loader.ControlSettings) (err error) {
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	c, err := server.New(serverSettings(s), reporter.NewLogger(os.Stderr, "control "+s.Name), metrics.Scope)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	var group runner.Group
	group.Add(c.Run)
	addHTTPServer(&group, s.Listen, mux, acceptor.Config{
		Limits: acceptor.SideLimits(acceptor.DefaultMemoryBytes, acceptor.DefaultFiles), Name: "metrics", Scope: metrics.Scope,
	})
	group.AddSignalHandler(nil)
	return group.Run()
}

// checkDocument returns the faults of a configuration document. A change is
// accepted only if the resulting document has none.
func checkDocument(text []byte) []scanner.Fault {
	_, err := checker.ParseDocument("document", text)
	return scanner.Faults(err)
}
