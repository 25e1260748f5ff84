package admitter

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may
	// return. Drawn between them, it spreads the requests that are refused at the same time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 300 * time.Millisecond
	// honoredShare is the share of the time left that a caller waits at most. Callers
	// compare with a third when they get the answer.
	honoredShare = 0.3
	// leastRetryAfter is the shortest time that is named. Congestion hardly changes in
	// less.
	leastRetryAfter = 20 * time.Millisecond
)

// RetryAfter returns the time after which a refused request may return. left is the time
// until its time limit when the caller gets the refusal.
//
// It handles requests with a time limit so short that none of the usual times would be
// honoured, as of 300 ms: they return after at most honoredShare of the time left.
func RetryAfter(r Rand, left time.Duration) time.Duration {
	least, most := minRetryAfter, maxRetryAfter
	if honored := time.Duration(honoredShare * float64(left)); honored < least && honored >= leastRetryAfter {
		least, most = max(leastRetryAfter, honored*6/10), honored
	}
	return least + time.Duration(r.Float64()*float64(most-least))
}

// Rand is the source of randomness, for example *rand.Rand of math/rand/v2.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}
