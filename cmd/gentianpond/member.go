package main

import (
	"context"
	"os"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/server"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/settings/loader"
	"gentianpond/platform"
)

const helpMember = `Run a control host of an open group: keep the routing document and the registry
of backend servers, replicated with the other control hosts.

The hosts find each other through the seeds in their settings. A host whose data
folder is empty joins the group that it finds.`

// newMemberCommand returns the command that runs a control host of an open group.
func newMemberCommand() command {
	sub := newSubcommand("member", helpMember)
	path := "member.json"
	sub.String(&path, "s", "settings", "File with the settings of this host.")
	return command{sub: sub, run: func(context.Context) error {
		s, err := loader.ReadMember(path)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		return runMemberHost(path, s)
	}}
}

// runMemberHost runs a control host of an open group with the settings s, which were
// read from the file at path. The seeds are read again when the file changes.
func runMemberHost(path string, s loader.MemberSettings) (err error) {
	limitMemory(s.MemoryBytes)
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	logger, logWriter := reporter.NewAsyncLogger(os.Stdout, "control "+s.Name, metrics.Scope)
	logger.Info("starting", "zone", s.Zone, "listen", s.Listen, "inner", s.Inner, "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	c, err := server.New(server.Settings{
		Name:      s.Inner.Addr().String(),
		Zone:      s.Zone,
		Zones:     s.Zones,
		Inner:     s.Inner,
		Data:      s.Data,
		Seeds:     s.Seeds,
		Bootstrap: s.Bootstrap,
		Voters:    2*s.Losses + 1,
		Grace:     s.Grace,

		MemoryBytes: s.MemoryBytes,
		Files:       s.Files,
	}, logger, metrics.Scope)
	if err != nil {
		return err
	}
	var group runner.Group
	group.Add(c.Run)
	group.Add(logWriter.Run)
	addHTTPServer(&group, s.Listen, platform.NewControlHandler(c, s.Listen.Port(), logger), acceptor.Config{
		Limits: acceptor.ClientLimits(s.MemoryBytes, s.Files), Name: "operators", Log: logger, Scope: metrics.Scope,
	})
	addMetricsServer(&group, metrics, s.Metrics, acceptor.Config{Limits: acceptor.SideLimits(s.MemoryBytes, s.Files), Log: logger})
	group.AddReload(path, func() error {
		reloaded, err := loader.ReadMember(path)
		if err == nil {
			c.SetSeeds(reloaded.Seeds)
		}
		return err
	}, logger)
	group.AddSignalHandler(func(ctx context.Context) { logger.Info("stopping") })
	return group.Run()
}
