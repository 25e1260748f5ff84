package allotter

import (
	"math"
	"time"

	"gentianpond/internal/route/pacer"
)

const (
	// promiseTime is the time within which refused callers are told to return one after
	// the other. Callers do not wait for longer than that.
	promiseTime = 3 * time.Second
	// lateReserve is the part of the burst that late requests leave. An account that sends
	// more than its limit all the time would otherwise spend half of it on callers that come
	// back, whose answers are late, and send those away whose answers would not be.
	lateReserve = 0.25
	// lostWait is what callers are told where a host has no share at all: another one may
	// have, or a new lender is found.
	lostWait = time.Second
	// goldenRatio spreads a sequence evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// bucket is a token bucket that tells refused callers when to return.
type bucket struct {
	// tokens is the number of requests that could be granted at refilledAt.
	tokens     float64
	refilledAt time.Time
	// promisedAt is the latest time within promiseTime at which a refused caller was told
	// to return. spread is from 0 to 1 and differs for those that have to wait for longer.
	promisedAt time.Time
	spread     float64
}

// refill adds the tokens for the time since the last refill and removes those beyond the
// share.
func (b *bucket) refill(now time.Time, s pacer.Share) {
	if now.After(b.refilledAt) {
		b.tokens += s.Rate * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, s.Burst)
}

// add gives tokens back.
func (b *bucket) add(now time.Time, count int, s pacer.Share) {
	b.refill(now, s)
	b.tokens = min(b.tokens+float64(count), s.Burst)
}

// take takes a token, or promises one after a time. For a late request it leaves lateReserve
// of the burst to others.
func (b *bucket) take(now time.Time, s pacer.Share, late bool) (wait time.Duration, ok bool) {
	b.refill(now, s)
	need := 1.0
	if late {
		need += lateReserve * s.Burst
	}
	if b.tokens >= need {
		b.tokens--
		return 0, true
	}
	if s.Rate <= 0 || s.Burst < 1 {
		return lostWait, false
	}
	if late {
		// Others may use the room before, so it is promised to nobody.
		return seconds((need - b.tokens) / s.Rate), false
	}
	return b.promise(now, s), false
}

// promise returns when a refused caller should return: each at the time of a token of its
// own. An account far over its limit gets no promises beyond promiseTime, because callers
// would not keep them and later ones would be told to wait in vain.
func (b *bucket) promise(now time.Time, s pacer.Share) time.Duration {
	wait := seconds((1 - b.tokens) / s.Rate)
	if b.promisedAt.After(now) {
		wait = max(wait, b.promisedAt.Sub(now)+seconds(1/s.Rate))
		if wait > promiseTime {
			b.spread = math.Mod(b.spread+goldenRatio, 1)
			return promiseTime + time.Duration(b.spread*float64(promiseTime))
		}
	}
	b.promisedAt = now.Add(wait)
	return wait
}

// seconds converts a number of seconds to a duration, at most an hour.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, time.Hour.Seconds()) * float64(time.Second))
}
