package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/tracker"
)

// Guards against quantiles that are off by one rank: with few searches p99.9
// has to be the largest latency.
func TestQuantile(t *testing.T) {
	t.Parallel()
	var latencies []time.Duration
	for i := range 100 {
		latencies = append(latencies, time.Duration(i+1))
	}
	for _, c := range []struct {
		q    float64
		want time.Duration
	}{{0.5, 50}, {0.99, 99}, {0.999, 100}, {1, 100}, {0, 1}} {
		require.Equal(t, c.want, quantile(latencies, c.q), "quantile %v", c.q)
	}
	require.Zero(t, quantile(nil, 0.5))
}

// Guards against a baseline without any slot where there are fewer slots than
// hosts, and against a change of the tracker's own list.
func TestDivideCapacityKeepsOneSlot(t *testing.T) {
	t.Parallel()
	servers := []tracker.Server{
		{Announcement: tracker.Announcement{Slots: 3, ConnectionLimit: 30}},
		{Announcement: tracker.Announcement{Slots: 18, ConnectionLimit: 8}},
	}
	got := divideCapacity(servers, 9)
	require.Equal(t, []int{1, 2}, []int{got[0].Slots, got[1].Slots})
	require.Equal(t, []int{3, 1}, []int{got[0].ConnectionLimit, got[1].ConnectionLimit})
	require.Equal(t, 3, servers[0].Slots)
}
