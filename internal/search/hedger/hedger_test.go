package hedger

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// budgetChecker checks that no interval of a run uses more tokens than its events
// add plus the burst.
type budgetChecker struct {
	ratio, burst         float64
	excess, lowestExcess float64
}

func (s *budgetChecker) earn() { s.excess -= s.ratio }

func (s *budgetChecker) take(t *rapid.T) {
	s.lowestExcess = min(s.lowestExcess, s.excess)
	s.excess++
	require.LessOrEqual(t, s.excess-s.lowestExcess, s.burst+1e-6, "budget exceeded")
}

// TestBudgets guards against extra load above the bounds. In any interval, hedges
// must not exceed their share of first attempts plus the burst, nor retries theirs
// of successes, of which at most one counts per first attempt. Since the start,
// hedges must not exceed their share without the burst.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			HedgeRatio: rapid.Float64Range(0.01, 1).Draw(t, "hedge"),
			RetryRatio: rapid.Float64Range(0.01, 1).Draw(t, "retry"),
			HedgeBurst: rapid.IntRange(1, 5).Draw(t, "hedge burst"),
			RetryBurst: rapid.IntRange(1, 5).Draw(t, "retry burst"),
		}
		h := New(c)
		hedges := budgetChecker{ratio: c.HedgeRatio, burst: float64(c.HedgeBurst)}
		retries := budgetChecker{ratio: c.RetryRatio, burst: float64(c.RetryBurst)}
		var first, success, hedged float64
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 300).Draw(t, "steps") {
			switch step {
			case 0, 1:
				h.RecordFirstAttempt()
				first++
				hedges.earn()
			case 2:
				h.RecordSuccess()
				if success < first {
					success++
					retries.earn()
				}
			case 3:
				if h.AllowHedge() {
					hedged++
					hedges.take(t)
					require.LessOrEqual(t, hedged, first*c.HedgeRatio+1e-6, "more hedges than the ratio")
				}
			case 4:
				if h.AllowRetry() {
					retries.take(t)
				}
			}
		}
	})
}

// TestDefaults guards against wrong default ratios and rounding losses: hedges are
// 5% of first attempts and retries 10% of successes, and there are none when
// disabled.
func TestDefaults(t *testing.T) {
	h, off := New(Config{}), New(Config{HedgeRatio: -1, RetryRatio: -1})
	var hedges, retries int
	for range 1_000_000 {
		h.RecordFirstAttempt()
		h.RecordSuccess()
		off.RecordFirstAttempt()
		off.RecordSuccess()
		if h.AllowHedge() {
			hedges++
		}
		if h.AllowRetry() {
			retries++
		}
		require.False(t, off.AllowHedge() || off.AllowRetry())
	}
	require.Equal(t, 50_000, hedges)
	// The token share of the first success is lost, because the bucket is full.
	require.Equal(t, 100_000+DefaultRetryBurst-1, retries)
}

// TestDelay guards against wrong quantiles: the delay must exceed the exact quantile
// of the window by at most one bucket, and samples must leave with the window.
func TestDelay(t *testing.T) {
	type sample struct {
		at      time.Time
		latency time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		q := rapid.SampledFrom([]float64{0.5, 0.9, 0.95, 0.99}).Draw(t, "quantile")
		h := New(Config{Quantile: q, MinDelay: 1})
		now := time.Unix(1_000_000, 0)
		var samples []sample
		for range rapid.IntRange(0, 200).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond)
			exponent := rapid.Float64Range(0, 7).Draw(t, "latency")
			s := sample{now, time.Duration(math.Pow(10, exponent)) * time.Microsecond}
			samples = append(samples, s)
			h.RecordLatency(now, s.latency)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "silence")) * time.Second)
		oldest := now.Truncate(sliceDuration).Add(-(sliceCount - 1) * sliceDuration)
		var window []time.Duration
		for _, s := range samples {
			if !s.at.Before(oldest) {
				window = append(window, s.latency)
			}
		}
		got := h.Delay(now)
		if len(window) < minSamples {
			require.Equal(t, DefaultInitialDelay, got)
			return
		}
		slices.Sort(window)
		exact := window[min(int(q*float64(len(window))), len(window)-1)]
		require.Greater(t, got, exact)
		require.LessOrEqual(t, float64(got), float64(exact)*1.125+float64(time.Microsecond))
	})
}

// TestClockBackwards guards against a window that is cleared, and against a panic,
// when the clock steps back.
func TestClockBackwards(t *testing.T) {
	h := New(Config{})
	now := time.Unix(1_000_000, 0)
	for i := range minSamples {
		h.RecordLatency(now.Add(-time.Duration(i)*time.Minute), 20*time.Millisecond)
	}
	require.InEpsilon(t, 20*time.Millisecond, h.Delay(now), 0.125)
	require.Equal(t, DefaultInitialDelay, New(Config{}).Delay(time.Time{}))
}

// BenchmarkDelay measures one hedge delay and the latencies of 34 sub-requests.
func BenchmarkDelay(b *testing.B) {
	h := New(Config{})
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 34 {
			h.RecordLatency(now, time.Duration(i)*time.Millisecond)
		}
		now = now.Add(h.Delay(now))
	}
}
