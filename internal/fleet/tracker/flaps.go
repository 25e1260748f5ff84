package tracker

import "time"

const (
	// A server that restarts or is lost more than flapLimit times within
	// flapWindow gets no new work for a while.
	flapWindow = 60 * time.Second
	flapLimit  = 3
	// minHoldTime and maxHoldTime bound the time for which a flapping server
	// gets no new work. The time doubles with each further flap.
	minHoldTime = 5 * time.Second
	maxHoldTime = 60 * time.Second
)

// flapDamper counts the flaps of one server, which are its restarts and losses,
// and decides for how long it gets no new work. The zero value has counted none.
type flapDamper struct {
	// flapTimes holds the times of the flaps in the window, at most flapLimit+1.
	flapTimes []time.Time
	// lossCounted is true after a loss until the server returns, so that a crash
	// seen as a loss and then as a restart counts once.
	lossCounted bool
	// nextHoldTime is for how long the server is held back when it next returns,
	// zero until the limit is exceeded.
	nextHoldTime time.Duration
}

// recordLoss counts a loss at the time now.
func (d *flapDamper) recordLoss(now time.Time) {
	d.recordFlap(now)
	d.lossCounted = true
}

// recordReturn records that the server is back at the time now, and counts a flap
// if it restarted and its loss was not counted. It returns for how long the server
// is to be held back.
func (d *flapDamper) recordReturn(now time.Time, restarted bool) time.Duration {
	if restarted && !d.lossCounted {
		d.recordFlap(now)
	}
	d.lossCounted = false
	d.dropOldFlaps(now)
	if len(d.flapTimes) <= flapLimit {
		return 0
	}
	return d.nextHoldTime
}

// recordFlap counts a flap at the time now. Beyond the limit it sets the next hold
// time.
func (d *flapDamper) recordFlap(now time.Time) {
	d.dropOldFlaps(now)
	d.flapTimes = append(d.flapTimes, now)
	if len(d.flapTimes) <= flapLimit {
		return
	}
	// Only the comparison with the limit matters, so older times are dropped.
	d.flapTimes = d.flapTimes[len(d.flapTimes)-flapLimit-1:]
	d.nextHoldTime = min(max(2*d.nextHoldTime, minHoldTime), maxHoldTime)
}

// dropOldFlaps drops the flaps that left the window. Once the window is empty, the
// next hold time starts again from minHoldTime.
func (d *flapDamper) dropOldFlaps(now time.Time) {
	kept := d.flapTimes[:0]
	for _, at := range d.flapTimes {
		if now.Sub(at) < flapWindow {
			kept = append(kept, at)
		}
	}
	d.flapTimes = kept
	if len(d.flapTimes) == 0 {
		d.nextHoldTime = 0
	}
}
