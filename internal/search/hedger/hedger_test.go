package hedger

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// spending checks that no stretch of a run uses more than its share of the
// income in it plus the burst.
type spending struct {
	ratio, burst float64
	excess, low  float64
}

func (s *spending) earn() { s.excess -= s.ratio }

func (s *spending) take(t *rapid.T) {
	s.low = min(s.low, s.excess)
	s.excess++
	require.LessOrEqual(t, s.excess-s.low, s.burst+1e-6, "budget exceeded")
}

// TestBudgets guards the bound on extra load: neither hedges nor retries exceed
// their share of first attempts plus the burst over any stretch of time, however
// many successes are reported, and the hedges since the start not even the
// share alone.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Hedge:      rapid.Float64Range(0.01, 1).Draw(t, "hedge"),
			Retry:      rapid.Float64Range(0.01, 1).Draw(t, "retry"),
			HedgeBurst: rapid.IntRange(1, 5).Draw(t, "hedge burst"),
			RetryBurst: rapid.IntRange(1, 5).Draw(t, "retry burst"),
		}
		h := New(c)
		hedges := spending{ratio: c.Hedge, burst: float64(c.HedgeBurst)}
		retries := spending{ratio: c.Retry, burst: float64(c.RetryBurst)}
		var first, success, hedged float64
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 300).Draw(t, "steps") {
			switch step {
			case 0, 1:
				h.FirstAttempt()
				first++
				hedges.earn()
			case 2:
				h.Success()
				if success < first {
					success++
					retries.earn()
				}
			case 3:
				if h.AllowHedge() {
					hedged++
					hedges.take(t)
					require.LessOrEqual(t, hedged, first*c.Hedge+1e-6, "more hedges than the ratio")
				}
			case 4:
				if h.AllowRetry() {
					retries.take(t)
				}
			}
		}
	})
}

// TestDefaults guards the shares of the design: 5% hedges of first attempts and
// 10% retries of successes, none lost to rounding, and none when switched off.
func TestDefaults(t *testing.T) {
	h, off := New(Config{}), New(Config{Hedge: -1, Retry: -1})
	var hedges, retries int
	for range 1_000_000 {
		h.FirstAttempt()
		h.Success()
		off.FirstAttempt()
		off.Success()
		if h.AllowHedge() {
			hedges++
		}
		if h.AllowRetry() {
			retries++
		}
		require.False(t, off.AllowHedge() || off.AllowRetry())
	}
	require.Equal(t, 50_000, hedges)
	// The income of the first success meets a full bucket and is lost.
	require.Equal(t, 100_000+DefaultRetryBurst-1, retries)
}

// TestDelay guards the digest: a quantile differs from the exact one of the
// window by at most one bucket, and samples leave with the window.
func TestDelay(t *testing.T) {
	type sample struct {
		at      time.Time
		latency time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		q := rapid.SampledFrom([]float64{0.5, 0.9, 0.95, 0.99}).Draw(t, "quantile")
		h := New(Config{Quantile: q, Floor: 1})
		now := time.Unix(1_000_000, 0)
		var samples []sample
		for range rapid.IntRange(0, 200).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond)
			exponent := rapid.Float64Range(0, 7).Draw(t, "latency")
			s := sample{now, time.Duration(math.Pow(10, exponent)) * time.Microsecond}
			samples = append(samples, s)
			h.Observe(now, s.latency)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "silence")) * time.Second)
		oldest := now.Truncate(sliceLength).Add(-(sliceCount - 1) * sliceLength)
		var window []time.Duration
		for _, s := range samples {
			if !s.at.Before(oldest) {
				window = append(window, s.latency)
			}
		}
		got := h.Delay(now)
		if len(window) < minSamples {
			require.Equal(t, DefaultInitial, got)
			return
		}
		slices.Sort(window)
		exact := window[min(int(q*float64(len(window))), len(window)-1)]
		require.Greater(t, got, exact)
		require.LessOrEqual(t, float64(got), float64(exact)*1.125+float64(time.Microsecond))
	})
}

// TestClockBackwards guards against a window that empties or panics when the
// clock steps back.
func TestClockBackwards(t *testing.T) {
	h := New(Config{})
	now := time.Unix(1_000_000, 0)
	for i := range minSamples {
		h.Observe(now.Add(-time.Duration(i)*time.Minute), 20*time.Millisecond)
	}
	require.InEpsilon(t, 20*time.Millisecond, h.Delay(now), 0.125)
	require.Equal(t, DefaultInitial, New(Config{}).Delay(time.Time{}))
}

// BenchmarkDelay reads the hedge delay once and adds the samples of 34
// sub-requests.
func BenchmarkDelay(b *testing.B) {
	h := New(Config{})
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 34 {
			h.Observe(now, time.Duration(i)*time.Millisecond)
		}
		now = now.Add(h.Delay(now))
	}
}
