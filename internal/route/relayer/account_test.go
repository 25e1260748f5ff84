package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/router"
)

// accountTable returns a table of one route whose requests need a key of an account, and of
// one that is public.
func accountTable(t *testing.T, version uint64, route router.Route, accounts ...router.Account) *router.Table {
	public := route
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	var services []router.Service
	for _, name := range route.Services() {
		services = append(services, router.Service{Name: name, ConnectionLimit: 100})
	}
	table, err := router.NewWithAccounts(version, []router.Route{route, public}, services, router.Limits{}, accounts)
	require.NoError(t, err)
	return table
}

// accountsInForce replaces the routing table of a test environment.
func (env *testEnv) accountsInForce(t *testing.T, version uint64, route router.Route, accounts ...router.Account) {
	env.relayer.Update(t.Context(), accountTable(t, version, route, accounts...), env.registry(), position(0, 1))
}

// getAs sends a request with the given headers.
func (env *testEnv) getAs(t *testing.T, path string, h http.Header, more ...func(*Request)) Answer {
	r := Request{
		ID: "id-" + t.Name(), Method: http.MethodGet, Target: path, Path: path, Host: "h", HostHeader: "h", Header: h.Clone(),
		Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
	for _, f := range more {
		f(&r)
	}
	return env.relayer.Do(t.Context(), r)
}

// headerLog records the account and the key that backend servers get.
type headerLog struct {
	mu   sync.Mutex
	seen []string
}

// record makes all servers log the account of each request, and then call their handler.
func (l *headerLog) record(env *testEnv, handlers map[string]http.HandlerFunc) {
	for name, b := range env.servers {
		next := handlers[name]
		if next == nil {
			next = partHandler(name)
		}
		b.setHandler(func(w http.ResponseWriter, r *http.Request) {
			l.mu.Lock()
			l.seen = append(l.seen, r.Header.Get("Account")+"/"+r.Header.Get("Key"))
			l.mu.Unlock()
			next(w, r)
		})
	}
}

// take returns what was recorded and forgets it.
func (l *headerLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.seen
	l.seen = nil
	return seen
}

var (
	one = router.Account{Name: "one", Keys: []string{"k1", "k2"}}
	two = router.Account{Name: "two", Keys: []string{"k3"}}
)

// TestAccountOnEverySend guards against a send of any cause that lacks the name of the
// account, has the one that the client chose, or passes the key on.
func TestAccountOnEverySend(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(2))
	env.accountsInForce(t, 2, fanoutRoute(1), one, two)
	log := &headerLog{}
	log.record(env, map[string]http.HandlerFunc{
		"s1-a": delayedHandler(time.Second, partHandler("s1-a")), // hedged
		"s2-a": crashHandler,                                     // sent again
		"s3-a": refuseHandler,                                    // sent again
	})
	for range 6 {
		a := env.getAs(t, "/x", http.Header{"Key": {"k2"}, "Account": {"two"}})
		require.Equal(t, Served, a.Reason)
		seen := log.take()
		require.GreaterOrEqual(t, len(seen), 4)
		for _, s := range seen {
			require.Equal(t, "one/", s)
		}
	}
}

// TestUnauthorized guards against requests that run without a key of an account, with a
// withdrawn key, or on behalf of an account on a public route that the client only names.
func TestUnauthorized(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	log := &headerLog{}
	log.record(env, nil)
	require.Equal(t, Served, env.getAs(t, "/x", http.Header{"Key": {"any"}, "Account": {"any"}}).Reason)
	require.Equal(t, []string{"any/any"}, log.take(), "without accounts all headers pass")

	env.accountsInForce(t, 2, singleRoute(router.Safe), one, two)
	for _, h := range []http.Header{{}, {"Key": {""}}, {"Key": {"other"}}, {"Account": {"one"}}, {"Key": {"one"}}} {
		require.Equal(t, Unauthorized, env.getAs(t, "/x", h).Reason)
		require.Equal(t, Served, env.getAs(t, "/public/x", h).Reason)
		require.Equal(t, []string{"/"}, log.take())
	}
	require.Equal(t, Served, env.getAs(t, "/public/x", http.Header{"Key": {"k3"}}).Reason)
	require.Equal(t, []string{"two/"}, log.take())

	env.accountsInForce(t, 3, singleRoute(router.Safe), router.Account{Name: "one", Keys: []string{"k1"}}, router.Account{Name: "two", Keys: []string{"k2"}})
	require.Equal(t, Unauthorized, env.getAs(t, "/x", http.Header{"Key": {"k3"}}).Reason)
	require.Empty(t, log.take())
	require.Equal(t, Served, env.getAs(t, "/x", http.Header{"Key": {"k2"}}).Reason)
	require.Equal(t, []string{"two/"}, log.take(), "the key has moved to another account")
}

// TestAccountOfHandedOverRequest guards against a second check of a request that another
// host has checked, and against one that a host of the release before accounts passed on
// unchecked.
func TestAccountOfHandedOverRequest(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	env.accountsInForce(t, 2, singleRoute(router.Safe), one, two)
	log := &headerLog{}
	log.record(env, nil)
	handedOver := func(account string) func(*Request) {
		return func(r *Request) { r.Delegated, r.Table, r.Account = true, 2, account }
	}
	require.Equal(t, Served, env.getAs(t, "/x", http.Header{"Account": {"one"}}, handedOver("one")).Reason)
	require.Equal(t, []string{"one/"}, log.take())
	require.Equal(t, Served, env.getAs(t, "/x", http.Header{"Key": {"k3"}}, handedOver("")).Reason)
	require.Equal(t, []string{"two/"}, log.take())
	require.Equal(t, Unauthorized, env.getAs(t, "/x", http.Header{"Account": {"one"}}, handedOver("")).Reason)
	require.Equal(t, Unauthorized, env.getAs(t, "/x", http.Header{}, handedOver("three")).Reason)
	require.Empty(t, log.take())
}

// fakeAllowances grants requests while left is positive.
type fakeAllowances struct{ left, taken, returned atomic.Int64 }

func (f *fakeAllowances) Take(context.Context, *router.Account, bool) (time.Duration, bool) {
	f.taken.Add(1)
	return 700 * time.Millisecond, f.left.Add(-1) >= 0
}

func (f *fakeAllowances) Return(*router.Account) { f.returned.Add(1) }

// TestAllowance guards against work for a request beyond the allowance of its account, a
// request that counts twice because it was handed over, and an allowance that is used up by
// requests that did not run.
func TestAllowance(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a"}})
	limited := router.Account{Name: "one", Keys: []string{"k1"}, Rate: 2, Burst: 1}
	env.accountsInForce(t, 2, singleRoute(router.Unsafe), limited, two)
	f := &fakeAllowances{}
	f.left.Store(1)
	env.relayer.config.Allowances = f
	h := http.Header{"Key": {"k1"}}

	require.Equal(t, Served, env.getAs(t, "/x", h).Reason)
	a := env.getAs(t, "/x", h)
	require.Equal(t, OverAllowance, a.Reason)
	require.True(t, a.Reason.NotRun())
	require.Equal(t, 700*time.Millisecond, a.RetryAfter)
	require.EqualValues(t, 1, env.servers["a"].requests.Load())
	require.EqualValues(t, 2, f.taken.Load())
	require.Zero(t, f.returned.Load(), "nothing was taken")

	require.Equal(t, Served, env.getAs(t, "/x", http.Header{"Key": {"k3"}}).Reason, "an account without a limit")
	require.Equal(t, Served, env.getAs(t, "/x", h, func(r *Request) { r.Delegated, r.Table, r.Account = true, 2, "one" }).Reason)
	require.EqualValues(t, 2, f.taken.Load())

	f.left.Store(2)
	env.servers["a"].setHandler(refuseHandler)
	require.Equal(t, Shed, env.getAs(t, "/x", h).Reason)
	require.EqualValues(t, 1, f.returned.Load())
	env.servers["a"].setHandler(crashHandler)
	require.Equal(t, Broken, env.getAs(t, "/x", h).Reason)
	require.EqualValues(t, 1, f.returned.Load(), "a request that may have run counts")
}

// TestLateRequest guards against requests that are taken for late because their client set a
// short or no time limit, and against overlooking one that has come back.
func TestLateRequest(t *testing.T) {
	route := singleRoute(router.Safe)
	now := time.Now()
	for left, late := range map[time.Duration]bool{
		0: false, route.Timeout: false, 2 * route.Timeout: false, route.Timeout - route.Objective/2: false, route.Timeout - route.Objective: true, time.Millisecond: true,
	} {
		r := &Request{Received: now}
		if left > 0 {
			r.Deadline = now.Add(left)
		}
		require.Equal(t, late, r.isLate(&route), left)
	}
}
