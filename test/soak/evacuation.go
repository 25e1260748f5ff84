package main

import (
	"syscall"
	"time"

	"gentianpond/test/standin"
)

const (
	// evacuationWatch is for how long the servers of an evacuated zone are watched.
	evacuationWatch = 2 * time.Second
	// evacuationSettle is how long after the withdrawal servers of the zone have to get
	// requests again.
	evacuationSettle = 5 * time.Second
)

// evacuateZone orders the evacuation of a zone while the leader is killed, and checks that
// its servers get nothing until the withdrawal.
func (s *soak) evacuateZone(zone string) {
	if acked := s.orderEvacuation(zone); !acked {
		return
	}
	s.checkEvacuated(zone)
	if _, failure := s.operator.Evacuate(zone, true, recoveryLimit); failure != "" {
		s.failf("operator: %s", failure)
	}
}

// orderEvacuation orders the evacuation of a zone and kills the leader at the same time, and
// reports whether the order was acknowledged.
func (s *soak) orderEvacuation(zone string) bool {
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		s.killLeader()
	}()
	acked, failure := s.operator.Evacuate(zone, false, recoveryLimit)
	if failure != "" {
		s.failf("operator: %s", failure)
	}
	<-killed
	return acked
}

// killLeader kills the leader and starts it again, unless another member is disturbed.
func (s *soak) killLeader() {
	select {
	case memberFaultSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-memberFaultSlot }()
	if p := s.system.Leader(); p != nil {
		s.markDisturbance()
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(stopLimit)
		s.restart(p)
		s.markDisturbance()
	}
}

// checkEvacuated checks that the servers of a zone get no request from the time at which the
// order has to be in force. Relays that were disturbed lately may not know it.
func (s *soak) checkEvacuated(zone string) {
	time.Sleep(standin.EvacuationLimit)
	watched := s.backendsOf(zone)
	start := time.Now()
	for _, b := range watched {
		b.WatchArrivals(start)
	}
	time.Sleep(evacuationWatch)
	for _, b := range watched {
		arrivals := b.WatchArrivals(time.Time{})
		s.mu.Lock()
		quiet := start.Sub(s.lastDisturbance) > disturbanceWindow-time.Second
		s.mu.Unlock()
		if len(arrivals) > 0 && quiet {
			s.failf("server %s of the evacuated zone %s got %d requests", b.ID, zone, len(arrivals))
		}
	}
}

// backendsOf returns the backend servers of a zone.
func (s *soak) backendsOf(zone string) []*standin.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*standin.Backend
	for _, b := range s.backends {
		if b.Zone == zone {
			list = append(list, b)
		}
	}
	return list
}
