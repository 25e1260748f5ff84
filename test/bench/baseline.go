package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/host/gateway"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/coordinator"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/search/limiter"
	"gentianpond/internal/settings/checker"
)

// The intervals at which the baseline hosts refresh their servers and tick their
// dispatchers, as in package gateway.
const (
	baselineRefreshInterval = 20 * time.Millisecond
	baselineTickInterval    = 5 * time.Millisecond
)

// baselineFleet holds the baseline hosts and the backend servers known to them.
// They share one table of servers: what a server announces to one host, all hosts
// know at once.
type baselineFleet struct {
	hosts []*baselineHost

	mu          sync.Mutex
	serverTable tracker.Table
	// builtVersion is the version of serverTable that the hosts have.
	builtVersion uint64
	// usableServers is the number of backend servers that the hosts have.
	usableServers int
}

// baselineHost is an entry host of the plain baseline. It calls every backend
// server itself within a static share of the server's slots, at least 1,
// without hedges, retries, lanes or ownership.
type baselineHost struct {
	fleet       *baselineFleet
	self        assigner.Member
	view        assigner.View
	document    checker.Document
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
}

// buildBaseline starts the baseline hosts as the entry hosts of the system.
func (x *system) buildBaseline(ctx context.Context, o options, section []byte) error {
	fleet := &baselineFleet{}
	document, err := baselineDocument(o, section)
	if err != nil {
		return err
	}
	for i := range x.shape.entryCount {
		l, err := net.Listen("tcp", loopback.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		h := newBaselineHost(fleet, fmt.Sprintf("entry-%d", i+1), x.shape.zones[i%len(x.shape.zones)], document)
		fleet.hosts = append(fleet.hosts, h)
		s := &http.Server{Handler: h.mux(), ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = s.Serve(l) }()
		x.closers = append(x.closers, func() { _ = s.Close() })
		x.entryAddresses = append(x.entryAddresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	go fleet.run(ctx)
	return nil
}

// baselineDocument parses the configuration and turns hedges, retries and canaries
// off in it.
func baselineDocument(o options, section []byte) (checker.Document, error) {
	document, err := checker.ParseDocument("baseline", fmt.Appendf(nil, `{"bench": %s}`, section))
	if err != nil {
		return document, err
	}
	for _, s := range document.Sections {
		for i := range s.Archives {
			s.Archives[i].Hedge, s.Archives[i].Retry, s.Archives[i].Canary = 0, 0, checker.CanaryOff
		}
	}
	return document, nil
}

// newBaselineHost returns a host that is the only member of its view and holds its
// lease at all times.
func newBaselineHost(fleet *baselineFleet, name, zone string, document checker.Document) *baselineHost {
	self := assigner.Member{Name: name, Zone: zone, Address: netip.AddrPort{}, Incarnation: randomSeed}
	h := &baselineHost{fleet: fleet, self: self, document: document, view: assigner.View{Number: 1, Members: []assigner.Member{self}}}
	leaseEnd := func() time.Time { return time.Now().Add(time.Hour) }
	h.dispatcher = dispatcher.New(self, leaseEnd, func(dispatcher.Observation) {})
	h.dispatcher.Adopt(h.view, true)
	h.coordinator = coordinator.New(self, h, tally.NoopScope)
	return h
}

// run ticks and refreshes the hosts until ctx ends, as the loops of an entry host
// do.
func (f *baselineFleet) run(ctx context.Context) {
	tick, refresh := time.NewTicker(baselineTickInterval), time.NewTicker(baselineRefreshInterval)
	defer tick.Stop()
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, h := range f.hosts {
				h.dispatcher.Tick(ctx, now)
			}
		case now := <-refresh.C:
			f.refresh(now)
		}
	}
}

// refresh passes the usable backend servers to all hosts if they have changed.
func (f *baselineFleet) refresh(now time.Time) {
	f.mu.Lock()
	f.serverTable.Expire(now)
	if f.serverTable.Version() == f.builtVersion {
		f.mu.Unlock()
		return
	}
	usable := divideCapacity(f.serverTable.Usable(now), len(f.hosts))
	f.builtVersion = f.serverTable.Version()
	f.usableServers = len(usable)
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.dispatcher.UpdateServers(now, usable)
		h.coordinator.Update(now, coordinator.NewDirectory(usable, h.view, h.document))
	}
}

// divideCapacity returns the servers with the slots and connections that each of
// n hosts may use, at least 1 of both.
func divideCapacity(servers []tracker.Server, n int) []tracker.Server {
	list := make([]tracker.Server, len(servers))
	for i, s := range servers {
		s.Slots = max(1, s.Slots/n)
		s.ConnectionLimit = max(1, s.ConnectionLimit/n)
		list[i] = s
	}
	return list
}

func (h *baselineHost) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", h.handleSearch)
	mux.HandleFunc("POST /v1/announce", h.handleAnnounce)
	mux.HandleFunc("GET /v1/status", h.handleStatus)
	return mux
}

func (h *baselineHost) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := tracker.ParseJSON(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.fleet.mu.Lock()
	err = h.fleet.serverTable.ApplyAnnouncement(time.Now(), a)
	h.fleet.mu.Unlock()
	if err == nil {
		h.coordinator.RecordLoad(time.Now(), a.ServerName, a.Load)
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleStatus answers with the part of an entry host's status that isReady
// checks.
func (h *baselineHost) handleStatus(w http.ResponseWriter, _ *http.Request) {
	h.fleet.mu.Lock()
	known := h.fleet.usableServers
	h.fleet.mu.Unlock()
	s := gateway.Status{Host: h.self.Name, Ready: true, Settled: true, Members: make([]string, len(h.fleet.hosts)), Servers: make([]gateway.ServerStatus, known)}
	for name, m := range h.coordinator.Directory().Snapshots() {
		if snapshot, ok := m.Pick(); ok {
			s.Archives = append(s.Archives, gateway.ArchiveSnapshot{Archive: name, Missing: snapshot.MissingShards()})
		}
	}
	_ = json.NewEncoder(w).Encode(s)
}

// handleSearch answers a search as an entry host does, but without leases and
// suspects.
func (h *baselineHost) handleSearch(w http.ResponseWriter, r *http.Request) {
	var q gateway.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := gateway.SearchAnswer{ID: q.ID, Outcome: gateway.OutcomeNotRun, Hits: []json.RawMessage{}}
	settings, ok := h.coordinator.Directory().ArchiveSettings(q.Archive)
	if !ok {
		http.Error(w, "unknown archive", http.StatusNotFound)
		return
	}
	result, err := h.coordinator.Search(r.Context(), coordinator.Request{
		Archive: q.Archive, Lane: gateway.LaneInteractive, Body: q.Query, Deadline: time.Now().Add(settings.Deadline),
	})
	a.Snapshot = result.Snapshot
	a.Coverage = gateway.Coverage{Shards: result.Coverage.Shards, Answered: result.Coverage.Answered, Missing: result.Coverage.Missing}
	if err != nil {
		a.Code, a.Reason = "failed", err.Error()
		if errors.Is(err, coordinator.ErrNoAnswer) {
			a.Outcome = gateway.OutcomeUnknown
		}
	} else {
		a.Outcome = gateway.OutcomeRan
	}
	for _, body := range result.Bodies {
		var list []json.RawMessage
		if json.Unmarshal(body, &list) == nil {
			a.Hits = append(a.Hits, list...)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// Scan calls the backend servers from this host in place of a peer. A sub-request
// that was not sent counts as failed, because the coordinator sends an unsent one again
// without taking it from the retry budget.
func (h *baselineHost) Scan(ctx context.Context, _ assigner.Member, r *messenger.ScanRequest, each func(*messenger.ScanReply)) error {
	deadline := time.Now().Add(r.GetDeadline().AsDuration())
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, s := range r.GetSubrequests() {
		group.Go(func() {
			result := h.dispatcher.Do(ctx, dispatcher.Request{
				Server: s.GetServer(), Incarnation: s.GetIncarnation(), Path: caller.SearchPath, Lane: limiter.Interactive, Deadline: deadline,
				Message: caller.Message{
					Query: r.GetQuery(), Attempt: fmt.Sprint(s.GetAttempt()), Incarnation: s.GetIncarnation(), Archive: r.GetArchive(),
					Snapshot: r.GetSnapshot(), Shard: s.GetShard(), Body: r.GetBody(),
				},
			})
			if result.Status == caller.Unsent {
				result.Status = caller.Failed
			}
			mu.Lock()
			defer mu.Unlock()
			each(&messenger.ScanReply{Attempt: s.GetAttempt(), Shard: s.GetShard(), Status: uint32(result.Status), Body: result.Body, Snapshot: r.GetSnapshot()})
		})
	}
	group.Wait()
	return nil
}
