package gateway

import (
	"sync"
	"time"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/search/dispatcher"
)

// The bounds of a host's own memory of crashes.
const (
	// suspicionWindow bridges the time until the control hosts' list, which
	// then decides, has reached every entry host: one report and one sync.
	suspicionWindow = 3 * time.Second
	suspicionSize   = 4096
)

// suspicions is what this host has seen of crashes in the last moments. The
// list from the control hosts arrives up to a sync interval later, and each
// send of a crashing request in between would cost another fan-out.
type suspicions struct {
	mu   sync.Mutex
	seen map[uint64]suspicion
}

type suspicion struct {
	last  time.Time
	alone bool
}

// observe notes a crash near a request, or that a request completed alone. It
// reports whether a crash made the verdict stricter.
func (s *suspicions) observe(now time.Time, o dispatcher.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.Crashed {
		delete(s.seen, o.Fingerprint)
		return false
	}
	old, ok := s.seen[o.Fingerprint]
	ok = ok && now.Sub(old.last) < suspicionWindow
	if s.seen == nil {
		s.seen = map[uint64]suspicion{}
	}
	if len(s.seen) >= suspicionSize {
		s.expire(now)
	}
	if len(s.seen) < suspicionSize {
		s.seen[o.Fingerprint] = suspicion{last: now, alone: o.Alone || ok && old.alone}
	}
	return !ok || o.Alone && !old.alone
}

func (s *suspicions) expire(now time.Time) {
	for fingerprint, x := range s.seen {
		if now.Sub(x.last) >= suspicionWindow {
			delete(s.seen, fingerprint)
		}
	}
}

// verdict says how a request may run as far as this host has seen.
func (s *suspicions) verdict(now time.Time, fingerprint uint64) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.seen[fingerprint]
	switch {
	case !ok || now.Sub(x.last) >= suspicionWindow:
		return quarantiner.VerdictRun
	case x.alone:
		return quarantiner.VerdictRefuse
	default:
		return quarantiner.VerdictAlone
	}
}
