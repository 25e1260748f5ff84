package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// pauseSlack is the number of requests that a host may send to a server from pauseSettle
// after the server said that it wants none.
const pauseSlack = 2

// runLoad sends fetches and searches until the returned function is called, which returns
// their number, that of those served, and the longest time until an answer.
func (f *processFleet) runLoad(t *testing.T) (stop func() (sent, served int64, longest time.Duration)) {
	var sent, served, longest atomic.Int64
	var group sync.WaitGroup
	done := make(chan struct{})
	for _, send := range []sendFunc{sendFetch, sendSearch} {
		timed := func(c *standin.Client, id, path string) standin.Outcome {
			start := time.Now()
			o := send(c, id, path)
			for took := int64(time.Since(start)); ; {
				if old := longest.Load(); took <= old || longest.CompareAndSwap(old, took) {
					return o
				}
			}
		}
		f.load(&group, done, 3, 20*time.Millisecond, timed, func(id string) string { return id }, func(o standin.Outcome) {
			sent.Add(1)
			if o.Served {
				served.Add(1)
			}
			if o.Failure != "" {
				t.Errorf("request %s: %s", o.ID, o.Failure)
			}
		})
	}
	return func() (int64, int64, time.Duration) {
		close(done)
		group.Wait()
		return sent.Load(), served.Load(), time.Duration(longest.Load())
	}
}

// serversOf returns the servers of a service.
func (f *processFleet) serversOf(service string) (list []*standin.Backend) {
	for _, b := range f.backends {
		if b.Service == service {
			list = append(list, b)
		}
	}
	return list
}

// TestLeavingServerGetsNothing guards against requests to a server that says in its answers
// that it is about to stop, while it goes on checking in as ready.
func TestLeavingServerGetsNothing(t *testing.T) {
	f := startFleet(t, 10, 3)
	stop := f.runLoad(t)
	leaving := f.serversOf(standin.OrderService)[0]
	leaving.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, Leaving: true})
	time.Sleep(8 * time.Second)
	sent, served, _ := stop()
	t.Logf("%d of %d requests served; %d at the leaving server, %d later than %s", served, sent,
		leaving.ArrivalsAfterNotice(0, time.Hour), leaving.ArrivalsAfterNotice(leaveSettle, time.Hour), leaveSettle)
	require.Zero(t, leaving.ArrivalsAfterNotice(leaveSettle, time.Hour))
	require.GreaterOrEqual(t, float64(served), minOthersServed*float64(sent))
}

// TestPausedServersGetNothing guards against requests to servers that want none for a time,
// and against callers that wait until their deadline passes meanwhile.
func TestPausedServersGetNothing(t *testing.T) {
	const hosts = 3
	f := startFleet(t, 11, hosts)
	services := []string{standin.OrderService, standin.ShardServices[0]}
	for _, service := range services {
		for _, b := range f.serversOf(service) {
			b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, RetryAfter: fmt.Sprint(pauseSeconds)})
		}
	}
	stop := f.runLoad(t)
	time.Sleep(5 * time.Second)
	_, _, longest := stop()
	for _, service := range services {
		for _, b := range f.serversOf(service) {
			// Hosts are not told apart here: each may have been answered at another time.
			n := b.ArrivalsAfterNotice(pauseSettle, pauseSeconds*time.Second)
			t.Logf("%s of %s: %d requests, %d within the pause", b.ID, service, b.ArrivalsAfterNotice(0, time.Hour), n)
			require.LessOrEqual(t, n, hosts*pauseSlack)
		}
	}
	t.Logf("longest answer after %s", longest)
	require.Less(t, longest, time.Second)
}
