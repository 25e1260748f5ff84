package relayer

import (
	"context"
	"time"

	"gentianpond/internal/fleet/registrar"
)

// An evacuated availability zone is one to whose servers no request may be sent. Its servers
// are out of use like draining ones: sends that wait are woken and go elsewhere, connections
// are closed, and neither warming nor background probes open others. Unlike draining ones,
// they come back under the same incarnation when the order is withdrawn.

// SetEvacuations replaces the orders about availability zones. They take effect with the
// next Update.
func (r *Relayer) SetEvacuations(list []registrar.Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones, withdrawn := map[string]bool{}, map[string]time.Time{}
	for _, e := range list {
		if e.Withdrawn {
			withdrawn[e.Zone] = e.At
		} else {
			zones[e.Zone] = true
		}
	}
	r.withdrawnZones = withdrawn
	for zone := range zones {
		if !r.evacuatedZones[zone] {
			r.reportEvacuation("zone evacuated", zone)
		}
	}
	for zone := range r.evacuatedZones {
		if !zones[zone] {
			r.reportEvacuation("evacuation withdrawn", zone)
		}
	}
	r.evacuatedZones = zones
}

// reportEvacuation logs and counts a change of an evacuation.
func (r *Relayer) reportEvacuation(message, zone string) {
	r.config.Scope.Counter("evacuation_changes").Inc(1)
	r.config.Log.Info(message, "zone", zone)
}

// changeServer returns the server as a new state of the registry and the evacuations
// describe it. The caller holds the lock.
func (r *Relayer) changeServer(ctx context.Context, old *server, s registrar.Server, evacuated bool) *server {
	current := &server{Server: s, endpoint: old.endpoint, evacuated: evacuated}
	if old.evacuated && !evacuated {
		r.warm(ctx, current)
	}
	return current
}

// isEvacuated reports whether the availability zone of a server that was chosen earlier is
// evacuated now. Failures to connect to it are expected.
func (r *Relayer) isEvacuated(s *server) bool {
	current := r.routing.Load().servers[s.Name]
	return current != nil && current.evacuated
}

// warm opens a connection to a ready server in the zone of this host.
func (r *Relayer) warm(ctx context.Context, s *server) {
	if s.Zone == r.config.Zone && s.State == registrar.Ready && !s.evacuated {
		go s.pool.Warm(ctx)
	}
}
