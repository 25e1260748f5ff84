package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/server"
	"gentianpond/internal/host/gateway"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/observe/reporter"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/loader"
	"gentianpond/test/fakes/searcher"
)

const helpDemo = `Run a small system in one process on loopback: a control host, two entry
hosts and fake backend servers. Answer one search and one order, then exit.

With --stay the system stays up until it is interrupted.`

// The size of the demonstration.
const (
	demoArchive  = "albums"
	demoShards   = 4
	demoReplicas = 2
	demoTimeout  = 30 * time.Second
)

const demoSection = `{
	// The archive of the demonstration.
	"archives": {"albums": {"deadline": "400ms", "shards": 4}},
}`

func newDemo() command {
	sub := newSubcommand("demo", helpDemo)
	var stay, verbose bool
	sub.Bool(&stay, "", "stay", "Stay up after the two answers.")
	sub.Bool(&verbose, "", "verbose", "Show the logs of the hosts.")
	return command{sub: sub, run: func(context.Context) error {
		logs := io.Discard
		if verbose {
			logs = os.Stderr
		}
		return runDemo(stay, logs)
	}}
}

// demo is the system of the demonstration.
type demo struct {
	logs    io.Writer
	folder  string
	control netip.AddrPort
	entries []*gateway.Gateway
}

func runDemo(stay bool, logs io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "gentianpond-demo-")
	if err != nil {
		return errors.Wrap(err, "make data folder")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	d := &demo{logs: logs, folder: folder}
	var group runner.Group
	if err := d.addControl(&group, metrics); err != nil {
		return err
	}
	for i := range 2 {
		if err := d.addEntry(&group, metrics, i); err != nil {
			return err
		}
	}
	group.Add(func(ctx context.Context) error { return d.drive(ctx, stay) })
	return group.Run()
}

func (d *demo) addControl(group *runner.Group, metrics *reporter.Metrics) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.control = l.Addr().(*net.TCPAddr).AddrPort()
	s := server.Settings{
		Name: "control-1", Zone: "zone-1", Inner: d.control, Data: filepath.Join(d.folder, "control-1"), Listener: l, CheckDocument: checkDocument,
		Hosts: []repairer.Host{{Name: "control-1", Zone: "zone-1", Address: d.control}},
	}
	logger := reporter.Log(d.logs, "control control-1")
	if err := server.Form(context.Background(), s, server.FormOptions{}, logger); err != nil {
		return err
	}
	c, err := server.New(s, logger, metrics.Scope)
	if err != nil {
		return err
	}
	group.Add(c.Run)
	return nil
}

func (d *demo) addEntry(group *runner.Group, metrics *reporter.Metrics, i int) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	name := fmt.Sprintf("entry-%d", i+1)
	s := loader.Entry{Name: name, Zone: demoZone(i), Listen: loopback, Inner: loopback, Control: []netip.AddrPort{d.control}}
	traces, err := reporter.NewTraces("")
	if err != nil {
		return err
	}
	g, err := gateway.New(s, reporter.Log(d.logs, "entry "+name), metrics, traces)
	if err != nil {
		return err
	}
	g.AddTo(group)
	d.entries = append(d.entries, g)
	return nil
}

func demoZone(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// drive configures the archive, starts the backend servers and sends a search
// and an order.
func (d *demo) drive(ctx context.Context, stay bool) error {
	timed, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	o := &operator{addresses: d.control.String()}
	err := o.apply(timed, &messenger.ChangeRequest{Id: "demo-1", Team: "counter", Section: []byte(demoSection), Author: "demo"})
	if err != nil {
		return errors.Wrap(err, "configure")
	}
	if err := d.startServers(ctx); err != nil {
		return err
	}
	if err := d.settle(timed); err != nil {
		return err
	}
	entry := d.entries[0].Addr().String()
	if err := d.search(timed, entry); err != nil {
		return err
	}
	if err := d.order(timed, entry); err != nil {
		return err
	}
	if !stay {
		return runner.ErrStopped
	}
	fmt.Println("entry hosts:", entry, d.entries[1].Addr(), "control host:", d.control)
	interrupted, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-interrupted.Done()
	return runner.ErrStopped
}

func (d *demo) startServers(ctx context.Context) error {
	var entries []netip.AddrPort
	for _, g := range d.entries {
		entries = append(entries, g.Addr())
	}
	for shard := range uint32(demoShards) {
		for replica := range demoReplicas {
			_, err := searcher.Start(ctx, searcher.Settings{
				Name: fmt.Sprintf("searcher-%d-%d", shard, replica), Zone: demoZone(replica), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
				Slots: 3, Connections: 30, Entries: entries, Behavior: searcher.Behavior{Delay: 5 * time.Millisecond},
				Served: []searcher.Served{{Archive: demoArchive, Snapshot: "1", Count: demoShards, Shards: []uint32{shard}}},
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// settle waits until every entry host knows a settled view of all of them.
// While a view changes, a host refuses orders for backend servers that it has
// just gained, and such a refusal is final for the order's key.
func (d *demo) settle(ctx context.Context) error {
	for ctx.Err() == nil {
		settled := 0
		for _, g := range d.entries {
			s, err := entryStatus(ctx, g.Addr().String())
			if err != nil {
				return err
			}
			if s.Settled && len(s.Members) == len(d.entries) {
				settled++
			}
		}
		if settled == len(d.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the view of the entry hosts did not settle in time")
}

func entryStatus(ctx context.Context, entry string) (gateway.Status, error) {
	var s gateway.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/status", nil)
	if err != nil {
		return s, errors.Wrap(err, "make request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "ask entry host")
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return s, errors.Wrap(err, "read status")
	}
	return s, nil
}

// search repeats one search until it covers every shard: backend servers and
// configuration take a moment to be known.
func (d *demo) search(ctx context.Context, entry string) error {
	var last gateway.SearchAnswer
	for ctx.Err() == nil {
		var a gateway.SearchAnswer
		r := gateway.SearchRequest{ID: "demo-search", Archive: demoArchive, Query: []byte(`"wedding"`)}
		if err := post(ctx, entry, "/v1/search", nil, r, &a); err != nil {
			return err
		}
		if a.Outcome == gateway.OutcomeRan && a.Coverage.Answered == demoShards {
			fmt.Println("search:")
			return printJSON(a)
		}
		last = a
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Errorf("no complete answer in time; the last one was %q: %s", last.Outcome, last.Reason)
}

func (d *demo) order(ctx context.Context, entry string) error {
	var a gateway.OrderAnswer
	header := http.Header{gateway.IdempotencyKeyHeader: {fmt.Sprintf("%d-demo", time.Now().Unix())}}
	r := gateway.OrderRequest{ID: "demo-order", Archive: demoArchive, Body: []byte(`"memorial invoice 7"`)}
	if err := post(ctx, entry, "/v1/order", header, r, &a); err != nil {
		return err
	}
	fmt.Println("order:")
	return printAnswer(a, a.Outcome, a.Reason)
}
