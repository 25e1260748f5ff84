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

// The intervals of the entry hosts' duties, as in package gateway.
const (
	plainRefresh = 20 * time.Millisecond
	plainTick    = 5 * time.Millisecond
)

// plainFleet is the backend servers as all baseline hosts know them: what one
// host is told, all know at once.
type plainFleet struct {
	hosts []*plainHost

	mu    sync.Mutex
	table tracker.Table
	built uint64
	known int
}

// plainHost is an entry host of the plain baseline. It calls every backend
// server itself within a static share of the server's slots, at least 1,
// without hedges, retries, lanes or ownership.
type plainHost struct {
	fleet       *plainFleet
	self        assigner.Member
	view        assigner.View
	document    checker.Document
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
}

func (x *system) buildBaseline(ctx context.Context, o options, section []byte) error {
	fleet := &plainFleet{}
	document, err := plainDocument(o, section)
	if err != nil {
		return err
	}
	for i := range x.shape.entries {
		l, err := net.Listen("tcp", loopback.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		h := newPlainHost(fleet, fmt.Sprintf("entry-%d", i+1), x.shape.zones[i%len(x.shape.zones)], document)
		fleet.hosts = append(fleet.hosts, h)
		s := &http.Server{Handler: h.mux(), ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = s.Serve(l) }()
		x.closers = append(x.closers, func() { _ = s.Close() })
		x.entries = append(x.entries, l.Addr().(*net.TCPAddr).AddrPort())
	}
	go fleet.run(ctx)
	return nil
}

// plainDocument is the configuration without hedges, retries and canaries.
func plainDocument(o options, section []byte) (checker.Document, error) {
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

func newPlainHost(fleet *plainFleet, name, zone string, document checker.Document) *plainHost {
	self := assigner.Member{Name: name, Zone: zone, Address: netip.AddrPort{}, Incarnation: seed}
	h := &plainHost{fleet: fleet, self: self, document: document, view: assigner.View{Number: 1, Members: []assigner.Member{self}}}
	forever := func() time.Time { return time.Now().Add(time.Hour) }
	h.dispatcher = dispatcher.New(self, forever, func(dispatcher.Observation) {})
	h.dispatcher.Adopt(h.view, true)
	h.coordinator = coordinator.New(self, h, tally.NoopScope)
	return h
}

// run refreshes the hosts as the loops of an entry host do.
func (f *plainFleet) run(ctx context.Context) {
	tick, refresh := time.NewTicker(plainTick), time.NewTicker(plainRefresh)
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

func (f *plainFleet) refresh(now time.Time) {
	f.mu.Lock()
	f.table.Expire(now)
	if f.table.Version() == f.built {
		f.mu.Unlock()
		return
	}
	usable := shared(f.table.Usable(now), len(f.hosts))
	f.built = f.table.Version()
	f.known = len(usable)
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.dispatcher.UpdateServers(now, usable)
		h.coordinator.Update(now, coordinator.NewDirectory(usable, h.view, h.document))
	}
}

// shared gives each of n hosts its static share of slots and connections.
func shared(servers []tracker.Server, n int) []tracker.Server {
	list := make([]tracker.Server, len(servers))
	for i, s := range servers {
		s.Slots = max(1, s.Slots/n)
		s.ConnectionLimit = max(1, s.ConnectionLimit/n)
		list[i] = s
	}
	return list
}

func (h *plainHost) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", h.handleSearch)
	mux.HandleFunc("POST /v1/announce", h.handleAnnounce)
	mux.HandleFunc("GET /v1/status", h.handleStatus)
	return mux
}

func (h *plainHost) handleAnnounce(w http.ResponseWriter, r *http.Request) {
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
	err = h.fleet.table.ApplyAnnouncement(time.Now(), a)
	h.fleet.mu.Unlock()
	if err == nil {
		h.coordinator.RecordLoad(time.Now(), a.ServerName, a.Load)
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleStatus tells as much of an entry host's status as start waits for.
func (h *plainHost) handleStatus(w http.ResponseWriter, _ *http.Request) {
	h.fleet.mu.Lock()
	known := h.fleet.known
	h.fleet.mu.Unlock()
	s := gateway.Status{Host: h.self.Name, Ready: true, Settled: true, Members: make([]string, len(h.fleet.hosts)), Servers: make([]gateway.ServerStatus, known)}
	for name, m := range h.coordinator.Directory().Snapshots() {
		if snapshot, ok := m.Pick(); ok {
			s.Archives = append(s.Archives, gateway.ArchiveSnapshot{Archive: name, Missing: snapshot.MissingShards()})
		}
	}
	_ = json.NewEncoder(w).Encode(s)
}

// handleSearch is the search of an entry host without leases and suspicion.
func (h *plainHost) handleSearch(w http.ResponseWriter, r *http.Request) {
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

// Scan calls the backend servers from this host. A sub-request that did not
// leave counts as failed, because the coordinator sends an unsent one again
// without taking it from the retry budget.
func (h *plainHost) Scan(ctx context.Context, _ assigner.Member, r *messenger.ScanRequest, each func(*messenger.ScanReply)) error {
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
