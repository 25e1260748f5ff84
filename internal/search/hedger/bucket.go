package hedger

import "math"

// tokenUnit is one token in the fixed-point unit of a bucket. Integers keep the
// budget exact over any number of attempts; floating-point sums would drift.
const tokenUnit = 1_000_000

// bucket is a token bucket filled by events instead of time.
type bucket struct {
	tokens int64
	limit  int64
	income int64
}

// newBucket returns an empty bucket. The income is rounded down, so that it
// never exceeds the ratio.
func newBucket(ratio float64, burst int) bucket {
	if ratio <= 0 {
		return bucket{}
	}
	// The margin keeps a ratio such as 0.29, whose product is just below a
	// whole number, from losing a unit.
	income := int64(math.Floor(ratio*tokenUnit + 1e-6))
	return bucket{limit: int64(burst) * tokenUnit, income: income}
}

func (b *bucket) fill() { b.tokens = b.limit }

func (b *bucket) earn() { b.tokens = min(b.tokens+b.income, b.limit) }

func (b *bucket) take() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
