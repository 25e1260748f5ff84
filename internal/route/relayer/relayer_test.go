package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

// testCodec implements Codec with one short header for each value.
type testCodec struct{}

func (testCodec) Encode(h http.Header, id string, left time.Duration, server string) {
	h.Set("Id", id)
	h.Set("Left", left.String())
	h.Set("Server", server)
}

func (testCodec) Key(h http.Header) string { return h.Get("Key") }

func (testCodec) SetAccount(h http.Header, account string) {
	h.Del("Key")
	h.Del("Account")
	if account != "" {
		h.Set("Account", account)
	}
}

func (testCodec) RequestID(h http.Header) string { return h.Get("Id") }

func (c testCodec) Decode(status int, h http.Header) AnswerMetadata {
	m := AnswerMetadata{RequestID: c.RequestID(h), Stamp: h.Get("Stamp"), Refused: h.Get("Refused") != "", Misdirected: status == http.StatusMisdirectedRequest}
	m.PromisesNotRun = status == 408 || status == 421 || status == 429 || status == 503
	m.Limit.Named = h.Get("Limit") != ""
	m.Limit.Rate, _ = strconv.ParseFloat(h.Get("Limit"), 64)
	m.Leaving = h.Get("Leaving") != ""
	m.RetryAfter, _ = time.ParseDuration(h.Get("Pause"))
	return m
}

// fakeServer is a backend server that answers with handler, or with partHandler while
// handler is nil. The handler may be changed between requests.
type fakeServer struct {
	listener net.Listener
	server   registrar.Server
	requests atomic.Int64
	handler  atomic.Pointer[http.HandlerFunc]
}

func (b *fakeServer) setHandler(h http.HandlerFunc) { b.handler.Store(&h) }

func newFakeServer(t *testing.T, service, name string) *fakeServer {
	b := &fakeServer{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		if h := b.handler.Load(); h != nil {
			(*h)(w, r)
			return
		}
		partHandler(name)(w, r)
	}))
	t.Cleanup(s.Close)
	b.listener = s.Listener
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	b.server = registrar.Server{Name: name, Service: service, Address: address, Zone: "z", Slots: 4, Incarnation: 1, Sequence: 1}
	return b
}

// partHandler answers with one signed record that starts with the name.
func partHandler(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "stamp-"+name)
		_, _ = io.WriteString(w, (name + strings.Repeat(".", 16))[:16])
	}
}

// delayedHandler runs next after d unless the request is cancelled before.
func delayedHandler(d time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

// refuseHandler answers as a server that did not run the request.
func refuseHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashHandler closes the connection without an answer.
func crashHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// testEnv is a relayer with fake servers.
type testEnv struct {
	relayer *Relayer
	servers map[string]*fakeServer
}

// newTestEnv starts the servers that names lists for each service.
func newTestEnv(t *testing.T, routes []router.Route, names map[string][]string) *testEnv {
	env := &testEnv{relayer: newTestRelayer(), servers: map[string]*fakeServer{}}
	var services []router.Service
	for service, list := range names {
		services = append(services, router.Service{Name: service, ConnectionLimit: 100})
		for _, name := range list {
			env.servers[name] = newFakeServer(t, service, name)
		}
	}
	table, err := router.New(1, routes, services, router.Limits{})
	require.NoError(t, err)
	env.relayer.Update(t.Context(), table, env.registry(), position(0, 1))
	return env
}

// newTestRelayer returns a relayer without a routing table, of a host that has been up for
// longer than the window of its budget.
func newTestRelayer() *Relayer {
	r := New(Config{
		Zone: "z", Codec: testCodec{}, Budget: Budget{Ratio: 0.2, ExtraPerWindow: 100, Window: 10 * time.Second}, TransitTime: 10 * time.Millisecond,
		Log: log.New(io.Discard), Scope: tally.NoopScope,
	})
	r.startedAt = time.Now().Add(-time.Minute)
	return r
}

// sharedEnv returns another host with the same routing table and servers.
func (env *testEnv) sharedEnv(t *testing.T) *testEnv {
	other := &testEnv{relayer: newTestRelayer(), servers: env.servers}
	other.relayer.Update(t.Context(), env.relayer.Table(), env.registry(), position(0, 1))
	return other
}

// registry returns the registrations of all servers.
func (env *testEnv) registry() []registrar.Server {
	var list []registrar.Server
	for _, b := range env.servers {
		list = append(list, b.server)
	}
	return list
}

// position returns the place of a host among the entry hosts.
func position(rank, count int) pacer.Position { return pacer.Position{Rank: rank, Count: count} }

func (env *testEnv) get(t *testing.T, path string) Answer {
	return env.relayer.Do(t.Context(), Request{
		ID: "id-" + t.Name(), Method: http.MethodGet, Target: path, Path: path, Host: "h", HostHeader: "h",
		Header: http.Header{}, Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	})
}

func singleRoute(kind router.Kind) router.Route {
	return router.Route{Name: "one", Host: "h", Prefix: "/", Kind: kind, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond,
		MaxAttempts: 2, Targets: []router.Target{{Service: "s", Weight: 1}}}
}

func fanoutRoute(coverage float64) router.Route {
	return router.Route{Name: "all", Host: "h", Prefix: "/", Kind: router.Safe, Timeout: time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Shards: []string{"s1", "s2", "s3", "s4"}, TopK: 3, MinCoverage: coverage}
}

// shardServers returns the names of the servers of the shards of fanoutRoute.
func shardServers(replicas int) map[string][]string {
	m := map[string][]string{}
	for i := range 4 {
		service := fmt.Sprintf("s%d", i+1)
		for j := range replicas {
			m[service] = append(m[service], fmt.Sprintf("%s-%c", service, 'a'+j))
		}
	}
	return m
}

// TestUnsafeOnce guards against resending an unsafe request that a server may have
// run.
func TestUnsafeOnce(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	for _, b := range env.servers {
		b.setHandler(crashHandler)
	}
	a := env.get(t, "/x")
	require.Equal(t, Broken, a.Reason)
	require.False(t, a.Reason.NotRun())
	require.EqualValues(t, 1, env.servers["a"].requests.Load()+env.servers["b"].requests.Load())
}

// TestUnsafeRefused guards against giving up on an unsafe request after a server has
// confirmed that it did not run it.
func TestUnsafeRefused(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	env.servers["a"].setHandler(refuseHandler)
	for range 3 {
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.Contains(t, string(a.Body), "b")
	}
	env.servers["b"].setHandler(refuseHandler)
	a := env.get(t, "/x")
	require.Equal(t, Shed, a.Reason)
	require.True(t, a.Reason.NotRun())
	require.Positive(t, a.RetryAfter)
}

// TestSafeRetry guards against returning the failure of one server to the client while
// another server could answer a safe request.
func TestSafeRetry(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	env.servers["a"].setHandler(crashHandler)
	for range 3 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
}

// TestFailurePassedOn guards against forwarding a signed error response with a status
// other than the one that the server sent.
func TestFailurePassedOn(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	env.servers["a"].setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "x")
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	a := env.get(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, http.StatusGatewayTimeout, a.Status)
}

// TestMisdirected guards against sending further requests to a server whose address
// now belongs to another one.
func TestMisdirected(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	env.servers["a"].setHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	for range 10 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	require.LessOrEqual(t, env.servers["a"].requests.Load(), int64(1))
}

// TestComplete guards against losing parts and against merging them in the wrong order.
func TestComplete(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(1))
	a := env.get(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Zero(t, a.MissingParts)
	require.Len(t, a.Stamps, 4)
	require.Equal(t, "s4-a............s3-a............s2-a............", string(a.Body))
}

// TestPartial guards against waiting for one straggler beyond the objective, and
// against a wrong number of missing shards.
func TestPartial(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(1))
	env.servers["s2-a"].setHandler(delayedHandler(800*time.Millisecond, partHandler("s2-a")))
	start := time.Now()
	a := env.get(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, 1, a.MissingParts)
	require.Len(t, a.Stamps, 3)
	require.NotContains(t, a.Stamps, "stamp-s2-a")
	require.Less(t, time.Since(start), 400*time.Millisecond)
}

// TestTooFewParts guards against an answer with less coverage than the route
// asks for.
func TestTooFewParts(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(1))
	env.servers["s2-a"].setHandler(crashHandler)
	a := env.get(t, "/x")
	require.Equal(t, Broken, a.Reason)
}

// TestFailureIsNoPart guards against accepting a signed error response as a part.
func TestFailureIsNoPart(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(0.75)}, shardServers(1))
	env.servers["s2-a"].setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "bad")
		w.WriteHeader(http.StatusInternalServerError)
	})
	a := env.get(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, 1, a.MissingParts)
	require.NotContains(t, a.Stamps, "bad")
}

// TestHedge guards against requests that are late because of one pausing server while
// another replica is free.
func TestHedge(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(2))
	env.servers["s1-a"].setHandler(delayedHandler(time.Second, partHandler("s1-a")))
	env.servers["s1-b"].setHandler(delayedHandler(5*time.Millisecond, partHandler("s1-b")))
	late := 0
	for range 10 {
		start := time.Now()
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		if time.Since(start) > 200*time.Millisecond {
			late++
		}
	}
	require.Zero(t, late)
}

// TestBusyConnection guards against a request that waits for the only connection to a
// server in the same zone while another replica is idle. This occurs in a large fleet,
// where the hosts divide the connections of each server among them.
func TestBusyConnection(t *testing.T) {
	const (
		held = 300 * time.Millisecond
		// usual is longer than opening a connection, which the selector counts too.
		usual = 20 * time.Millisecond
	)
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	near, far := env.servers["a"].server, env.servers["b"].server
	far.Zone = "y"
	far.Incarnation++
	// With as many hosts as connections, each host has a single connection.
	env.relayer.Update(t.Context(), env.relayer.Table(), []registrar.Server{near, far}, position(0, 100))
	env.servers["a"].setHandler(delayedHandler(usual, partHandler("a")))
	require.Contains(t, string(env.get(t, "/x").Body), "a", "the near server is preferred")
	begun := make(chan struct{})
	env.servers["a"].setHandler(func(rw http.ResponseWriter, r *http.Request) {
		close(begun)
		delayedHandler(held, partHandler("a"))(rw, r)
	})
	done := make(chan Answer)
	go func() { done <- env.get(t, "/x") }()
	<-begun
	start := time.Now()
	require.Contains(t, string(env.get(t, "/x").Body), "b")
	require.Less(t, time.Since(start), held/2)
	require.Equal(t, Served, (<-done).Reason)
}

// TestFewConnections guards against a host that opens connections to all replicas
// although one can serve all of its requests. Servers accept only about as many
// connections as a large fleet has hosts.
func TestFewConnections(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b", "c"}})
	var servers []registrar.Server
	for _, b := range env.servers {
		// Servers are in another zone, because connections to servers in the same zone
		// are opened in advance.
		s := b.server
		s.Zone, s.Incarnation = "y", 2
		servers = append(servers, s)
	}
	env.relayer.Update(t.Context(), env.relayer.Table(), servers, position(0, 1))
	for range 30 {
		require.Equal(t, Served, env.get(t, "/x").Reason)
	}
	used := 0
	for _, b := range env.servers {
		if b.requests.Load() > 0 {
			used++
		}
	}
	require.Equal(t, 1, used)
}

// TestWholeBudget guards against a host that has less than its budget at the first fault
// although it has been up for longer than the window without extra sends.
func TestWholeBudget(t *testing.T) {
	r := New(Config{Budget: Budget{Ratio: 0.2, ExtraPerWindow: 176, Window: 10 * time.Second}})
	r.hostCount = 20
	early := r.serviceBudget(r.startedAt.Add(time.Second), "s")
	require.False(t, early.take(r.startedAt, 0))
	later := r.serviceBudget(r.startedAt.Add(11*time.Second), "t")
	require.True(t, later.take(r.startedAt, r.burstCapacity()-1))
}

// TestDown guards against using client requests to probe whether a server is back.
func TestDown(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	gone := env.servers["a"].server
	gone.Address = netip.MustParseAddrPort("127.0.0.1:1")
	table := env.relayer.Table()
	env.relayer.Update(t.Context(), table, []registrar.Server{gone}, position(0, 1))
	require.Equal(t, NoServer, env.get(t, "/x").Reason.orNoServer())
	s := env.relayer.routing.Load().servers["a"]
	require.True(t, s.down.Load())
	start := time.Now()
	require.Equal(t, NoServer, env.get(t, "/x").Reason, "nothing is sent to a server that is down")
	require.Less(t, time.Since(start), 50*time.Millisecond)
	env.relayer.Update(t.Context(), table, []registrar.Server{env.servers["a"].server}, position(0, 1))
	require.Equal(t, Served, env.get(t, "/x").Reason)
}

// orNoServer maps Shed to NoServer, because both mean here that the request could be
// sent to no server.
func (r Reason) orNoServer() Reason {
	if r == Shed {
		return NoServer
	}
	return r
}

// TestDownAtLimit guards against a server that counts as up again because all connections
// that this host may have are in use, though they hang.
func TestDownAtLimit(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	r, a := env.relayer, env.servers["a"]
	hanging := make(chan struct{})
	a.setHandler(func(http.ResponseWriter, *http.Request) { <-hanging })
	t.Cleanup(func() { close(hanging) })
	// With as many hosts as connections, each host has a single connection.
	r.Update(t.Context(), r.Table(), env.registry(), position(0, 100))
	go env.get(t, "/x")
	require.Eventually(t, func() bool { return a.requests.Load() == 1 }, time.Second, time.Millisecond)
	s := r.routing.Load().servers["a"]
	r.markDown(t.Context(), s)
	require.Never(t, func() bool { return !s.down.Load() }, 3*minReconnectDelay, time.Millisecond)
}

// TestNotReady guards against reporting that there is no route, which clients see as a
// 404, while the host has no routing table yet.
func TestNotReady(t *testing.T) {
	r := New(Config{Codec: testCodec{}, Log: log.New(io.Discard), Scope: tally.NoopScope})
	require.Equal(t, NotReady, r.Do(t.Context(), Request{Received: time.Now()}).Reason)
}

// TestRefusalsAreReported guards against refusals before the choice of a route that are
// neither logged nor counted.
func TestRefusalsAreReported(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	r := New(Config{Codec: testCodec{}, Log: log.New(&lines), Scope: scope})
	r.Do(t.Context(), Request{ID: "early", Received: time.Now()})
	table, err := router.New(7, []router.Route{singleRoute(router.Safe)}, []router.Service{{Name: "s"}}, router.Limits{})
	require.NoError(t, err)
	r.Update(t.Context(), table, nil, position(0, 1))
	r.Do(t.Context(), Request{ID: "stray", Host: "other", Path: "/x", Received: time.Now()})
	r.Do(t.Context(), Request{ID: "tardy", Host: "h", Path: "/x", Received: time.Now(), Deadline: time.Now()})
	for id, reason := range map[string]Reason{"early": NotReady, "stray": NoRoute, "tardy": Expired} {
		require.Regexp(t, "request="+id+" reason=\"?"+reason.String(), lines.String())
		require.EqualValues(t, 1, scope.Snapshot().Counters()["requests+reason="+reason.String()].Value())
	}
}

// TestClientLeaves guards against servers that keep working on a request whose client
// has disconnected.
func TestClientLeaves(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	ended := make(chan struct{})
	begun := make(chan struct{})
	var once sync.Once
	env.servers["a"].setHandler(func(_ http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(begun) })
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	a := env.relayer.Do(ctx, Request{ID: "1", Method: "GET", Target: "/", Path: "/", Host: "h", Header: http.Header{}, Received: time.Now()})
	require.Equal(t, ClientLeft, a.Reason)
	<-ended
}

// TestBudget guards against more extra sends from all hosts together than the budget
// allows in any window, for any pattern of requests, any times of start and any restarts.
func TestBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := Budget{Ratio: 0.2, ExtraPerWindow: rapid.IntRange(20, 200).Draw(t, "extra"), Window: window}
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		var fleet []*Relayer
		for range hosts {
			r := New(Config{Budget: limits})
			r.hostCount = hosts
			r.startedAt = time.Unix(1000, 0).Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
			fleet = append(fleet, r)
		}
		now := time.Unix(1000, 0)
		type event struct {
			at    time.Time
			extra bool
		}
		var events []event
		for range rapid.IntRange(10, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 200, 3000, 9000, 11000}).Draw(t, "pause")) * time.Millisecond)
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				fleet[host] = New(Config{Budget: limits})
				fleet[host].hostCount, fleet[host].startedAt = hosts, now
			}
			b := fleet[host].serviceBudget(now, "s")
			if rapid.Bool().Draw(t, "request") {
				b.AddEvent()
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 5).Draw(t, "wanted") {
				if b.take(now, 0) {
					events = append(events, event{now, true})
				}
			}
		}
		for i, first := range events {
			requests, extra := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(first.at) > window {
					break
				}
				if e.extra {
					extra++
				} else {
					requests++
				}
			}
			// Each host holds at least one token, so many hosts may exceed a small
			// allowance; the documented limit allows several per host.
			allowed := limits.Ratio*float64(requests) + max(float64(limits.ExtraPerWindow), float64(hosts))
			require.LessOrEqual(t, float64(extra), allowed+1e-9, "from event "+strconv.Itoa(i))
		}
	})
}

// endlessHandler sends a signed answer of unknown length until the connection is closed.
func endlessHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Stamp", "endless")
	block := make([]byte, 64<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// TestEndlessAnswer guards against a server that sends bytes without end: its request
// would take the host's memory and end with its time limit, and the server would get
// further requests.
func TestEndlessAnswer(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(2))
	r := env.relayer
	scope := tally.NewTestScope("", nil)
	r.config.Scope, r.config.AnswerBytes = scope, 1<<20
	r.memory = connector.NewAllowance(8<<20, nil)
	env.servers["s1-a"].setHandler(endlessHandler)
	tooLarge := func() bool {
		c := scope.Snapshot().Counters()["answers_too_large+"]
		return c != nil && c.Value() > 0
	}
	// The other replica answers once the endless answer was too large. Before that, a fast
	// answer to a hedge would end the request while the endless one is still being read.
	answer := partHandler("s1-b")
	env.servers["s1-b"].setHandler(func(w http.ResponseWriter, r *http.Request) {
		for !tooLarge() && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		answer(w, r)
	})
	for range 30 {
		start := time.Now()
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.Zero(t, a.MissingParts)
		require.NotContains(t, a.Stamps, "endless")
		require.Less(t, time.Since(start), 400*time.Millisecond)
		a.Release()
	}
	require.True(t, tooLarge())
	require.Less(t, env.servers["s1-a"].requests.Load(), int64(15), "the server is chosen as often as the other one")
	require.Eventually(t, func() bool { return r.memory.Used() == 0 }, time.Second, time.Millisecond)
}

// TestLostReplicas replays the load of a shard that has lost two of three replicas. It
// guards against a throttle that stays open because servers that are down report no load
// and so seem to be free.
func TestLostReplicas(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b", "c"}})
	state := env.relayer.routing.Load()
	now := time.Now()
	a, b, c := state.servers["a"], state.servers["b"], state.servers["c"]
	require.False(t, env.relayer.othersCongested(now, state, a), "nothing is known of the others")
	b.down.Store(true)
	require.False(t, env.relayer.othersCongested(now, state, a), "one other can be reached")
	c.down.Store(true)
	require.True(t, env.relayer.othersCongested(now, state, a))
	c.down.Store(false)
	c.load.Store(&reportedLoad{Load: Load{Known: true, Running: 4, Waiting: 4, Slots: 4}, receivedAt: now})
	require.True(t, env.relayer.othersCongested(now, state, a), "the other one is congested")
	c.load.Store(nil)
	require.False(t, env.relayer.othersCongested(now, state, a))
	env.relayer.limits.Observe(pacer.Observation{Server: "c", Incarnation: 1, Rate: 1, At: now})
	require.True(t, env.relayer.othersCongested(now, state, a), "the other one has no room within its rate limit")
}

// TestPreferredConnection replays the load of one of many hosts: less than one request a
// second, over one connection to a server. It guards against opening a connection for
// each of them, and against keeping one to every server, which leaves no room on the
// servers after a power loss of all hosts.
func TestPreferredConnection(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b", "c"}})
	r := env.relayer
	var servers []registrar.Server
	for _, b := range env.servers {
		servers = append(servers, b.server)
	}
	r.Update(t.Context(), r.Table(), servers, position(0, 1000))
	state := r.routing.Load()
	for _, s := range state.servers {
		require.Equal(t, 1, s.pool.Limit())
		// The relayer may have opened the only connection already.
		if err := s.pool.Connect(t.Context()); !errors.Is(err, connector.ErrAtLimit) {
			require.NoError(t, err)
		}
	}
	idle := func() (names []string) {
		for name, s := range state.servers {
			if s.pool.HasIdle() {
				names = append(names, name)
			}
		}
		return names
	}
	// The relayer itself connects in the background to servers of its zone.
	require.Eventually(t, func() bool { return len(idle()) == 3 }, time.Second, time.Millisecond)
	state.closeIdle(time.Now().Add(preferredIdleTime))
	require.Len(t, idle(), 3, "connections for the first request")
	require.Equal(t, Served, env.get(t, "/x").Reason)
	now := time.Now()
	preferred := state.lastUsed(state.services["s"].ready)
	require.NotNil(t, preferred)
	state.closeIdle(now.Add(otherIdleTime / 2))
	require.Len(t, idle(), 3)
	state.closeIdle(now.Add(otherIdleTime + time.Second))
	require.Equal(t, []string{preferred.Name}, idle())
	state.closeIdle(now.Add(preferredIdleTime + time.Second))
	require.Empty(t, idle())
}

// BenchmarkFanout measures the processor time of a fan-out over 36 shards, the width on
// which small hosts spend most of their processor time.
func BenchmarkFanout(b *testing.B) {
	const width, replicas = 36, 3
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveParts(c)
		}
	}()
	route := router.Route{Name: "all", Host: "h", Prefix: "/", Kind: router.Safe, Timeout: time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, TopK: 20, MinCoverage: 0.95}
	var services []router.Service
	var servers []registrar.Server
	for i := range width {
		name := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, name)
		services = append(services, router.Service{Name: name, ConnectionLimit: 100})
		for j := range replicas {
			servers = append(servers, registrar.Server{Name: fmt.Sprintf("%s-%d", name, j), Service: name, Zone: "z",
				Address: l.Addr().(*net.TCPAddr).AddrPort(), Slots: 4, Incarnation: 1, Sequence: 1})
		}
	}
	table, err := router.New(1, []router.Route{route}, services, router.Limits{})
	require.NoError(b, err)
	r := New(Config{Zone: "z", Codec: testCodec{}, Budget: Budget{Ratio: 0.2, ExtraPerWindow: 100, Window: 10 * time.Second}, Log: log.New(io.Discard),
		Scope: tally.NoopScope})
	r.Update(b.Context(), table, servers, position(0, 1))
	b.ReportAllocs()
	for b.Loop() {
		a := r.Do(b.Context(), Request{ID: "1", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", HostHeader: "h",
			Header: http.Header{}, Received: time.Now()})
		require.Equal(b, Served, a.Reason)
	}
}

// serveParts answers every request on a connection with the same part.
func serveParts(c net.Conn) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 16\r\n\r\n................"
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		// A request is sent in one write and fits into the buffer.
		if _, err := c.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}
