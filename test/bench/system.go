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

// startTimeout bounds the time until a system answers, poll is the pause
// between two looks.
const (
	startTimeout = 15 * time.Second
	poll         = 20 * time.Millisecond
)

// options say how a system is set up.
type options struct {
	// baseline builds the plain baseline.
	baseline bool
	// controls is the number of control hosts, 3 by default.
	controls int
	// settings are those of each archive, as in the configuration document.
	settings map[string]any
	behavior searcher.Behavior
	// onCrash is told which server a request crashed.
	onCrash func(server string)
}

// system is a running system. Callers reach it at entries.
type system struct {
	shape   shape
	entries []netip.AddrPort
	fakes   []*fake
	// counters is the entry hosts' scope; nil for the baseline.
	counters tally.TestScope
	control  *controlGroup
	client   *http.Client
	baseline bool
	// ctx ends with the system.
	ctx     context.Context
	closers []func()
}

// start builds a system and waits until every entry host knows every backend
// server.
func start(ctx context.Context, s shape, o options) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &system{shape: s, baseline: o.baseline, ctx: ctx, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}}
	x.closers = append(x.closers, cancel, x.client.CloseIdleConnections)
	section, err := json.Marshal(map[string]any{"archives": sections(s, o)})
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

func sections(s shape, o options) map[string]any {
	list := map[string]any{}
	for _, a := range s.archives {
		fields := map[string]any{"shards": a.shards}
		for key, value := range o.settings {
			fields[key] = value
		}
		list[a.name] = fields
	}
	return list
}

// stop ends the system in the reverse order of its start.
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
		f, err := startFake(x.ctx, s, x.entries, o.behavior, crash)
		if err != nil {
			return err
		}
		x.fakes = append(x.fakes, f)
		x.closers = append(x.closers, f.kill)
	}
	return shift(x.fakes, o.behavior.SlowEvery, seed)
}

func (x *system) buildDesign(ctx context.Context, o options, section []byte) error {
	if o.controls == 0 {
		o.controls = 3
	}
	control, err := startControl(ctx, o.controls, x.shape.zones)
	if err != nil {
		return err
	}
	x.control = control
	x.closers = append(x.closers, control.stopAll)
	x.counters = tally.NewTestScope("", nil)
	metrics := &reporter.Metrics{Scope: x.counters, Handler: http.NotFoundHandler()}
	traces, err := reporter.NewTraces("")
	if err != nil {
		return err
	}
	for i := range x.shape.entries {
		name := fmt.Sprintf("entry-%d", i+1)
		g, err := gateway.New(loader.EntrySettings{
			Name: name, Zone: x.shape.zones[i%len(x.shape.zones)], Listen: loopback, Inner: loopback, Control: control.addresses(),
		}, reporter.NewLogger(io.Discard, name), metrics, traces)
		if err != nil {
			return err
		}
		x.entries = append(x.entries, g.Addr())
		x.closers = append(x.closers, runGroup(g.AddTo))
	}
	_, err = control.change(ctx, &messenger.ChangeRequest{Id: "bench", Team: "bench", Section: section, Author: "bench"})
	return err
}

// runGroup runs a group and returns what stops it.
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
			fmt.Fprintln(os.Stderr, "bench: a host ended:", err)
		}
	}()
	return sync.OnceFunc(func() {
		close(end)
		<-done
	})
}

// waitReady waits until every entry host knows every backend server and all
// archives answer completely.
func (x *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := 0; i < len(x.entries); {
		if x.ready(ctx, x.entries[i]) {
			i++
			continue
		}
		select {
		case <-ctx.Done():
			var s gateway.Status
			err := x.get(context.WithoutCancel(ctx), x.entries[i], "/v1/status", &s)
			return errors.Errorf("entry host %d is not ready in time: %v, ready %t, settled %t, view %d, %d members, %d servers, %d archives", i+1, err, s.Ready, s.Settled, s.View, len(s.Members), len(s.Servers), len(s.Archives))
		case <-time.After(poll):
		}
	}
	return nil
}

func (x *system) ready(ctx context.Context, entry netip.AddrPort) bool {
	var s gateway.Status
	if err := x.get(ctx, entry, "/v1/status", &s); err != nil {
		return false
	}
	if !s.Ready || !s.Settled || len(s.Members) != len(x.entries) || len(s.Servers) != len(x.fakes) || len(s.Archives) != len(x.shape.archives) {
		return false
	}
	for _, a := range s.Archives {
		if len(a.Missing) > 0 {
			return false
		}
	}
	return true
}

func (x *system) get(ctx context.Context, entry netip.AddrPort, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+path, nil)
	if err != nil {
		return err
	}
	return x.do(req, v)
}

func (x *system) post(ctx context.Context, entry netip.AddrPort, path string, header http.Header, body, v any) error {
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
	return x.do(req, v)
}

func (x *system) do(req *http.Request, v any) error {
	res, err := x.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v)
}

// counter returns the sum of a counter over all entry hosts and tags.
func (x *system) counter(name string) int64 {
	if x.counters == nil {
		return 0
	}
	var total int64
	for _, c := range x.counters.Snapshot().Counters() {
		if c.Name() == name {
			total += c.Value()
		}
	}
	return total
}

// controlGroup is a set of control hosts.
type controlGroup struct {
	folder string
	hosts  []repairer.Host
	scope  tally.TestScope
	stops  map[string]func()
	zones  []string
}

// startControl forms a group of control hosts and waits until all of them
// vote.
func startControl(ctx context.Context, count int, zones []string) (*controlGroup, error) {
	folder, err := os.MkdirTemp("", "gentianpond-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	g := &controlGroup{folder: folder, scope: tally.NewTestScope("", nil), stops: map[string]func(){}, zones: zones}
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
		if err := g.start(ctx, i, listeners[i], i == 0); err != nil {
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

func (g *controlGroup) start(ctx context.Context, i int, l net.Listener, form bool) error {
	h := g.hosts[i]
	s := server.Settings{
		Name: h.Name, Zone: h.Zone, Inner: h.Address, Data: filepath.Join(g.folder, h.Name), Hosts: g.hosts, CheckDocument: checkDocument, Listener: l,
	}
	logger := reporter.NewLogger(io.Discard, h.Name)
	if form {
		if err := server.Form(ctx, s, server.FormOptions{}, logger); err != nil {
			return err
		}
	}
	c, err := server.New(s, logger, g.scope)
	if err != nil {
		return err
	}
	g.stops[h.Name] = runGroup(func(group *runner.Group) { group.Add(c.Run) })
	return nil
}

func (g *controlGroup) stopAll() {
	for _, stop := range g.stops {
		stop()
	}
	if err := os.RemoveAll(g.folder); err != nil {
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

// checkDocument is the check that a document passes before it is accepted.
func checkDocument(text []byte) []scanner.Fault {
	_, err := checker.ParseDocument("document", text)
	return scanner.Faults(err)
}

// waitVoters waits until count control hosts vote.
func (g *controlGroup) waitVoters(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s, err := g.leader(ctx); err == nil && voters(s) == count {
			return nil
		}
		time.Sleep(poll)
	}
	return errors.Errorf("the control hosts have fewer than %d voters", count)
}

func voters(s *messenger.StatusReply) int {
	n := 0
	for _, v := range s.GetVoters() {
		if v.GetVoter() {
			n++
		}
	}
	return n
}

// leader returns the status of the leading control host.
func (g *controlGroup) leader(ctx context.Context) (*messenger.StatusReply, error) {
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

var errNoLeader = errors.New("no control host leads")

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

// change repeats a change, under the same id, until it is accepted.
func (g *controlGroup) change(ctx context.Context, r *messenger.ChangeRequest) (*messenger.ChangeReply, error) {
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
		time.Sleep(poll)
	}
	return nil, errors.Errorf("change %s was not accepted in time", r.GetId())
}
