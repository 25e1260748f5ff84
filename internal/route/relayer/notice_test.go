package relayer

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

// TestLeavingServer guards against requests to a server that says in its answers that it is
// about to stop, while it goes on checking in as ready.
func TestLeavingServer(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	for _, name := range []string{"a", "b"} {
		env.servers[name].setHandler(func(w http.ResponseWriter, r *http.Request) {
			if name == "a" {
				w.Header().Set("Leaving", "1")
			}
			partHandler(name)(w, r)
		})
	}
	for range 20 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.LessOrEqual(t, env.servers["a"].requests.Load(), int64(1))

	// Check-ins that change something else do not bring it back, a new start does.
	leaving := env.servers["a"].server
	leaving.Slots++
	update := func() {
		env.relayer.Update(t.Context(), env.relayer.Table(), []registrar.Server{leaving, env.servers["b"].server}, pacer.Position{Count: 1})
	}
	before := env.servers["a"].requests.Load()
	update()
	for range 20 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.Equal(t, before, env.servers["a"].requests.Load())

	// Without another server callers are told at once.
	env.relayer.Update(t.Context(), env.relayer.Table(), []registrar.Server{leaving}, pacer.Position{Count: 1})
	start := time.Now()
	a := env.get(t, "/x")
	require.Equal(t, NoServer, a.Reason)
	require.Less(t, time.Since(start), 100*time.Millisecond)
	leaving.Incarnation++
	update()
	require.Equal(t, Served, env.get(t, "/x").Reason)
}

// pausingHandler refuses a request and names a time for which the server wants no others.
func pausingHandler(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Refused", "1")
		w.Header().Set("Pause", pause.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestPausedServers guards against requests to servers that want none for a time, and
// against callers that wait instead of being told when there is a server again.
func TestPausedServers(t *testing.T) {
	const pause = 700 * time.Millisecond
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	for _, name := range []string{"a", "b"} {
		env.servers[name].setHandler(pausingHandler(pause))
	}
	begun := time.Now()
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() { env.get(t, fmt.Sprint("/", i)) })
	}
	group.Wait()
	arrived := env.servers["a"].requests.Load() + env.servers["b"].requests.Load()
	for time.Since(begun) < pause-100*time.Millisecond {
		start := time.Now()
		a := env.get(t, "/x")
		require.True(t, a.Reason.NotRun())
		require.Less(t, time.Since(start), 100*time.Millisecond)
		require.GreaterOrEqual(t, a.RetryAfter, pause-time.Since(begun)-50*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, arrived, env.servers["a"].requests.Load()+env.servers["b"].requests.Load())
	for _, name := range []string{"a", "b"} {
		env.servers[name].setHandler(partHandler(name))
	}
	time.Sleep(pause)
	require.Equal(t, Served, env.get(t, "/x").Reason)
}

// TestPausedShard guards against a fan-out that is refused although it can do without the
// shard whose servers want no requests.
func TestPausedShard(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(1))
	env.servers["s1-a"].setHandler(pausingHandler(time.Minute))
	for range 5 {
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.Equal(t, 1, a.MissingParts)
	}
	require.EqualValues(t, 1, env.servers["s1-a"].requests.Load())
}

// TestQueuedRequestsArePaused guards against requests that waited for a connection and are
// sent after the server has said that it wants none.
func TestQueuedRequestsArePaused(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	const connections = 2
	env.relayer.routing.Load().servers["a"].pool.SetLimit(connections)
	env.servers["a"].setHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		pausingHandler(time.Minute)(w, r)
	})
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() { env.get(t, fmt.Sprint("/", i)) })
	}
	group.Wait()
	require.LessOrEqual(t, env.servers["a"].requests.Load(), int64(connections))
}
