package pacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// coldWindow, coldTolerance and coldSlack state what a cold server has to be sent at most.
const (
	coldWindow    = time.Second
	coldTolerance = 1.5
	coldSlack     = 5
)

// TestFleetKeepsColdLimit guards against a cold server that gets more requests in a second
// than it survives, summed over all hosts: with few and with hundreds of hosts, when they
// learn at different times that it is cold, or cold again, and while hosts are stopped and
// started.
func TestFleetKeepsColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 3, 8, 54, 135, 191}).Draw(t, "hosts")
		limit := rapid.SampledFrom([]float64{0.3, 1, 3.3, 5, 8, 13, 27.7, 60, 120}).Draw(t, "limit")
		lag := time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag")) * time.Millisecond
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := &simulatedFleet{burst: ColdBurstTime, extra: ColdExtraBurst}
		arrivals := f.simulate(r, hosts, limit, 20*limit+float64(hosts), 20*time.Second, lag, rapid.Bool().Draw(t, "restarts"))
		most := 0
		for i, from := range arrivals {
			end, _ := slices.BinarySearch(arrivals, from+coldWindow)
			most = max(most, end-i)
		}
		require.LessOrEqual(t, float64(most), coldTolerance*limit+coldSlack)
	})
}

// TestGroup guards against a request to many cold servers that no host may send, because each
// host has a share of some of the servers only.
func TestGroup(t *testing.T) {
	const hosts, servers = 54, 36
	able := 0
	for rank := range hosts {
		p := Pacer{BurstTime: ColdBurstTime, ExtraBurst: ColdExtraBurst}
		p.Move(epoch, Position{Rank: rank, Count: hosts})
		room := 0
		for i := range servers {
			name := fmt.Sprint("s", i)
			p.Observe(Observation{Server: name, Incarnation: 1, Rate: 10, Group: "g", At: epoch})
			if p.HasRoom(epoch.Add(10*time.Second), name) {
				room++
			}
		}
		require.Contains(t, []int{0, servers}, room)
		if room > 0 {
			able++
		}
	}
	require.Equal(t, 5, able)
}
