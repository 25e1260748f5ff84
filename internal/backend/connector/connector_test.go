package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience bounds every wait for something that must happen.
const patience = 5 * time.Second

// listen serves each connection with serve, which gets the number of the
// connection, and returns the address.
func listen(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// answer writes a whole answer with the id of its request.
func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// take reads one request and returns its id, or false at the end.
func take(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("Id"), true
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a?b", Host: "h", Header: http.Header{"Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return p.Do(ctx, request(id))
}

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	var conns atomic.Int64
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for id, ok := take(r); ok; id, ok = take(r) {
			answer(c, id, "body "+id)
		}
	}), 2)
	for i := range 5 {
		id := fmt.Sprint(i)
		res, err := do(t, p, id)
		require.NoError(t, err)
		require.Equal(t, "body "+id, string(res.Body))
	}
	require.EqualValues(t, 1, conns.Load())
}

// TestRest guards against connections that are kept for long although the server's
// are scarce.
func TestRest(t *testing.T) {
	ended := make(chan struct{})
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := take(r); ok; id, ok = take(r) {
			answer(c, id, id)
		}
		close(ended)
	}), 1)
	p.SetIdleTimeout(time.Second)
	_, err := do(t, p, "1")
	require.NoError(t, err)
	p.CloseExpired(time.Now())
	require.Equal(t, 1, p.open)
	p.CloseExpired(time.Now().Add(2 * time.Second))
	require.Zero(t, p.open)
	<-ended
}

// TestFrozenBeforeWrite guards against a request that is sent after its deadline by a
// process that was frozen between admission and sending.
func TestFrozenBeforeWrite(t *testing.T) {
	var requests atomic.Int64
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := take(r); ok; id, ok = take(r) {
			requests.Add(1)
			answer(c, id, id)
		}
	}), 1)
	const limit = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	r := request("1")
	r.BeforeSend = func(http.Header) { time.Sleep(2 * limit) }
	_, err := p.Do(ctx, r)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = do(t, p, "2")
	require.NoError(t, err)
	require.EqualValues(t, 1, requests.Load())
}

// TestExtraAnswerWhileIdle guards against an answer that arrives on an idle
// connection and is taken for the answer of the next request.
func TestExtraAnswerWhileIdle(t *testing.T) {
	sent := make(chan struct{}, 1)
	p := New(listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id, ok := take(r); ok; id, ok = take(r) {
			answer(c, id, id)
			if n == 0 {
				time.Sleep(20 * time.Millisecond)
				answer(c, id, "again")
				sent <- struct{}{}
			}
		}
	}), 1)
	_, err := do(t, p, "1")
	require.NoError(t, err)
	<-sent
	time.Sleep(20 * time.Millisecond)
	res, err := do(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "2", string(res.Body))
}

// TestExtraAnswerFirst guards against giving up a request whose answer follows
// a late answer of an earlier one, and against keeping such a connection.
func TestExtraAnswerFirst(t *testing.T) {
	var conns atomic.Int64
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for id, ok := take(r); ok; id, ok = take(r) {
			answer(c, "old", "stranger")
			answer(c, id, id)
		}
	}), 1)
	for _, id := range []string{"1", "2"} {
		res, err := do(t, p, id)
		require.NoError(t, err)
		require.Equal(t, id, string(res.Body))
	}
	require.EqualValues(t, 2, conns.Load())
}

// TestBroken guards against incomplete answers that look complete. Each case
// writes some bytes and ends the connection, by a reset if reset is set.
func TestBroken(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reset      bool
		whole      string
	}{
		{name: "no answer", text: ""},
		{name: "truncated head", text: "HTTP/1.1 200 OK\r\nId: 1\r\n"},
		{name: "truncated body", text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "truncated chunks", text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "no length, reset", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", reset: true},
		{name: "no answer in the protocol", text: "hello\r\n\r\n"},
		{name: "no length, closed", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", whole: "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(listen(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := take(r); !ok {
					return
				}
				_, _ = io.WriteString(conn, c.text)
				time.Sleep(20 * time.Millisecond)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}), 1)
			res, err := do(t, p, "1")
			if c.whole != "" {
				require.NoError(t, err)
				require.Equal(t, c.whole, string(res.Body))
				return
			}
			require.ErrorIs(t, err, ErrBroken)
			require.NotErrorIs(t, err, ErrUnsent)
		})
	}
}

// TestStale guards against an idle connection that the server has closed: the
// next request goes out on a new one.
func TestStale(t *testing.T) {
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, ok := take(r); ok {
			answer(c, id, id)
		}
	}), 1)
	for _, id := range []string{"1", "2", "3"} {
		_, err := do(t, p, id)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestUnsent guards against a refused connection that counts as a request that
// may have run.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	_, err = do(t, New(addr, 1), "1")
	require.ErrorIs(t, err, ErrUnsent)
	p := New(addr, 1)
	p.Close()
	_, err = do(t, p, "1")
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrClosed)
}

// TestCancel guards against a server that goes on working for a client that has
// left: the connection ends with the request.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	begun := make(chan struct{})
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, ok := take(r); !ok {
			return
		}
		close(begun)
		_, _ = r.ReadByte()
		close(ended)
	}), 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := p.Do(ctx, request("1"))
	require.ErrorIs(t, err, ErrBroken)
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the connection is still open")
	}
}

// TestLimit guards against more connections than the server takes, and against
// a time left that is computed before the wait for a connection.
func TestLimit(t *testing.T) {
	const limit, requests = 2, 10
	var open, most atomic.Int64
	p := New(listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		for id, ok := take(r); ok; id, ok = take(r) {
			time.Sleep(10 * time.Millisecond)
			answer(c, id, id)
		}
	}), limit)
	var group sync.WaitGroup
	var waited atomic.Int64
	for i := range requests {
		group.Go(func() {
			q := request(fmt.Sprint(i))
			start := time.Now()
			q.BeforeSend = func(http.Header) {
				if time.Since(start) >= 10*time.Millisecond {
					waited.Add(1)
				}
			}
			res, err := p.Do(t.Context(), q)
			if err != nil || string(res.Body) != fmt.Sprint(i) {
				t.Errorf("request %d: %v", i, err)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, most.Load(), int64(limit))
	require.GreaterOrEqual(t, waited.Load(), int64(requests-2*limit))
}

// TestEarlyAnswer guards against a connection that is kept although the server
// answered before it had read a long body: the rest of the body would be read
// as the next request.
func TestEarlyAnswer(t *testing.T) {
	var conns atomic.Int64
	p := New(listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		if n > 0 {
			for id, ok := take(r); ok; id, ok = take(r) {
				answer(c, id, id)
			}
			return
		}
		if _, err := http.ReadRequest(r); err == nil {
			answer(c, "1", "early")
			time.Sleep(patience)
		}
	}), 1)
	q := request("1")
	q.Method = http.MethodPost
	q.Body = []byte(strings.Repeat("x", 16<<20))
	res, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, "early", string(res.Body))
	res, err = do(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "2", string(res.Body))
	require.EqualValues(t, 2, conns.Load())
}

// TestKeepAlive guards against a connection that is used after the time for
// which the server keeps it.
func TestKeepAlive(t *testing.T) {
	require.Equal(t, 4500*time.Millisecond, keepFor(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
	require.Equal(t, -keepMargin, keepFor(http.Header{"Keep-Alive": {"timeout=0"}}))
	require.Equal(t, keepDefault, keepFor(http.Header{}))
	require.Equal(t, keepDefault, keepFor(http.Header{"Keep-Alive": {"timeout=soon"}}))
}
