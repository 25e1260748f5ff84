package hedger

import "math"

// unitsPerToken is the number of fixed-point units in one token. Integers keep the
// budget exact over any number of attempts; floating-point sums would drift.
const unitsPerToken = 1_000_000

// TokenBucket is a token bucket that is filled by events instead of time. With F
// events and no call of Fill, AddTokens or Resize between two points in time, at
// most ratio*F + burst tokens are taken between them. The zero value never has a
// token. It is not safe for concurrent use.
type TokenBucket struct {
	// units holds the tokens that can be taken. It is at most capacity.
	units int64
	// capacity is the burst, in units.
	capacity int64
	// unitsPerEvent is the gain of AddEvent.
	unitsPerEvent int64
}

// NewTokenBucket returns an empty bucket that gains ratio tokens per event and holds
// at most burst tokens. The gain is rounded down, so that it never exceeds the ratio.
func NewTokenBucket(ratio, burst float64) TokenBucket {
	if ratio <= 0 {
		return TokenBucket{}
	}
	// The margin of 1e-6 keeps a ratio such as 0.29, whose product is just below a
	// whole number, from losing a unit.
	unitsPerEvent := int64(math.Floor(ratio*unitsPerToken + 1e-6))
	return TokenBucket{capacity: int64(burst * unitsPerToken), unitsPerEvent: unitsPerEvent}
}

// Fill fills the bucket up to its burst.
func (b *TokenBucket) Fill() { b.units = b.capacity }

// AddEvent adds the share of a token that one event is worth.
func (b *TokenBucket) AddEvent() { b.units = min(b.units+b.unitsPerEvent, b.capacity) }

// AddTokens adds tokens that do not come from events.
func (b *TokenBucket) AddTokens(tokens float64) {
	b.units = min(b.units+int64(tokens*unitsPerToken), b.capacity)
}

// Resize changes the burst. Tokens above it are lost.
func (b *TokenBucket) Resize(burst float64) {
	b.capacity = int64(burst * unitsPerToken)
	b.units = min(b.units, b.capacity)
}

// Take takes a token and reports whether there was one.
func (b *TokenBucket) Take() bool { return b.TakeAbove(0) }

// TakeAbove takes a token if at least reserve tokens stay in the bucket afterwards.
func (b *TokenBucket) TakeAbove(reserve float64) bool {
	if b.units < unitsPerToken+int64(reserve*unitsPerToken) {
		return false
	}
	b.units -= unitsPerToken
	return true
}
