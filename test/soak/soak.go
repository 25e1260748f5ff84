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

// Sizes and times of a run.
const (
	members        = 3
	relays         = 3
	replicas       = 2
	clients        = 6
	readyLimit     = 15 * time.Second
	recoveryLimit  = 12 * time.Second
	recoveryProbes = 60
	recoveryLeast  = 0.9
	// touch is how long after a disturbance of hosts the bounds in time do not
	// hold.
	touch = 5 * time.Second
	// stopLimit is how long a planned stop may take; the grace time is 3 s.
	stopLimit = 4 * time.Second
)

// soak is one run.
type soak struct {
	seed   uint64
	system *standin.System

	mu         sync.Mutex
	rand       *rand.Rand
	backends   []*standin.Backend
	proxies    map[*standin.Backend]*standin.Proxy
	services   map[string]string
	created    int
	outcomes   map[string]order
	complaints []string
	disturbed  time.Time
	served     atomic.Int64
	asked      atomic.Int64
	operator   standin.Operator
	version    atomic.Uint64
}

// order is what a client was told of a request.
type order struct {
	unsafe bool
	status int
}

// result is what a run found.
type result struct {
	complaints    []string
	asked, served int64
	versions      uint64
}

func (s *soak) complain(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complaints = append(s.complaints, fmt.Sprintf(format, args...))
}

func (s *soak) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

func (s *soak) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

func (s *soak) service(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[id]
}

// run plays one seed for the given length in a folder.
func run(binary, folder string, seed uint64, length time.Duration) (result, error) {
	s, err := start(binary, folder, seed)
	if err != nil {
		return result{}, err
	}
	defer s.close()
	s.play(length)
	s.recover()
	s.check()
	return result{complaints: s.complaints, asked: s.asked.Load(), served: s.served.Load(), versions: s.version.Load()}, nil
}

// start starts the processes and backend servers of a run.
func start(binary, folder string, seed uint64) (*soak, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	s := &soak{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), proxies: map[*standin.Backend]*standin.Proxy{},
		services: map[string]string{}, outcomes: map[string]order{},
	}
	network := byte(30 + seed%200)
	port := 10000 + int((seed*13+uint64(os.Getpid()))%5000)*4
	system, err := standin.Start(binary, folder, network, port, members, relays)
	s.system = system
	if err != nil {
		system.Stop()
		return nil, err
	}
	s.operator.Control = system.Control
	for _, service := range append([]string{standin.Orders}, standin.Shards...) {
		for range replicas {
			s.addBackend(service)
		}
	}
	s.publish(0)
	if !system.WaitReady(readyLimit) {
		s.close()
		return nil, fmt.Errorf("seed %d: the system is not ready after %s, logs in %s", seed, readyLimit, folder)
	}
	return s, nil
}

// play runs clients, the operator and faults side by side.
func (s *soak) play(length time.Duration) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { s.client(i, stop) })
	}
	group.Go(func() { s.operate(stop) })
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		// Several faults may be under way at the same time.
		for range 1 + s.intn(2) {
			group.Go(s.fault())
		}
		time.Sleep(time.Duration(300+s.intn(1200)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
}

// client sends requests over connections that stay open until their host is
// gone.
func (s *soak) client(number int, stop chan struct{}) {
	hosts := s.hosts()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := hosts[s.intn(len(hosts))]
		s.request(c, fmt.Sprintf("%d-%d-%d", s.seed, number, n))
		time.Sleep(time.Duration(5+s.intn(20)) * time.Millisecond)
	}
}

// hosts returns a client of each relay.
func (s *soak) hosts() []*standin.Client {
	var hosts []*standin.Client
	for _, address := range s.system.Entry {
		hosts = append(hosts, &standin.Client{Address: address, Servers: s.service})
	}
	return hosts
}

func (s *soak) request(c *standin.Client, id string) bool {
	path := fmt.Sprint(s.intn(1000))
	var o standin.Outcome
	unsafe := false
	switch s.intn(4) {
	case 0:
		o = c.Fetch(id, path)
	case 1:
		unsafe = true
		o = c.Order(id, path)
	default:
		o = c.Search(id, path)
	}
	s.asked.Add(1)
	if o.Served {
		s.served.Add(1)
	}
	if o.Complaint != "" {
		s.complain("request %s: %s", id, o.Complaint)
	}
	s.mu.Lock()
	s.outcomes[id] = order{unsafe: unsafe, status: o.Status}
	s.mu.Unlock()
	return o.Served
}

// operate publishes and reads documents.
func (s *soak) operate(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+s.intn(500)) * time.Millisecond):
		}
		extra := 0
		if s.intn(5) == 0 {
			extra = s.intn(150)
		}
		s.publish(extra)
		if _, complaint := s.operator.Read(); complaint != "" {
			s.complain("operator: %s", complaint)
		}
	}
}

func (s *soak) publish(extra int) {
	version := s.version.Add(1 + uint64(s.intn(3)))
	if _, complaint := s.operator.Publish(version, extra, recoveryLimit); complaint != "" {
		s.complain("operator: %s", complaint)
	}
}

func (s *soak) addBackend(service string) *standin.Backend {
	s.mu.Lock()
	s.created++
	id := fmt.Sprintf("i%d", s.created)
	s.services[id] = service
	s.mu.Unlock()
	var proxy *standin.Proxy
	b, err := standin.StartBackend(id, service, fmt.Sprintf("z%d", s.created%2), append([]string(nil), s.system.Control...), s.float, func(target string) string {
		p, err := standin.StartProxy(target)
		if err != nil {
			return target
		}
		proxy = p
		return p.Addr()
	})
	if err != nil {
		s.complain("stand-in: %v", err)
		return nil
	}
	b.Set(standin.Behavior{Work: 3 * time.Millisecond})
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

// recover ends all faults and checks that requests are served again.
func (s *soak) recover() {
	s.mu.Lock()
	live := append([]*standin.Backend(nil), s.backends...)
	s.mu.Unlock()
	for _, b := range live {
		b.Set(standin.Behavior{Work: 3 * time.Millisecond})
		s.proxies[b].Set(standin.Pass)
	}
	for _, p := range append(append([]*standin.Process(nil), s.system.Members...), s.system.Relays...) {
		_ = p.Signal(syscall.SIGCONT)
	}
	start := time.Now()
	for {
		served := 0
		hosts := s.hosts()
		for i := range recoveryProbes {
			if s.request(hosts[i%len(hosts)], fmt.Sprintf("%d-r%d-%d", s.seed, time.Since(start), i)) {
				served++
			}
		}
		answered, complaint := s.operator.Read()
		if complaint != "" {
			s.complain("operator: %s", complaint)
		}
		if float64(served) >= recoveryLeast*recoveryProbes && answered {
			return
		}
		if time.Since(start) > recoveryLimit {
			s.complain("only %d of %d requests served %s after the last fault, document read: %t", served, recoveryProbes, time.Since(start), answered)
			return
		}
	}
}

// check compares what clients were told with what ran.
func (s *soak) check() {
	// What was refused must not run later either.
	time.Sleep(time.Second)
	runs := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.Runs(func(id string, n int) { runs[id] += n })
		for _, at := range b.Late() {
			if at.Sub(s.disturbed) > touch {
				s.complaints = append(s.complaints, fmt.Sprintf("server %s got a request %s after the last disturbance although it drains", b.ID, at.Sub(s.disturbed)))
			}
		}
	}
	for id, o := range s.outcomes {
		if o.unsafe && runs[id] > 1 {
			s.complaints = append(s.complaints, fmt.Sprintf("unsafe request %s ran %d times", id, runs[id]))
		}
		if standin.NotRun(o.status) && runs[id] > 0 {
			s.complaints = append(s.complaints, fmt.Sprintf("request %s was refused with %d and ran", id, o.status))
		}
	}
}

// folderOf returns the folder of one seed.
func folderOf(root string, seed uint64) string {
	return filepath.Join(root, fmt.Sprintf("seed-%d", seed))
}
