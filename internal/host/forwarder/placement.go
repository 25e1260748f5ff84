package forwarder

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"gentianpond/internal/route/relayer"
)

// maxPlacementBytes bounds the description of a request. The body in it takes a third more
// than the largest body of a client.
const maxPlacementBytes = 512 << 10

// PlacementRequest describes the request that operators ask about.
type PlacementRequest struct {
	Method string `json:"method"`
	// Host is the requested host without a port, Target the path with the query.
	Host   string `json:"host"`
	Target string `json:"target"`
	// Account is the name of the client account, empty if the request has no key.
	Account string `json:"account,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// NewPlacementHandler returns the handler that tells operators where a request would be sent
// now. It handles one question at a time, so that questions cannot take the memory and the
// processor time of clients' requests.
func (f *Forwarder) NewPlacementHandler() http.Handler {
	busy := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case busy <- struct{}{}:
			defer func() { <-busy }()
		default:
			http.Error(w, "another question is being answered", http.StatusServiceUnavailable)
			return
		}
		// An error means that the client has disconnected.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		var p PlacementRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlacementBytes)).Decode(&p); err != nil {
			http.Error(w, "the request cannot be read: "+err.Error(), http.StatusBadRequest)
			return
		}
		path, _, _ := strings.Cut(p.Target, "?")
		answer := f.relayer.Place(relayer.Request{Method: p.Method, Target: p.Target, Path: path, Host: p.Host, Account: p.Account, Body: p.Body})
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(answer)
	})
}
