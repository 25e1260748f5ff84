package relayer

import (
	"time"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/search/caller"
)

// observeLinks records what the outcome of a send reveals about this host's links to the
// backend servers. The caller holds the lock.
func (r *Relayer) observeLinks(now time.Time, res sendResult) {
	switch {
	case res.err == nil:
		r.linkWorks(now, res.server)
	case res.status == caller.Unsent && !r.isEvacuated(res.server):
		r.links.Failed(now, res.server.Name)
		r.checkLinks(now)
	}
}

// linkWorks records that a server was reached. The caller holds the lock.
func (r *Relayer) linkWorks(now time.Time, s *server) {
	e, ended := r.links.Reached(now)
	if ended {
		r.config.Log.Info("links to backend servers are back", "server", s.Name, "after", e.CutOff, "failed", e.Failed, "known", e.Known)
	}
}

// checkLinks reports whether this host is cut off from the backend servers. The caller
// holds the lock.
func (r *Relayer) checkLinks(now time.Time) bool {
	e, cutOff, begun := r.links.Check(now)
	if begun {
		r.config.Scope.Counter("cut_offs").Inc(1)
		r.config.Log.Warn("cut off from backend servers", "failed", e.Failed, "known", e.Known, "silence", e.Silence, "control", r.controlAge())
		// Open connections may hang. New ones show when the links are back.
		for _, s := range r.routing.Load().servers {
			s.pool.CloseIdle()
		}
	}
	return cutOff
}

// updateLinks tells the detector which servers check in. The caller holds the lock.
func (r *Relayer) updateLinks(state *routingState) {
	known := 0
	for _, s := range state.servers {
		if s.State == registrar.Ready && !s.evacuated {
			known++
		}
	}
	r.links.SetServers(known, func(name string) bool {
		s := state.servers[name]
		return s != nil && s.State == registrar.Ready && !s.evacuated
	})
}
