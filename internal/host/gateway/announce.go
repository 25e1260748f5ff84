package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/host/acceptor"
)

// handleAnnounce serves POST /v1/announce, by which a backend server reports its
// address, its load and the shards that it serves.
func (g *Gateway) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := acceptor.ReadBody(r, http.MaxBytesReader(w, r.Body, tracker.MaxBodyBytes))
	if errors.Is(err, acceptor.ErrNoMemory) {
		acceptor.WriteNoMemory(w)
		return
	}
	if err != nil {
		http.Error(w, "announcement can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	a, err := tracker.ParseJSON(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.fleetMu.Lock()
	err = g.fleet.ApplyAnnouncement(time.Now(), a)
	g.fleetMu.Unlock()
	switch {
	case err == nil:
		g.coordinator.RecordLoad(time.Now(), a.ServerName, a.Load)
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, tracker.ErrStale):
		// A delayed announcement is no fault of the backend server.
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
