package connector

import "sync"

// Allowance bounds the bytes that responses hold in memory at a time. It may be part of
// a larger one, such as the allowance of a request of that of its host. A nil Allowance
// allows everything. It is safe for concurrent use.
type Allowance struct {
	// parent is the allowance that this one is part of; nil if there is none.
	parent *Allowance
	// limit is the number of bytes that may be held at a time.
	limit int64

	// mu guards the fields below.
	mu sync.Mutex
	// used is the number of bytes that are held.
	used int64
	// closed is true once Close was called.
	closed bool
}

// NewAllowance returns an allowance of limit bytes that is part of parent, which may be
// nil.
func NewAllowance(limit int64, parent *Allowance) *Allowance {
	return &Allowance{parent: parent, limit: limit}
}

// Used returns the number of bytes that are held.
func (a *Allowance) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Close returns everything that is held to the parent and allows nothing more.
func (a *Allowance) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	n := a.used
	a.used, a.closed = 0, true
	a.mu.Unlock()
	a.parent.release(n)
}

// Take reserves n bytes until Close. Errors are those of Do: ErrTooLarge and ErrExhausted.
func (a *Allowance) Take(n int64) error { return a.take(n) }

// take reserves n bytes. The error is ErrTooLarge if a itself does not have them or is
// closed, and ErrExhausted if a larger allowance does not; nothing is reserved then.
func (a *Allowance) take(n int64) error {
	if a == nil || n == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.used+n > a.limit {
		return ErrTooLarge
	}
	if a.parent.take(n) != nil {
		return ErrExhausted
	}
	a.used += n
	return nil
}

// release returns n bytes that were taken.
func (a *Allowance) release(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.used -= n
	a.parent.release(n)
}
