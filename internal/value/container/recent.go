package container

import "sync"

// Recent remembers the last values that were added, up to a fixed number. It
// is safe for concurrent use. Use NewRecent.
type Recent[T comparable] struct {
	mu    sync.Mutex
	set   Set[T]
	order Ring[T]
}

// NewRecent returns a memory for size values.
func NewRecent[T comparable](size int) *Recent[T] {
	return &Recent[T]{order: NewRing[T](size)}
}

// Has reports whether v is remembered.
func (r *Recent[T]) Has(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Has(v)
}

// Add remembers v, forgetting the oldest value if there is no room, and
// reports whether v was new.
func (r *Recent[T]) Add(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.set.Add(v) {
		return false
	}
	if r.order.Push(v) {
		return true
	}
	if old, ok := r.order.Pop(); ok {
		r.set.Remove(old)
	}
	r.order.Push(v)
	return true
}
