package relayer

import (
	"time"

	"gentianpond/internal/search/hedger"
)

// extraAllowance returns this host's share of Budget.ExtraPerWindow, the extra sends
// allowed in a window regardless of the number of requests. Up to burstCapacity of it
// may accumulate; the rest is added over the window, so that the extra sends in a
// window never exceed the allowance.
func (r *Relayer) extraAllowance() float64 {
	return budgetFraction * float64(r.config.Budget.ExtraPerWindow) / float64(r.hostCount)
}

// burstCapacity returns the number of tokens that a budget holds at most. It is at
// least one, because nothing extra could ever be sent with less.
func (r *Relayer) burstCapacity() float64 { return max(1, burstFraction*r.extraAllowance()) }

// hostBudget is the token bucket for this host's share of the extra sends to one
// service.
type hostBudget struct {
	hedger.TokenBucket
	// refilledAt is when the tokens for the elapsed time were added last.
	refilledAt time.Time
	// lastTaken is when the latest token was taken, at first the start of the process.
	lastTaken time.Time
}

// take takes a token if at least reserve tokens remain afterwards, and reports whether
// it did.
func (b *hostBudget) take(now time.Time, reserve float64) bool {
	if !b.TakeAbove(reserve) {
		return false
	}
	b.lastTaken = now
	return true
}

// serviceBudget returns the budget of a service after adding the tokens for the
// elapsed time. It creates the budget if needed. The caller holds the lock.
func (r *Relayer) serviceBudget(now time.Time, service string) *hostBudget {
	b, ok := r.budgets[service]
	if !ok {
		// The previous process on this host may have used the whole allowance just
		// before it ended, so the budget starts empty, and lastTaken at the start of this
		// process. Several restarts within a window then add nothing.
		b = &hostBudget{TokenBucket: hedger.NewTokenBucket(budgetFraction*r.config.Budget.Ratio, r.burstCapacity()), refilledAt: now, lastTaken: r.startedAt}
		r.budgets[service] = b
	}
	if now.Sub(b.lastTaken) >= r.config.Budget.Window {
		// The last extra send is outside of every window that begins from now on.
		b.Fill()
	}
	b.AddTokens(now.Sub(b.refilledAt).Seconds() / r.config.Budget.Window.Seconds() * max(0, r.extraAllowance()-r.burstCapacity()))
	b.refilledAt = now
	return b
}
