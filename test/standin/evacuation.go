package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// EvacuationLimit is how long after the acknowledgement of an evacuation hosts may still
// send requests to the servers of the zone.
const EvacuationLimit = 5 * time.Second

// Evacuate orders the evacuation of a zone, or withdraws it, until it is acknowledged or the
// time limit has passed. It returns a failure if the order is refused.
func (o *Operator) Evacuate(zone string, withdraw bool, limit time.Duration) (acked bool, failure string) {
	method := http.MethodPost
	if withdraw {
		method = http.MethodDelete
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, body := Call(method, "http://"+o.nextControl()+"/v1/evacuation/"+zone, nil, 1500*time.Millisecond)
		switch {
		case status == http.StatusOK:
			return true, ""
		case status >= 400 && status < 500:
			return false, fmt.Sprintf("%s of the evacuation of %s was refused with %d: %s", method, zone, status, body)
		}
	}
	return false, ""
}

// Leader returns the member that leads, or nil. Control hosts name the leader in their reply
// to a backend server, unless they lead themselves.
func (s *System) Leader() *Process {
	for i, address := range s.ControlAddresses {
		status, body := Call(http.MethodDelete, "http://"+address+"/v1/instances/none", nil, time.Second)
		if status != http.StatusOK {
			continue
		}
		var reply struct {
			Leader string `json:"heartbeatAddress"`
		}
		if json.Unmarshal(body, &reply) == nil && reply.Leader != "" {
			i = slices.Index(s.ControlAddresses, reply.Leader)
		}
		if i >= 0 {
			return s.Members[i]
		}
	}
	return nil
}

// WatchArrivals makes the server record the arrival times of requests after a time. It
// returns those that were recorded before.
func (b *Backend) WatchArrivals(after time.Time) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.watchedArrivals
	b.watchedArrivals, b.watchedAfter = nil, after
	return list
}

// recordArrival records the arrival of a request after the time of WatchArrivals.
func (b *Backend) recordArrival() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); !b.watchedAfter.IsZero() && now.After(b.watchedAfter) {
		b.watchedArrivals = append(b.watchedArrivals, now)
	}
}
