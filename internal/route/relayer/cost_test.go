package relayer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/router"
)

// withCost makes the relayer of the environment learn costs. Call it before Update.
func withCost(t *testing.T, env *testEnv) {
	env.relayer.config.Cost = true
	env.relayer.cost = newCosting(env.relayer)
	env.relayer.Update(t.Context(), env.relayer.Table(), env.registry(), position(0, 1))
}

// openSends returns the number of sends and the work that the estimator counts as open.
func (env *testEnv) openSends() (sends int, work time.Duration) {
	env.relayer.mu.Lock()
	defer env.relayer.mu.Unlock()
	for name := range env.servers {
		s, _ := env.relayer.cost.estimator.Server(time.Now(), name)
		sends += s.Sends
		work += s.Work
	}
	return sends, work
}

// TestCostOfSends guards against work that stays counted after sends that were answered,
// hedged, cancelled, refused, failed or abandoned by the client, and against no estimate
// after enough of them.
func TestCostOfSends(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(2))
	withCost(t, env)
	env.servers["s1-a"].setHandler(delayedHandler(time.Second, partHandler("s1-a")))
	env.servers["s2-a"].setHandler(crashHandler)
	env.servers["s3-a"].setHandler(refuseHandler)
	env.servers["s3-b"].setHandler(func(w http.ResponseWriter, r *http.Request) { http.Error(w, "", http.StatusInternalServerError) })
	for i := range 12 {
		ctx, cancel := context.WithCancel(t.Context())
		if i%4 == 3 {
			time.AfterFunc(2*time.Millisecond, cancel)
		}
		env.relayer.Do(ctx, Request{ID: "id", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", HostHeader: "h", Header: http.Header{}, Received: time.Now()})
		cancel()
	}
	require.Eventually(t, func() bool { sends, _ := env.openSends(); return sends == 0 }, 5*time.Second, 5*time.Millisecond)
	_, work := env.openSends()
	require.Zero(t, work)
	env.relayer.mu.Lock()
	defer env.relayer.mu.Unlock()
	route := env.relayer.Table().Routes()[0]
	q := &query{route: &route}
	_, ok := env.relayer.cost.estimator.Estimate(time.Now(), q.costRequest("s4"))
	require.True(t, ok)
}

// TestCostOfOutstanding guards against a request that waits behind a costly one although
// another server has as many requests that are soon done. A host that counts requests alone
// takes both servers for equally busy. Unsafe requests are not hedged.
func TestCostOfOutstanding(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	withCost(t, env)
	for _, name := range []string{"a", "b"} {
		env.servers[name].setHandler(func(w http.ResponseWriter, r *http.Request) {
			d := 20 * time.Millisecond
			if strings.Contains(r.URL.Path, "dear") {
				d = 150 * time.Millisecond
			}
			delayedHandler(d, partHandler(name))(w, r)
		})
	}
	for range 16 {
		env.get(t, "/cheap")
		env.get(t, "/dear")
	}
	requests := func(name string) int64 { return env.servers[name].requests.Load() }
	for range 4 {
		// The latencies of both servers become those of cheap requests again.
		for range 16 {
			env.get(t, "/cheap")
		}
		var group sync.WaitGroup
		before := map[string]int64{"a": requests("a"), "b": requests("b")}
		for i, path := range []string{"/dear", "/cheap", "/cheap"} {
			group.Go(func() { env.get(t, path) })
			require.Eventually(t, func() bool { return requests("a")+requests("b") == before["a"]+before["b"]+int64(i)+1 }, time.Second, time.Millisecond/4)
		}
		counts := []int64{requests("a") - before["a"], requests("b") - before["b"]}
		group.Wait()
		require.Contains(t, counts, int64(1), "the costly request has a server of its own: %d", counts)
		require.Contains(t, counts, int64(2))
	}
}
