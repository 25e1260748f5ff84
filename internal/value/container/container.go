// Package container holds small generic value types.
package container

// Set is a set of comparable values. The zero value is an empty set that can
// be read; use Add on a pointer to fill it.
type Set[T comparable] struct {
	items map[T]struct{}
}

// SetOf returns a set that holds items.
func SetOf[T comparable](items ...T) Set[T] {
	var s Set[T]
	for _, item := range items {
		s.Add(item)
	}
	return s
}

// Add puts item into the set and reports whether it was new.
func (s *Set[T]) Add(item T) bool {
	if s.items == nil {
		s.items = map[T]struct{}{}
	}
	if _, ok := s.items[item]; ok {
		return false
	}
	s.items[item] = struct{}{}
	return true
}

// Remove takes item out of the set.
func (s *Set[T]) Remove(item T) { delete(s.items, item) }

// Has reports whether item is in the set.
func (s Set[T]) Has(item T) bool {
	_, ok := s.items[item]
	return ok
}

// Len returns the number of items.
func (s Set[T]) Len() int { return len(s.items) }

// Each calls f for every item in no particular order.
func (s Set[T]) Each(f func(T)) {
	for item := range s.items {
		f(item)
	}
}

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	set   bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, set: true} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or def if there is none.
func (o Option[T]) Or(def T) T {
	if o.set {
		return o.value
	}
	return def
}

// Ring is a bounded first-in, first-out queue. The zero value has no room;
// use NewRing. It is not safe for concurrent use.
type Ring[T any] struct {
	items []T
	head  int
	count int
}

// NewRing returns a ring with room for size items.
func NewRing[T any](size int) Ring[T] {
	return Ring[T]{items: make([]T, size)}
}

// Push appends v and reports whether there was room.
func (r *Ring[T]) Push(v T) bool {
	if r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	return true
}

// Pop removes and returns the oldest item.
func (r *Ring[T]) Pop() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v, true
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return r.count }
