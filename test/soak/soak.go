package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentianpond/test/standin"
)

// Sizes and time limits of a run.
const (
	members  = 3
	reserve  = 1
	relays   = 3
	replicas = 2
	clients  = 6
	// readyLimit bounds the wait until all relays are ready.
	readyLimit = 15 * time.Second
	// recoveryLimit is how long after the last fault requests have to be served
	// again, and how long a publication of a document is retried.
	recoveryLimit = 12 * time.Second
	// recoveryProbes is the number of requests in each round of checkRecovery;
	// minRecoveredShare is the share of them that has to be served.
	recoveryProbes    = 60
	minRecoveredShare = 0.9
	// disturbanceWindow is the time after a fault on hosts in which the time
	// limit on requests to draining backend servers does not apply.
	disturbanceWindow = 5 * time.Second
	// stopLimit bounds a planned stop; the grace period of the relays is 3 s.
	stopLimit = 4 * time.Second
	// memberStopLimit bounds a planned stop of a member, whose grace period is 6 s.
	memberStopLimit = 6 * time.Second
)

// soak is the state of the run of one seed.
type soak struct {
	seed   uint64
	system *standin.System

	mu       sync.Mutex
	rand     *rand.Rand
	backends []*standin.Backend
	proxies  map[*standin.Backend]*standin.Proxy
	// limited holds the proxies of backend servers that name a rate limit.
	limited map[*standin.Proxy]bool
	// crashes are the times at which servers ended under a request, and replacements
	// waits until others are in their place.
	crashes         []time.Time
	replacements    sync.WaitGroup
	services        map[string]string
	createdBackends int
	outcomes        map[string]clientResult
	failures        []string
	lastDisturbance time.Time
	served          atomic.Int64
	requests        atomic.Int64
	// searches counts the searches that reached a relay.
	searches, servedSearches atomic.Int64
	operator                 standin.Operator
	lastVersion              atomic.Uint64
}

// clientResult is what a client learned about one request; status is 0 if it
// got no answer.
type clientResult struct {
	unsafe bool
	status int
}

// runResult sums up the run of one seed.
type runResult struct {
	failures         []string
	requests, served int64
	lastVersion      uint64
}

// failf records the failure of a check.
func (s *soak) failf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *soak) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

func (s *soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// serviceOf returns the service of a backend server that runs or has run.
func (s *soak) serviceOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[id]
}

// runSeed runs one seed with faults for the given length, then waits for
// recovery and checks the executions. Logs and data go to the folder.
func runSeed(binary, folder string, seed uint64, length time.Duration) (runResult, error) {
	// Every second run begins with a document of version 0.
	s, err := startSoakWith(binary, folder, seed, seed%2)
	if err != nil {
		return runResult{}, err
	}
	defer s.close()
	s.runUnderFaults(length)
	s.checkRecovery()
	s.checkRuns()
	return runResult{failures: s.failures, requests: s.requests.Load(), served: s.served.Load(), lastVersion: s.lastVersion.Load()}, nil
}

// startSoak starts the processes and backend servers of a run and waits until
// all relays are ready.
func startSoak(binary, folder string, seed uint64) (*soak, error) {
	return startSoakWith(binary, folder, seed, 1)
}

// startSoakWith is startSoak with the version of the first document.
func startSoakWith(binary, folder string, seed, version uint64) (*soak, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	s := &soak{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), proxies: map[*standin.Backend]*standin.Proxy{},
		limited:  map[*standin.Proxy]bool{},
		services: map[string]string{}, outcomes: map[string]clientResult{},
	}
	network := byte(30 + seed%200)
	system, err := standin.Start(binary, folder, network, firstPort(seed), members+reserve, relays)
	s.system = system
	if err != nil {
		system.Stop()
		return nil, err
	}
	s.operator.ControlAddresses = system.ControlAddresses
	for _, service := range append([]string{standin.OrderService}, standin.ShardServices...) {
		for range replicas {
			s.addBackend(service)
		}
	}
	s.lastVersion.Store(version)
	if _, failure := s.operator.Publish(version, 0, recoveryLimit); failure != "" {
		s.failf("operator: %s", failure)
	}
	if !system.WaitReady(readyLimit) {
		s.close()
		return nil, fmt.Errorf("seed %d: the system is not ready after %s, logs in %s", seed, readyLimit, folder)
	}
	return s, nil
}

// firstPort returns the first of the four ports of a system. It differs between processes,
// so that systems of several runs at the same time do not reach each other.
func firstPort(number uint64) int { return 10000 + int((number*13+uint64(os.Getpid()))%5000)*4 }

// runUnderFaults runs clients and the operator for the given length and injects
// faults at the same time. It returns when all of them have ended.
func (s *soak) runUnderFaults(length time.Duration) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { s.runClient(i, stop) })
	}
	group.Go(func() { s.runOperator(stop) })
	// One seed in four has an evacuation, beside the faults that the seed chooses.
	if s.seed%4 == 3 {
		group.Go(func() { s.evacuateZone(fmt.Sprintf("z%d", s.seed/4%2)) })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		// Several faults may be under way at the same time.
		for range 1 + s.randomInt(2) {
			group.Go(s.randomFault())
		}
		time.Sleep(time.Duration(300+s.randomInt(1200)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	s.replacements.Wait()
}

// runClient sends requests to random relays until stop is closed. It reuses the
// connections to a relay for as long as the relay keeps them open.
func (s *soak) runClient(number int, stop chan struct{}) {
	targets := s.relayClients()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := targets[s.randomInt(len(targets))]
		s.sendRequest(c, fmt.Sprintf("%d-%d-%d", s.seed, number, n))
		time.Sleep(time.Duration(5+s.randomInt(20)) * time.Millisecond)
	}
}

// relayClients returns one client for each relay.
func (s *soak) relayClients() []*standin.Client {
	var targets []*standin.Client
	for _, address := range s.system.EntryAddresses {
		targets = append(targets, &standin.Client{Address: address, ServiceOf: s.serviceOf})
	}
	return targets
}

// sendRequest sends a request of a random kind, records its outcome for checkRuns
// and reports whether it was served.
func (s *soak) sendRequest(c *standin.Client, id string) bool {
	path := fmt.Sprint(s.randomInt(1000))
	var o standin.Outcome
	unsafe, search := false, false
	switch s.randomInt(4) {
	case 0:
		o = c.Fetch(id, path)
	case 1:
		unsafe = true
		o = c.Order(id, path)
	default:
		search = true
		o = c.Search(id, path)
	}
	s.requests.Add(1)
	if o.Served {
		s.served.Add(1)
	}
	// A request without a connection has reached no relay.
	if search && !o.Unsent {
		s.searches.Add(1)
		if o.Served {
			s.servedSearches.Add(1)
		}
	}
	if o.Failure != "" {
		s.failf("request %s: %s", id, o.Failure)
	}
	s.mu.Lock()
	s.outcomes[id] = clientResult{unsafe: unsafe, status: o.Status}
	s.mu.Unlock()
	return o.Served
}

// runOperator publishes and reads back documents until stop is closed.
func (s *soak) runOperator(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+s.randomInt(500)) * time.Millisecond):
		}
		extra := 0
		if s.randomInt(5) == 0 {
			extra = s.randomInt(150)
		}
		s.publishDocument(extra)
		if _, failure := s.operator.Read(); failure != "" {
			s.failf("operator: %s", failure)
		}
	}
}

// publishDocument publishes the next version with the given number of extra
// routes.
func (s *soak) publishDocument(extra int) {
	version := s.lastVersion.Add(1 + uint64(s.randomInt(3)))
	if _, failure := s.operator.Publish(version, extra, recoveryLimit); failure != "" {
		s.failf("operator: %s", failure)
	}
}

// addBackend starts a backend server of the service behind a proxy of its own.
// It returns nil if the start failed, and records that as a failure.
func (s *soak) addBackend(service string) *standin.Backend {
	s.mu.Lock()
	s.createdBackends++
	id := fmt.Sprintf("i%d", s.createdBackends)
	s.services[id] = service
	s.mu.Unlock()
	var proxy *standin.Proxy
	b, err := standin.StartBackend(id, service, fmt.Sprintf("z%d", s.createdBackends%2), append([]string(nil), s.system.ControlAddresses...), s.randomFloat, func(target string) string {
		p, err := standin.StartProxy(target)
		if err != nil {
			return target
		}
		proxy = p
		return p.Addr()
	})
	if err != nil {
		s.failf("stand-in: %v", err)
		return nil
	}
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
	b.OnCrash(func() { s.replaceCrashed(service, proxy) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = append(s.backends, b)
	s.proxies[b] = proxy
	return b
}

func (s *soak) close() {
	s.system.Stop()
	for _, b := range s.backends {
		b.Crash()
		s.proxies[b].Close()
	}
}

// checkRecovery clears all faults and checks that requests are served again
// within recoveryLimit.
func (s *soak) checkRecovery() {
	s.mu.Lock()
	backends := append([]*standin.Backend(nil), s.backends...)
	s.mu.Unlock()
	for _, b := range backends {
		b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
		s.proxies[b].SetFault(standin.NoFault)
	}
	for _, p := range append(append([]*standin.Process(nil), s.system.Members...), s.system.Relays...) {
		_ = p.Signal(syscall.SIGCONT)
	}
	start := time.Now()
	for {
		served := 0
		targets := s.relayClients()
		for i := range recoveryProbes {
			if s.sendRequest(targets[i%len(targets)], fmt.Sprintf("%d-r%d-%d", s.seed, time.Since(start), i)) {
				served++
			}
		}
		answered, failure := s.operator.Read()
		if failure != "" {
			s.failf("operator: %s", failure)
		}
		if float64(served) >= minRecoveredShare*recoveryProbes && answered {
			return
		}
		if time.Since(start) > recoveryLimit {
			s.failf("only %d of %d requests served %s after the last fault, document read: %t", served, recoveryProbes, time.Since(start), answered)
			return
		}
	}
}

// checkRuns compares the outcomes that clients were told with the executions
// that the backend servers counted.
func (s *soak) checkRuns() {
	// A refused request must not run after the refusal either.
	time.Sleep(time.Second)
	runs := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.ForEachRun(func(id string, n int) { runs[id] += n })
		for _, at := range b.LateRequests() {
			if at.Sub(s.lastDisturbance) > disturbanceWindow {
				s.failures = append(s.failures, fmt.Sprintf("server %s got a request %s after the last disturbance although it drains", b.ID, at.Sub(s.lastDisturbance)))
			}
		}
	}
	for id, o := range s.outcomes {
		if o.unsafe && runs[id] > 1 {
			s.failures = append(s.failures, fmt.Sprintf("unsafe request %s ran %d times", id, runs[id]))
		}
		if standin.NotRun(o.status) && runs[id] > 0 {
			s.failures = append(s.failures, fmt.Sprintf("request %s was refused with %d and ran", id, o.status))
		}
	}
}

func seedFolder(root string, seed uint64) string {
	return filepath.Join(root, fmt.Sprintf("seed-%d", seed))
}
