package main

import (
	"context"
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
	demoArchive = "albums"
	demoShards  = 4
	// demoReplicas is the number of backend servers for each shard.
	demoReplicas = 2
	// demoTimeout bounds the time until the last answer.
	demoTimeout = 30 * time.Second
)

// demoSection is the section of the configuration document with demoArchive.
const demoSection = `{
	// The archive of the demonstration.
	"archives": {"albums": {"deadline": "400ms", "shards": 4}},
}`

func newDemoCommand() command {
	sub := newSubcommand("demo", helpDemo)
	var stay, verbose bool
	sub.Bool(&stay, "", "stay", "Stay up after the two answers.")
	sub.Bool(&verbose, "", "verbose", "Show the logs of the hosts.")
	return command{sub: sub, run: func(context.Context) error {
		logOutput := io.Discard
		if verbose {
			logOutput = os.Stderr
		}
		return runDemo(stay, logOutput)
	}}
}

// demo is the system that the demo command runs.
type demo struct {
	// logOutput takes the log lines of all hosts.
	logOutput io.Writer
	// dataDir is the parent of the control host's data folder.
	dataDir string
	// controlAddr is the inner address of the control host.
	controlAddr netip.AddrPort
	entryHosts  []*gateway.Gateway
}

// runDemo runs the demonstration, which stays up after the two answers if stay is
// set. The hosts log to logOutput.
func runDemo(stay bool, logOutput io.Writer) (err error) {
	dataDir, err := os.MkdirTemp("", "gentianpond-demo-")
	if err != nil {
		return errors.Wrap(err, "create data folder")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dataDir)) }()
	metrics := reporter.NewMetrics()
	defer func() { err = errors.Join(err, metrics.Close()) }()
	d := &demo{logOutput: logOutput, dataDir: dataDir}
	var group runner.Group
	if err := d.addControlHost(&group, metrics); err != nil {
		return err
	}
	for i := range 2 {
		if err := d.addEntryHost(&group, metrics, i); err != nil {
			return err
		}
	}
	group.Add(func(ctx context.Context) error { return d.runScenario(ctx, stay) })
	return group.Run()
}

// addControlHost forms a group of one control host and adds the host to the process
// group.
func (d *demo) addControlHost(group *runner.Group, metrics *reporter.Metrics) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for control host")
	}
	d.controlAddr = l.Addr().(*net.TCPAddr).AddrPort()
	s := server.Settings{
		Name: "control-1", Zone: "zone-1", Inner: d.controlAddr, Data: filepath.Join(d.dataDir, "control-1"), Listener: l, CheckDocument: checkDocument,
		Hosts: []repairer.Host{{Name: "control-1", Zone: "zone-1", Address: d.controlAddr}},
	}
	logger := reporter.NewLogger(d.logOutput, "control control-1")
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

// addEntryHost makes the entry host with the index i and adds it to the process group.
func (d *demo) addEntryHost(group *runner.Group, metrics *reporter.Metrics, i int) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	name := fmt.Sprintf("entry-%d", i+1)
	s := loader.EntrySettings{Name: name, Zone: demoZone(i), Listen: loopback, Inner: loopback, Control: []netip.AddrPort{d.controlAddr}}
	traces, err := reporter.NewTraces("")
	if err != nil {
		return err
	}
	g, err := gateway.New(s, reporter.NewLogger(d.logOutput, "entry "+name), metrics, traces)
	if err != nil {
		return err
	}
	g.AddTo(group)
	d.entryHosts = append(d.entryHosts, g)
	return nil
}

// demoZone returns the name of the zone with the index i, counted from 0.
func demoZone(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// runScenario configures the archive, starts the backend servers, and sends a search
// and an order. It returns runner.ErrStopped on success, which stops the group.
func (d *demo) runScenario(ctx context.Context, stay bool) error {
	limitedCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	control := &controlHosts{addressList: d.controlAddr.String()}
	err := control.applyChange(limitedCtx, &messenger.ChangeRequest{Id: "demo-1", Team: "counter", Section: []byte(demoSection), Author: "demo"})
	if err != nil {
		return errors.Wrap(err, "configure archive")
	}
	if err := d.startSearchers(ctx); err != nil {
		return err
	}
	if err := d.waitForSettledView(limitedCtx); err != nil {
		return err
	}
	entry := d.entryHosts[0].Addr().String()
	if err := d.searchUntilComplete(limitedCtx, entry); err != nil {
		return err
	}
	if err := d.sendOrder(limitedCtx, entry); err != nil {
		return err
	}
	if !stay {
		return runner.ErrStopped
	}
	fmt.Println("entry hosts:", entry, d.entryHosts[1].Addr(), "control host:", d.controlAddr)
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-signalCtx.Done()
	return runner.ErrStopped
}

// startSearchers starts demoReplicas backend servers for each shard, each in
// another zone.
func (d *demo) startSearchers(ctx context.Context) error {
	var entries []netip.AddrPort
	for _, g := range d.entryHosts {
		entries = append(entries, g.Addr())
	}
	for shard := range uint32(demoShards) {
		for replica := range demoReplicas {
			_, err := searcher.Start(ctx, searcher.Settings{
				Name: fmt.Sprintf("searcher-%d-%d", shard, replica), Zone: demoZone(replica), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
				Slots: 3, Connections: 30, EntryAddresses: entries, Behavior: searcher.Behavior{Delay: 5 * time.Millisecond},
				Served: []searcher.ServedSnapshot{{Archive: demoArchive, Snapshot: "1", Count: demoShards, Shards: []uint32{shard}}},
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// waitForSettledView waits until every entry host has a settled view that lists all
// entry hosts. The view is the control hosts' list of entry hosts. It is settled when
// each of them has released the backend servers that the view assigns to others.
// While a view changes, a host refuses orders for backend servers that it has
// just gained, and such a refusal is final for the order's key.
func (d *demo) waitForSettledView(ctx context.Context) error {
	for ctx.Err() == nil {
		settled := 0
		for _, g := range d.entryHosts {
			s, err := fetchEntryStatus(ctx, g.Addr().String())
			if err != nil {
				return err
			}
			if s.Settled && len(s.Members) == len(d.entryHosts) {
				settled++
			}
		}
		if settled == len(d.entryHosts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("wait for entry hosts: view did not settle in time")
}

// fetchEntryStatus requests the status of the entry host at the address entry.
func fetchEntryStatus(ctx context.Context, entry string) (gateway.Status, error) {
	var s gateway.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/status", nil)
	if err != nil {
		return s, errors.Wrap(err, "create status request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "request status of entry host")
	}
	defer func() { _ = res.Body.Close() }()
	if err := decodeAnswer(res.Body, &s); err != nil {
		return s, errors.Wrap(err, "decode status of entry host")
	}
	return s, nil
}

// searchUntilComplete repeats one search until it covers every shard: entry hosts
// learn of the configuration and of backend servers with a delay.
func (d *demo) searchUntilComplete(ctx context.Context, entry string) error {
	var lastAnswer gateway.SearchAnswer
	for ctx.Err() == nil {
		var a gateway.SearchAnswer
		r := gateway.SearchRequest{ID: "demo-search", Archive: demoArchive, Query: []byte(`"wedding"`)}
		if err := postJSON(ctx, entry, "/v1/search", nil, r, &a); err != nil {
			return err
		}
		if a.Outcome == gateway.OutcomeRan && a.Coverage.Answered == demoShards {
			fmt.Println("search:")
			return printJSON(a)
		}
		lastAnswer = a
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Errorf("search: no complete answer in time; last outcome %q: %s", lastAnswer.Outcome, lastAnswer.Reason)
}

// sendOrder sends one order to the entry host at the address entry and prints the
// answer.
func (d *demo) sendOrder(ctx context.Context, entry string) error {
	var a gateway.OrderAnswer
	header := http.Header{gateway.IdempotencyKeyHeader: {fmt.Sprintf("%d-demo", time.Now().Unix())}}
	r := gateway.OrderRequest{ID: "demo-order", Archive: demoArchive, Body: []byte(`"memorial invoice 7"`)}
	if err := postJSON(ctx, entry, "/v1/order", header, r, &a); err != nil {
		return err
	}
	fmt.Println("order:")
	return printAnswer(a, a.Outcome, a.Reason)
}
