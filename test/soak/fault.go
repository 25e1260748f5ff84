package main

import (
	"fmt"
	"syscall"
	"time"

	"gentianpond/test/standin"
)

// randomFault chooses a fault and its length at random and returns a function
// that injects it and waits for its end.
func (s *soak) randomFault() func() {
	length := time.Duration(200+s.randomInt(2500)) * time.Millisecond
	kinds := []func(time.Duration){
		s.stopRelay, s.killRelay, s.pauseRelay, s.killMember, s.pauseMember, s.wipeMember, s.killMembers,
		s.stopMember, s.replaceMember,
		s.degradeBackend, s.degradeBackend, s.injectLinkFault, s.injectLinkFault, s.resetConnections, s.drainBackend, s.crashBackend, s.limitBackend,
		s.sendCrashingRequest, s.leaveBackend, s.pauseBackend,
	}
	kind := kinds[s.randomInt(len(kinds))]
	return func() { kind(length) }
}

// markDisturbance records that a fault affects hosts of the system now; see
// disturbanceWindow.
func (s *soak) markDisturbance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDisturbance = time.Now()
}

// acquireProcess takes the fault slot and returns a random process of the list,
// or returns nil if another fault holds the slot. The caller frees the slot.
// Members are disturbed one at a time because the group tolerates the loss of
// one only.
func (s *soak) acquireProcess(list []*standin.Process, slot chan struct{}) *standin.Process {
	select {
	case slot <- struct{}{}:
		return list[s.randomInt(len(list))]
	default:
		return nil
	}
}

// The slots admit one fault at a time for members and one for relays, so that
// requests and documents can still be served.
var (
	memberFaultSlot = make(chan struct{}, 1)
	relayFaultSlot  = make(chan struct{}, 1)
)

// stopRelay stops a relay as an operator does, with SIGTERM, and restarts it.
func (s *soak) stopRelay(time.Duration) {
	p := s.acquireProcess(s.system.Relays, relayFaultSlot)
	if p == nil {
		return
	}
	defer func() { <-relayFaultSlot }()
	_ = p.Signal(syscall.SIGTERM)
	if !p.Wait(stopLimit) {
		s.failf("%s did not end by itself within %s of SIGTERM", p.Name, stopLimit)
	}
	s.restart(p)
	s.system.WaitReady(readyLimit)
}

func (s *soak) killRelay(pause time.Duration) {
	if p := s.acquireProcess(s.system.Relays, relayFaultSlot); p != nil {
		defer func() { <-relayFaultSlot }()
		s.killAndRestart(p, pause, nil)
	}
}

func (s *soak) pauseRelay(pause time.Duration) {
	if p := s.acquireProcess(s.system.Relays, relayFaultSlot); p != nil {
		defer func() { <-relayFaultSlot }()
		s.pauseProcess(p, pause)
	}
}

func (s *soak) killMember(pause time.Duration) {
	if p := s.acquireProcess(s.system.Members, memberFaultSlot); p != nil {
		defer func() { <-memberFaultSlot }()
		s.killAndRestart(p, pause, nil)
	}
}

func (s *soak) pauseMember(pause time.Duration) {
	if p := s.acquireProcess(s.system.Members, memberFaultSlot); p != nil {
		defer func() { <-memberFaultSlot }()
		s.pauseProcess(p, pause)
	}
}

// wipeMember kills a member and removes its durable state before the restart.
// The group is without the member until it has admitted it again, so the
// disturbance outlasts the restart.
func (s *soak) wipeMember(pause time.Duration) {
	p := s.acquireProcess(s.system.Members, memberFaultSlot)
	if p == nil {
		return
	}
	defer func() { <-memberFaultSlot }()
	s.killAndRestart(p, pause, func() {
		if err := p.RemoveData(); err != nil {
			s.failf("wipe %s: %v", p.Name, err)
		}
	})
	time.Sleep(disturbanceWindow)
	s.markDisturbance()
}

// stopMember stops a member as an operator does and starts it again with its disk. Another
// one takes over its vote meanwhile.
func (s *soak) stopMember(pause time.Duration) {
	p := s.acquireProcess(s.system.Members, memberFaultSlot)
	if p == nil {
		return
	}
	defer func() { <-memberFaultSlot }()
	s.endMember(p)
	time.Sleep(pause)
	s.restart(p)
	time.Sleep(time.Second)
	s.markDisturbance()
}

// endMember ends a member with SIGTERM.
func (s *soak) endMember(p *standin.Process) {
	s.markDisturbance()
	_ = p.Signal(syscall.SIGTERM)
	if !p.Wait(memberStopLimit) {
		s.failf("%s did not end by itself within %s of SIGTERM", p.Name, memberStopLimit)
	}
}

// replaceMember stops a member for good, with another one in reserve, and takes the disk of
// another away at once. The group has to survive that; a host without data takes the place
// of the first one.
func (s *soak) replaceMember(pause time.Duration) {
	p := s.acquireProcess(s.system.Members, memberFaultSlot)
	if p == nil {
		return
	}
	defer func() { <-memberFaultSlot }()
	time.Sleep(disturbanceWindow)
	s.endMember(p)
	lost := p
	for lost == p {
		lost = s.system.Members[s.randomInt(len(s.system.Members))]
	}
	wipe := func(p *standin.Process) {
		if err := p.RemoveData(); err != nil {
			s.failf("wipe %s: %v", p.Name, err)
		}
	}
	s.killAndRestart(lost, pause, func() { wipe(lost) })
	time.Sleep(disturbanceWindow)
	wipe(p)
	s.restart(p)
	time.Sleep(disturbanceWindow)
	s.markDisturbance()
}

// killMembers kills and restarts all members at once.
func (s *soak) killMembers(time.Duration) {
	if s.acquireProcess(s.system.Members, memberFaultSlot) == nil {
		return
	}
	defer func() { <-memberFaultSlot }()
	s.markDisturbance()
	for _, p := range s.system.Members {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range s.system.Members {
		p.Wait(stopLimit)
		s.restart(p)
	}
	s.markDisturbance()
}

// killAndRestart kills a process and restarts it after the pause. If whileDown
// is not nil, it is called while the process is down.
func (s *soak) killAndRestart(p *standin.Process, pause time.Duration, whileDown func()) {
	s.markDisturbance()
	_ = p.Signal(syscall.SIGKILL)
	p.Wait(stopLimit)
	if whileDown != nil {
		whileDown()
	}
	time.Sleep(pause)
	s.restart(p)
	time.Sleep(time.Second)
	s.markDisturbance()
}

// pauseProcess suspends a process with SIGSTOP for the pause.
func (s *soak) pauseProcess(p *standin.Process, pause time.Duration) {
	s.markDisturbance()
	_ = p.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = p.Signal(syscall.SIGCONT)
	s.markDisturbance()
}

func (s *soak) restart(p *standin.Process) {
	if err := p.Restart(); err != nil {
		s.failf("restart %s: %v", p.Name, err)
	}
}

// randomBackend returns a random backend server and the proxy in front of it.
// The server may have been drained or crashed by an earlier fault.
func (s *soak) randomBackend() (*standin.Backend, *standin.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[s.rand.IntN(len(s.backends))]
	return b, s.proxies[b]
}

// degradeBackend makes a backend server slow, reset connections, refuse requests, which
// it may have run, or answer twice.
func (s *soak) degradeBackend(length time.Duration) {
	b, p := s.randomBackend()
	if s.isLimited(p) {
		return
	}
	v := standin.Behavior{Latency: 3 * time.Millisecond}
	switch s.randomInt(4) {
	case 0:
		v.Latency = 150 * time.Millisecond
	case 1:
		v.ResetRate, v.StatusRate = 0.3, 0.3
	case 2:
		v.RefuseRate, v.UnconfirmedRate = 0.5, 0.3
	case 3:
		v.DuplicateRate = 0.3
	}
	b.SetBehavior(v)
	time.Sleep(length)
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
}

// What a backend server that names a limit has to be sent at most: from limitSettle after
// it named the limit, in any limitWindow, limitTolerance times what the limit allows and
// limitSlack requests more.
const (
	limitSettle    = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitBackend makes a backend server name a rate limit for some seconds and checks how
// many requests it gets.
func (s *soak) limitBackend(length time.Duration) {
	b, p := s.randomBackend()
	limit := 0.5 + 20*s.randomFloat()
	s.mu.Lock()
	limited := s.limited[p]
	s.limited[p] = true
	s.mu.Unlock()
	if limited {
		// Another fault of this kind has set a limit, and checks it.
		return
	}
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, Limit: limit})
	start := time.Now()
	time.Sleep(limitSettle + limitWindow/2 + length)
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
	s.mu.Lock()
	delete(s.limited, p)
	s.mu.Unlock()
	allowed := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack)
	if most := b.MostArrivals(start.Add(limitSettle), limitWindow); most > allowed {
		s.failf("server %s named a limit of %.1f a second and got %d requests in %s, allowed %d", b.ID, limit, most, limitWindow, allowed)
	}
}

// isLimited reports whether the backend server behind a proxy names a limit. Other faults
// then leave it alone: a link that holds requests back delivers them all at once.
func (s *soak) isLimited(p *standin.Proxy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limited[p]
}

// injectLinkFault sets a random fault on the proxy of a backend server.
func (s *soak) injectLinkFault(length time.Duration) {
	_, p := s.randomBackend()
	if s.isLimited(p) {
		return
	}
	p.SetFault(standin.Fault(1 + s.randomInt(standin.FaultKinds-1)))
	time.Sleep(length)
	p.SetFault(standin.NoFault)
}

// resetConnections resets all open connections to one backend server.
func (s *soak) resetConnections(time.Duration) {
	_, p := s.randomBackend()
	p.ResetConnections()
}

// drainBackend replaces a backend server as a rolling release does: the new one
// starts before the old one drains.
func (s *soak) drainBackend(time.Duration) {
	b, _ := s.randomBackend()
	if s.addBackend(b.Service) != nil {
		time.Sleep(time.Second)
		b.Drain(standin.DrainGrace + time.Second)
	}
}

// crashBackend ends a backend server without draining and replaces it after the
// pause.
func (s *soak) crashBackend(pause time.Duration) {
	b, _ := s.randomBackend()
	b.Crash()
	time.Sleep(pause)
	s.addBackend(b.Service)
}

const (
	// crashPause is the time between two sends of a request that ends servers, and
	// crashSends their number.
	crashPause = 200 * time.Millisecond
	crashSends = 40
	// crashReplacement is the time until a server that ended is replaced.
	crashReplacement = 1500 * time.Millisecond
	// crashSettle is the time after the third end from which on at most crashSlack further
	// servers may end, if no process of the system was disturbed meanwhile.
	crashSettle = 4 * time.Second
	crashSlack  = 3
)

// crashSlot admits one request that ends servers at a time, so that its ends can be told.
var crashSlot = make(chan struct{}, 1)

// sendCrashingRequest sends a request that ends each server which runs it, again and again
// to random relays, and checks how many servers end.
func (s *soak) sendCrashingRequest(time.Duration) {
	select {
	case crashSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-crashSlot }()
	s.mu.Lock()
	s.crashes = nil
	s.mu.Unlock()
	start := time.Now()
	kind := s.randomInt(3)
	path := fmt.Sprintf("%s-%x", standin.CrashText, start.UnixNano())
	for i := range crashSends {
		c := &standin.Client{Address: s.system.EntryAddresses[s.randomInt(relays)], ServiceOf: s.serviceOf}
		id := fmt.Sprintf("%d-%s-%d", s.seed, path, i)
		var o standin.Outcome
		switch kind {
		case 0:
			o = c.Fetch(id, path)
		case 1:
			o = c.Search(id, path)
		default:
			o = c.Order(id, path)
		}
		if o.Served {
			s.failf("request %s was served", id)
		}
		s.mu.Lock()
		s.outcomes[id] = clientResult{unsafe: kind == 2, status: o.Status}
		s.mu.Unlock()
		time.Sleep(crashPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for i, at := range s.crashes {
		if i >= 3 && at.Sub(s.crashes[2]) > crashSettle {
			late++
		}
	}
	if late > crashSlack && s.lastDisturbance.Before(start) {
		s.failures = append(s.failures, fmt.Sprintf("%d servers ended under %s, %d of them later than %s after the third", len(s.crashes), path, late, crashSettle))
	}
}

// replaceCrashed records that a server ended under a request, closes its address and starts
// another server later.
func (s *soak) replaceCrashed(service string, proxy *standin.Proxy) {
	proxy.Close()
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.replacements.Go(func() {
		time.Sleep(crashReplacement)
		s.addBackend(service)
	})
}

// What a server that says that it is about to stop, or that it wants no requests, has to be
// sent at most: each start of a relay may send one before it knows.
const (
	leaveSettle  = 3500 * time.Millisecond
	pauseSettle  = 500 * time.Millisecond
	pauseSeconds = 3
)

// leaveBackend makes a server say in its answers that it is about to stop, while it goes on
// checking in as ready, and replaces it.
func (s *soak) leaveBackend(length time.Duration) {
	b, p := s.randomBackend()
	if s.isLimited(p) {
		return
	}
	start := time.Now()
	if s.addBackend(b.Service) == nil {
		return
	}
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, Leaving: true})
	time.Sleep(leaveSettle + length)
	s.checkNotice(b, start, leaveSettle, time.Hour, 0)
	b.Crash()
	p.Close()
}

// pauseBackend makes a server refuse requests and name a time for which it wants none.
func (s *soak) pauseBackend(time.Duration) {
	b, p := s.randomBackend()
	if s.isLimited(p) {
		return
	}
	start := time.Now()
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, RetryAfter: fmt.Sprint(pauseSeconds)})
	time.Sleep(pauseSeconds * time.Second)
	s.checkNotice(b, start, pauseSettle, pauseSeconds*time.Second, 2)
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
}

// checkNotice checks that no more than most requests from each relay, and the one by which
// each learns of the notice, arrived between two times after the first one.
func (s *soak) checkNotice(b *standin.Backend, start time.Time, from, to time.Duration, most int) {
	n := b.ArrivalsAfterNotice(from, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > relays*(most+1) && s.lastDisturbance.Before(start) {
		s.failures = append(s.failures, fmt.Sprintf("server %s got %d requests between %s and %s after its first notice", b.ID, n, from, to))
	}
}
