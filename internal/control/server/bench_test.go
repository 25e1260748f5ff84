package server

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/protocol/messenger"
)

// BenchmarkReserve measures order reservations through three hosts, each with
// a disk of its own folder, by callers in parallel.
func BenchmarkReserve(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			g, leader := startGroup(b)
			c := g.client(leader)
			var n atomic.Int64
			b.SetParallelism(max(1, callers/10))
			if callers == 1 {
				for b.Loop() {
					reserve(b, c, n.Add(1))
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					reserve(b, c, n.Add(1))
				}
			})
		})
	}
}

func reserve(b *testing.B, c messenger.ControlClient, n int64) {
	key := fmt.Sprintf("%d-%d", timestamp().GetSeconds(), n)
	reply, err := c.Reserve(b.Context(), &messenger.ReserveRequest{Key: key, Attempt: "attempt", Deadline: timestamp()})
	require.NoError(b, err)
	require.NotZero(b, reply.GetVerdict())
}

// BenchmarkSync measures confirmed sync replies to many callers in parallel.
func BenchmarkSync(b *testing.B) {
	g, leader := startGroup(b)
	c := g.client(leader)
	request := &messenger.SyncRequest{Member: &messenger.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: 1}}
	b.SetParallelism(20)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reply, err := c.Sync(b.Context(), request)
			require.NoError(b, err)
			require.Empty(b, reply.GetLeader())
		}
	})
}
