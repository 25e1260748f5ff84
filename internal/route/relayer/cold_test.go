package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

// useColdRate installs a table whose services limit cold servers, or do not for rate 0.
func (env *testEnv) useColdRate(t *testing.T, version uint64, rate float64) {
	table, err := router.New(version, []router.Route{singleRoute(router.Safe)},
		[]router.Service{{Name: "s", ConnectionLimit: 100, ColdRate: rate, ColdTime: time.Minute}}, router.Limits{})
	require.NoError(t, err)
	env.relayer.Update(context.Background(), table, env.registry(), position(0, 1))
}

// isCold reports whether a server has a limit because it is cold, as seen after a time.
func (env *testEnv) isCold(name string, after time.Duration) bool {
	r := env.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endCold(time.Now().Add(after), r.routing.Load().servers[name])
	return r.cold.Limit(name) > 0
}

// TestColdServer guards against a server that gets its usual requests right after its start,
// against one that stays limited, and against limits where the service names none.
func TestColdServer(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	env.useColdRate(t, 2, 2)
	require.False(t, env.isCold("a", 0), "servers that started long ago are cold because of a new document")
	env.servers["a"].server.Incarnation++
	env.update()
	require.True(t, env.isCold("a", 0))
	require.False(t, env.isCold("b", 0))
	before := env.servers["a"].requests.Load()
	for range 100 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.LessOrEqual(t, env.servers["a"].requests.Load()-before, int64(1.5*2+5))

	// Without the other one, requests are refused with the time of the next one.
	env.servers["b"].server.State = registrar.Draining
	env.update()
	refused := 0
	for range 20 {
		if a := env.get(t, "/x"); a.Reason == RateLimited {
			refused++
			require.Positive(t, a.RetryAfter)
		}
	}
	require.Greater(t, refused, 10)
	require.True(t, env.isCold("a", time.Minute))
	require.False(t, env.isCold("a", time.Minute+coldMargin+time.Second))

	env.servers["a"].server.Incarnation++
	env.useColdRate(t, 3, 0)
	require.False(t, env.isCold("a", 0))
	for range 50 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
}

// TestColdAgain guards against a server that says in a check-in that it is cold and goes on
// getting its usual requests, and against check-ins that change something else and end or
// prolong a cold time.
func TestColdAgain(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	env.useColdRate(t, 2, 2)
	s := &env.servers["a"].server
	s.ChangeIndex, s.ColdRemaining = 7, 30*time.Second
	env.update()
	require.True(t, env.isCold("a", 29*time.Second))
	s.ChangeIndex, s.ColdRemaining, s.Slots = 8, 0, 5
	env.update()
	require.True(t, env.isCold("a", 29*time.Second))
	s.Slots = 6 // the same record, as after a change of another server
	env.update()
	require.False(t, env.isCold("a", 33*time.Second))
	s.ChangeIndex, s.ColdRemaining = 9, 10*time.Second
	env.update()
	require.True(t, env.isCold("a", 9*time.Second))
}

// TestColdAfterWithdrawal guards against the usual load for servers that were idle while
// their zone was evacuated, also from hosts that have just started.
func TestColdAfterWithdrawal(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	env.moveTo("other", "b")
	env.useColdRate(t, 2, 2)
	env.evacuate(false, "other")
	require.False(t, env.isCold("b", 0))
	env.evacuate(true, "other")
	require.False(t, env.isCold("a", 0))
	require.True(t, env.isCold("b", 55*time.Second))
	started := &testEnv{relayer: newTestRelayer(), servers: env.servers}
	started.relayer.SetEvacuations([]registrar.Evacuation{{Zone: "other", Withdrawn: true, At: time.Now().Add(-30 * time.Second)}})
	started.useColdRate(t, 2, 2)
	require.True(t, started.isCold("b", 25*time.Second))
	require.False(t, started.isCold("b", 35*time.Second))
	require.False(t, started.isCold("a", 0))
}

// TestColdAtStart guards against a host that starts and takes all servers for cold, or none.
func TestColdAtStart(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b", "c"}})
	now := time.Now()
	env.servers["a"].server.Incarnation = uint64(now.Add(-30 * time.Second).UnixMilli())
	env.servers["b"].server.Incarnation = uint64(now.Add(-2 * time.Minute).UnixMilli())
	env.servers["c"].server.Incarnation = uint64(now.Add(time.Hour).UnixMilli())
	started := &testEnv{relayer: newTestRelayer(), servers: env.servers}
	started.useColdRate(t, 1, 2)
	require.True(t, started.isCold("a", 25*time.Second))
	require.False(t, started.isCold("b", 0))
	require.True(t, started.isCold("c", 55*time.Second), "the clock of the server is ahead")
}

// TestColdWithoutPosition guards against a host that does not know its place among the entry
// hosts and uses the share of others.
func TestColdWithoutPosition(t *testing.T) {
	p := pacer.Pacer{BurstTime: pacer.ColdBurstTime}
	now := time.Now()
	p.Observe(pacer.Observation{Server: "s", Incarnation: 1, Rate: 100, At: now})
	require.False(t, p.HasRoom(now.Add(time.Minute), "s"))
}

// TestColdShards guards against a fleet in which no host can serve a fan-out while all servers
// are cold, because each has a share of some of them only.
func TestColdShards(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(1))
	var services []router.Service
	for _, name := range fanoutRoute(1).Shards {
		services = append(services, router.Service{Name: name, ConnectionLimit: 100, ColdRate: 8, ColdTime: time.Minute})
	}
	table, err := router.New(2, []router.Route{fanoutRoute(1)}, services, router.Limits{})
	require.NoError(t, err)
	for _, b := range env.servers {
		b.server.Incarnation = uint64(time.Now().UnixMilli())
	}
	const hosts = 54
	able := 0
	for rank := range hosts {
		r := newTestRelayer()
		r.Update(t.Context(), table, env.registry(), position(rank, hosts))
		r.mu.Lock()
		room := 0
		for _, s := range r.routing.Load().servers {
			if r.withinLimits(time.Now().Add(5*time.Second), s) {
				room++
			}
		}
		r.mu.Unlock()
		require.Contains(t, []int{0, len(env.servers)}, room)
		able += room
	}
	require.Positive(t, able)
}
