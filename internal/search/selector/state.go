package selector

import "time"

const (
	// priorLatency is the latency, in nanoseconds, that is assumed while no server
	// has answered yet.
	priorLatency = float64(10 * time.Millisecond)
	// failureWeight is the weight of the newest result in the failure share.
	failureWeight = 0.2
	// failurePenalty sets how much failures raise a score: that of a server that
	// always fails is multiplied by 1 + failurePenalty. Failures can be fast and
	// would otherwise attract requests.
	failurePenalty = 50.0
	// lateFactor is the multiple of a server's usual latency from which a request
	// counts as late.
	lateFactor = 2.0
	// minLateDuration is how long all requests to a server have to be late before
	// the server counts as slow. A usual pause of a server, 200 ms, is shorter.
	minLateDuration = 250 * time.Millisecond
	// slowDuration is how long after its last late request a slow server gets no
	// preference for being in the host's zone. The next request then shows whether
	// it is still slow.
	slowDuration = 4 * time.Second
)

// priorityClass ranks candidates before their scores do. A lower class is better.
type priorityClass uint8

const (
	// usable is the class of a server that is neither cold nor backed off.
	usable priorityClass = iota
	// cold is the class of a server that still ramps up and was not drawn as usable.
	cold
	// backedOff is the class of a server that shed a request recently.
	backedOff
)

// serverState is what this host knows of one incarnation of a server.
type serverState struct {
	// info is what Update was given last.
	info Server
	// sameZone is set if the server is reached through the host's zone.
	sameZone bool
	// removed is set by Remove and cleared by Update.
	removed bool
	// inFlight is the number of this host's sub-requests that have not finished.
	inFlight int
	// latency is the average latency of answers. Requests without an answer can raise it.
	latency average
	// usualLatency is the average of answers that were not late. Since the latest of
	// these, the first late request ended at lateSince and the last one at lastLate;
	// both are zero if none was late.
	usualLatency average
	lateSince    time.Time
	lastLate     time.Time
	// failureShare is the share of failed requests, from 0 to 1, at lastResult. It
	// counts less as that result ages.
	failureShare float64
	lastResult   time.Time
	// backOff is the length of the latest back-off, 0 after a completed request.
	backOff time.Duration
	// backOffEnd is when the latest back-off ends. Until then the server ranks as
	// backedOff.
	backOffEnd time.Time
	// reportedLoad is the load, from 0 to 1, that the server reported at reportedAt.
	reportedLoad float64
	reportedAt   time.Time
}

// drawClass returns the server's class. It draws a server that ramps up as usable
// with the probability of its progress, so that its share of requests grows
// linearly.
func (t *serverState) drawClass(now time.Time, r Rand) priorityClass {
	if now.Before(t.backOffEnd) {
		return backedOff
	}
	if w := t.rampProgress(now); w < 1 && r.Float64() >= w {
		return cold
	}
	return usable
}

// rampProgress grows from 0 at the server's start to 1 at the end of the ramp. A
// start in the future is due to clock skew and counts as now.
func (t *serverState) rampProgress(now time.Time) float64 {
	if t.info.Started.IsZero() {
		return 1
	}
	age := max(now.Sub(t.info.Started), 0)
	return min(float64(age)/float64(rampDuration), 1)
}

// score returns the expected time until an answer in nanoseconds: the latency
// times the requests per slot, raised by recent failures.
func (t *serverState) score(now time.Time, overallLatency float64) float64 {
	latency := t.latency.value(now, overallLatency)
	queue := (1 + float64(t.inFlight) + t.currentLoad(now)) / float64(t.slots())
	return latency * queue * t.penalty(now)
}

// penalty returns the factor by which recent failures raise a score.
func (t *serverState) penalty(now time.Time) float64 {
	return 1 + failurePenalty*t.currentFailureShare(now)
}

// slots returns the number of requests that the server runs at once, at least 1.
func (t *serverState) slots() int { return max(t.info.Slots, 1) }

// slow reports whether all requests to the server were late for minLateDuration,
// the last one within slowDuration. A server that only pauses for part of a second
// is still the best one for the hosts in its zone.
//
// The check is for servers that become several times slower for some seconds. A
// host of a large fleet sends each server one or two requests a second, and most
// of these are hedged and cancelled before the slow server answers. Its average
// latency therefore rises too little to take its score beyond maxSameZoneRatio.
func (t *serverState) slow(now time.Time) bool {
	return t.lastLate.Sub(t.lateSince) >= minLateDuration && now.Sub(t.lastLate) < slowDuration
}

// recordLateness records whether a request was late. overallLatency stands in for
// the usual latency of a server that has not answered yet.
func (t *serverState) recordLateness(now time.Time, status Status, latency time.Duration, overallLatency float64) {
	if status != Completed && status != Cancelled && status != TimedOut {
		return
	}
	usual, answered := t.usualLatency.mean, !t.usualLatency.lastSample.IsZero()
	if !answered {
		usual = overallLatency
	}
	switch {
	// The first answer only sets what is usual for this server.
	case (answered || status != Completed) && float64(latency) >= lateFactor*usual:
		if t.lateSince.IsZero() {
			t.lateSince = now
		}
		t.lastLate = now
	case status == Completed:
		t.lateSince, t.lastLate = time.Time{}, time.Time{}
		t.usualLatency.add(now, float64(latency))
	}
}

// currentLoad returns the reported load, which falls linearly to 0 over
// loadLifetime.
func (t *serverState) currentLoad(now time.Time) float64 {
	age := now.Sub(t.reportedAt)
	if t.reportedAt.IsZero() || age >= loadLifetime {
		return 0
	}
	return t.reportedLoad * (1 - float64(max(age, 0))/float64(loadLifetime))
}

// recordResult updates the latency, the failure share and the back-off.
func (t *serverState) recordResult(now time.Time, status Status, latency time.Duration) {
	switch status {
	case Completed:
		t.latency.addWithSurge(now, float64(latency))
		t.updateFailureShare(now, 0)
		t.backOff = 0
	case Failed:
		t.updateFailureShare(now, 1)
	case TimedOut:
		t.addLowerBound(now, latency)
		t.updateFailureShare(now, 1)
	case Cancelled:
		t.addLowerBound(now, latency)
	case Shed:
		t.backOff = min(max(2*t.backOff, initialBackOff), maxBackOff)
		t.backOffEnd = now.Add(t.backOff)
	}
}

// addLowerBound adds the latency of a request that ended without an answer, if it
// is above the average as reduced by its age. Without it, a straggler whose
// requests are always cancelled because a hedge was answered would keep its
// earlier, lower latency.
func (t *serverState) addLowerBound(now time.Time, latency time.Duration) {
	if float64(latency) > t.latency.value(now, 0) {
		t.latency.addWithSurge(now, float64(latency))
	}
}

// updateFailureShare adds a result: 1 for a failure, 0 for a success.
func (t *serverState) updateFailureShare(now time.Time, result float64) {
	t.failureShare = t.currentFailureShare(now)*(1-failureWeight) + result*failureWeight
	t.lastResult = now
}

// currentFailureShare returns the failure share, reduced by the age of the last
// result.
func (t *serverState) currentFailureShare(now time.Time) float64 {
	if t.failureShare == 0 {
		return 0
	}
	return t.failureShare * confidence(now.Sub(t.lastResult))
}
