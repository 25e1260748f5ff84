package admitter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSelect guards against requests that lack more shards than an answer may, against
// shards that get more than their share, and against requests that are refused without
// need.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.SampledFrom([]float64{0.1, 0.3, 0.5, 0.8, 0.95, 1, 1, 1}), 1, 12).Draw(t, "shares")
		spare := rapid.IntRange(0, len(shares)-1).Draw(t, "spare")
		const steps = 40
		sent := make([]float64, len(shares))
		kept := 0
		for i := range steps {
			for j := range steps {
				excluded, ok := Select(shares, spare, (float64(i)+0.5)/steps, (float64(j)+0.5)/steps)
				if !ok {
					continue
				}
				kept++
				require.LessOrEqual(t, len(excluded), spare)
				for n := range sent {
					sent[n]++
				}
				for _, n := range excluded {
					sent[n]--
				}
			}
		}
		const tolerance = 2.5 / steps
		congested, total := 0, 0.0
		for n, s := range shares {
			require.LessOrEqual(t, sent[n]/(steps*steps), s+tolerance, "shard %d", n)
			if s < 1 {
				congested++
				total += s
			}
		}
		if float64(congested)-total <= float64(spare) {
			require.Equal(t, steps*steps, kept, "all requests can be answered")
		}
	})
}

// TestCongestedShards replays the load of a fleet in which several shards have lost
// replicas: what is served of it, against a decision for each shard on its own.
func TestCongestedShards(t *testing.T) {
	for _, c := range []struct {
		name     string
		shares   []float64
		spare    int
		want     float64
		separate float64
	}{
		{"two at half, one to spare", []float64{1, 0.5, 1, 0.5}, 1, 1, 0.75},
		{"four at half, one to spare", []float64{0.5, 0.5, 0.5, 0.5, 1}, 1, 2.0 / 3, 5.0 / 16},
		{"one at half, none to spare", []float64{1, 0.5}, 0, 0.5, 0.5},
	} {
		require.InDelta(t, c.want, keptShare(c.shares, c.spare), 1e-9, c.name)
		require.LessOrEqual(t, c.separate, c.want, c.name)
	}
}
