package main

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// TestUnconfirmedRefusals guards against orders that run and whose callers are told that they have
// not: servers fail some with 408, 429 or 503 after they have run them.
func TestUnconfirmedRefusals(t *testing.T) {
	f := startFleet(t, 15, 2)
	for _, b := range f.backends {
		if b.Service == standin.OrderService {
			b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, RefuseRate: 0.2, UnconfirmedRate: 0.3})
		}
	}
	var mu sync.Mutex
	statuses, count := map[string]int{}, map[int]int{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, send := range []sendFunc{sendOrder, sendFetch} {
		f.load(&group, stop, 6, 10*time.Millisecond, send, func(id string) string { return id }, func(o standin.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			statuses[o.ID] = o.Status
			count[o.Status]++
		})
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	t.Logf("requests by status: %v", count)
	require.Positive(t, count[200])
	require.Positive(t, count[502], "orders whose outcome is unknown")
	for _, b := range f.backends {
		b.ForEachRun(func(id string, _ int) {
			require.False(t, standin.NotRun(statuses[id]), "request %s got %d and has run", id, statuses[id])
		})
	}
}
