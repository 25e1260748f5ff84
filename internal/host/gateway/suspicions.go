package gateway

import (
	"sync"
	"time"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/search/dispatcher"
)

// The bounds of suspicions.
const (
	// suspicionWindow covers the time until the control hosts' quarantine list, which
	// then decides, has reached every entry host: one report and one sync.
	suspicionWindow = 3 * time.Second
	// maxSuspicions is the largest number of fingerprints that suspicions holds. While
	// it is full of unexpired ones, crashes are not recorded.
	maxSuspicions = 4096
)

// suspicions holds the requests, by fingerprint, that this host has seen or was
// warned of near a crash within suspicionWindow. The control hosts' quarantine list
// arrives up to a sync interval later, and each repetition of a crashing request
// until then would crash the servers of another fan-out. The zero value is ready to
// use.
type suspicions struct {
	// mu guards byFingerprint.
	mu sync.Mutex
	// byFingerprint holds at most maxSuspicions suspicions, by the fingerprint of the
	// request. Some may have expired.
	byFingerprint map[uint64]suspicion
}

// suspicion is the suspicion against one fingerprint.
type suspicion struct {
	// lastCrash is when the latest crash was recorded here.
	lastCrash time.Time
	// crashedAlone is true when the request was the only one on a server that
	// crashed.
	crashedAlone bool
}

// record adds the crash of a server that was running the request, or removes the
// suspicion if the request completed alone. It reports whether a crash made the
// verdict stricter, which a crash that is not recorded never does.
func (s *suspicions) record(now time.Time, o dispatcher.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.Crashed {
		delete(s.byFingerprint, o.Fingerprint)
		return false
	}
	earlier, ok := s.byFingerprint[o.Fingerprint]
	ok = ok && now.Sub(earlier.lastCrash) < suspicionWindow
	if s.byFingerprint == nil {
		s.byFingerprint = map[uint64]suspicion{}
	}
	if len(s.byFingerprint) >= maxSuspicions {
		s.removeExpired(now)
	}
	if _, held := s.byFingerprint[o.Fingerprint]; !held && len(s.byFingerprint) >= maxSuspicions {
		return false
	}
	s.byFingerprint[o.Fingerprint] = suspicion{lastCrash: now, crashedAlone: o.Alone || ok && earlier.crashedAlone}
	return !ok || o.Alone && !earlier.crashedAlone
}

// removeExpired removes the suspicions older than suspicionWindow.
func (s *suspicions) removeExpired(now time.Time) {
	for fingerprint, x := range s.byFingerprint {
		if now.Sub(x.lastCrash) >= suspicionWindow {
			delete(s.byFingerprint, fingerprint)
		}
	}
}

// verdict returns how a request may run by this host's suspicions alone.
func (s *suspicions) verdict(now time.Time, fingerprint uint64) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.byFingerprint[fingerprint]
	switch {
	case !ok || now.Sub(x.lastCrash) >= suspicionWindow:
		return quarantiner.VerdictRun
	case x.crashedAlone:
		return quarantiner.VerdictRefuse
	default:
		return quarantiner.VerdictAlone
	}
}
