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
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/router"
)

// codec is a protocol of the test.
type codec struct{}

func (codec) Encode(h http.Header, id string, left time.Duration, server string) {
	h.Set("Id", id)
	h.Set("Left", left.String())
	h.Set("Server", server)
}

func (codec) ID(h http.Header) string { return h.Get("Id") }

func (c codec) Decode(status int, h http.Header) Note {
	return Note{ID: c.ID(h), Stamp: h.Get("Stamp"), Refused: h.Get("Refused") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

// backend is a fake server; serve may be changed between requests.
type backend struct {
	server registrar.Server
	count  atomic.Int64
	serve  atomic.Pointer[http.HandlerFunc]
}

func (b *backend) set(h http.HandlerFunc) { b.serve.Store(&h) }

func newBackend(t *testing.T, service, name string) *backend {
	b := &backend{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.count.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		if h := b.serve.Load(); h != nil {
			(*h)(w, r)
			return
		}
		part(name)(w, r)
	}))
	t.Cleanup(s.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	b.server = registrar.Server{Name: name, Service: service, Address: address, Zone: "z", Slots: 4, Incarnation: 1, Sequence: 1}
	return b
}

// part answers with one record that starts with the name.
func part(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "stamp-"+name)
		_, _ = io.WriteString(w, (name + strings.Repeat(".", 16))[:16])
	}
}

func slow(d time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// world is a relayer with fake servers.
type world struct {
	relayer  *Relayer
	backends map[string]*backend
}

func newWorld(t *testing.T, routes []router.Route, names map[string][]string) *world {
	w := &world{backends: map[string]*backend{}}
	w.relayer = New(Config{
		Zone: "z", Codec: codec{}, Budget: Budget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, Margin: 10 * time.Millisecond,
		Log: log.New(io.Discard), Scope: tally.NoopScope,
	})
	var services []router.Service
	var servers []registrar.Server
	for service, list := range names {
		services = append(services, router.Service{Name: service, Connections: 100})
		for _, name := range list {
			b := newBackend(t, service, name)
			w.backends[name] = b
			servers = append(servers, b.server)
		}
	}
	table, err := router.New(1, routes, services, router.Limits{})
	require.NoError(t, err)
	w.relayer.Update(t.Context(), table, servers, 1)
	return w
}

func (w *world) do(t *testing.T, path string) Answer {
	return w.relayer.Do(t.Context(), Request{
		ID: "id-" + t.Name(), Method: http.MethodGet, Target: path, Path: path, Host: "h", HostHeader: "h",
		Header: http.Header{}, Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	})
}

func single(kind router.Kind) router.Route {
	return router.Route{Name: "one", Host: "h", Prefix: "/", Kind: kind, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond,
		Attempts: 2, Targets: []router.Target{{Service: "s", Weight: 1}}}
}

func fanout(coverage float64) router.Route {
	return router.Route{Name: "all", Host: "h", Prefix: "/", Kind: router.Safe, Timeout: time.Second, Objective: 200 * time.Millisecond,
		Attempts: 2, Shards: []string{"s1", "s2", "s3", "s4"}, Top: 3, Coverage: coverage}
}

func shards(replicas int) map[string][]string {
	m := map[string][]string{}
	for i := range 4 {
		service := fmt.Sprintf("s%d", i+1)
		for j := range replicas {
			m[service] = append(m[service], fmt.Sprintf("%s-%c", service, 'a'+j))
		}
	}
	return m
}

// TestUnsafeOnce guards against an unsafe request that is sent again after a
// server may have run it.
func TestUnsafeOnce(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	for _, b := range w.backends {
		b.set(crash)
	}
	a := w.do(t, "/x")
	require.Equal(t, Broken, a.Reason)
	require.False(t, a.Reason.NotRun())
	require.EqualValues(t, 1, w.backends["a"].count.Load()+w.backends["b"].count.Load())
}

// TestUnsafeRefused guards against giving up an unsafe request that a server
// has proved not to have run.
func TestUnsafeRefused(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	w.backends["a"].set(refuse)
	for range 3 {
		a := w.do(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.Contains(t, string(a.Body), "b")
	}
	w.backends["b"].set(refuse)
	a := w.do(t, "/x")
	require.Equal(t, Shed, a.Reason)
	require.True(t, a.Reason.NotRun())
	require.Positive(t, a.Retry)
}

// TestSafeRetry guards against a failure of one server that reaches the client.
func TestSafeRetry(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	w.backends["a"].set(crash)
	for range 3 {
		require.Equal(t, Served, w.do(t, "/x").Reason)
	}
}

// TestFailurePassedOn guards against a failure that bears a server's signature
// and another status than the server gave.
func TestFailurePassedOn(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Safe)}, map[string][]string{"s": {"a"}})
	w.backends["a"].set(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "x")
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	a := w.do(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, http.StatusGatewayTimeout, a.Status)
}

// TestMisdirected guards against a server that keeps getting requests although
// another one has its address.
func TestMisdirected(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	w.backends["a"].set(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	for range 10 {
		require.Equal(t, Served, w.do(t, "/x").Reason)
	}
	require.LessOrEqual(t, w.backends["a"].count.Load(), int64(1))
}

// TestComplete guards against parts that are lost or merged in the wrong order.
func TestComplete(t *testing.T) {
	w := newWorld(t, []router.Route{fanout(0.75)}, shards(1))
	a := w.do(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Zero(t, a.Missing)
	require.Len(t, a.Stamps, 4)
	require.Equal(t, "s4-a............s3-a............s2-a............", string(a.Body))
}

// TestPartial guards against an answer that waits for one straggler beyond its
// objective, and against a false count of missing shards.
func TestPartial(t *testing.T) {
	w := newWorld(t, []router.Route{fanout(0.75)}, shards(1))
	w.backends["s2-a"].set(slow(800*time.Millisecond, part("s2-a")))
	start := time.Now()
	a := w.do(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, 1, a.Missing)
	require.Len(t, a.Stamps, 3)
	require.NotContains(t, a.Stamps, "stamp-s2-a")
	require.Less(t, time.Since(start), 400*time.Millisecond)
}

// TestTooFewParts guards against an answer with less coverage than the route
// asks for.
func TestTooFewParts(t *testing.T) {
	w := newWorld(t, []router.Route{fanout(1)}, shards(1))
	w.backends["s2-a"].set(crash)
	a := w.do(t, "/x")
	require.Equal(t, Broken, a.Reason)
}

// TestFailureIsNoPart guards against a failure with a signature that becomes a
// part.
func TestFailureIsNoPart(t *testing.T) {
	w := newWorld(t, []router.Route{fanout(0.75)}, shards(1))
	w.backends["s2-a"].set(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "bad")
		w.WriteHeader(http.StatusInternalServerError)
	})
	a := w.do(t, "/x")
	require.Equal(t, Served, a.Reason)
	require.Equal(t, 1, a.Missing)
	require.NotContains(t, a.Stamps, "bad")
}

// TestHedge guards against a pausing server that makes every request late while
// another replica is free.
func TestHedge(t *testing.T) {
	w := newWorld(t, []router.Route{fanout(1)}, shards(2))
	w.backends["s1-a"].set(slow(time.Second, part("s1-a")))
	w.backends["s1-b"].set(slow(5*time.Millisecond, part("s1-b")))
	late := 0
	for range 10 {
		start := time.Now()
		a := w.do(t, "/x")
		require.Equal(t, Served, a.Reason)
		if time.Since(start) > 200*time.Millisecond {
			late++
		}
	}
	require.Zero(t, late)
}

// TestBusyConnection guards against a request that waits for the only connection
// to a near server while another replica is idle. It answers a large fleet, whose
// hosts share out the connections of each server.
func TestBusyConnection(t *testing.T) {
	const (
		held = 300 * time.Millisecond
		// usual is above the time of opening a connection, which counts too.
		usual = 20 * time.Millisecond
	)
	w := newWorld(t, []router.Route{single(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	near, far := w.backends["a"].server, w.backends["b"].server
	far.Zone = "y"
	far.Incarnation++
	// With as many hosts as connections, each has one.
	w.relayer.Update(t.Context(), w.relayer.Table(), []registrar.Server{near, far}, 100)
	w.backends["a"].set(slow(usual, part("a")))
	require.Contains(t, string(w.do(t, "/x").Body), "a", "the near server is preferred")
	begun := make(chan struct{})
	w.backends["a"].set(func(rw http.ResponseWriter, r *http.Request) {
		close(begun)
		slow(held, part("a"))(rw, r)
	})
	done := make(chan Answer)
	go func() { done <- w.do(t, "/x") }()
	<-begun
	start := time.Now()
	require.Contains(t, string(w.do(t, "/x").Body), "b")
	require.Less(t, time.Since(start), held/2)
	require.Equal(t, Served, (<-done).Reason)
}

// TestFewConnections guards against a host that opens connections to all replicas
// although one can serve all of its requests: servers take about as many connections
// as a large fleet has hosts.
func TestFewConnections(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Unsafe)}, map[string][]string{"s": {"a", "b", "c"}})
	var servers []registrar.Server
	for _, b := range w.backends {
		// Connections to servers in the own zone are opened beforehand.
		s := b.server
		s.Zone, s.Incarnation = "y", 2
		servers = append(servers, s)
	}
	w.relayer.Update(t.Context(), w.relayer.Table(), servers, 1)
	for range 30 {
		require.Equal(t, Served, w.do(t, "/x").Reason)
	}
	used := 0
	for _, b := range w.backends {
		if b.count.Load() > 0 {
			used++
		}
	}
	require.Equal(t, 1, used)
}

// TestWholeBudget guards against a host that has only half of its share for the
// first fault, although it has been up for longer than the window and sent nothing
// extra.
func TestWholeBudget(t *testing.T) {
	r := New(Config{Budget: Budget{Ratio: 0.2, Extra: 176, Window: 10 * time.Second}})
	r.hosts = 20
	early := r.budget(r.started.Add(time.Second), "s")
	require.False(t, early.take(r.started, r.burst()/2))
	later := r.budget(r.started.Add(11*time.Second), "t")
	require.True(t, later.take(r.started, r.burst()-1))
}

// TestDown guards against requests that find out whether a server is back.
func TestDown(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Safe)}, map[string][]string{"s": {"a"}})
	gone := w.backends["a"].server
	gone.Address = netip.MustParseAddrPort("127.0.0.1:1")
	table := w.relayer.Table()
	w.relayer.Update(t.Context(), table, []registrar.Server{gone}, 1)
	require.Equal(t, NoServer, w.do(t, "/x").Reason.orShed())
	s := w.relayer.fleet.Load().servers["a"]
	require.True(t, s.down.Load())
	start := time.Now()
	require.Equal(t, NoServer, w.do(t, "/x").Reason, "nothing is sent to a server that is down")
	require.Less(t, time.Since(start), 50*time.Millisecond)
	w.relayer.Update(t.Context(), table, []registrar.Server{w.backends["a"].server}, 1)
	require.Equal(t, Served, w.do(t, "/x").Reason)
}

// orShed returns the same value for the two ways to say that no server could be
// sent the request.
func (r Reason) orShed() Reason {
	if r == Shed {
		return NoServer
	}
	return r
}

// TestNotReady guards against a 404 from a host that knows no table yet.
func TestNotReady(t *testing.T) {
	r := New(Config{Codec: codec{}, Log: log.New(io.Discard), Scope: tally.NoopScope})
	require.Equal(t, NotReady, r.Do(t.Context(), Request{Received: time.Now()}).Reason)
}

// TestRefusalsAreReported guards against refusals that leave no trace because no
// route was chosen yet.
func TestRefusalsAreReported(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	r := New(Config{Codec: codec{}, Log: log.New(&lines), Scope: scope})
	r.Do(t.Context(), Request{ID: "early", Received: time.Now()})
	table, err := router.New(7, []router.Route{single(router.Safe)}, []router.Service{{Name: "s"}}, router.Limits{})
	require.NoError(t, err)
	r.Update(t.Context(), table, nil, 1)
	r.Do(t.Context(), Request{ID: "stray", Host: "other", Path: "/x", Received: time.Now()})
	r.Do(t.Context(), Request{ID: "tardy", Host: "h", Path: "/x", Received: time.Now(), Deadline: time.Now()})
	for id, reason := range map[string]Reason{"early": NotReady, "stray": NoRoute, "tardy": Expired} {
		require.Regexp(t, "request="+id+" reason=\"?"+reason.String(), lines.String())
		require.EqualValues(t, 1, scope.Snapshot().Counters()["requests+reason="+reason.String()].Value())
	}
}

// TestClientLeaves guards against work for a client that has gone.
func TestClientLeaves(t *testing.T) {
	w := newWorld(t, []router.Route{single(router.Safe)}, map[string][]string{"s": {"a"}})
	ended := make(chan struct{})
	begun := make(chan struct{})
	var once sync.Once
	w.backends["a"].set(func(_ http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(begun) })
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	a := w.relayer.Do(ctx, Request{ID: "1", Method: "GET", Target: "/", Path: "/", Host: "h", Header: http.Header{}, Received: time.Now()})
	require.Equal(t, Left, a.Reason)
	<-ended
}

// TestBudget guards against extra sends beyond what all hosts together are
// allowed in any window, whatever the hosts ask for and while they join.
func TestBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := Budget{Ratio: 0.2, Extra: rapid.IntRange(20, 200).Draw(t, "extra"), Window: window}
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		var fleet []*Relayer
		for range hosts {
			r := New(Config{Budget: limits})
			r.hosts = hosts
			r.started = time.Unix(1000, 0).Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
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
			r := fleet[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			b := r.budget(now, "s")
			if rapid.Bool().Draw(t, "request") {
				b.Earn()
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
			// Hosts hold at least one token each, so that very many hosts may
			// exceed a small allowance; the pages allow several for each host.
			allowed := limits.Ratio*float64(requests) + max(float64(limits.Extra), float64(hosts))
			require.LessOrEqual(t, float64(extra), allowed+1e-9, "from event "+strconv.Itoa(i))
		}
	})
}

// BenchmarkFanout measures the processor time of a fan-out over 36 shards, the
// width at which small hosts spend most of it.
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
		Attempts: 2, Top: 20, Coverage: 0.95}
	var services []router.Service
	var servers []registrar.Server
	for i := range width {
		name := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, name)
		services = append(services, router.Service{Name: name, Connections: 100})
		for j := range replicas {
			servers = append(servers, registrar.Server{Name: fmt.Sprintf("%s-%d", name, j), Service: name, Zone: "z",
				Address: l.Addr().(*net.TCPAddr).AddrPort(), Slots: 4, Incarnation: 1, Sequence: 1})
		}
	}
	table, err := router.New(1, []router.Route{route}, services, router.Limits{})
	require.NoError(b, err)
	r := New(Config{Zone: "z", Codec: codec{}, Budget: Budget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, Log: log.New(io.Discard),
		Scope: tally.NoopScope})
	r.Update(b.Context(), table, servers, 1)
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
		// A request arrives in one piece.
		if _, err := c.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}
