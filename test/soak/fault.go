package main

import (
	"syscall"
	"time"

	"gentianpond/test/standin"
)

// fault draws the next fault and returns what plays it.
func (s *soak) fault() func() {
	length := time.Duration(200+s.intn(2500)) * time.Millisecond
	kinds := []func(time.Duration){
		s.stopRelay, s.killRelay, s.pauseRelay, s.killMember, s.pauseMember, s.wipeMember, s.killMembers,
		s.misbehave, s.misbehave, s.disturbLink, s.disturbLink, s.resetLinks, s.drainBackend, s.crashBackend,
	}
	kind := kinds[s.intn(len(kinds))]
	return func() { kind(length) }
}

// disturb notes that hosts are disturbed, until now.
func (s *soak) disturb() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = time.Now()
}

// take returns a process that no other fault has, or nil. Control hosts are
// disturbed one at a time: the group is made for one loss.
func (s *soak) take(list []*standin.Process, free chan struct{}) *standin.Process {
	select {
	case free <- struct{}{}:
		return list[s.intn(len(list))]
	default:
		return nil
	}
}

// One fault at a time for members, and one for relays, so that requests and
// documents can get through at all.
var (
	memberFree = make(chan struct{}, 1)
	relayFree  = make(chan struct{}, 1)
)

func (s *soak) stopRelay(time.Duration) {
	p := s.take(s.system.Relays, relayFree)
	if p == nil {
		return
	}
	defer func() { <-relayFree }()
	_ = p.Signal(syscall.SIGTERM)
	if !p.Wait(stopLimit) {
		s.complain("%s did not end by itself within %s of SIGTERM", p.Name, stopLimit)
	}
	s.restart(p)
	s.system.WaitReady(readyLimit)
}

func (s *soak) killRelay(pause time.Duration) {
	if p := s.take(s.system.Relays, relayFree); p != nil {
		defer func() { <-relayFree }()
		s.kill(p, pause, nil)
	}
}

func (s *soak) pauseRelay(pause time.Duration) {
	if p := s.take(s.system.Relays, relayFree); p != nil {
		defer func() { <-relayFree }()
		s.pause(p, pause)
	}
}

func (s *soak) killMember(pause time.Duration) {
	if p := s.take(s.system.Members, memberFree); p != nil {
		defer func() { <-memberFree }()
		s.kill(p, pause, nil)
	}
}

func (s *soak) pauseMember(pause time.Duration) {
	if p := s.take(s.system.Members, memberFree); p != nil {
		defer func() { <-memberFree }()
		s.pause(p, pause)
	}
}

// wipeMember takes a member's disk; it is lost until the group has taken it in
// again.
func (s *soak) wipeMember(pause time.Duration) {
	p := s.take(s.system.Members, memberFree)
	if p == nil {
		return
	}
	defer func() { <-memberFree }()
	s.kill(p, pause, func() {
		if err := p.Wipe(); err != nil {
			s.complain("wipe %s: %v", p.Name, err)
		}
	})
	time.Sleep(touch)
	s.disturb()
}

// killMembers kills all control hosts at once.
func (s *soak) killMembers(time.Duration) {
	if s.take(s.system.Members, memberFree) == nil {
		return
	}
	defer func() { <-memberFree }()
	s.disturb()
	for _, p := range s.system.Members {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range s.system.Members {
		p.Wait(stopLimit)
		s.restart(p)
	}
	s.disturb()
}

func (s *soak) kill(p *standin.Process, pause time.Duration, between func()) {
	s.disturb()
	_ = p.Signal(syscall.SIGKILL)
	p.Wait(stopLimit)
	if between != nil {
		between()
	}
	time.Sleep(pause)
	s.restart(p)
	time.Sleep(time.Second)
	s.disturb()
}

func (s *soak) pause(p *standin.Process, pause time.Duration) {
	s.disturb()
	_ = p.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = p.Signal(syscall.SIGCONT)
	s.disturb()
}

func (s *soak) restart(p *standin.Process) {
	if err := p.Restart(); err != nil {
		s.complain("restart %s: %v", p.Name, err)
	}
}

// backend draws a server and its proxy.
func (s *soak) backend() (*standin.Backend, *standin.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[s.rand.IntN(len(s.backends))]
	return b, s.proxies[b]
}

func (s *soak) misbehave(length time.Duration) {
	b, _ := s.backend()
	v := standin.Behavior{Work: 3 * time.Millisecond}
	switch s.intn(4) {
	case 0:
		v.Work = 150 * time.Millisecond
	case 1:
		v.Reset = 0.3
	case 2:
		v.Refuse = 0.5
	case 3:
		v.Extra = 0.3
	}
	b.Set(v)
	time.Sleep(length)
	b.Set(standin.Behavior{Work: 3 * time.Millisecond})
}

func (s *soak) disturbLink(length time.Duration) {
	_, p := s.backend()
	p.Set(standin.Fault(1 + s.intn(standin.Faults-1)))
	time.Sleep(length)
	p.Set(standin.Pass)
}

func (s *soak) resetLinks(time.Duration) {
	_, p := s.backend()
	p.Reset()
}

// drainBackend replaces a server as a release does: the new one starts first.
func (s *soak) drainBackend(time.Duration) {
	b, _ := s.backend()
	if s.addBackend(b.Service) != nil {
		time.Sleep(time.Second)
		b.Drain(standin.DrainBound + time.Second)
	}
}

func (s *soak) crashBackend(pause time.Duration) {
	b, _ := s.backend()
	b.Crash()
	time.Sleep(pause)
	s.addBackend(b.Service)
}
