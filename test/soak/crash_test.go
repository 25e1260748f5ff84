package main

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

const (
	// crashMeanPause is the mean time between two sends of the request by its client.
	crashMeanPause = 300 * time.Millisecond
	// crashRestart is the time until a server that ended is back.
	crashRestart = 2 * time.Second
	// minOthersServed is the least share of other requests to the same services that is
	// served while the request keeps coming.
	minOthersServed = 0.95
)

// crashReport is what a run showed.
type crashReport struct {
	// ended is the number of servers that ended. late is the number of them that ended
	// later than crashSettle after the third, and soon that of those later than a second.
	ended, soon, late int
	// times are the times since the first end.
	times []time.Duration
	// others is the number of other requests to the same services, served that of those
	// that were served.
	others, served int64
}

// runCrashes sends the request that ends servers for the given length beside other requests.
func (f *processFleet) runCrashes(t *testing.T, send, other sendFunc, length time.Duration) crashReport {
	var r crashReport
	var others, served atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	f.load(&group, stop, 6, 20*time.Millisecond, other, func(id string) string { return id }, func(o standin.Outcome) {
		others.Add(1)
		if o.Served {
			served.Add(1)
		}
		if o.Failure != "" {
			t.Errorf("request %s: %s", o.ID, o.Failure)
		}
	})
	f.load(&group, stop, 1, crashMeanPause, send, func(string) string { return standin.CrashText }, func(o standin.Outcome) {
		if o.Served {
			t.Errorf("request %s was served", o.ID)
		}
	})
	time.Sleep(length)
	close(stop)
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.crashes, time.Time.Compare)
	r.ended, r.others, r.served = len(f.crashes), others.Load(), served.Load()
	for i, at := range f.crashes {
		r.times = append(r.times, at.Sub(f.crashes[0]).Round(time.Millisecond))
		if i < 3 {
			continue
		}
		after := at.Sub(f.crashes[2])
		if after > time.Second {
			r.soon++
		}
		if after > crashSettle {
			r.late++
		}
	}
	return r
}

// TestRequestEndsServers guards against a request that ends one server after the other
// because every host and every repeat tries it again.
func TestRequestEndsServers(t *testing.T) {
	for i, c := range []struct {
		name        string
		hosts       int
		send, other sendFunc
	}{
		{"fetch", 3, sendFetch, sendFetch},
		{"search", 3, sendSearch, sendSearch},
		{"order", 3, sendOrder, sendFetch},
		{"fetch of nine hosts", 9, sendFetch, sendFetch},
		{"search of nine hosts", 9, sendSearch, sendSearch},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, uint64(i), c.hosts)
			r := f.runCrashes(t, c.send, c.other, 12*time.Second)
			share := float64(r.served) / float64(r.others)
			t.Logf("%d servers ended, %d of them later than 1 s after the third, %d later than %s; %d of %d other requests served (%.3f)",
				r.ended, r.soon, r.late, crashSettle, r.served, r.others, share)
			t.Logf("servers ended at %v", r.times)
			require.LessOrEqual(t, r.late, crashSlack, "servers that ended later than %s after the third", crashSettle)
			require.GreaterOrEqual(t, share, minOthersServed, "share of other requests served")
		})
	}
}
