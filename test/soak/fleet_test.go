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
	// fleetReplicas is the number of servers of each service of a processFleet.
	fleetReplicas = 3
	// fleetNetwork is the third number of its loopback addresses.
	fleetNetwork = 20
)

// processFleet is a system whose backend servers end when they run a certain request and
// are replaced after crashRestart.
type processFleet struct {
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

// startFleet starts control hosts, entry hosts and fleetReplicas servers of each
// service, and waits until the entry hosts are ready. Fleets that run at the same time need
// different numbers.
func startFleet(t *testing.T, number uint64, hosts int) *processFleet {
	binary, root := build(t)
	f := startFleetOf(t, binary, root, number, hosts)
	operator := standin.Operator{ControlAddresses: f.system.ControlAddresses}
	acked, failure := operator.Publish(1, 0, recoveryLimit)
	require.True(t, acked, failure)
	require.True(t, f.system.WaitReady(readyLimit), "logs in %s", root)
	return f
}

// startFleetOf is startFleet for another build, without a routing document.
func startFleetOf(t *testing.T, binary, root string, number uint64, hosts int) *processFleet {
	system, err := standin.Start(binary, root, fleetNetwork, firstPort(number), members, hosts)
	f := &processFleet{system: system, services: map[string]string{}}
	t.Cleanup(f.close)
	require.NoError(t, err)
	for _, service := range append([]string{standin.OrderService}, standin.ShardServices...) {
		for range fleetReplicas {
			require.NoError(t, f.addBackend(service))
		}
	}
	return f
}

// addBackend starts a server of a service.
func (f *processFleet) addBackend(service string) error {
	n := f.created.Add(1)
	id := fmt.Sprintf("c%d", n)
	f.mu.Lock()
	f.services[id] = service
	f.mu.Unlock()
	b, err := standin.StartBackend(id, service, fmt.Sprintf("z%d", n%2), slices.Clone(f.system.ControlAddresses), rand.Float64, nil)
	if err != nil {
		return err
	}
	b.SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond})
	b.OnCrash(func() { f.replace(service, time.Now()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = append(f.backends, b)
	return nil
}

// replace records the end of a server and starts another one later.
func (f *processFleet) replace(service string, at time.Time) {
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
func (f *processFleet) serviceOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[id]
}

func (f *processFleet) close() {
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
func (f *processFleet) load(group *sync.WaitGroup, stop chan struct{}, senders int, pause time.Duration, send sendFunc, pathOf func(id string) string, count func(standin.Outcome)) {
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
