// Package caller calls one backend server over HTTP.
//
// It never sends a request twice. net/http resends a request on a reused
// connection that dies when the request can be replayed; requests here are
// POSTs with a body that can't be read again and without an idempotency
// header, over HTTP/1.1 only, which rules that out.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// maxAnswer is the largest answer in bytes that is read from a backend server.
const maxAnswer = 16 << 20

// idleTimeout is how long an unused connection is kept. It is longer than any
// pause between requests of a working day's hours, since a new connection
// costs several milliseconds.
const idleTimeout = 10 * time.Minute

// dialTimeout bounds the time for a new connection.
const dialTimeout = time.Second

// The paths under which backend servers take requests.
const (
	SearchPath = "/search"
	OrderPath  = "/order"
	livePath   = "/live"
)

// Caller holds the connections to one incarnation of one backend server.
type Caller struct {
	base      string
	transport *http.Transport
}

// New returns a caller for the server at addr that holds at most limit
// connections. It connects on the first call or on Warm.
func New(addr netip.AddrPort, limit int) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t := &http.Transport{
		Protocols:           protocols,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
	}
	return &Caller{base: "http://" + addr.String(), transport: t}
}

// Close closes the connections that no call is using.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Warm opens count connections, so that no query has to wait for one.
func (c *Caller) Warm(ctx context.Context, count int) {
	var group sync.WaitGroup
	for range count {
		group.Go(func() { c.ping(ctx) })
	}
	group.Wait()
}

func (c *Caller) ping(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+livePath, nil)
	if err != nil {
		return
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return
	}
	// The connection only returns to the pool once the body has been read.
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// Call sends m to path once and waits for the answer. The request is called
// off when ctx ends.
func (c *Caller) Call(ctx context.Context, path string, m Message) Result {
	start := time.Now()
	r := c.call(ctx, path, m)
	r.Latency = time.Since(start)
	return r
}

func (c *Caller) call(ctx context.Context, path string, m Message) Result {
	data, err := json.Marshal(m)
	if err != nil {
		return Result{Status: Unsent, Err: errors.Wrap(err, "encode request")}
	}
	var sent meter
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, c.base+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return Result{Status: Unsent, Err: errors.Wrap(err, "make request")}
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return Result{Status: sent.classify(ctx), Err: errors.Wrap(err, "call backend server")}
	}
	defer func() { _ = res.Body.Close() }()
	return read(ctx, res, m)
}

func read(ctx context.Context, res *http.Response, m Message) Result {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return Result{Status: interrupted(ctx), Err: errors.Wrap(err, "read answer")}
	}
	if len(data) > maxAnswer {
		return Result{Status: Failed, Err: errors.Errorf("answer is longer than %d bytes", maxAnswer)}
	}
	if res.Header.Get(StartedHeader) == "no" {
		return notStarted(res.StatusCode)
	}
	if res.StatusCode != http.StatusOK {
		return Result{Status: Failed, Err: errors.Errorf("backend server answered %d", res.StatusCode)}
	}
	var r reply
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{Status: Failed, Err: errors.Wrap(err, "decode answer")}
	}
	if !r.answers(m) {
		return Result{Status: Crossed, Err: errors.New("answer belongs to another request")}
	}
	return Result{Status: Answered, Body: r.Body}
}

func notStarted(code int) Result {
	err := errors.Errorf("backend server refused with %d", code)
	if code == http.StatusConflict {
		return Result{Status: Missing, Err: err}
	}
	return Result{Status: Shed, Err: err}
}

// interrupted classifies a call that ended after the request had left.
func interrupted(ctx context.Context) Status {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return Broken
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a write that fails may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// meter tells whether any byte of one request was written. RoundTrip returns
// an error only after the connection's writer has stopped, so the count is
// final by then.
type meter struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
}

func (m *meter) gotConn(info httptrace.GotConnInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := info.Conn.(*countingConn); ok {
		m.conn = c
		m.before = c.written.Load()
	}
}

func (m *meter) classify(ctx context.Context) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn == nil || m.conn.written.Load() == m.before {
		return Unsent
	}
	return interrupted(ctx)
}
