package lender

import (
	"context"
	"sync/atomic"
	"time"

	"gentianpond/internal/route/allotter"
)

// result is the result of one attempt to take a request.
type result struct {
	step    allotter.Step
	verdict allotter.Verdict
	wait    time.Duration
}

// takeLent makes the attempts to take a request until a time. It returns Refused if the lender
// refused it, and NotLender with the wait that the backup named, if any, if this host's own
// share is to be used.
//
// A lender with a fifth of a core may be out of processor time for longer than hedgeTime, so
// the backup is asked beside it. If both grant the request, one grant is given back.
func (l *Lender) takeLent(ctx context.Context, steps []allotter.Step, account string, late bool, end time.Time) (allotter.Verdict, time.Duration) {
	if len(steps) == 1 || steps[0].Here {
		verdict, wait := l.try(ctx, steps[0], account, late, end)
		if steps[0].Backup && verdict == allotter.Refused {
			return allotter.NotLender, wait
		}
		return verdict, wait
	}
	results := make(chan result, len(steps))
	var settled atomic.Bool
	// An attempt goes on after the end of the request, to give back what it took.
	callCtx := context.WithoutCancel(ctx)
	start := func(s allotter.Step) {
		go func() {
			verdict, wait := l.try(callCtx, s, account, late, end)
			if verdict == allotter.Granted && !settled.CompareAndSwap(false, true) {
				l.mu.Lock()
				l.giveTo(time.Now(), s, account)
				l.mu.Unlock()
				verdict = allotter.NotLender
			}
			results <- result{s, verdict, wait}
		}()
	}
	start(steps[0])
	started, pending := 1, 1
	hedge := time.NewTimer(hedgeTime)
	defer hedge.Stop()
	outcome, wait := allotter.NotLender, time.Duration(0)
	for pending > 0 && outcome == allotter.NotLender {
		next := false
		select {
		case r := <-results:
			pending--
			switch {
			case r.verdict == allotter.Granted:
				return allotter.Granted, 0
			case r.verdict == allotter.Refused && !r.step.Backup:
				outcome, wait = allotter.Refused, r.wait
			case r.verdict == allotter.Refused:
				wait = r.wait
			default:
				next = true
			}
		case <-hedge.C:
			next = true
		}
		if next && started < len(steps) {
			start(steps[started])
			started, pending = started+1, pending+1
		}
	}
	if !settled.CompareAndSwap(false, true) {
		// The other attempt has just been granted.
		return allotter.Granted, 0
	}
	return outcome, wait
}
