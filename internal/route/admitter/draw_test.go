package admitter

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// refusedShare draws many times and returns the share of requests that lack more than spare
// shards, and how often each shard got its request.
func refusedShare(shares []float64, spare int) (refused float64, sent []float64) {
	const draws = 20_000
	r := rand.New(rand.NewPCG(1, 2))
	sent = make([]float64, len(shares))
	for range draws {
		lacking := 0
		for i, out := range LeaveOut(r, shares, spare) {
			if out {
				lacking++
			} else {
				sent[i] += 1.0 / draws
			}
		}
		if lacking > spare {
			refused += 1.0 / draws
		}
	}
	return refused, sent
}

// TestLeaveOut guards against searches that are refused because each of many shards drops a
// few, and against more refusals where a few shards are congested.
func TestLeaveOut(t *testing.T) {
	for _, c := range []struct {
		name             string
		congested, spare int
		share, refused   float64
	}{
		{"all shards congested", 36, 1, 0.95, 0.05}, // 0.54 with separate draws
		{"all shards, many to spare", 36, 5, 0.95, 0.01},
		{"two shards congested", 2, 1, 0.8, 0.04}, // 0.2 with one draw
		{"one shard congested", 1, 1, 0.5, 0},
		{"no part may be missing", 2, 0, 0.8, 0.2},
		{"nothing congested", 0, 1, 1, 0},
	} {
		shares := slices.Repeat([]float64{1}, 36)
		for i := range c.congested {
			shares[i] = c.share
		}
		refused, sent := refusedShare(shares, c.spare)
		require.InDelta(t, c.refused, refused, 0.01, c.name)
		require.InDelta(t, shares[0], sent[0], 0.01, c.name)
		require.InDelta(t, 1, sent[35], 1-shares[35]+0.01, c.name)
	}
}

// TestLeaveOutBounds guards against a panic and against shards of which all requests are
// sent and that are left out.
func TestLeaveOutBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 0, 60).Draw(t, "shares")
		spare := rapid.IntRange(0, 70).Draw(t, "spare")
		for i, out := range LeaveOut(rand.New(rand.NewPCG(3, 4)), shares, spare) {
			require.False(t, out && shares[i] == 1)
		}
		require.InDelta(t, 0.5, commonRefusals(shares, spare), 0.5)
		require.InDelta(t, 0.5, separateRefusals(shares, spare), 0.5+1e-9)
	})
}
