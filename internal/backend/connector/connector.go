// Package connector is an HTTP/1.1 client with a connection pool for one backend
// server.
//
// Unlike the transport of net/http it never sends a request twice, and it never
// takes data that arrived before the request for its response: an idle connection
// on which anything has arrived is closed instead of reused.
package connector

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to open a connection. It is far above the round
	// trip between zones, and short enough that another server can still respond
	// within most latency objectives.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	// It detects a host that lost power, which neither acknowledges nor resets.
	unackedTimeout = time.Second
	// TCP keep-alive detects a connection that has failed silently while a request
	// waits for its response.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleTimeoutMargin is how long before the server's own idle timeout a
	// connection expires, so that no request is sent while the server closes it.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies when the server's Keep-Alive header gives no
	// timeout.
	defaultIdleTimeout = 2 * time.Minute
)

// Sentinel errors of Do.
var (
	// ErrUnsent means that no byte of the request was sent to the server.
	ErrUnsent = errors.New("request was not sent")
	// ErrWithheld means that Request.MayWait or Request.MaySend returned false. It is
	// joined with ErrUnsent.
	ErrWithheld = errors.New("request was withheld")
	// ErrBroken means that after at least part of the request was sent the
	// connection closed or carried something that is not a complete response. The
	// server may have run the request.
	ErrBroken = errors.New("connection broke after the request was sent")
	// ErrAtLimit means that all connections that the pool may have are open.
	ErrAtLimit = errors.New("all connections are open")
	// ErrNoDescriptor means that the process has no file descriptor left for a connection. Do
	// joins it with ErrUnsent and ErrWithheld, because it says nothing about the server.
	ErrNoDescriptor = errors.New("no file descriptor for a connection")
	// ErrClosed means that the pool is closed. Do joins it with ErrUnsent.
	ErrClosed = errors.New("pool is closed")
)

// Request is an HTTP request to the backend server.
type Request struct {
	Method string
	// Target is the request target: path and query as the client sent them.
	Target string
	// Host is the Host header.
	Host string
	// Header holds all headers except Host and Content-Length.
	Header http.Header
	// BeforeSend is called immediately before sending. It sets the headers that
	// depend on the time, such as the remaining time, because a request may wait
	// for a connection. It may be nil.
	BeforeSend func(http.Header)
	// MayWait is called before each wait for a connection, MaySend immediately before
	// BeforeSend, once there is one. If they return false, the request is not sent. They
	// may be nil.
	MayWait func() bool
	MaySend func() bool
	// MatchesResponse reports whether a response with these headers belongs to this
	// request. Servers may repeat the response to an earlier request; it is skipped
	// and the next one is read. Nil accepts every response.
	MatchesResponse func(http.Header) bool
	Body            []byte
	// Exclusive sends the request on a new connection, which takes no other request. It
	// is for requests to which MatchesResponse cannot assign a response, because they
	// have no id: the response to an earlier one may arrive late.
	Exclusive bool
	// Allowance bounds the memory that the response takes beyond a small base. It may
	// be shared by several requests, and a response holds its part until the caller
	// closes it. Nil allows up to the limits of a response.
	Allowance *Allowance
	// CloseWait is how long Do waits, after ctx has ended, for the server to close
	// the connection too. A server that has done so no longer runs the request.
	CloseWait time.Duration
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool holds the connections to one backend server. Use New. It is safe for
// concurrent use.
type Pool struct {
	// address is that of the backend server.
	address netip.AddrPort
	// connect opens new connections to the backend server.
	connect DialFunc
	// descriptors is the account of the connections. It may be nil.
	descriptors Descriptors

	// mu guards the fields below.
	mu sync.Mutex
	// connLimit is the largest number of open connections.
	connLimit int
	// idleTimeout bounds how long an idle connection is kept.
	idleTimeout time.Duration
	// openConns counts idle connections, those in use and those being opened.
	openConns int
	// idleConns are ordered by last use, the latest last.
	idleConns []*conn
	// lastUsed is when a connection was last returned after a response.
	lastUsed time.Time
	// waiters are the requests that wait for a connection, in order of arrival.
	// Each is sent a connection, or nil when it may try to open one.
	waiters []chan *conn
	// closed is true once Close was called.
	closed bool
}

// Descriptors is an account of file descriptors that pools share with others.
type Descriptors interface {
	// TryAdd counts a descriptor if there is one left.
	TryAdd() bool
	// Remove counts a descriptor as closed.
	Remove()
}

// New returns a pool of at most limit connections to the server at address.
// Connections are opened on demand.
func New(address netip.AddrPort, limit int) *Pool {
	return NewWithDial(address, limit, dialTCP)
}

// NewWithDial is New with a function that opens the connections.
func NewWithDial(address netip.AddrPort, limit int, dial DialFunc) *Pool {
	return &Pool{address: address, connLimit: max(limit, 1), idleTimeout: defaultIdleTimeout, connect: dial}
}

// SetDescriptors sets the account of the pool's connections, before the first one is opened.
func (p *Pool) SetDescriptors(d Descriptors) { p.descriptors = d }

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// dialTCP is the DialFunc of New.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setTCPUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", address.String())
}

// setTCPUserTimeout applies unackedTimeout to a new socket.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// SetLimit changes the maximum number of connections. Connections above it are
// closed when their request is done.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connLimit = max(limit, 1)
}

// SetIdleTimeout changes how long an idle connection is kept at most. It applies to
// a connection after its next request; 0 means the default of 2 min.
func (p *Pool) SetIdleTimeout(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = cmp.Or(limit, defaultIdleTimeout)
}

// HasIdle reports whether an open connection is not in use.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idleConns) > 0
}

// Warm opens a connection if none is open. A failure is ignored; the first
// request meets it again.
func (p *Pool) Warm(ctx context.Context) {
	p.mu.Lock()
	cold := p.openConns == 0
	p.mu.Unlock()
	if cold {
		_ = p.Connect(ctx)
	}
}

// Connect opens a connection for later requests. The error is ErrClosed, ErrAtLimit or
// that of the DialFunc.
func (p *Pool) Connect(ctx context.Context) error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return ErrClosed
	}
	if p.openConns >= p.connLimit {
		p.mu.Unlock()
		return ErrAtLimit
	}
	p.openConns++
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		p.discard(nil)
		return err
	}
	p.release(c, true)
	return nil
}

// Probe opens a connection within the time limit, whether or not the pool has room, and
// returns the error of the DialFunc. The connection is kept if there is room.
func (p *Pool) Probe(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.openConns++
	p.mu.Unlock()
	p.release(c, true)
	return nil
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.After(c.expiresAt) })
}

// CloseUnused closes the idle connections that were last used before a time.
func (p *Pool) CloseUnused(before time.Time) {
	p.closeIdle(func(c *conn) bool { return c.idleSince.Before(before) })
}

// LastUsed returns when a connection was last used, the zero time before the first use.
func (p *Pool) LastUsed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUsed
}

// Limit returns the maximum number of connections.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connLimit
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.closeIdle(func(*conn) bool { return true })
}

// closeIdle closes the idle connections for which selected returns true.
func (p *Pool) closeIdle(selected func(*conn) bool) {
	p.mu.Lock()
	var old, kept []*conn
	for _, c := range p.idleConns {
		if selected(c) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idleConns = kept
	p.openConns -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Close closes the idle connections and rejects further requests. Requests in
// flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters = nil
	p.mu.Unlock()
	p.CloseIdle()
}

// Do sends a request once and reads the response. When ctx ends, Do closes the
// connection, so that the server learns that the request was cancelled. Errors
// wrap ErrUnsent or ErrBroken.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r.MayWait)
	for err == nil && r.Exclusive && c.used {
		p.discard(c)
		c, err = p.acquire(ctx, r.MayWait)
	}
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	if r.MaySend != nil && !r.MaySend() {
		p.release(c, false)
		return nil, errors.Join(ErrUnsent, ErrWithheld)
	}
	c.used = true
	response, reusable, err := c.exchange(ctx, r)
	if err != nil {
		p.discard(c)
		return nil, err
	}
	if !reusable || r.Exclusive {
		p.discard(c)
		return response, nil
	}
	now := time.Now()
	p.mu.Lock()
	idleTimeout := p.idleTimeout
	p.lastUsed = now
	p.mu.Unlock()
	c.idleSince, c.expiresAt = now, now.Add(min(idleTimeoutFrom(response.Header), idleTimeout))
	p.release(c, false)
	return response, nil
}

// acquire returns a connection for exclusive use: an idle one, a new one while
// the pool is below its limit, or else the next one that becomes free. mayWait may be
// nil.
func (p *Pool) acquire(ctx context.Context, mayWait func() bool) (*conn, error) {
	for {
		if mayWait != nil && !mayWait() {
			return nil, ErrWithheld
		}
		c, wait, err := p.takeOrReserve()
		switch {
		case err != nil:
			return nil, err
		case c != nil && c.usable(time.Now()):
			return c, nil
		case c != nil:
			p.discard(c)
			continue
		case wait == nil:
			c, err := p.dial(ctx)
			if err != nil {
				p.discard(nil)
				return nil, err
			}
			return c, nil
		}
		c, err = p.awaitConn(ctx, wait)
		if err != nil || c != nil {
			return c, err
		}
	}
}

// takeOrReserve takes the idle connection that was used last. If there is none, it
// reserves room for a new connection and returns nil for all results; at the limit
// it queues the caller and returns the channel to wait on.
func (p *Pool) takeOrReserve() (*conn, chan *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if n := len(p.idleConns); n > 0 {
		c := p.idleConns[n-1]
		p.idleConns = p.idleConns[:n-1]
		return c, nil, nil
	}
	if p.openConns < p.connLimit {
		p.openConns++
		return nil, nil, nil
	}
	wait := make(chan *conn, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

// awaitConn waits for a connection that another request hands over. It returns nil
// if the waiter has to call takeOrReserve again, because a connection was closed or
// an idle one was added.
func (p *Pool) awaitConn(ctx context.Context, wait chan *conn) (*conn, error) {
	select {
	case c, ok := <-wait:
		if !ok {
			return nil, ErrClosed
		}
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, context.Cause(ctx)
		}
	}
	p.mu.Unlock()
	// No longer in the queue: a connection, or nil, was sent at the same moment. Both
	// are passed on, because a connection may be opened or taken instead.
	if c, ok := <-wait; c != nil {
		p.release(c, false)
	} else if ok {
		p.mu.Lock()
		p.wakeFirst()
		p.mu.Unlock()
	}
	return nil, context.Cause(ctx)
}

// release returns a connection to the pool. It is handed to the first waiter,
// unless it is unused: a new connection has not yet shown that it works.
func (p *Pool) release(c *conn, unused bool) {
	p.mu.Lock()
	if p.closed || p.openConns > p.connLimit {
		p.openConns--
		p.mu.Unlock()
		c.close()
		return
	}
	if len(p.waiters) > 0 && !unused {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w <- c
		p.mu.Unlock()
		return
	}
	p.idleConns = append(p.idleConns, c)
	p.wakeFirst()
	p.mu.Unlock()
}

// discard closes a connection, if there is one, and lets a waiting request open
// another in its place.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.openConns--
	p.wakeFirst()
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// WakeWaiting makes all requests that wait for a connection call MayWait again.
func (p *Pool) WakeWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.waiters) > 0 {
		p.wakeFirst()
	}
}

// wakeFirst lets the first waiter call takeOrReserve again. The caller holds mu.
func (p *Pool) wakeFirst() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- nil
		p.waiters = p.waiters[1:]
	}
}

// dial opens a connection, for which the caller has reserved room in openConns.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if p.descriptors != nil && !p.descriptors.TryAdd() {
		return nil, errors.Join(ErrWithheld, ErrNoDescriptor)
	}
	raw, err := p.connect(ctx, p.address)
	if err != nil {
		if p.descriptors != nil {
			p.descriptors.Remove()
		}
		return nil, err
	}
	c := newConn(raw)
	c.descriptors = p.descriptors
	return c, nil
}

// idleTimeoutFrom returns how long a connection may stay idle after a response
// with these headers.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
