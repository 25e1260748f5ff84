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

// fake is a fake backend server that can be killed.
type fake struct {
	*searcher.Server
	sizer.Searcher
	kill func()
}

// startFake starts a fake that is warm.
func startFake(ctx context.Context, s sizer.Searcher, entries []netip.AddrPort, behavior searcher.Behavior, onCrash func()) (*fake, error) {
	served := searcher.Served{Archive: s.Archive, Snapshot: snapshotName, Count: uint32(s.Count)}
	for _, shard := range s.Shards {
		served.Shards = append(served.Shards, uint32(shard))
	}
	ctx, cancel := context.WithCancel(ctx)
	server, err := searcher.Start(ctx, searcher.Settings{
		Name: s.Name, Zone: s.Zone, Listen: loopback, Slots: s.Slots, Connections: s.Connections, Connect: s.Connect,
		Served: []searcher.Served{served}, Entries: entries, Behavior: behavior, Uptime: time.Hour, OnCrash: onCrash,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return &fake{Server: server, Searcher: s, kill: func() {
		cancel()
		server.Stop()
	}}, nil
}

// shift sends each fake a seeded number of requests that it rejects. A fake
// makes every n-th request slow; when all counted from 0, the slow requests of
// all shards would fall into the same searches.
func shift(fakes []*fake, every int, seed uint64) error {
	if every <= 1 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var group sync.WaitGroup
	limit := make(chan struct{}, 16)
	failed := make(chan error, len(fakes))
	for _, f := range fakes {
		n := r.IntN(every)
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			if err := skip(f, n); err != nil {
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

func skip(f *fake, n int) error {
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

// counts are the sums over the fakes of one archive. Most is the largest
// number of requests that were at one fake at once.
type counts struct {
	searches, shed, cancelled, most, orders int
}

func countsOf(fakes []*fake, archive string) counts {
	var c counts
	for _, f := range fakes {
		if f.Archive != archive {
			continue
		}
		s := f.Stats()
		c.searches += s.Searches
		c.shed += s.Shed
		c.cancelled += s.Cancelled
		c.most = max(c.most, s.MostRunning)
		for _, n := range s.Orders {
			c.orders += n
		}
	}
	return c
}

// since returns what was counted after an earlier time; most stays that since
// the start.
func (c counts) since(earlier counts) counts {
	c.searches -= earlier.searches
	c.shed -= earlier.shed
	c.cancelled -= earlier.cancelled
	c.orders -= earlier.orders
	return c
}
