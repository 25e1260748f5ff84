package server

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/pacer"
)

// TestLimitTracker guards against rate limits that are passed on from older answers,
// from servers that have left, or that cannot be. A line of a report is "server
// incarnation rate age".
func TestLimitTracker(t *testing.T) {
	registry := registrar.New()
	for i, name := range []string{"a", "b"} {
		registry.Apply(uint64(i+1), time.Unix(1000, 0), registrar.Server{
			Name: name, Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), Slots: 1, Incarnation: 1, Sequence: 1,
		})
	}
	tracker := newLimitTracker()
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		var atText string
		d.ScanArgs(t, "at", &atText)
		now, err := time.ParseDuration(atText)
		require.NoError(t, err)
		var out strings.Builder
		switch d.Cmd {
		case "report":
			for line := range strings.Lines(d.Input) {
				m := &messenger.RateLimit{}
				var rate, age string
				_, err := fmt.Sscan(line, &m.Server, &m.Incarnation, &rate, &age)
				require.NoError(t, err)
				m.Rate, err = strconv.ParseFloat(rate, 64)
				require.NoError(t, err)
				ago, err := time.ParseDuration(age)
				require.NoError(t, err)
				m.Age = durationpb.New(ago)
				fmt.Fprintln(&out, tracker.record(now, registry, m))
			}
		case "leave":
			registry.Apply(registry.LastChange()+1, time.Unix(1000, 0), registrar.Server{Name: strings.TrimSpace(d.Input), State: registrar.Gone})
		case "changes":
			var since uint64
			d.ScanArgs(t, "since", &since)
			for _, m := range tracker.changesSince(now, registry, since) {
				fmt.Fprintln(&out, m.GetServer(), m.GetRate(), m.GetAge().AsDuration())
			}
			fmt.Fprintln(&out, "newest", tracker.lastChange)
		}
		return out.String()
	})
}

// fakeLimits is a LimitExchange that always reports the same observations.
type fakeLimits struct {
	observed []pacer.Observation

	mu      sync.Mutex
	learned map[string]float64
	resets  int
}

func (f *fakeLimits) UnreportedLimits() []pacer.Observation { return f.observed }

func (f *fakeLimits) LearnLimits(list []pacer.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range list {
		f.learned[o.Server] = o.Rate
	}
}

func (f *fakeLimits) ForgetSharedLimits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resets++
	clear(f.learned)
}

func (f *fakeLimits) rate(server string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.learned[server]
}

// TestLimitsReachOtherHosts guards against an entry host that never hears of a rate limit,
// because no request of its own reaches the server, and against limits that are lost with
// the leader.
func TestLimitsReachOtherHosts(t *testing.T) {
	g := newOpenGroup(t)
	var all []*Server
	for _, a := range g.seeds {
		all = append(all, g.start(a, true))
	}
	g.publish(all[0], 1, "one")
	g.register(all[0], registrar.Server{Name: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1})
	first := &fakeLimits{observed: []pacer.Observation{{Server: "a", Incarnation: 1, Rate: 12.5, At: time.Now()}}, learned: map[string]float64{}}
	second := &fakeLimits{learned: map[string]float64{}}
	one, two := g.startLimitWatcher("one", first), g.startLimitWatcher("two", second)
	require.Eventually(t, func() bool { return second.rate("a") == 12.5 }, waitTimeout, 10*time.Millisecond)
	g.stop(g.waitForLeader(all))
	require.Eventually(t, func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.resets > 1 && second.learned["a"] == 12.5
	}, waitTimeout, 10*time.Millisecond)
	// A new leader counts hosts only after some seconds.
	require.Eventually(t, func() bool { return one.State().EntryHosts == 2 && two.State().EntryHosts == 2 }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, 1, one.State().HostRank+two.State().HostRank, "the ranks are 0 and 1")
}

// startLimitWatcher starts a watcher with rate limits that ends with the test.
func (g *openGroup) startLimitWatcher(host string, limits subscriber.LimitExchange) *subscriber.Watcher {
	return g.runWatcher(subscriber.WatcherConfig{Host: host, Seeds: g.seeds, Limits: limits})
}
