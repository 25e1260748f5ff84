package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/acceptor"
)

const (
	// headerTimeout bounds the time to read the headers of a request unless the routing
	// table sets another limit.
	headerTimeout = 10 * time.Second
	// clientIdleTimeout is how long a client's connection may stay idle unless the
	// routing table sets another limit. It is longer than headerTimeout, by which
	// SetReadDeadline tells the two apart.
	clientIdleTimeout = 2 * time.Minute
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// newConnGrace is how long a connection without a request is left open during a
	// planned stop, because the first request may be on its way.
	newConnGrace = 500 * time.Millisecond
	// expiryInterval is the time between two checks for idle connections during a
	// planned stop.
	expiryInterval = 10 * time.Millisecond
)

// requestTimeout is sent to a client whose headers do not arrive in time.
const requestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connPhase is what a client's connection is being read for.
type connPhase uint32

const (
	// idlePhase lasts until the first byte of a request is read.
	idlePhase connPhase = iota
	// headerPhase lasts until the headers are complete.
	headerPhase
	// requestPhase lasts until the response is complete.
	requestPhase
)

// clientListener accepts the connections of clients and applies the timeouts of the
// routing table in force to them. An http.Server cannot change its own while it runs.
type clientListener struct {
	net.Listener
	// timeouts returns the limits for the headers of a request and for an idle
	// connection; 0 stands for the default.
	timeouts func() (header, idle time.Duration)

	// mu guards conns.
	mu sync.Mutex
	// conns holds the open connections.
	conns map[*clientConn]struct{}
}

// newClientListener returns a listener on top of l.
func newClientListener(l net.Listener, timeouts func() (header, idle time.Duration)) *clientListener {
	return &clientListener{Listener: l, timeouts: timeouts, conns: map[*clientConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// expireIdle ends the wait for the next request on idle connections except new ones,
// and returns how many are idle or being read from. A request of which a byte has been
// read is still served.
func (l *clientListener) expireIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		phase := connPhase(c.phase.Load())
		if phase == requestPhase {
			continue
		}
		n++
		if phase == idlePhase && (c.used.Load() || now.Sub(c.acceptedAt) >= newConnGrace) {
			// An error means that the connection is closed already.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return n
}

// closeIdle closes the connections on which no request is being read or served, and
// returns when none is left on which one may still be read, or when ctx ends. Unlike the Shutdown of an http.Server, it never closes one
// from which a request has been read but not yet parsed.
func (l *clientListener) closeIdle(ctx context.Context) {
	for l.expireIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(expiryInterval):
		}
	}
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	listener *clientListener
	// acceptedAt is when the connection was accepted, and used whether a request has
	// been read from it.
	acceptedAt time.Time
	used       atomic.Bool
	// phase is the connPhase.
	phase atomic.Uint32
	// requests is the number of requests whose transit time was computed.
	requests atomic.Int64
}

// Read implements net.Conn. It answers headers that are not complete in time.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.phase.CompareAndSwap(uint32(idlePhase), uint32(headerPhase))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.phase.CompareAndSwap(uint32(headerPhase), uint32(requestPhase)) {
		// An error means that the client has disconnected.
		_, _ = io.WriteString(c.Conn, requestTimeout)
	}
	return n, err
}

// Unwrap returns the connection below.
func (c *clientConn) Unwrap() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The deadlines that the http.Server derives from
// its own timeouts are replaced by those of the routing table.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if left := t.Sub(now); !t.IsZero() && left > 0 {
		header, idle := c.listener.timeouts()
		switch {
		case left > headerTimeout && idle > 0:
			t = now.Add(idle)
		case left <= headerTimeout && header > 0:
			t = now.Add(header)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// stateChanged records a state of the http.Server for the connection.
func stateChanged(conn net.Conn, s http.ConnState) {
	c, ok := asClientConn(conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		phase := idlePhase
		if limited, ok := conn.(*acceptor.Conn); ok && limited.Buffered() {
			// A part of the next request has been read already.
			phase = headerPhase
		}
		c.phase.Store(uint32(phase))
	case http.StateActive:
		c.used.Store(true)
		c.phase.Store(uint32(requestPhase))
	}
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// withClientConn adds the client's connection to the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	c, _ := asClientConn(conn)
	return context.WithValue(ctx, clientConnKey{}, c)
}

// connOf returns the client's connection of a request, or nil.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}
