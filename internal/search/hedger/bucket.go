package hedger

import "math"

// tokenUnit is one token in the fixed-point unit of a bucket. Integers keep the
// budget exact over any number of attempts; floating-point sums would drift.
const tokenUnit = 1_000_000

// Bucket is a token bucket filled by events instead of time. With F events
// between two points in time, at most ratio*F + burst tokens are taken between
// them. The zero value never has a token. It is not safe for concurrent use.
type Bucket struct {
	tokens int64
	limit  int64
	income int64
}

// NewBucket returns an empty bucket. The income is rounded down, so that it
// never exceeds the ratio.
func NewBucket(ratio, burst float64) Bucket {
	if ratio <= 0 {
		return Bucket{}
	}
	// The margin keeps a ratio such as 0.29, whose product is just below a
	// whole number, from losing a unit.
	income := int64(math.Floor(ratio*tokenUnit + 1e-6))
	return Bucket{limit: int64(burst * tokenUnit), income: income}
}

// Fill puts in all tokens that there is room for.
func (b *Bucket) Fill() { b.tokens = b.limit }

// Earn adds the share of a token that one event brings.
func (b *Bucket) Earn() { b.tokens = min(b.tokens+b.income, b.limit) }

// Add puts in tokens that do not come from events.
func (b *Bucket) Add(tokens float64) {
	b.tokens = min(b.tokens+int64(tokens*tokenUnit), b.limit)
}

// Resize changes the most tokens that can be saved up.
func (b *Bucket) Resize(burst float64) {
	b.limit = int64(burst * tokenUnit)
	b.tokens = min(b.tokens, b.limit)
}

// Take takes a token and reports whether there was one.
func (b *Bucket) Take() bool { return b.TakeAbove(0) }

// TakeAbove takes a token if reserve tokens stay in the bucket afterwards.
func (b *Bucket) TakeAbove(reserve float64) bool {
	if b.tokens < tokenUnit+int64(reserve*tokenUnit) {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
