// Package hedger decides when a straggling sub-request is sent to a second
// replica and how many hedges and retries may be sent at all.
//
// Both budgets are ratios of first attempts, so extra load falls with the load
// and cannot keep an overload going.
package hedger

import "time"

// Defaults of Config.
const (
	DefaultQuantile   = 0.95
	DefaultHedge      = 0.05
	DefaultRetry      = 0.1
	DefaultHedgeBurst = 16
	DefaultRetryBurst = 16
	DefaultInitial    = 50 * time.Millisecond
	DefaultFloor      = time.Millisecond
)

// usual is how many times the median most answers take at most.
const usual = 1.6

// Config is the settings of one archive. A zero field means the default; a
// negative ratio switches that kind of extra attempt off.
type Config struct {
	// Quantile of the sub-request latency after which a hedge is sent.
	Quantile float64
	// Hedge is the number of hedges per first attempt, at most 1.
	Hedge float64
	// Retry is the number of retries per success, at most 1.
	Retry float64
	// HedgeBurst and RetryBurst are the most tokens that can be saved up.
	HedgeBurst int
	RetryBurst int
	// Initial is the hedge delay while there are too few samples.
	Initial time.Duration
	// Floor is the least hedge delay.
	Floor time.Duration
}

// Hedger holds the latency digest and the budgets of one archive. It is not
// safe for concurrent use.
//
// Between any two points in time, with F first attempts between them, at most
// Hedge*F+HedgeBurst hedges and Retry*F+RetryBurst retries are allowed. Since
// the start, hedges are at most Hedge*F: the hedge budget starts empty.
// The retry budget starts full, so that failures right after a start can be
// retried.
type Hedger struct {
	config Config
	digest digest
	hedges Bucket
	retry  Bucket
	// uncredited is the number of first attempts without a counted success. It
	// keeps successes of hedges and retries from earning further retries.
	uncredited uint64
}

// New returns a hedger with the given settings.
func New(c Config) *Hedger {
	c = c.withDefaults()
	h := &Hedger{
		config: c,
		hedges: NewBucket(c.Hedge, float64(c.HedgeBurst)),
		retry:  NewBucket(c.Retry, float64(c.RetryBurst)),
	}
	h.retry.Fill()
	return h
}

// FirstAttempt counts the first attempt of a sub-request.
func (h *Hedger) FirstAttempt() {
	h.hedges.Earn()
	h.uncredited++
}

// Success counts a sub-request that was answered. Successes beyond the number
// of first attempts earn nothing.
func (h *Hedger) Success() {
	if h.uncredited == 0 {
		return
	}
	h.uncredited--
	h.retry.Earn()
}

// AllowHedge takes one hedge from the budget and reports whether there was one.
// Choose the replica first: a token is not returned.
func (h *Hedger) AllowHedge() bool { return h.hedges.Take() }

// AllowRetry takes one retry from the budget and reports whether there was one.
// Choose the replica first: a token is not returned.
func (h *Hedger) AllowRetry() bool { return h.retry.Take() }

// Observe adds the latency of one attempt to the digest. Call it for cancelled
// attempts too, with the time that they ran: without the stragglers that lost
// to their hedges the delay would shrink with every hedge.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.digest.add(now, latency)
}

// Delay returns how long after its first attempt a sub-request is hedged.
func (h *Hedger) Delay(now time.Time) time.Duration {
	d, ok := h.digest.quantile(now, h.config.Quantile)
	if !ok {
		d = h.config.Initial
	}
	return max(d, h.config.Floor)
}

// DelayBefore is Delay for a sub-request whose answer is wanted within a time
// from its start. A hedge that is sent later than this could not be answered in
// time: slow servers raise the quantile of all, and the delay would outgrow the
// objective just when hedges are needed.
func (h *Hedger) DelayBefore(now time.Time, wanted time.Duration) time.Duration {
	delay := h.Delay(now)
	typical, ok := h.digest.quantile(now, 0.5)
	if !ok {
		return delay
	}
	return max(min(delay, wanted-time.Duration(usual*float64(typical))), h.config.Floor)
}

func (c Config) withDefaults() Config {
	if !(c.Quantile > 0 && c.Quantile < 1) {
		c.Quantile = DefaultQuantile
	}
	c.Hedge = ratio(c.Hedge, DefaultHedge)
	c.Retry = ratio(c.Retry, DefaultRetry)
	if c.HedgeBurst <= 0 {
		c.HedgeBurst = DefaultHedgeBurst
	}
	if c.RetryBurst <= 0 {
		c.RetryBurst = DefaultRetryBurst
	}
	if c.Initial <= 0 {
		c.Initial = DefaultInitial
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
	}
	return c
}

func ratio(value, def float64) float64 {
	switch {
	case value > 0:
		return min(value, 1)
	case value < 0:
		return 0
	}
	return def
}
