// Package hedger decides when a slow sub-request is hedged, that is, sent to a
// second replica too, and how many hedges and retries may be sent.
//
// The budgets are ratios of first attempts and of successes, so that the extra load
// falls with the load and cannot sustain an overload.
package hedger

import "time"

// Defaults of Config.
const (
	DefaultQuantile     = 0.95
	DefaultHedgeRatio   = 0.05
	DefaultRetryRatio   = 0.1
	DefaultHedgeBurst   = 16
	DefaultRetryBurst   = 16
	DefaultInitialDelay = 50 * time.Millisecond
	DefaultMinDelay     = time.Millisecond
)

// medianFactor is the multiple of the median latency within which most answers
// arrive.
const medianFactor = 1.6

// Config holds the settings of a hedger. A zero field means the default; a negative
// ratio disables that kind of extra attempt.
type Config struct {
	// Quantile is the quantile of the sub-request latency that is the hedge delay,
	// between 0 and 1.
	Quantile float64
	// HedgeRatio is the largest number of hedges per first attempt, at most 1.
	HedgeRatio float64
	// RetryRatio is the largest number of retries per successful sub-request, at most 1.
	RetryRatio float64
	// HedgeBurst and RetryBurst are the largest numbers of hedges and retries that
	// can be saved up.
	HedgeBurst int
	RetryBurst int
	// InitialDelay is the hedge delay while there are too few samples for a quantile.
	InitialDelay time.Duration
	// MinDelay is the shortest hedge delay.
	MinDelay time.Duration
}

// Hedger holds the latencies and the budgets of one lane of an archive or of one
// route. It is not safe for concurrent use.
//
// With F first attempts and S counted successes between two points in time, at most
// HedgeRatio*F+HedgeBurst hedges and RetryRatio*S+RetryBurst retries are allowed
// between them. Counted from the start, S is at most F, and hedges are at most
// HedgeRatio*F, because their budget starts empty. The retry budget starts full, so
// that failures right after a start can be retried.
type Hedger struct {
	config Config
	// latencies holds the latencies of attempts over a sliding window of 30 s.
	latencies latencyHistogram
	// hedgeBudget gains from each first attempt; each hedge takes one token.
	hedgeBudget TokenBucket
	// retryBudget gains from each counted success; each retry takes one token.
	retryBudget TokenBucket
	// uncreditedAttempts is the number of first attempts less the successes that
	// were counted. It keeps the successes of hedges and retries from adding to the
	// retry budget.
	uncreditedAttempts uint64
}

// New returns a hedger with the given settings.
func New(c Config) *Hedger {
	c = c.withDefaults()
	h := &Hedger{
		config:      c,
		hedgeBudget: NewTokenBucket(c.HedgeRatio, float64(c.HedgeBurst)),
		retryBudget: NewTokenBucket(c.RetryRatio, float64(c.RetryBurst)),
	}
	h.retryBudget.Fill()
	return h
}

// RecordFirstAttempt records the first attempt of a sub-request, which adds to the
// hedge budget.
func (h *Hedger) RecordFirstAttempt() {
	h.hedgeBudget.AddEvent()
	h.uncreditedAttempts++
}

// RecordSuccess records a sub-request that was answered, which adds to the retry
// budget. Successes beyond the number of first attempts add nothing.
func (h *Hedger) RecordSuccess() {
	if h.uncreditedAttempts == 0 {
		return
	}
	h.uncreditedAttempts--
	h.retryBudget.AddEvent()
}

// AllowHedge takes one hedge from the budget and reports whether there was one.
// Choose the replica first, because a hedge cannot be put back.
func (h *Hedger) AllowHedge() bool { return h.hedgeBudget.Take() }

// AllowRetry takes one retry from the budget and reports whether there was one.
// Choose the replica first, because a retry cannot be put back.
func (h *Hedger) AllowRetry() bool { return h.retryBudget.Take() }

// RecordLatency records the latency of one attempt. Call it for cancelled attempts
// too, with the time that they ran: without the slow attempts whose hedges were
// answered first, the delay would shrink with every hedge.
func (h *Hedger) RecordLatency(now time.Time, latency time.Duration) {
	h.latencies.add(now, latency)
}

// Delay returns how long after its first attempt a sub-request is hedged.
func (h *Hedger) Delay(now time.Time) time.Duration {
	d, ok := h.latencies.quantile(now, h.config.Quantile)
	if !ok {
		d = h.config.InitialDelay
	}
	return max(d, h.config.MinDelay)
}

// DelayWithin is like Delay, but for a sub-request whose answer is due within the
// objective from its start. The delay leaves time for most hedges to be answered:
// slow servers raise the quantile of all, and without this bound the delay would
// exceed the objective just when hedges are needed.
func (h *Hedger) DelayWithin(now time.Time, objective time.Duration) time.Duration {
	delay := h.Delay(now)
	median, ok := h.latencies.quantile(now, 0.5)
	if !ok {
		return delay
	}
	return max(min(delay, objective-time.Duration(medianFactor*float64(median))), h.config.MinDelay)
}

// withDefaults replaces the zero fields, and a quantile out of range, by the defaults.
func (c Config) withDefaults() Config {
	if !(c.Quantile > 0 && c.Quantile < 1) {
		c.Quantile = DefaultQuantile
	}
	c.HedgeRatio = ratioOrDefault(c.HedgeRatio, DefaultHedgeRatio)
	c.RetryRatio = ratioOrDefault(c.RetryRatio, DefaultRetryRatio)
	if c.HedgeBurst <= 0 {
		c.HedgeBurst = DefaultHedgeBurst
	}
	if c.RetryBurst <= 0 {
		c.RetryBurst = DefaultRetryBurst
	}
	if c.InitialDelay <= 0 {
		c.InitialDelay = DefaultInitialDelay
	}
	if c.MinDelay <= 0 {
		c.MinDelay = DefaultMinDelay
	}
	return c
}

// ratioOrDefault returns a ratio of Config as the hedger uses it: at most 1, 0 for a
// negative value, and def for 0.
func ratioOrDefault(value, def float64) float64 {
	switch {
	case value > 0:
		return min(value, 1)
	case value < 0:
		return 0
	}
	return def
}
