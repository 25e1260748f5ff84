package tracker

import "time"

const (
	// flapWindow and flapLimit bound how often a server may restart or be
	// lost before it is held back.
	flapWindow = 60 * time.Second
	flapLimit  = 3
	// holdLeast and holdMost bound the time that a flapping server is held
	// back; it doubles with each further flap.
	holdLeast = 5 * time.Second
	holdMost  = 60 * time.Second
)

// flaps counts the restarts and losses of one server. The zero value has
// seen none.
type flaps struct {
	// times of the flaps in the window, at most flapLimit+1.
	times []time.Time
	// pending is true after a loss until the server returns, so that a crash
	// seen as a loss and then as a restart counts once.
	pending bool
	// delay is the next time to hold the server back, zero below the limit.
	delay time.Duration
}

// lost counts a loss at the time now.
func (f *flaps) lost(now time.Time) {
	f.count(now)
	f.pending = true
}

// returned takes the return of a server at the time now and counts it if it is
// a new incarnation whose loss was not counted. It returns how long the server
// is to be held back.
func (f *flaps) returned(now time.Time, restarted bool) time.Duration {
	if restarted && !f.pending {
		f.count(now)
	}
	f.pending = false
	f.forget(now)
	if len(f.times) <= flapLimit {
		return 0
	}
	return f.delay
}

func (f *flaps) count(now time.Time) {
	f.forget(now)
	f.times = append(f.times, now)
	if len(f.times) <= flapLimit {
		return
	}
	// Only the comparison with the limit matters, so older times are dropped.
	f.times = f.times[len(f.times)-flapLimit-1:]
	f.delay = min(max(2*f.delay, holdLeast), holdMost)
}

// forget drops the flaps that left the window. The delay starts again from
// holdLeast once the window is empty.
func (f *flaps) forget(now time.Time) {
	kept := f.times[:0]
	for _, at := range f.times {
		if now.Sub(at) < flapWindow {
			kept = append(kept, at)
		}
	}
	f.times = kept
	if len(f.times) == 0 {
		f.delay = 0
	}
}
