package lender

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
)

// Service grants requests to other entry hosts. It implements delegator.LendingService.
type Service struct {
	lender *Lender
}

// Service returns the service of this host.
func (l *Lender) Service() Service { return Service{lender: l} }

// Take takes a request for another host.
func (s Service) Take(caller netip.Addr, r *messenger.TakeRequest) (*messenger.TakeReply, bool) {
	if !s.lender.IsCaller(caller) {
		return nil, false
	}
	if r.GetApart() {
		s.lender.mu.Lock()
		s.lender.allotter.Heard(time.Now(), caller)
		s.lender.mu.Unlock()
	}
	verdict, wait := s.lender.lend(r.GetAccount(), r.GetBackup(), r.GetLate())
	s.lender.config.Scope.Counter("served").Inc(1)
	reply := &messenger.TakeReply{Verdict: uint32(verdict)}
	if wait > 0 {
		reply.Wait = durationpb.New(wait)
	}
	return reply, true
}

// Give gives back what was taken for requests that did not run.
func (s Service) Give(caller netip.Addr, r *messenger.GiveRequest) bool {
	if !s.lender.IsCaller(caller) {
		return false
	}
	now, contactAt := time.Now(), s.lender.config.ContactAt()
	s.lender.mu.Lock()
	defer s.lender.mu.Unlock()
	s.lender.allotter.Contact(now, contactAt)
	s.lender.allotter.Restore(now, r.GetAccount(), int(r.GetCount()), r.GetBackup())
	return true
}

// IsCaller reports whether the control hosts listed a host with this address.
func (l *Lender) IsCaller(a netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.callers[a]
	return ok
}
