package relayer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/router"
)

// fakeDelegator is a Delegator whose other host returns answer and err.
type fakeDelegator struct {
	answer Answer
	err    error

	mu       sync.Mutex
	requests []Request
}

func (d *fakeDelegator) Delegate(_ context.Context, r Request) (Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	return d.answer, d.err
}

// taken returns the requests that were handed over.
func (d *fakeDelegator) taken() []Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

// cutLinks makes the connections of env's host fail while the result is true. Open ones
// are closed by the test's servers.
func cutLinks(env *testEnv) *atomic.Bool {
	var cut atomic.Bool
	env.relayer.config.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address.String())
	}
	env.reincarnate()
	return &cut
}

// reincarnate replaces all servers by new incarnations, so that their pools are new.
func (env *testEnv) reincarnate() {
	for _, s := range env.servers {
		s.server.Incarnation++
	}
	env.relayer.Update(context.Background(), env.relayer.Table(), env.registry(), position(0, 1))
}

// TestUnreachableServers guards against refusing requests because this host cannot reach
// servers that check in with the control hosts, while other hosts can. Once the links are
// back, the host serves directly again within a second.
func TestUnreachableServers(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(2))
	other := &fakeDelegator{answer: Answer{Reason: Served, Status: http.StatusOK, Stamps: []string{"from another host"}}}
	env.relayer.config.Delegator = other
	cut := cutLinks(env)
	cut.Store(true)
	env.reincarnate()
	for range 5 {
		start := time.Now()
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.Equal(t, []string{"from another host"}, a.Stamps)
		require.Less(t, time.Since(start), 150*time.Millisecond)
	}
	require.Len(t, other.taken(), 5)
	require.EqualValues(t, 1, other.taken()[0].Table)
	cut.Store(false)
	require.Eventually(t, func() bool { return len(env.get(t, "/x").Stamps) == 4 }, time.Second, 20*time.Millisecond)
	handedOver := len(other.taken())
	require.Equal(t, Served, env.get(t, "/x").Reason)
	require.Len(t, other.taken(), handedOver)
}

// TestNoHostTakesIt guards against a request that waits or claims to have run, although
// no host can serve it.
func TestNoHostTakesIt(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(1))
	other := &fakeDelegator{err: ErrNotTaken}
	env.relayer.config.Delegator = other
	cutLinks(env).Store(true)
	env.reincarnate()
	for range 3 {
		start := time.Now()
		a := env.get(t, "/x")
		require.True(t, a.Reason.NotRun())
		require.Positive(t, a.RetryAfter)
		require.Less(t, time.Since(start), 150*time.Millisecond)
	}
	require.Len(t, other.taken(), 3)
}

// TestLostHandover guards against calling a request not run although the host that took
// it was lost.
func TestLostHandover(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a"}})
	env.relayer.config.Delegator = &fakeDelegator{err: errors.New("connection lost")}
	cutLinks(env).Store(true)
	env.reincarnate()
	require.Equal(t, Broken, env.get(t, "/x").Reason)
}

// TestHandedOverOnce guards against requests that pass from host to host, and against
// serving one by another version of the routing table than the one that matched it.
func TestHandedOverOnce(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	other := &fakeDelegator{answer: Answer{Reason: Served}}
	env.relayer.config.Delegator = other
	cut := cutLinks(env)
	cut.Store(true)
	env.reincarnate()
	request := Request{ID: "id", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", HostHeader: "h", Header: http.Header{}, Received: time.Now(), Delegated: true, Table: 1}
	require.True(t, env.relayer.Do(t.Context(), request).Reason.NotRun())
	require.Empty(t, other.taken())
	request.Table = 2
	require.Equal(t, NotReady, env.relayer.Do(t.Context(), request).Reason)
}

// TestReceivedIsNotHandedOver guards against handing over a request that a server has
// received: it could run twice.
func TestReceivedIsNotHandedOver(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{"crash": crashHandler, "refuse": refuseHandler} {
		env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a"}})
		other := &fakeDelegator{answer: Answer{Reason: Served}}
		env.relayer.config.Delegator = other
		env.servers["a"].setHandler(handler)
		require.NotEqual(t, Served, env.get(t, "/x").Reason, name)
		require.Empty(t, other.taken(), name)
	}
}

// TestLostServersAreNotHandedOver guards against asking other hosts for servers that no
// longer check in.
func TestLostServersAreNotHandedOver(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	other := &fakeDelegator{answer: Answer{Reason: Served}}
	env.relayer.config.Delegator = other
	silent := env.servers["a"].server
	silent.State, silent.Incarnation = registrar.Silent, 9
	cut := cutLinks(env)
	cut.Store(true)
	env.relayer.Update(t.Context(), env.relayer.Table(), []registrar.Server{silent}, position(0, 1))
	for range 2 {
		require.True(t, env.get(t, "/x").Reason.NotRun())
	}
	require.Empty(t, other.taken())
}

// TestGivenBack guards against a host that takes a request, cannot reach the servers
// either, and refuses it in a way that keeps others from being asked.
func TestGivenBack(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	cutLinks(env).Store(true)
	env.reincarnate()
	a := env.relayer.Do(t.Context(), Request{ID: "id", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", HostHeader: "h",
		Header: http.Header{}, Received: time.Now(), Delegated: true, Table: 1})
	require.Equal(t, NoServer, a.Reason)
}

// TestHandedOverVersionZero guards against a request that no host takes over because the
// routing table has version 0, and against one that is taken without a table or by another.
func TestHandedOverVersionZero(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a"}})
	request := Request{ID: "id", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", HostHeader: "h", Header: http.Header{}, Received: time.Now(), Delegated: true}
	require.Equal(t, NotReady, newTestRelayer().Do(t.Context(), request).Reason)
	require.Equal(t, NotReady, env.relayer.Do(t.Context(), request).Reason)
	table, err := router.New(0, []router.Route{singleRoute(router.Unsafe)}, []router.Service{{Name: "s", ConnectionLimit: 100}}, router.Limits{})
	require.NoError(t, err)
	env.relayer.Update(t.Context(), table, env.registry(), position(0, 1))
	require.Equal(t, Served, env.relayer.Do(t.Context(), request).Reason)
	request.Table = 1
	require.Equal(t, NotReady, env.relayer.Do(t.Context(), request).Reason)
}

// TestDelegatedAnswerCounted guards against answers of other hosts that take the memory of this
// one, and against memory that is not returned with them.
func TestDelegatedAnswerCounted(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a"}})
	env.relayer.memory = connector.NewAllowance(10<<10, nil)
	other := &fakeDelegator{}
	env.relayer.config.Delegator = other
	cutLinks(env).Store(true)
	env.reincarnate()
	get := func(length int) Answer {
		other.answer = Answer{Reason: Served, Status: http.StatusOK, Header: http.Header{"Stamp": {"x"}}, Body: make([]byte, length)}
		return env.get(t, "/x")
	}
	first := get(6 << 10)
	require.Equal(t, Served, first.Reason)
	require.EqualValues(t, 6<<10, env.relayer.memory.Used())
	require.Equal(t, Broken, get(6<<10).Reason, "no memory")
	require.Equal(t, Served, get(uncountedBytes).Reason)
	first.Release()
	require.Zero(t, env.relayer.memory.Used())
	second := get(6 << 10)
	require.Equal(t, Served, second.Reason)
	second.Release()
}
