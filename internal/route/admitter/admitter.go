// Package admitter throttles the requests to a service while its backend servers are
// congested. It does no I/O and reads no clock.
//
// It handles a service that gets more requests than its servers can run, for example
// a shard that has lost two of three replicas. The servers then work through long
// queues, every answer is late, and all of the work is wasted. Dropping some requests
// at once costs their callers one part of a fan-out, or a prompt refusal, and lets the
// others be answered in time.
package admitter

import (
	"math"
	"time"
)

const (
	// minShare is the smallest share of requests that is sent, so that the end of
	// congestion is noticed.
	minShare = 0.1
	// decreaseFactor multiplies the share after a congested answer. Answers to requests
	// that were sent before the last decrease are ignored: they do not show its effect,
	// and together they would reduce the share to nothing.
	decreaseFactor = 0.8
	// shareIncrease and shareGrowth raise the share after an answer without congestion:
	// by shareIncrease plus shareGrowth times the share.
	shareIncrease = 0.005
	shareGrowth   = 0.005
	// recoveryRate raises the share with time, by this much a second. A host of a large
	// fleet sends two requests a second; by its answers alone, its share took a minute to
	// grow back after congestion that had ended.
	recoveryRate = 0.2
	// congestedWaitingPerSlot is the number of waiting requests per slot at which a
	// server counts as congested.
	congestedWaitingPerSlot = 1
)

// LoadSignal is what one answer reveals about the load of its server.
type LoadSignal struct {
	// Shed is true when the server refused the request.
	Shed bool
	// Known is false for servers that do not report their load. Running, Waiting and
	// Slots are then not set.
	Known bool
	// Running and Waiting are the numbers of the server's running and waiting requests.
	// Slots is the number of requests that it runs at a time.
	Running int
	Waiting int
	Slots   int
	// Late is true when the answer came, or would have come, after the objective.
	Late bool
}

// Congested reports whether the signal shows a server with a long queue. A server that
// refuses requests while it has free slots is failing, not congested.
func (s LoadSignal) Congested() bool {
	if !s.Known {
		return s.Late
	}
	if s.Shed {
		return s.Running >= s.Slots
	}
	return s.Late && s.Waiting >= congestedWaitingPerSlot*max(s.Slots, 1)
}

// Throttle holds the share of the requests to one service that are sent. The zero value
// sends all requests.
type Throttle struct {
	// droppedShare is the share of requests that are not sent.
	droppedShare float64
	// lastDecrease is when the sent share was last decreased.
	lastDecrease time.Time
	// adjustedAt is when droppedShare was last adjusted.
	adjustedAt time.Time
}

// Observe adjusts the share after an answer, received at now, to a request that was
// sent at sent.
func (t *Throttle) Observe(now, sent time.Time, congested bool) {
	share := t.share(now)
	if congested {
		if sent.Before(t.lastDecrease) {
			return
		}
		t.lastDecrease = now
		share *= decreaseFactor
	} else {
		share += shareIncrease + shareGrowth*share
	}
	t.droppedShare = 1 - min(max(share, minShare), 1)
	t.adjustedAt = now
}

// share returns the share of requests that are sent at a time.
func (t *Throttle) share(now time.Time) float64 {
	if t.droppedShare <= 0 {
		return 1
	}
	return min(1, 1-t.droppedShare+recoveryRate*max(0, now.Sub(t.adjustedAt).Seconds()))
}

// SentShare returns the share of requests with the given priority that are sent at a time. There
// are priorityCount priorities, 0 being the highest. Requests of lower priority are
// dropped first.
func (t *Throttle) SentShare(now time.Time, priority, priorityCount int) float64 {
	return rankedShare(t.share(now), priority, priorityCount)
}

// rankedShare returns the share of requests with a priority that are sent if a given share
// of all is.
func rankedShare(share float64, priority, priorityCount int) float64 {
	if share >= 1 || priorityCount <= 1 {
		return share
	}
	// The exponents, from 1/2 for the highest priority to 3/2 for the lowest, keep the
	// mean share close to that of a single priority.
	exponent := 0.5 + float64(min(priority, priorityCount-1))/float64(priorityCount-1)
	return math.Pow(share, exponent)
}
