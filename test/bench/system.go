package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/server"
	"gentianpond/internal/host/gateway"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
	"gentianpond/internal/settings/scanner"
	"gentianpond/test/fakes/searcher"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

const (
	// startTimeout bounds the wait until a system is ready and until a change is
	// accepted or in force.
	startTimeout = 15 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// options holds the settings of a system that its shape leaves open.
type options struct {
	// baseline selects the plain baseline in place of the design.
	baseline bool
	// controlCount is the number of control hosts, 3 by default.
	controlCount int
	// archiveSettings are the settings of every archive, by their keys in the
	// configuration document.
	archiveSettings map[string]any
	// behavior is that of all fake backend servers.
	behavior searcher.Behavior
	// onCrash is called with the name of each backend server that a request
	// crashes.
	onCrash func(server string)
}

// system is a running system.
type system struct {
	shape shape
	// entryAddresses are the addresses at which entry hosts serve callers.
	entryAddresses []netip.AddrPort
	fakes          []*fakeServer
	// entryMetrics is the metrics scope of all entry hosts; nil for the baseline.
	entryMetrics tally.TestScope
	// control is nil for the baseline.
	control  *controlGroup
	client   *http.Client
	baseline bool
	// ctx ends when the system stops.
	ctx context.Context
	// closers stop what was started, in the order of the starts.
	closers []func()
}

// startSystem builds a system and waits until every entry host knows every
// backend server.
func startSystem(ctx context.Context, s shape, o options) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &system{shape: s, baseline: o.baseline, ctx: ctx, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}}
	x.closers = append(x.closers, cancel, x.client.CloseIdleConnections)
	section, err := json.Marshal(map[string]any{"archives": archiveSections(s, o)})
	if err != nil {
		return nil, err
	}
	build := x.buildDesign
	if o.baseline {
		build = x.buildBaseline
	}
	if err := errors.Join(build(ctx, o, section), x.startFakes(o)); err != nil {
		x.stop()
		return nil, err
	}
	if err := x.waitReady(ctx); err != nil {
		x.stop()
		return nil, err
	}
	return x, nil
}

// archiveSections returns the archives of the configuration document.
func archiveSections(s shape, o options) map[string]any {
	list := map[string]any{}
	for _, a := range s.archives {
		fields := map[string]any{"shards": a.shards}
		for key, value := range o.archiveSettings {
			fields[key] = value
		}
		list[a.name] = fields
	}
	return list
}

// stop stops the parts of the system in the reverse order of their start.
func (x *system) stop() {
	for i := len(x.closers) - 1; i >= 0; i-- {
		x.closers[i]()
	}
}

func (x *system) startFakes(o options) error {
	for _, s := range x.shape.searchers {
		var crash func()
		if o.onCrash != nil {
			crash = func() { o.onCrash(s.Name) }
		}
		f, err := startFakeServer(x.ctx, s, x.entryAddresses, o.behavior, crash)
		if err != nil {
			return err
		}
		x.fakes = append(x.fakes, f)
		x.closers = append(x.closers, f.kill)
	}
	return offsetSlowRequests(x.fakes, o.behavior.SlowEvery, randomSeed)
}

// buildDesign starts control hosts and entry hosts from the real packages and
// submits the configuration. Tables call this system "design".
func (x *system) buildDesign(ctx context.Context, o options, section []byte) error {
	if o.controlCount == 0 {
		o.controlCount = 3
	}
	control, err := startControlGroup(ctx, o.controlCount, x.shape.zones)
	if err != nil {
		return err
	}
	x.control = control
	x.closers = append(x.closers, control.stopAll)
	x.entryMetrics = tally.NewTestScope("", nil)
	metrics := &reporter.Metrics{Scope: x.entryMetrics, Handler: http.NotFoundHandler()}
	traces, err := reporter.NewTraces("")
	if err != nil {
		return err
	}
	for i := range x.shape.entryCount {
		name := fmt.Sprintf("entry-%d", i+1)
		g, err := gateway.New(loader.EntrySettings{
			Name: name, Zone: x.shape.zones[i%len(x.shape.zones)], Listen: loopback, Inner: loopback, Control: control.addresses(),
		}, reporter.NewLogger(io.Discard, name), metrics, traces)
		if err != nil {
			return err
		}
		x.entryAddresses = append(x.entryAddresses, g.Addr())
		x.closers = append(x.closers, runGroup(g.AddTo))
	}
	_, err = control.submitChange(ctx, &messenger.ChangeRequest{Id: "bench", Team: "bench", Section: section, Author: "bench"})
	return err
}

// runGroup runs the group that add fills. The returned function stops the group
// and waits for its end.
func runGroup(add func(*runner.Group)) (stop func()) {
	var group runner.Group
	add(&group)
	end := make(chan struct{})
	group.Add(func(ctx context.Context) error {
		select {
		case <-end:
		case <-ctx.Done():
		}
		return runner.ErrStopped
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := group.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "bench: host stopped with an error:", err)
		}
	}()
	return sync.OnceFunc(func() {
		close(end)
		<-done
	})
}

// waitReady waits until every entry host is ready, see isReady.
func (x *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := 0; i < len(x.entryAddresses); {
		if x.isReady(ctx, x.entryAddresses[i]) {
			i++
			continue
		}
		select {
		case <-ctx.Done():
			var s gateway.Status
			err := x.getJSON(context.WithoutCancel(ctx), x.entryAddresses[i], "/v1/status", &s)
			return errors.Errorf("entry host %d is not ready in time: %v, ready %t, settled %t, view %d, %d members, %d servers, %d archives", i+1, err, s.Ready, s.Settled, s.View, len(s.Members), len(s.Servers), len(s.Archives))
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// isReady reports whether an entry host is ready and settled, knows all members and
// backend servers, and has a server for each shard of all archives.
func (x *system) isReady(ctx context.Context, entry netip.AddrPort) bool {
	var s gateway.Status
	if err := x.getJSON(ctx, entry, "/v1/status", &s); err != nil {
		return false
	}
	if !s.Ready || !s.Settled || len(s.Members) != len(x.entryAddresses) || len(s.Servers) != len(x.fakes) || len(s.Archives) != len(x.shape.archives) {
		return false
	}
	for _, a := range s.Archives {
		if len(a.Missing) > 0 {
			return false
		}
	}
	return true
}

func (x *system) getJSON(ctx context.Context, entry netip.AddrPort, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+path, nil)
	if err != nil {
		return err
	}
	return x.doJSON(req, v)
}

func (x *system) postJSON(ctx context.Context, entry netip.AddrPort, path string, header http.Header, body, v any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	for key, values := range header {
		req.Header[key] = values
	}
	return x.doJSON(req, v)
}

// doJSON sends a request and decodes the body of the response, whatever its
// status, into v.
func (x *system) doJSON(req *http.Request, v any) error {
	res, err := x.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v)
}

// counterTotal returns the sum of a counter over all entry hosts and tags, and 0
// for the baseline, which has no metrics.
func (x *system) counterTotal(name string) int64 {
	if x.entryMetrics == nil {
		return 0
	}
	var total int64
	for _, c := range x.entryMetrics.Snapshot().Counters() {
		if c.Name() == name {
			total += c.Value()
		}
	}
	return total
}

// controlGroup is a set of control hosts.
type controlGroup struct {
	// dataDir holds the data folder of each host.
	dataDir string
	hosts   []repairer.Host
	metrics tally.TestScope
	// stopHosts holds the function that stops each started host, by host name.
	stopHosts map[string]func()
	zones     []string
}

// startControlGroup forms a group of control hosts and waits until all of them
// vote.
func startControlGroup(ctx context.Context, count int, zones []string) (*controlGroup, error) {
	folder, err := os.MkdirTemp("", "gentianpond-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	g := &controlGroup{dataDir: folder, metrics: tally.NewTestScope("", nil), stopHosts: map[string]func(){}, zones: zones}
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", loopback.String())
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, l)
		g.hosts = append(g.hosts, repairer.Host{
			Name: fmt.Sprintf("control-%d", i+1), Zone: zones[i%len(zones)], Address: l.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	// The host that forms the group asks the others, so it starts last.
	for i := count - 1; i >= 0; i-- {
		if err := g.startHost(ctx, i, listeners[i], i == 0); err != nil {
			g.stopAll()
			return nil, err
		}
	}
	if err := g.waitVoters(ctx, count); err != nil {
		g.stopAll()
		return nil, err
	}
	return g, nil
}

// startHost starts the i-th control host on the listener. With form it forms the
// group first.
func (g *controlGroup) startHost(ctx context.Context, i int, l net.Listener, form bool) error {
	h := g.hosts[i]
	s := server.Settings{
		Name: h.Name, Zone: h.Zone, Inner: h.Address, Data: filepath.Join(g.dataDir, h.Name), Hosts: g.hosts, CheckDocument: checkDocument, Listener: l,
	}
	logger := reporter.NewLogger(io.Discard, h.Name)
	if form {
		if err := server.Form(ctx, s, server.FormOptions{}, logger); err != nil {
			return err
		}
	}
	c, err := server.New(s, logger, g.metrics)
	if err != nil {
		return err
	}
	g.stopHosts[h.Name] = runGroup(func(group *runner.Group) { group.Add(c.Run) })
	return nil
}

// stopAll stops all hosts and removes their data.
func (g *controlGroup) stopAll() {
	for _, stop := range g.stopHosts {
		stop()
	}
	if err := os.RemoveAll(g.dataDir); err != nil {
		fmt.Fprintln(os.Stderr, "bench: remove data folder:", err)
	}
}

func (g *controlGroup) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range g.hosts {
		list = append(list, h.Address)
	}
	return list
}

// checkDocument returns the faults for which the control hosts refuse a document.
func checkDocument(text []byte) []scanner.Fault {
	_, err := checker.ParseDocument("document", text)
	return scanner.Faults(err)
}

// waitVoters waits until the group has count voters.
func (g *controlGroup) waitVoters(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s, err := g.leaderStatus(ctx); err == nil && voterCount(s) == count {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("the control hosts have fewer than %d voters", count)
}

func voterCount(s *messenger.StatusReply) int {
	n := 0
	for _, v := range s.GetVoters() {
		if v.GetVoter() {
			n++
		}
	}
	return n
}

// leaderStatus returns the status of the leading control host.
func (g *controlGroup) leaderStatus(ctx context.Context) (*messenger.StatusReply, error) {
	var last error
	for _, h := range g.hosts {
		var s *messenger.StatusReply
		last = g.call(ctx, h.Address, func(ctx context.Context, c messenger.ControlClient) error {
			var err error
			s, err = c.Status(ctx, &messenger.StatusRequest{})
			return err
		})
		if last == nil && s.GetRole() == "leader" {
			return s, nil
		}
	}
	return nil, errors.Wrapf(errNoLeader, "%v", last)
}

var errNoLeader = errors.New("no control host is the leader")

// call connects to a control host for one call, which may take a second.
func (g *controlGroup) call(ctx context.Context, host netip.AddrPort, call func(context.Context, messenger.ControlClient) error) error {
	conn, err := messenger.Dial(host)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return call(ctx, messenger.NewControlClient(conn))
}

// submitChange repeats a change, under the same id, until it is accepted. A
// refused change is not repeated.
func (g *controlGroup) submitChange(ctx context.Context, r *messenger.ChangeRequest) (*messenger.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range g.hosts {
			var reply *messenger.ChangeReply
			err := g.call(ctx, h.Address, func(ctx context.Context, c messenger.ControlClient) error {
				var err error
				reply, err = c.Change(ctx, r)
				return err
			})
			switch {
			case err != nil || reply.GetCode() == "" || reply.GetCode() == "unavailable":
			case reply.GetCode() == "accepted":
				return reply, nil
			default:
				return nil, errors.Errorf("change %s: %s %v", r.GetId(), reply.GetCode(), reply.GetFaults())
			}
		}
		time.Sleep(pollInterval)
	}
	return nil, errors.Errorf("change %s was not accepted in time", r.GetId())
}
