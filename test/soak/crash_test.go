package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

const (
	// crashText marks the path of a request that ends each server which runs it.
	crashText = "deadly"
	// crashReplicas is the number of servers of each service, and crashRestart the time
	// until one that ended is back.
	crashReplicas = 3
	crashRestart  = 2 * time.Second
	// crashPause is the mean time between two sends of the request by its client.
	crashPause = 300 * time.Millisecond
	// crashSettle is the time after the end of the third server from which on at most
	// crashSlack further sends of the request may reach servers.
	crashSettle = 4 * time.Second
	crashSlack  = 3
	// minOthersServed is the least share of other requests to the same services that is
	// served while the request keeps coming.
	minOthersServed = 0.95
)

// crashFleet is a system whose backend servers end when they run a certain request and
// are replaced after crashRestart.
type crashFleet struct {
	system *standin.System
	// created numbers the servers.
	created atomic.Int64

	mu       sync.Mutex
	services map[string]string
	backends []*standin.Backend
	// crashes are the times at which servers ended, in order.
	crashes []time.Time
	closed  bool
	timers  sync.WaitGroup
}

// startCrashFleet starts control hosts, entry hosts and crashReplicas servers of each
// service, and waits until the entry hosts are ready.
func startCrashFleet(t *testing.T, port, hosts int) *crashFleet {
	binary, root := build(t)
	system, err := standin.Start(binary, root, 20, port, members, hosts)
	f := &crashFleet{system: system, services: map[string]string{}}
	t.Cleanup(f.close)
	require.NoError(t, err)
	for _, service := range append([]string{standin.OrderService}, standin.ShardServices...) {
		for range crashReplicas {
			require.NoError(t, f.addBackend(service))
		}
	}
	operator := standin.Operator{ControlAddresses: system.ControlAddresses}
	acked, failure := operator.Publish(1, 0, recoveryLimit)
	require.True(t, acked, failure)
	require.True(t, system.WaitReady(readyLimit), "logs in %s", root)
	return f
}

// addBackend starts a server of a service.
func (f *crashFleet) addBackend(service string) error {
	n := f.created.Add(1)
	id := fmt.Sprintf("c%d", n)
	f.mu.Lock()
	f.services[id] = service
	f.mu.Unlock()
	b, err := standin.StartBackend(id, service, fmt.Sprintf("z%d", n%2), slices.Clone(f.system.ControlAddresses), rand.Float64, nil)
	if err != nil {
		return err
	}
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, CrashText: crashText, OnCrash: func(at time.Time) { f.replace(service, at) }})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = append(f.backends, b)
	return nil
}

// replace records the end of a server and starts another one later.
func (f *crashFleet) replace(service string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, at)
	if f.closed {
		return
	}
	f.timers.Go(func() {
		time.Sleep(crashRestart)
		_ = f.addBackend(service)
	})
}

// serviceOf returns the service of a server that runs or has run.
func (f *crashFleet) serviceOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[id]
}

func (f *crashFleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.timers.Wait()
	f.system.Stop()
	for _, b := range f.backends {
		b.Crash()
	}
}

// sendFunc sends one request under an id.
type sendFunc func(c *standin.Client, id, path string) standin.Outcome

func sendSearch(c *standin.Client, id, path string) standin.Outcome { return c.Search(id, path) }
func sendFetch(c *standin.Client, id, path string) standin.Outcome  { return c.Fetch(id, path) }
func sendOrder(c *standin.Client, id, path string) standin.Outcome  { return c.Order(id, path) }

// load sends requests until the stop channel is closed: senders clients send one request
// each, every pause on average, to random hosts. pathOf returns the path of a request.
func (f *crashFleet) load(group *sync.WaitGroup, stop chan struct{}, senders int, pause time.Duration, send sendFunc, pathOf func(id string) string, count func(standin.Outcome)) {
	for n := range senders {
		group.Go(func() {
			var targets []*standin.Client
			for _, address := range f.system.EntryAddresses {
				targets = append(targets, &standin.Client{Address: address, ServiceOf: f.serviceOf})
			}
			name := fmt.Sprintf("%x-%d", rand.Uint32(), n)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(pause) * 2 * rand.Float64())):
				}
				id := fmt.Sprintf("%s-%d", name, i)
				count(send(targets[rand.IntN(len(targets))], id, pathOf(id)))
			}
		})
	}
}

// crashReport is what a run showed.
type crashReport struct {
	// ended is the number of servers that ended. late is the number of them that ended
	// later than crashSettle after the third, and soon that of those later than a second.
	ended, soon, late int
	// times are the times since the first end.
	times []time.Duration
	// others is the number of other requests to the same services, served that of those
	// that were served.
	others, served int64
}

// runCrashes sends the request that ends servers for the given length beside other requests.
func (f *crashFleet) runCrashes(t *testing.T, send, other sendFunc, length time.Duration) crashReport {
	var r crashReport
	var others, served atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	f.load(&group, stop, 6, 20*time.Millisecond, other, func(id string) string { return id }, func(o standin.Outcome) {
		others.Add(1)
		if o.Served {
			served.Add(1)
		}
		if o.Failure != "" {
			t.Errorf("request %s: %s", o.ID, o.Failure)
		}
	})
	f.load(&group, stop, 1, crashPause, send, func(string) string { return crashText }, func(o standin.Outcome) {
		if o.Served {
			t.Errorf("request %s was served", o.ID)
		}
	})
	time.Sleep(length)
	close(stop)
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.crashes, time.Time.Compare)
	r.ended, r.others, r.served = len(f.crashes), others.Load(), served.Load()
	for i, at := range f.crashes {
		r.times = append(r.times, at.Sub(f.crashes[0]).Round(time.Millisecond))
		if i < 3 {
			continue
		}
		after := at.Sub(f.crashes[2])
		if after > time.Second {
			r.soon++
		}
		if after > crashSettle {
			r.late++
		}
	}
	return r
}

// TestRequestEndsServers guards against a request that ends one server after the other
// because every host and every repeat tries it again.
func TestRequestEndsServers(t *testing.T) {
	for i, c := range []struct {
		name        string
		hosts       int
		send, other sendFunc
	}{
		{"fetch", 3, sendFetch, sendFetch},
		{"search", 3, sendSearch, sendSearch},
		{"order", 3, sendOrder, sendFetch},
		{"fetch of nine hosts", 9, sendFetch, sendFetch},
		{"search of nine hosts", 9, sendSearch, sendSearch},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startCrashFleet(t, 9000+20*i, c.hosts)
			r := f.runCrashes(t, c.send, c.other, 12*time.Second)
			share := float64(r.served) / float64(r.others)
			t.Logf("%d servers ended, %d of them later than 1 s after the third, %d later than %s; %d of %d other requests served (%.3f)",
				r.ended, r.soon, r.late, crashSettle, r.served, r.others, share)
			t.Logf("servers ended at %v", r.times)
			require.LessOrEqual(t, r.late, crashSlack, "servers that ended later than %s after the third", crashSettle)
			require.GreaterOrEqual(t, share, minOthersServed, "share of other requests served")
		})
	}
}
