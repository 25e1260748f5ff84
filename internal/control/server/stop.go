package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/protocol/messenger"
)

// askLoop returns the result of a question that the loop answers. The error is errStopped
// if the loop ends before, and that of ctx if it has not answered by then: a loop that waits
// for room on a full disk answers nothing.
func (s *Server) askLoop(ctx context.Context, question func(*loop) bool) (bool, error) {
	answer := make(chan bool, 1)
	select {
	case s.events <- func(l *loop) { answer <- question(l) }:
	case <-s.loopStopped:
		return false, errStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
	select {
	case a := <-answer:
		return a, nil
	case <-s.loopStopped:
		return false, errStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// transferLeadership asks another host to lead and repeats this until one does, for
// leadershipTransferTimeout at most. It waits for the loop until ctx ends.
func (s *Server) transferLeadership(ctx context.Context) {
	start := time.Now()
	for asked := false; time.Since(start) < leadershipTransferTimeout; asked = true {
		stillLeading, err := s.askLoop(ctx, (*loop).transferLeadership)
		switch {
		case errors.Is(err, errStopped):
			return
		case err != nil:
			s.log.Warn("stopping without a transfer of leadership: the control loop does not answer", "waited", time.Since(start))
			return
		case !stillLeading:
			if asked {
				s.log.Info("transferred leadership", "took", time.Since(start))
			}
			return
		}
		time.Sleep(tickInterval)
	}
	s.log.Warn("no other host took over leadership in time", "limit", leadershipTransferTimeout)
}

// transferLeadership asks another host to lead if this host leads, and reports whether
// it did.
func (l *loop) transferLeadership() bool {
	if !l.isLeader() {
		return false
	}
	l.core.TransferLeadership(l.now())
	return true
}

const (
	// departureInterval is how often a host that is about to stop asks whether it may
	// end.
	departureInterval = 50 * time.Millisecond
	// maxLeaderlessStop is how long such a host waits for a leader. It is longer than
	// two elections; after that the others have probably ended too.
	maxLeaderlessStop = 1500 * time.Millisecond
)

// handOverVote waits until this host has no vote or no other host can take it over. A
// host that ended earlier might never return, and the group would count on its vote.
// stopBy is when it gives up.
func (s *Server) handOverVote(stopBy time.Time) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), stopBy)
	defer cancel()
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		mayEnd, err := s.askLoop(ctx, (*loop).requestDeparture)
		switch {
		case errors.Is(err, errStopped):
			return
		case mayEnd:
			s.log.Info("this host may end", "took", time.Since(start))
			return
		}
		<-ticker.C
	}
	s.log.Warn("this host ends with its vote, which no other host has taken over in time", "limit", stopBy.Sub(start))
}

// requestDeparture announces to the other control hosts that this host is about to stop,
// and reports whether it may end.
func (l *loop) requestDeparture() bool {
	if !l.settings.isOpenGroup() || !l.isMember() || l.departureAllowed {
		return true
	}
	now := l.now()
	if l.status.Leader != 0 || l.lastLeaderKnown == 0 {
		l.lastLeaderKnown = now
	}
	// An earlier transfer may have failed, or this host may lead because another one ended.
	if l.transferLeadership() {
		return l.checkDeparture(l.status.ID) == messenger.Departure_DEPARTURE_ALLOWED
	}
	if now-l.lastLeaderKnown > maxLeaderlessStop {
		return true
	}
	for _, h := range l.controlHosts() {
		if h.Name != l.settings.Name {
			l.senders.enqueue(h.Address, outgoingMessage{receiver: h.Name})
		}
	}
	return false
}

// observeDeparture records the answer of the host at an address to a hello of this host
// that announced its stop. A leader of an earlier version does not know the question, and
// waiting for it would be in vain.
func (l *loop) observeDeparture(from netip.AddrPort, d messenger.Departure) {
	if !l.senders.leaving.Load() {
		return
	}
	earlierVersion := d == messenger.Departure_DEPARTURE_NONE && from.String() == l.leaderAddress()
	l.departureAllowed = l.departureAllowed || d == messenger.Departure_DEPARTURE_ALLOWED || earlierVersion
}

// checkDeparture tells a host that is about to stop whether it may end.
func (l *loop) checkDeparture(id uint64) messenger.Departure {
	switch repairer.CheckDeparture(l.repairLimits(), l.controlHosts(), l.core.Status(), l.repairerHellos(l.now()), id) {
	case repairer.DeparturePending:
		return messenger.Departure_DEPARTURE_PENDING
	case repairer.DepartureAllowed:
		return messenger.Departure_DEPARTURE_ALLOWED
	}
	return messenger.Departure_DEPARTURE_UNKNOWN
}
