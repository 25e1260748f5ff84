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

// flaps counts the restarts and losses of one server.
type flaps struct {
	// times of the flaps in the window, oldest first.
	times []time.Time
	// pending is true after a loss until the next incarnation, so that a
	// crash seen as a loss and then as a restart counts once.
	pending bool
	delay   time.Duration
	until   time.Time
}

// lost counts a loss at the time now.
func (f *flaps) lost(now time.Time) {
	f.add(now)
	f.pending = true
}

// restarted counts a new incarnation at the time now.
func (f *flaps) restarted(now time.Time) {
	if f.pending {
		f.pending = false
		return
	}
	f.add(now)
}

func (f *flaps) add(now time.Time) {
	f.forget(now)
	if len(f.times) == 0 {
		f.delay = 0
	}
	f.times = append(f.times, now)
	if len(f.times) <= flapLimit {
		return
	}
	// The limit is all that is compared, so older times need not be kept.
	f.times = f.times[len(f.times)-flapLimit-1:]
	f.delay = min(max(2*f.delay, holdLeast), holdMost)
	if until := now.Add(f.delay); until.After(f.until) {
		f.until = until
	}
}

// forget drops the flaps that left the window.
func (f *flaps) forget(now time.Time) {
	kept := f.times[:0]
	for _, at := range f.times {
		if now.Sub(at) < flapWindow {
			kept = append(kept, at)
		}
	}
	f.times = kept
}
