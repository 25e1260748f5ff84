package container

import "sync"

// RecentSet is a set that holds the values added last, up to a fixed number. It is
// safe for concurrent use. Use NewRecentSet.
type RecentSet[T comparable] struct {
	// mu guards the other fields.
	mu sync.Mutex
	// values holds the values of the set, for Has.
	values Set[T]
	// order holds the same values, the oldest first.
	order Ring[T]
}

// NewRecentSet returns an empty set that holds at most capacity values.
func NewRecentSet[T comparable](capacity int) *RecentSet[T] {
	return &RecentSet[T]{order: NewRing[T](capacity)}
}

// Has reports whether v is in the set.
func (r *RecentSet[T]) Has(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values.Has(v)
}

// Add adds v, after removing the oldest value if the set is full, and reports
// whether v was new. Adding a value again does not renew its age.
func (r *RecentSet[T]) Add(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.values.Add(v) {
		return false
	}
	if r.order.Push(v) {
		return true
	}
	if old, ok := r.order.Pop(); ok {
		r.values.Remove(old)
	}
	r.order.Push(v)
	return true
}
