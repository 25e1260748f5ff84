package relayer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/caller"
)

// evacuate orders or withdraws the evacuation of zones, as the only orders.
func (env *testEnv) evacuate(withdrawn bool, zones ...string) {
	var list []registrar.Evacuation
	for _, zone := range zones {
		list = append(list, registrar.Evacuation{Zone: zone, Withdrawn: withdrawn, At: time.Now()})
	}
	env.relayer.SetEvacuations(list)
	env.update()
}

// update installs the registrations of all servers.
func (env *testEnv) update() {
	env.relayer.Update(context.Background(), env.relayer.Table(), env.registry(), position(0, 1))
}

// moveTo changes the zones of servers.
func (env *testEnv) moveTo(zone string, names ...string) {
	for _, name := range names {
		env.servers[name].server.Zone = zone
	}
	env.update()
}

// TestEvacuated guards against requests to servers of an evacuated zone, against servers
// that stay out of use after the withdrawal, and against connections that are kept or opened
// meanwhile.
func TestEvacuated(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	var dials atomic.Int64
	env.relayer.config.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address.String())
	}
	env.moveTo("other", "b")
	env.reincarnate()
	require.Equal(t, Served, env.get(t, "/x").Reason)
	pool := func(name string) bool { return env.relayer.routing.Load().servers[name].pool.HasIdle() }
	require.Eventually(t, func() bool { return pool("a") }, time.Second, time.Millisecond)

	env.evacuate(false, "z")
	before := env.servers["a"].requests.Load()
	require.False(t, pool("a"), "connections are kept")
	for range 30 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.Equal(t, before, env.servers["a"].requests.Load())

	// The only other server leaves: refused, and not for lack of links.
	other := &fakeDelegator{answer: Answer{Reason: Served, Status: http.StatusOK}}
	env.relayer.config.Delegator = other
	env.evacuate(false, "z", "other")
	dialed := dials.Load()
	start := time.Now()
	require.Equal(t, NoServer, env.get(t, "/x").Reason)
	require.Less(t, time.Since(start), 100*time.Millisecond)
	require.Empty(t, other.taken())
	require.True(t, env.relayer.CanServe(), "a host that starts now would never be ready")
	// New incarnations in the zone are not warmed.
	env.reincarnate()
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, dialed, dials.Load())

	env.evacuate(true, "z", "other")
	require.Eventually(t, func() bool { return pool("a") }, time.Second, time.Millisecond, "no connection was opened")
	for range 10 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.Greater(t, env.servers["a"].requests.Load(), before)
}

// TestEvacuatedLinks guards against an evacuated zone without power that makes the host take
// itself for cut off, or hand requests over, and against probes of its servers.
func TestEvacuatedLinks(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": names})
	other := &fakeDelegator{answer: Answer{Reason: Served, Status: http.StatusOK}}
	env.relayer.config.Delegator = other
	env.moveTo("dark", "b", "c", "d")
	lost := map[netip.AddrPort]bool{}
	for _, name := range names[1:] {
		lost[env.servers[name].server.Address] = true
	}
	var dark atomic.Bool
	var probes atomic.Int64
	env.relayer.config.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if lost[address] && dark.Load() {
			probes.Add(1)
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address.String())
	}
	env.reincarnate()
	dark.Store(true)
	// The servers of the zone are found down, and are probed until the order.
	for range 20 {
		env.get(t, "/x")
	}
	for _, name := range names[1:] {
		env.relayer.markDown(t.Context(), env.relayer.routing.Load().servers[name])
	}
	require.Eventually(t, func() bool { return probes.Load() > 5 }, 2*time.Second, time.Millisecond)
	env.evacuate(false, "dark")
	time.Sleep(20 * time.Millisecond)
	before := probes.Load()
	taken := len(other.taken())
	for range 20 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
		// A send that was on its way when the order came.
		env.relayer.mu.Lock()
		for _, name := range names[1:] {
			env.relayer.observeLinks(time.Now(), sendResult{server: env.relayer.routing.Load().servers[name], err: syscall.ECONNREFUSED, status: caller.Unsent})
		}
		require.False(t, env.relayer.checkLinks(time.Now().Add(time.Minute)))
		env.relayer.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
	require.Equal(t, before, probes.Load(), "servers of the evacuated zone are probed")
	require.Len(t, other.taken(), taken)

	dark.Store(false)
	env.evacuate(true, "dark")
	require.Eventually(t, func() bool {
		for _, name := range names {
			if env.relayer.routing.Load().servers[name].down.Load() {
				return false
			}
		}
		return true
	}, 2*time.Second, 10*time.Millisecond, "servers stay down after the withdrawal")
}
