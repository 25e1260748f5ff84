package relayer

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/route/router"
)

// testZones has two zones in each of two regions.
var testZones = map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}

// newRegionEnv has a server in a zone of each region and one in a zone that the settings do
// not have, for a route whose requests are bound to regions.
func newRegionEnv(t *testing.T, regions ...string) *testEnv {
	route := singleRoute(router.Safe)
	route.Regions = regions
	env := newTestEnv(t, []router.Route{route}, map[string][]string{"s": {"north", "south", "nowhere"}})
	env.relayer.config.Zones, env.relayer.config.Region = testZones, "north"
	env.moveTo("n1", "north")
	env.moveTo("s1", "south")
	env.moveTo("x", "nowhere")
	return env
}

// TestRegions guards against a request that reaches a server in another region, also when
// those of its own fail, and against one that waits although no server is left.
func TestRegions(t *testing.T) {
	env := newRegionEnv(t, "south")
	for range 30 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	env.servers["south"].setHandler(refuseHandler)
	for range 10 {
		require.NotEqual(t, Served, env.get(t, "/x").Reason)
	}
	env.evacuate(false, "s1")
	start := time.Now()
	a := env.get(t, "/x")
	require.Equal(t, NoServer, a.Reason)
	require.Less(t, time.Since(start), 100*time.Millisecond)
	require.Zero(t, env.servers["north"].requests.Load()+env.servers["nowhere"].requests.Load())

	env.relayer.config.Zones = nil
	require.Equal(t, Served, env.get(t, "/x").Reason, "without zones all regions are one")
}

// TestRegionOfHedge guards against a hedge that leaves the region, and against a send that
// waits while its server moves to another one.
func TestRegionOfHedge(t *testing.T) {
	route := singleRoute(router.Safe)
	route.Regions = []string{"north"}
	env := newLateEnv(t, route, "a", "b")
	env.relayer.config.Zones = testZones
	env.moveTo("n1", "a")
	env.moveTo("s1", "b")
	env.hold("a", false)
	env.hold("b", false)
	var group sync.WaitGroup
	group.Go(func() { env.get(t, "/x") })
	require.Equal(t, "a", <-env.received)
	time.Sleep(lateSendTime)
	require.Zero(t, env.servers["b"].requests.Load())
	close(env.release)
	group.Wait()

	env.release = make(chan struct{})
	env.relayer.routing.Load().servers["a"].pool.SetLimit(1)
	for range 3 {
		group.Go(func() { env.get(t, "/x") })
	}
	<-env.received
	// The limit does not end a connection that is open already, which may take a second request.
	for sending := true; sending; {
		select {
		case <-env.received:
		case <-time.After(200 * time.Millisecond):
			sending = false
		}
	}
	before := env.servers["a"].requests.Load()
	require.Less(t, before, int64(4), "no request waits")
	env.moveTo("s2", "a")
	time.Sleep(20 * time.Millisecond)
	close(env.release)
	group.Wait()
	require.Equal(t, before, env.servers["a"].requests.Load())
}

// TestRegionOfHandover guards against a request that is handed over to a host in a region
// where it may not be processed, and against one that is handed over because servers that it
// may not reach cannot be reached.
func TestRegionOfHandover(t *testing.T) {
	env := newRegionEnv(t, "south")
	other := &fakeDelegator{answer: Answer{Reason: Served, Status: http.StatusOK}}
	env.relayer.config.Delegator = other
	down := func(name string, down bool) { env.relayer.routing.Load().servers[name].down.Store(down) }
	down("north", true)
	require.Equal(t, Served, env.get(t, "/x").Reason)
	require.Empty(t, other.taken())
	down("south", true)
	require.Equal(t, Served, env.get(t, "/x").Reason)
	require.Len(t, other.taken(), 1)
	mayHandOverTo := other.taken()[0].MayHandOverTo
	for zone, want := range map[string]bool{"n1": true, "n2": true, "s1": true, "s2": true, "x": false} {
		require.Equal(t, want, mayHandOverTo(zone), zone)
	}
	env.relayer.config.Region = "elsewhere"
	require.False(t, mayHandOverTo("n1"))
	require.True(t, mayHandOverTo("s1"))
}

// TestRegionsOfRouteAndAccount guards against a restriction that lifts the other one.
func TestRegionsOfRouteAndAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"north", "south", "east"}), rapid.ID)
		q := &query{relayer: newTestRelayer(), route: &router.Route{Regions: regions.Draw(t, "route")}}
		q.relayer.config.Zones = testZones
		if rapid.Bool().Draw(t, "has account") {
			q.account = &router.Account{Regions: regions.Draw(t, "account")}
		}
		lists := [][]string{q.route.Regions}
		if q.account != nil {
			lists = append(lists, q.account.Regions)
		}
		for _, zone := range []string{"n1", "s2", "x"} {
			want := true
			for _, list := range lists {
				named := false
				for _, region := range list {
					named = named || testZones[zone] == region
				}
				want = want && (len(list) == 0 || named)
			}
			require.Equal(t, want, q.allowsZone(zone), zone)
		}
	})
}
