package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/search/caller"
	"gentianpond/test/fakes/searcher"
)

// startFake starts a fake backend server that serves one shard.
func startFake(t *testing.T, b searcher.Behavior) *searcher.Server {
	t.Helper()
	f, err := searcher.Start(t.Context(), searcher.Settings{
		Name: "s1", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 4, Connections: 10, Behavior: b,
		Served:  []searcher.ServedSnapshot{{Archive: "albums", Snapshot: "1", Count: 1, Shards: []uint32{0}}},
		OnCrash: func() {},
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f
}

func message(f *searcher.Server, attempt int) caller.Message {
	return caller.Message{
		Query: "q", Attempt: strconv.Itoa(attempt), Incarnation: f.Incarnation(), Archive: "albums", Snapshot: "1",
		Deadline: "1s", Body: json.RawMessage(`"invoice"`),
	}
}

// TestNoResend guards against an order that runs twice because the HTTP
// client resends it after the server closed the connection, and against a
// status that claims "not started" for an order that ran.
func TestNoResend(t *testing.T) {
	for _, point := range []string{"before", "running", "after", "answer"} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%t", point, reused), func(t *testing.T) {
				f := startFake(t, searcher.Behavior{})
				c := caller.New(f.Addr(), 1)
				defer c.CloseIdle()
				if reused {
					require.Equal(t, caller.Answered, c.Call(t.Context(), caller.OrderPath, message(f, 1)).Status)
				}
				f.SetBehavior(searcher.Behavior{CloseAt: point})
				res := c.Call(t.Context(), caller.OrderPath, message(f, 2))
				require.Equal(t, caller.Broken, res.Status, "%v", res.Err)
				require.LessOrEqual(t, f.Stats().Orders["2"], 1)
			})
		}
	}
}

// closingServer is a server that answers the first request on each connection
// and then closes it without notice, as a server does that drops idle
// connections: at once for shard 1, at the next request for others.
type closingServer struct {
	mu sync.Mutex
	// received counts the requests by attempt.
	received map[string]int
}

func (cs *closingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go cs.serveConn(c)
	}
}

func (cs *closingServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var m caller.Message
		if err := json.NewDecoder(req.Body).Decode(&m); err != nil {
			return
		}
		cs.mu.Lock()
		cs.received[m.Attempt]++
		cs.mu.Unlock()
		if i == 1 {
			return
		}
		data, _ := json.Marshal(m)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
		if i == 0 && m.Shard == 1 {
			return
		}
	}
}

// TestIdleClose guards against a resend, and against a false "not started",
// when the server closes idle connections at the moment of the next request.
func TestIdleClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	cs := &closingServer{received: map[string]int{}}
	go cs.serve(l)
	c := caller.New(l.Addr().(*net.TCPAddr).AddrPort(), 1)
	defer c.CloseIdle()
	unsent := map[string]bool{}
	for i := range 400 {
		m := caller.Message{Attempt: strconv.Itoa(i), Body: json.RawMessage(`1`), Shard: uint32(i % 2)}
		if c.Call(t.Context(), caller.OrderPath, m).Status == caller.Unsent {
			unsent[m.Attempt] = true
		}
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for attempt, n := range cs.received {
		require.Equal(t, 1, n, "attempt %s", attempt)
		require.False(t, unsent[attempt], "attempt %s ran and was called unsent", attempt)
	}
}

// TestStatus guards against a status that claims more than the caller can know.
func TestStatus(t *testing.T) {
	f := startFake(t, searcher.Behavior{})
	c := caller.New(f.Addr(), 2)
	defer c.CloseIdle()
	tests := []struct {
		name     string
		behavior searcher.Behavior
		change   func(*caller.Message)
		want     caller.Status
	}{
		{"answered", searcher.Behavior{}, nil, caller.Answered},
		{"shed", searcher.Behavior{Shed: true}, nil, caller.Shed},
		{"other snapshot", searcher.Behavior{}, func(m *caller.Message) { m.Snapshot = "2" }, caller.Missing},
		{"other incarnation", searcher.Behavior{}, func(m *caller.Message) { m.Incarnation++ }, caller.Missing},
		{"slow", searcher.Behavior{Delay: time.Minute}, nil, caller.TimedOut},
		{"crossed", searcher.Behavior{RepeatAnswer: true}, nil, caller.Crossed},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.SetBehavior(tt.behavior)
			m := message(f, i)
			if tt.change != nil {
				tt.change(&m)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			require.Equal(t, tt.want, c.Call(ctx, caller.SearchPath, m).Status)
		})
	}
	f.Stop()
	gone := caller.New(f.Addr(), 1)
	require.Equal(t, caller.Unsent, gone.Call(t.Context(), caller.SearchPath, message(f, 99)).Status)
}

// TestWarm guards against a first query that waits for a new connection.
func TestWarm(t *testing.T) {
	f := startFake(t, searcher.Behavior{})
	c := caller.New(f.Addr(), 3)
	defer c.CloseIdle()
	c.Preconnect(t.Context(), 3)
	// The server counts a connection only when it accepts it, after the handshake.
	require.Eventually(t, func() bool { return f.Stats().Opened == 3 }, 5*time.Second, time.Millisecond)
	require.Equal(t, caller.Answered, c.Call(t.Context(), caller.SearchPath, message(f, 1)).Status)
	require.EqualValues(t, 3, f.Stats().Opened)
}

// TestCancelledHoldsItsSlot guards against a slot that is given back while the server
// still runs the request: busy servers need some time to notice the cancellation, and
// the next request would exceed the server's slots.
func TestCancelledHoldsItsSlot(t *testing.T) {
	var running atomic.Int64
	began := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		// The server notices the end of the connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		time.Sleep(30 * time.Millisecond)
	}))
	defer server.Close()
	c := caller.New(server.Listener.Addr().(*net.TCPAddr).AddrPort(), 1)
	defer c.CloseIdle()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	res := c.Call(ctx, caller.SearchPath, caller.Message{Query: "q", Attempt: "1"})
	require.Equal(t, caller.Cancelled, res.Status)
	require.Zero(t, running.Load())
}
