package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// metrics returns the lines of the metrics pages with a name and a text.
func (f *processFleet) metrics(t *testing.T, name, text string) (lines []string) {
	for _, address := range f.system.MetricsAddresses {
		res, err := http.Get("http://" + address + "/metrics")
		require.NoError(t, err)
		page, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "gentianpond_"+name) && strings.Contains(line, text) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// crashOwn ends servers for no reason that a request has, and replaces them.
func (f *processFleet) crashOwn(list []*standin.Backend, gap time.Duration) {
	for _, b := range list {
		b.Crash()
		f.replace(b.Service, time.Now())
		time.Sleep(gap)
	}
}

// current returns the servers of a service that were started last.
func (f *processFleet) current(service string) []*standin.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.serversOf(service)
	return list[max(0, len(list)-fleetReplicas):]
}

// TestHarmlessRequestIsServed guards against the refusal of a popular request, equal each
// time, that is in flight at every host while servers end for other reasons: one, all of a
// service at once and in a row, one of each service, and one after the other.
func TestHarmlessRequestIsServed(t *testing.T) {
	f := startFleet(t, 12, 3)
	stop := make(chan struct{})
	var group sync.WaitGroup
	count := func(o standin.Outcome) {
		if o.Failure != "" {
			t.Errorf("request %s: %s", o.ID, o.Failure)
		}
	}
	same := func(string) string { return "popular" }
	for _, send := range []sendFunc{sendFetch, sendSearch, sendOrder} {
		f.load(&group, stop, 4, 4*time.Millisecond, send, same, count)
	}
	services := append([]string{standin.OrderService}, standin.ShardServices...)
	pick := func() string { return services[rand.IntN(len(services))] }
	for range 3 {
		f.crashOwn(f.current(pick())[:1], 0)
		time.Sleep(time.Second)
		f.crashOwn(f.current(standin.OrderService), 0)
		time.Sleep(crashRestart + time.Second)
		f.crashOwn(f.current(pick()), time.Duration(rand.IntN(20))*time.Millisecond)
		time.Sleep(crashRestart + time.Second)
		for _, service := range services {
			f.crashOwn(f.current(service)[:1], 0)
		}
		time.Sleep(crashRestart)
	}
	for range 8 {
		f.crashOwn(f.current(pick())[:1], 300*time.Millisecond)
	}
	close(stop)
	group.Wait()
	time.Sleep(1500 * time.Millisecond)
	require.NotEmpty(t, f.metrics(t, "relay_server_ends", ""), "no server ended under a request")
	require.Empty(t, f.metrics(t, "relay_requests", "quarantined"))
}
