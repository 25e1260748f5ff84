package executor

import (
	"sync"

	"gentianpond/internal/value/container"
)

// maxGrantedKeys is how many granted keys a process remembers. The oldest one is
// forgotten first.
const maxGrantedKeys = 65536

// grantedKeySet is the set of the idempotency keys that were granted to this
// process last. The zero value is empty.
type grantedKeySet struct {
	// once creates keys on first use.
	once sync.Once
	// keys holds the granted idempotency keys, at most maxGrantedKeys.
	keys *container.RecentSet[string]
}

// recentKeys returns the set, which it creates on the first call.
func (s *grantedKeySet) recentKeys() *container.RecentSet[string] {
	s.once.Do(func() { s.keys = container.NewRecentSet[string](maxGrantedKeys) })
	return s.keys
}

func (s *grantedKeySet) has(key string) bool { return s.recentKeys().Has(key) }

func (s *grantedKeySet) add(key string) { s.recentKeys().Add(key) }
