package executor

import (
	"sync"

	"gentianpond/internal/value/container"
)

// seenSize is how many granted keys a process remembers.
const seenSize = 65536

// seen remembers the keys that were granted to this process. The zero value is
// empty.
type seen struct {
	once sync.Once
	keys *container.RecentSet[string]
}

func (s *seen) recent() *container.RecentSet[string] {
	s.once.Do(func() { s.keys = container.NewRecentSet[string](seenSize) })
	return s.keys
}

func (s *seen) has(key string) bool { return s.recent().Has(key) }

func (s *seen) add(key string) { s.recent().Add(key) }
