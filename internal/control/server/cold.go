package server

import (
	"time"

	"gentianpond/internal/fleet/registrar"
)

// coldTolerance is by how much a cold time may end later than was known without being
// news: check-ins are on their way for different times.
const coldTolerance = time.Second

// maxStartMs bounds an incarnation that is read as a start in Unix milliseconds.
const maxStartMs = 1 << 42

// coldEnd is the loop's time until which an incarnation of a server is cold.
type coldEnd struct {
	incarnation uint64
	at          time.Duration
}

// recordCold records how long a server says that it is cold, and reports whether that is
// longer than the entry hosts know. A new leader knows of none, so that each cold server is
// news to it once.
func (t *checkInTracker) recordCold(now time.Duration, s registrar.Server) bool {
	end := coldEnd{incarnation: s.Incarnation, at: now + s.ColdRemaining}
	old, ok := t.coldEnds[s.Name]
	if ok && old.incarnation == s.Incarnation && end.at <= old.at+coldTolerance {
		return false
	}
	t.coldEnds[s.Name] = end
	return true
}

// classify returns what a check-in means for the registry. A cold time that only runs down
// is a renewal.
func (l *loop) classify(s registrar.Server) registrar.Verdict {
	verdict := l.keeper.Registry().Classify(s)
	switch {
	case verdict == registrar.VerdictChange && s.State == registrar.Gone:
		delete(l.checkIns.coldEnds, s.Name)
	case verdict == registrar.VerdictChange && s.ColdRemaining > 0:
		l.checkIns.recordCold(l.now(), s)
	case verdict == registrar.VerdictCold && l.checkIns.recordCold(l.now(), s):
		l.log.Info("backend server is cold", "server", s.Name, "service", s.Service, "left", s.ColdRemaining)
		return registrar.VerdictChange
	case verdict == registrar.VerdictCold:
		return registrar.VerdictRenewal
	}
	return verdict
}

// coldTimeOf returns how much longer a registered server is cold. The record says what was so
// when it changed last, which may be long ago. Without a check-in since this host leads, the
// record is taken for that of the start, which the incarnation names in milliseconds; a
// server that has become cold since then says so in its next check-in.
func (l *loop) coldTimeOf(now time.Duration, wall time.Time, s registrar.Server) time.Duration {
	if end, ok := l.checkIns.coldEnds[s.Name]; ok && end.incarnation == s.Incarnation {
		return max(0, end.at-now)
	}
	started := time.UnixMilli(int64(min(s.Incarnation, maxStartMs)))
	return min(max(0, started.Add(s.ColdRemaining).Sub(wall)), s.ColdRemaining)
}
