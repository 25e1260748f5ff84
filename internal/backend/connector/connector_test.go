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
	"golang.org/x/sys/unix"
)

// testTimeout bounds every wait for an expected event.
const testTimeout = 5 * time.Second

// serveConns starts a server that calls serve for each connection, numbered from
// 0, and returns its address.
func serveConns(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) netip.AddrPort {
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

// writeResponse writes a complete response with the id of its request.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequestID reads one request and returns its id, or false if there is none.
func readRequestID(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("Id"), true
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a?b", Host: "h", Header: http.Header{"Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func doRequest(t *testing.T, p *Pool, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return p.Do(ctx, newRequest(id))
}

// TestReuse guards against opening a new connection for each request.
func TestReuse(t *testing.T) {
	var conns atomic.Int64
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, "body "+id)
		}
	}), 2)
	for i := range 5 {
		id := fmt.Sprint(i)
		res, err := doRequest(t, p, id)
		require.NoError(t, err)
		require.Equal(t, "body "+id, string(res.Body))
	}
	require.EqualValues(t, 1, conns.Load())
}

// TestIdleTimeout guards against connections that are kept idle for long although
// the server accepts only a few.
func TestIdleTimeout(t *testing.T) {
	ended := make(chan struct{})
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, id)
		}
		close(ended)
	}), 1)
	p.SetIdleTimeout(time.Second)
	_, err := doRequest(t, p, "1")
	require.NoError(t, err)
	p.CloseExpired(time.Now())
	require.Equal(t, 1, p.openConns)
	p.CloseExpired(time.Now().Add(2 * time.Second))
	require.Zero(t, p.openConns)
	<-ended
}

// TestDeadlinePassedBeforeWrite guards against a request that is sent after its
// deadline by a process that was paused between admission and sending.
func TestDeadlinePassedBeforeWrite(t *testing.T) {
	var requests atomic.Int64
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			requests.Add(1)
			writeResponse(c, id, id)
		}
	}), 1)
	const limit = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	r := newRequest("1")
	r.BeforeSend = func(http.Header) { time.Sleep(2 * limit) }
	_, err := p.Do(ctx, r)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = doRequest(t, p, "2")
	require.NoError(t, err)
	require.EqualValues(t, 1, requests.Load())
}

// TestResponseWhileIdle guards against a response that arrives on an idle
// connection and is taken for the response to the next request.
func TestResponseWhileIdle(t *testing.T) {
	sent := make(chan struct{}, 1)
	p := New(serveConns(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, id)
			if n == 0 {
				time.Sleep(20 * time.Millisecond)
				writeResponse(c, id, "again")
				sent <- struct{}{}
			}
		}
	}), 1)
	_, err := doRequest(t, p, "1")
	require.NoError(t, err)
	<-sent
	time.Sleep(20 * time.Millisecond)
	res, err := doRequest(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "2", string(res.Body))
}

// TestEarlierResponseFirst guards against failing a request whose response follows
// a late response to an earlier one, and against reusing such a connection.
func TestEarlierResponseFirst(t *testing.T) {
	var conns atomic.Int64
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, "old", "earlier")
			writeResponse(c, id, id)
		}
	}), 1)
	for _, id := range []string{"1", "2"} {
		res, err := doRequest(t, p, id)
		require.NoError(t, err)
		require.Equal(t, id, string(res.Body))
	}
	require.EqualValues(t, 2, conns.Load())
}

// TestIncompleteResponse guards against truncated responses that are accepted as
// complete. Each case writes text and closes the connection, with a TCP reset if
// reset is set.
func TestIncompleteResponse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reset      bool
		wantBody   string
	}{
		{name: "no response", text: ""},
		{name: "truncated headers", text: "HTTP/1.1 200 OK\r\nId: 1\r\n"},
		{name: "truncated body", text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "truncated chunks", text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "no length, reset", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", reset: true},
		{name: "not HTTP", text: "hello\r\n\r\n"},
		{name: "no length, closed", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", wantBody: "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(serveConns(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := readRequestID(r); !ok {
					return
				}
				_, _ = io.WriteString(conn, c.text)
				time.Sleep(20 * time.Millisecond)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}), 1)
			res, err := doRequest(t, p, "1")
			if c.wantBody != "" {
				require.NoError(t, err)
				require.Equal(t, c.wantBody, string(res.Body))
				return
			}
			require.ErrorIs(t, err, ErrBroken)
			require.NotErrorIs(t, err, ErrUnsent)
		})
	}
}

// TestIdleConnClosedByServer guards against sending a request on an idle connection
// that the server has closed; a new one must be opened instead.
func TestIdleConnClosedByServer(t *testing.T) {
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, ok := readRequestID(r); ok {
			writeResponse(c, id, id)
		}
	}), 1)
	for _, id := range []string{"1", "2", "3"} {
		_, err := doRequest(t, p, id)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestUnsent guards against reporting a request as possibly run although the
// connection was refused or the pool is closed.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	_, err = doRequest(t, New(addr, 1), "1")
	require.ErrorIs(t, err, ErrUnsent)
	p := New(addr, 1)
	p.Close()
	_, err = doRequest(t, p, "1")
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrClosed)
}

// TestCancel guards against a server that keeps working on a cancelled request:
// cancelling must close the connection.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	begun := make(chan struct{})
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, ok := readRequestID(r); !ok {
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
	_, err := p.Do(ctx, newRequest("1"))
	require.ErrorIs(t, err, ErrBroken)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the connection is still open")
	}
}

// TestLimit guards against more connections than the limit, and against a
// remaining time that is computed before the wait for a connection.
func TestLimit(t *testing.T) {
	const limit, requests = 2, 10
	var open, most atomic.Int64
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			time.Sleep(10 * time.Millisecond)
			writeResponse(c, id, id)
		}
	}), limit)
	var group sync.WaitGroup
	var waited atomic.Int64
	for i := range requests {
		group.Go(func() {
			q := newRequest(fmt.Sprint(i))
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

// TestEarlyResponse guards against a connection that is kept although the server
// responded before it had read a long body: the rest of the body would be read as
// the next request.
func TestEarlyResponse(t *testing.T) {
	var conns atomic.Int64
	p := New(serveConns(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		if n > 0 {
			for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
				writeResponse(c, id, id)
			}
			return
		}
		if _, err := http.ReadRequest(r); err == nil {
			writeResponse(c, "1", "early")
			time.Sleep(testTimeout)
		}
	}), 1)
	q := newRequest("1")
	q.Method = http.MethodPost
	q.Body = []byte(strings.Repeat("x", 16<<20))
	res, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, "early", string(res.Body))
	res, err = doRequest(t, p, "2")
	require.NoError(t, err)
	require.Equal(t, "2", string(res.Body))
	require.EqualValues(t, 2, conns.Load())
}

// TestKeepAlive guards against using a connection after the idle timeout that the
// server announced.
func TestKeepAlive(t *testing.T) {
	require.Equal(t, 4500*time.Millisecond, idleTimeoutFrom(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
	require.Equal(t, -idleTimeoutMargin, idleTimeoutFrom(http.Header{"Keep-Alive": {"timeout=0"}}))
	require.Equal(t, defaultIdleTimeout, idleTimeoutFrom(http.Header{}))
	require.Equal(t, defaultIdleTimeout, idleTimeoutFrom(http.Header{"Keep-Alive": {"timeout=soon"}}))
}

// TestExclusive guards against a second copy of a response that arrives late, while the
// connection is in use again, and is taken for the response to the next request: without
// an id the two cannot be told apart.
func TestExclusive(t *testing.T) {
	p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n > 0 {
				writeResponse(c, "", "again")
			}
			writeResponse(c, "", q.URL.Path)
		}
	}), 1)
	for _, path := range []string{"/1", "/2", "/3"} {
		q := newRequest("")
		q.Target, q.Exclusive = path, true
		res, err := p.Do(t.Context(), q)
		require.NoError(t, err)
		require.Equal(t, path, string(res.Body))
	}
	// A connection that carried another request is not taken either.
	_, err := p.Do(t.Context(), newRequest(""))
	require.NoError(t, err)
	q := newRequest("")
	q.Target, q.Exclusive = "/4", true
	res, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, "/4", string(res.Body))
}

// TestSocketOptions guards against connections that hang for longer than this package
// states, because a library sets other timeouts. TCP_USER_TIMEOUT also decides when
// keep-alive probes give up.
func TestSocketOptions(t *testing.T) {
	address := serveConns(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	c, err := dialTCP(t.Context(), address)
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: int(unackedTimeout.Milliseconds()),
		unix.TCP_KEEPIDLE:     int(keepAliveIdle.Seconds()),
		unix.TCP_KEEPINTVL:    int(keepAliveInterval.Seconds()),
		unix.TCP_KEEPCNT:      keepAliveCount,
	} {
		var value int
		var failure error
		require.NoError(t, raw.Control(func(fd uintptr) { value, failure = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		require.NoError(t, failure)
		require.Equal(t, want, value, "option %d", option)
	}
}
