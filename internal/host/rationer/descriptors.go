package rationer

import "sync"

// Descriptors counts the file descriptors that several users share. The zero value has no limit. It is
// safe for concurrent use.
type Descriptors struct {
	// mu guards the fields below.
	mu          sync.Mutex
	limit, used int
	reclaim     func()
}

// NewDescriptors returns an account with a limit.
func NewDescriptors(limit int) *Descriptors { return &Descriptors{limit: limit} }

// SetReclaim sets a function that gives back descriptors that can be spared. It is called when there
// are too few.
func (d *Descriptors) SetReclaim(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclaim = f
}

// Add counts a descriptor that is open already. It returns false if there are too many then, also
// after others were given back.
func (d *Descriptors) Add() bool {
	d.mu.Lock()
	d.used++
	d.mu.Unlock()
	return d.isWithin(0)
}

// TryAdd counts a descriptor if the limit allows it.
func (d *Descriptors) TryAdd() bool {
	if !d.isWithin(1) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limit > 0 && d.used >= d.limit {
		return false
	}
	d.used++
	return true
}

// isWithin reports whether there is room for n more descriptors. If not, it first asks for some back.
func (d *Descriptors) isWithin(n int) bool {
	d.mu.Lock()
	within, reclaim := d.limit == 0 || d.used+n <= d.limit, d.reclaim
	d.mu.Unlock()
	if within || reclaim == nil {
		return within
	}
	reclaim()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used+n <= d.limit
}

// Remove counts a descriptor as closed.
func (d *Descriptors) Remove() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used--
}

// Used returns the number of descriptors.
func (d *Descriptors) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}
