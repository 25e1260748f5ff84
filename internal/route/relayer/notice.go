package relayer

import "time"

// observeNotice records that a server said in its answer to the request with the given id
// that it is about to stop, or that it wants no requests for a time. Both hold for the
// incarnation of the server. The caller holds the lock.
//
// A server that leaves is used no more, even if it goes on checking in as ready. One that
// names a time gets no requests from this host until then; the others go on, because it
// told only this host, and news of it would reach them when most of the time has passed.
func (r *Relayer) observeNotice(now time.Time, id string, res sendResult) {
	m, s := res.metadata, res.server
	if res.err != nil || m.RequestID != id || m.Misdirected {
		return
	}
	if m.Leaving && s.leaving.CompareAndSwap(false, true) {
		r.config.Scope.Counter("servers_leaving").Inc(1)
		r.config.Log.Info("backend server is leaving", "server", s.Name, "service", s.Service, "incarnation", s.Incarnation, "request", id)
		s.pool.WakeWaiting()
		if r.config.ReportLeaving != nil {
			r.config.ReportLeaving(s.Name, s.Incarnation)
		}
	}
	if m.RetryAfter <= 0 {
		return
	}
	until := now.Add(m.RetryAfter)
	if old := s.pausedUntil.Load(); old != nil && !until.After(*old) {
		return
	}
	s.pausedUntil.Store(&until)
	s.pool.WakeWaiting()
	r.config.Scope.Counter("server_pauses").Inc(1)
	r.config.Log.Info("backend server wants no requests for a time", "server", s.Name, "service", s.Service, "pause", m.RetryAfter, "request", id)
}

// pause returns how long the server wants no more requests.
func (s *server) pause(now time.Time) time.Duration {
	until := s.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now))
}

// pauseOf returns how long all servers of a service that can be reached want no requests,
// 0 if one takes them or none can be reached.
func (state *routingState) pauseOf(now time.Time, service string) time.Duration {
	var shortest time.Duration
	for _, name := range state.services[service].ready {
		s := state.servers[name]
		if !s.reachable() {
			continue
		}
		pause := s.pause(now)
		if pause == 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// hasRoom reports whether a request may be sent to a server that can be reached: it wants
// requests, and there is room within its rate limit. The caller holds the lock.
func (r *Relayer) hasRoom(now time.Time, s *server) bool {
	return s.pause(now) == 0 && r.withinLimits(now, s)
}

// nextRoom returns when hasRoom will be true, and false if that is unknown. The caller
// holds the lock.
func (r *Relayer) nextRoom(now time.Time, s *server) (time.Time, bool) {
	at, ok := r.nextWithinLimits(now, s)
	if pausedUntil := now.Add(s.pause(now)); pausedUntil.After(at) {
		at = pausedUntil
	}
	return at, ok
}
