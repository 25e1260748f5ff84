package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/sizer"
	"gentianpond/test/fakes/searcher"
)

// snapshotName is the only snapshot version of all archives.
const snapshotName = "1"

// fakeServer is a fake backend server that can be killed.
type fakeServer struct {
	*searcher.Server
	sizer.Searcher
	kill func()
}

// startFakeServer starts a fake that reports an uptime of an hour, so that entry
// hosts treat it as warmed up.
func startFakeServer(ctx context.Context, s sizer.Searcher, entries []netip.AddrPort, behavior searcher.Behavior, onCrash func()) (*fakeServer, error) {
	served := searcher.ServedSnapshot{Archive: s.Archive, Snapshot: snapshotName, Count: uint32(s.Count)}
	for _, shard := range s.Shards {
		served.Shards = append(served.Shards, uint32(shard))
	}
	ctx, cancel := context.WithCancel(ctx)
	server, err := searcher.Start(ctx, searcher.Settings{
		Name: s.Name, Zone: s.Zone, Listen: loopback, Slots: s.Slots, Connections: s.Connections, ConnectDelay: s.Connect,
		Served: []searcher.ServedSnapshot{served}, EntryAddresses: entries, Behavior: behavior, Uptime: time.Hour, OnCrash: onCrash,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return &fakeServer{Server: server, Searcher: s, kill: func() {
		cancel()
		server.Stop()
	}}, nil
}

// offsetSlowRequests sends each fake a seeded random number of requests that it
// rejects. A fake makes every n-th request slow; if all counted from 0, the slow
// requests of all shards would fall into the same searches.
func offsetSlowRequests(fakes []*fakeServer, every int, seed uint64) error {
	if every <= 1 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 16)
	failed := make(chan error, len(fakes))
	for _, f := range fakes {
		n := r.IntN(every)
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if err := sendRejected(f, n); err != nil {
				failed <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return errors.Wrap(err, "shift slow requests")
	default:
		return nil
	}
}

// sendRejected sends a fake n requests that it rejects.
func sendRejected(f *fakeServer, n int) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range n {
		res, err := client.Post("http://"+f.Addr().String()+"/search", "application/json", strings.NewReader("-"))
		if err != nil {
			return err
		}
		_ = res.Body.Close()
	}
	return nil
}

// requestCounts are the sums over the fakes of one archive. The field mostRunning
// is the largest number of requests that ran at one fake at the same time.
type requestCounts struct {
	searches, shed, cancelled, mostRunning, orders int
}

func sumCounts(fakes []*fakeServer, archive string) requestCounts {
	var c requestCounts
	for _, f := range fakes {
		if f.Archive != archive {
			continue
		}
		s := f.Stats()
		c.searches += s.Searches
		c.shed += s.Shed
		c.cancelled += s.Cancelled
		c.mostRunning = max(c.mostRunning, s.MaxRunning)
		for _, n := range s.Orders {
			c.orders += n
		}
	}
	return c
}

// since returns what was counted after the earlier counts. The field mostRunning
// keeps its value, which is that since the start of the fakes.
func (c requestCounts) since(earlier requestCounts) requestCounts {
	c.searches -= earlier.searches
	c.shed -= earlier.shed
	c.cancelled -= earlier.cancelled
	c.orders -= earlier.orders
	return c
}
