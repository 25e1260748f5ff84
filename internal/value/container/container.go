// Package container provides small generic containers: a set, an optional value, a
// bounded queue and a bounded set of recent values.
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

// Add adds item to the set and reports whether it was new.
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

// Remove deletes item from the set if it is there.
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
	value   T
	present bool
}

// Some returns an option with the value v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or fallback if it is absent.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}

// Ring is a bounded first-in, first-out queue. The zero value has no room; use
// NewRing. It is not safe for concurrent use.
type Ring[T any] struct {
	// items has the length of the capacity.
	items []T
	// head is the index of the oldest item.
	head int
	// count is the number of queued items.
	count int
}

// NewRing returns an empty ring with room for capacity items.
func NewRing[T any](capacity int) Ring[T] {
	return Ring[T]{items: make([]T, capacity)}
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

// Pop removes and returns the oldest item, or reports false if the ring is empty.
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
