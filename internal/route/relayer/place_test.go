package relayer

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

func placed(path string) Request {
	return Request{Method: http.MethodGet, Target: path, Path: path, Host: "h"}
}

// TestPlace guards against an explanation that differs from what happens: the chosen server,
// servers that are left out, and refusals.
func TestPlace(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(2))
	withCost(t, env)
	for range 4 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	p := env.relayer.Place(placed("/x"))
	require.Empty(t, p.Refusal)
	require.Equal(t, 3, p.Required)
	require.Len(t, p.Services, 4)
	for _, s := range p.Services {
		require.Equal(t, "available", s.State)
		require.Positive(t, s.Cost)
		require.Len(t, s.Servers, 2)
		require.NotEmpty(t, s.Chosen)
	}
	servers := env.relayer.routing.Load().servers
	until := time.Now().Add(time.Minute)
	servers["s1-a"].leaving.Store(true)
	servers["s2-a"].pausedUntil.Store(&until)
	servers["s2-b"].down.Store(true)
	p = env.relayer.Place(placed("/x"))
	require.Empty(t, p.Refusal)
	require.Equal(t, "s1-b", p.Services[0].Chosen)
	require.Equal(t, []string{"leaving"}, candidate(p.Services[0], "s1-a").Out)
	require.Empty(t, p.Services[1].Chosen)
	require.Equal(t, "limited", p.Services[1].State)
	require.Equal(t, []string{"paused"}, candidate(p.Services[1], "s2-a").Out)
	require.Equal(t, []string{"down"}, candidate(p.Services[1], "s2-b").Out)
	servers["s3-a"].pausedUntil.Store(&until)
	servers["s3-b"].pausedUntil.Store(&until)
	p = env.relayer.Place(placed("/x"))
	require.Equal(t, RateLimited.String(), p.Refusal)
	require.Equal(t, RateLimited, env.get(t, "/x").Reason)
	servers["s3-a"].down.Store(true)
	servers["s3-b"].down.Store(true)
	servers["s2-a"].down.Store(true)
	require.Equal(t, NoServer.String(), env.relayer.Place(placed("/x")).Refusal)
	require.Equal(t, NoServer, env.get(t, "/x").Reason)
	require.Equal(t, NoRoute.String(), env.relayer.Place(Request{Host: "other", Path: "/"}).Refusal)
}

func candidate(s Service, name string) Candidate {
	for _, c := range s.Servers {
		if c.Name == name {
			return c
		}
	}
	return Candidate{}
}

// TestPlaceChangesNothing guards against a question that takes what a request takes, or that
// changes a later choice: the next choices must be those that they would have been without it.
func TestPlaceChangesNothing(t *testing.T) {
	var choices [2][]string
	start := time.Now()
	for i := range choices {
		env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b", "c"}})
		withCost(t, env)
		r := env.relayer
		registry := env.registry()
		slices.SortFunc(registry, func(a, b registrar.Server) int { return strings.Compare(a.Name, b.Name) })
		r.Update(t.Context(), r.Table(), registry, position(0, 1))
		r.rand = rand.New(rand.NewPCG(7, 7))
		// Connections are opened at any time.
		r.selector.ExtraLatency = func(string) time.Duration { return 0 }
		now := start
		r.limits.Observe(pacer.Observation{Server: "a", Incarnation: 1, Rate: 2, At: now})
		route := &r.Table().Routes()[0]
		for range 60 {
			now = now.Add(20 * time.Millisecond)
			if i == 1 {
				for range 3 {
					r.Place(placed("/x"))
				}
			}
			q := &query{relayer: r, route: route, table: r.Table()}
			s := shardState{service: "s"}
			r.mu.Lock()
			target := q.reserveServer(now, &s, firstSend)
			choices[i] = append(choices[i], target.Name)
			r.selector.Finished(now, target.Name, target.Incarnation, 0, 3*time.Millisecond)
			r.cost.finish(now, q, sendResult{server: target, cost: s.cost})
			r.mu.Unlock()
		}
		counted, _ := r.selector.ExpectedChoices()
		require.Zero(t, counted)
		require.Zero(t, env.servers["a"].requests.Load())
	}
	require.Contains(t, choices[0], "a", "the limit has room at times")
	require.Equal(t, choices[0], choices[1])
}

// peekedAllowances has no room and counts what is taken.
type peekedAllowances struct {
	fakeAllowances
}

func (*peekedAllowances) Peek(*router.Account) (time.Duration, bool) { return time.Second, false }

// TestPlaceAccount guards against an allowance that is used up by questions, and against
// refusals that are not foreseen.
func TestPlaceAccount(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	limited := router.Account{Name: "limited", Keys: []string{"k"}, Rate: 5, Burst: 5}
	env.accountsInForce(t, 2, singleRoute(router.Safe), limited)
	place := func(account, path string) Placement {
		r := placed(path)
		r.Account = account
		return env.relayer.Place(r)
	}
	require.Equal(t, Unauthorized.String(), place("", "/x").Refusal)
	require.Equal(t, Unauthorized.String(), place("other", "/x").Refusal)
	require.Empty(t, place("", "/public/x").Refusal)
	require.Equal(t, "unlimited", place("limited", "/x").Allowance)
	taken := &fakeAllowances{}
	env.relayer.config.Allowances = taken
	require.Equal(t, "unknown", place("limited", "/x").Allowance)
	peeked := &peekedAllowances{}
	env.relayer.config.Allowances = peeked
	p := place("limited", "/x")
	require.Equal(t, OverAllowance.String(), p.Refusal)
	require.Equal(t, "used up", p.Allowance)
	require.Zero(t, taken.taken.Load()+peeked.taken.Load()+peeked.returned.Load())
	require.Zero(t, env.servers["a"].requests.Load())
}
