package selector

import "time"

const (
	// priorLatency is assumed while no server has answered yet.
	priorLatency = float64(10 * time.Millisecond)
	// errorWeight is the share of the newest result in the error rate.
	errorWeight = 0.2
	// errorPenalty is how many times more a server that always fails is
	// expected to cost. Failures can be fast and would otherwise attract work.
	errorPenalty = 50.0
	// lateFactor is how many times its usual latency a request takes that counts as
	// late.
	lateFactor = 2.0
	// pauseTime is the time over which the requests to a server have to be late for
	// it to be slow. A usual pause of a server, 200 ms, ends before.
	pauseTime = 250 * time.Millisecond
	// slowTime is how long a slow server is not preferred for being near. Then one
	// request finds out whether it still is slow.
	slowTime = 4 * time.Second
)

// class groups candidates; a better class is chosen whatever the scores.
type class uint8

const (
	usable class = iota
	// cold is a server whose turn in the ramp has not come.
	cold
	// backedOff is a server that shed recently.
	backedOff
)

// state is what one host knows of one incarnation of a server.
type state struct {
	info     Server
	near     bool
	gone     bool
	inFlight int
	latency  average
	// usual is the latency of answers that were not late. Since the last of these,
	// requests were late from lateFrom to lateAt.
	usual    average
	lateFrom time.Time
	lateAt   time.Time
	// failures is the share of failed requests, 0 to 1; it fades with the age
	// of the last result.
	failures   float64
	failuresAt time.Time
	backOff    time.Duration
	backOffEnd time.Time
	load       float64
	loadAt     time.Time
}

// class draws a cold server as usable with the probability of its ramp, so
// that its share of requests grows linearly.
func (t *state) class(now time.Time, r Rand) class {
	if now.Before(t.backOffEnd) {
		return backedOff
	}
	if w := t.warmth(now); w < 1 && r.Float64() >= w {
		return cold
	}
	return usable
}

// warmth grows from 0 at the server's start to 1 at the end of the ramp. A
// start in the future is an error of clocks and counts as now.
func (t *state) warmth(now time.Time) float64 {
	if t.info.Started.IsZero() {
		return 1
	}
	age := max(now.Sub(t.info.Started), 0)
	return min(float64(age)/float64(rampLength), 1)
}

// score is the expected time until an answer: latency times queue, raised by
// recent failures. The unit is nanoseconds.
func (t *state) score(now time.Time, typical float64) float64 {
	latency := t.latency.value(now, typical)
	queue := (1 + float64(t.inFlight) + t.reported(now)) / float64(t.slots())
	return latency * queue * (1 + errorPenalty*t.failureRate(now))
}

func (t *state) slots() int { return max(t.info.Slots, 1) }

// slow reports whether the server has become slow: all of its last requests were
// late. A server that only pauses for part of a second is still best for its near
// hosts.
//
// It answers servers that become several times slower for some seconds. A host of
// a large fleet sends each a request or two a second, and most of them are hedged
// and cancelled before the slow server answers: the average of what was seen stays
// below what a near server may be worse than a far one.
func (t *state) slow(now time.Time) bool {
	return t.lateAt.Sub(t.lateFrom) >= pauseTime && now.Sub(t.lateAt) < slowTime
}

// judge counts the end of a request as late or not. Typical stands in for the usual
// latency of a server that has not answered yet.
func (t *state) judge(now time.Time, status Status, latency time.Duration, typical float64) {
	if status != Completed && status != Cancelled && status != TimedOut {
		return
	}
	usual, answered := t.usual.mean, !t.usual.at.IsZero()
	if !answered {
		usual = typical
	}
	switch {
	// The first answer says what is usual for this server.
	case (answered || status != Completed) && float64(latency) >= lateFactor*usual:
		if t.lateFrom.IsZero() {
			t.lateFrom = now
		}
		t.lateAt = now
	case status == Completed:
		t.lateFrom, t.lateAt = time.Time{}, time.Time{}
		t.usual.add(now, float64(latency))
	}
}

// reported returns the reported load, fading to 0 over its lifetime.
func (t *state) reported(now time.Time) float64 {
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age >= loadLifetime {
		return 0
	}
	return t.load * (1 - float64(max(age, 0))/float64(loadLifetime))
}

func (t *state) observe(now time.Time, status Status, latency time.Duration) {
	switch status {
	case Completed:
		t.latency.addSurge(now, float64(latency))
		t.failed(now, 0)
		t.backOff = 0
	case Failed:
		t.failed(now, 1)
	case TimedOut:
		t.atLeast(now, latency)
		t.failed(now, 1)
	case Cancelled:
		t.atLeast(now, latency)
	case Shed:
		t.backOff = min(max(2*t.backOff, backOffFirst), backOffLimit)
		t.backOffEnd = now.Add(t.backOff)
	}
}

// atLeast adds the latency of a request that ended without an answer if it is
// above what is expected. Otherwise a straggler whose requests are always
// cancelled after a hedge won would keep the latency of its better days.
func (t *state) atLeast(now time.Time, latency time.Duration) {
	if float64(latency) > t.latency.value(now, 0) {
		t.latency.addSurge(now, float64(latency))
	}
}

func (t *state) failed(now time.Time, result float64) {
	t.failures = t.failureRate(now)*(1-errorWeight) + result*errorWeight
	t.failuresAt = now
}

func (t *state) failureRate(now time.Time) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * confidence(now.Sub(t.failuresAt))
}
