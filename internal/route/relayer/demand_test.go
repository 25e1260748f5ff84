package relayer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/router"
)

// congest makes half of the requests to a service be dropped.
func (env *testEnv) congest(service string) {
	env.relayer.mu.Lock()
	defer env.relayer.mu.Unlock()
	now := time.Now()
	t := env.relayer.throttle(service)
	for t.SentShare(now, 0, 1) > 0.5 {
		t.Observe(now, now, true)
	}
}

// burstOf returns the demand of two accounts, of which the first has sent ten times as many
// requests as usual for 6 s.
func burstOf(hot, other string) admitter.Demand {
	var d admitter.Demand
	now := time.Now()
	for at := -time.Minute; at < 0; at += 100 * time.Millisecond {
		if at%time.Second == 0 || at > -6*time.Second {
			d.Record(now.Add(at), hot)
		}
		if at%time.Second == 0 {
			d.Record(now.Add(at), other)
		}
	}
	return d
}

// TestHotAccount replays the burst of one account while a service is congested. It guards
// against requests of the other account that are refused for it, against refusals that are
// not counted, and against effects without accounts.
func TestHotAccount(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	scope := tally.NewTestScope("", nil)
	env.relayer.config.Scope = scope
	env.congest("s")
	env.get(t, "/x")
	require.Zero(t, env.relayer.demand.Len(), "no accounts")

	env.accountsInForce(t, 2, singleRoute(router.Safe), one, two)
	const rounds = 200
	refused := map[string]int{}
	for range rounds {
		for _, key := range []string{"k1", "k3"} {
			env.relayer.demand = burstOf("one", "two")
			env.congest("s")
			if env.getAs(t, "/x", http.Header{"Key": {key}}).Reason == Overload {
				refused[key]++
			}
		}
	}
	require.Greater(t, refused["k1"], rounds*4/10)
	require.Less(t, refused["k3"], rounds*3/10)
	counters := scope.Snapshot().Counters()
	require.EqualValues(t, refused["k1"], counters["requests_refused+over=true,rank=0,reason=overload"].Value())
	require.EqualValues(t, 2, scope.Snapshot().Gauges()["accounts_tracked+"].Value())
}

// TestRetryAfterOfShortRequest guards against a refusal whose caller does not return because
// the named time exceeds a third of what it has left.
func TestRetryAfterOfShortRequest(t *testing.T) {
	route := singleRoute(router.Safe)
	route.Timeout, route.Objective = 300*time.Millisecond, 50*time.Millisecond
	env := newTestEnv(t, []router.Route{route}, map[string][]string{"s": {"a"}})
	for range 20 {
		a := Answer{}
		for a.Reason != Overload {
			env.congest("s")
			a = env.get(t, "/x")
			a.Release()
		}
		require.LessOrEqual(t, a.RetryAfter, route.Timeout/3)
	}
}
