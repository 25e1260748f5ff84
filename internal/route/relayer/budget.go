package relayer

import (
	"time"

	"gentianpond/internal/search/hedger"
)

// share is this host's part of the extra sends that are allowed in a window
// whatever the number of requests. Most of it may be saved up, the rest
// comes with time, so that a window never sees more than the whole.
func (r *Relayer) share() float64 {
	return budgetShare * float64(r.config.Budget.Extra) / float64(r.hosts)
}

// burst is the most tokens that a budget holds. With less than one nothing could
// ever be sent.
func (r *Relayer) burst() float64 { return max(1, burstShare*r.share()) }

// budget is this host's share of the extra sends to one service.
type budget struct {
	hedger.Bucket
	// at is when the tokens that come with time were added, takenAt when one was
	// taken last.
	at      time.Time
	takenAt time.Time
}

// take takes a token if reserve tokens stay afterwards.
func (b *budget) take(now time.Time, reserve float64) bool {
	if !b.TakeAbove(reserve) {
		return false
	}
	b.takenAt = now
	return true
}

// budget returns the budget of a service, with the tokens that came with time.
// The lock is held.
func (r *Relayer) budget(now time.Time, service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		// The process before this one may have used the whole share just before it
		// ended.
		b = &budget{Bucket: hedger.NewBucket(budgetShare*r.config.Budget.Ratio, r.burst()), at: now, takenAt: r.started}
		// The first requests after a start need it as much as any others. Half of
		// it keeps hosts that restart from sending twice their share.
		b.Add(max(1, r.burst()/2))
		r.budgets[service] = b
	}
	if now.Sub(b.takenAt) >= r.config.Budget.Window {
		// No window holds an extra send from before and one from now on.
		b.Fill()
	}
	b.Add(now.Sub(b.at).Seconds() / r.config.Budget.Window.Seconds() * max(0, r.share()-r.burst()))
	b.at = now
	return b
}
