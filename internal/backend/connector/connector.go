// Package connector exchanges requests and answers with one backend server over
// HTTP/1.1 connections of its own.
//
// Unlike the transport of net/http it never sends a request twice, and it never
// takes bytes for an answer that came before the request: a kept connection on
// which anything arrived while it was idle is closed instead of used.
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
	// dialTimeout bounds the time for a new connection. It is far above the round
	// trip between zones, and short enough that another server can still answer
	// within most objectives.
	dialTimeout = 250 * time.Millisecond
	// deadPeer is how long sent bytes may stay unacknowledged: a host without
	// power neither answers nor resets.
	deadPeer = time.Second
	// probeAfter and probeEvery are those of TCP keep-alive, which finds
	// connections that went silent while a request waits.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
	// keepMargin is how long before the server's own idle timeout a connection is
	// given up, so that the two do not cross.
	keepMargin = 500 * time.Millisecond
	// keepDefault is how long an idle connection is kept when the server states
	// no timeout.
	keepDefault = 2 * time.Minute
)

// Sentinel errors of Do.
var (
	// ErrUnsent means that no byte of the request left for the server.
	ErrUnsent = errors.New("request was not sent")
	// ErrBroken means that the connection ended or carried something that is no
	// answer after the request had left. The server may have run it.
	ErrBroken = errors.New("connection broke after the request was sent")
	// ErrClosed means that the pool was closed. It comes with ErrUnsent.
	ErrClosed = errors.New("pool is closed")
)

// Request is one request, ready to be sent.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds all other headers but Content-Length.
	Header http.Header
	// BeforeSend sets the headers that depend on the time of sending, such as the
	// time left: a request may wait for a connection. It may be nil.
	BeforeSend func(http.Header)
	// MatchesResponse reports whether an answer belongs to this request. Servers may send an
	// answer of an earlier request again; it is skipped, and the next one read.
	// It may be nil.
	MatchesResponse func(http.Header) bool
	Body            []byte
	// CloseWait is how long Do waits, after ctx has ended, for the server to end the
	// connection too. A server that has done so does not run the request any more.
	CloseWait time.Duration
}

// Response is one complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool holds the connections to one backend server. Use New. It is safe for
// concurrent use.
type Pool struct {
	address netip.AddrPort
	dialer  net.Dialer

	mu    sync.Mutex
	limit int
	// rest is how long an idle connection is kept at most.
	rest   time.Duration
	open   int
	idle   []*conn
	queue  []chan *conn
	closed bool
}

// New returns a pool of at most limit connections to the server at address. It
// connects on first use.
func New(address netip.AddrPort, limit int) *Pool {
	return &Pool{address: address, limit: max(limit, 1), rest: keepDefault, dialer: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount},
		Control:         setUserTimeout,
	}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeer.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// SetLimit changes the most connections. Connections above it are closed when
// their request is done.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// SetIdleTimeout changes how long an idle connection is kept at most. It holds for
// connections from their next request on; 0 is the default of 2 min.
func (p *Pool) SetIdleTimeout(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest = cmp.Or(limit, keepDefault)
}

// HasIdle reports whether there is a connection that no request uses.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// Warm opens a connection unless there is one. Failures show at the first
// request.
func (p *Pool) Warm(ctx context.Context) {
	p.mu.Lock()
	cold := p.open == 0
	p.mu.Unlock()
	if cold {
		_ = p.Connect(ctx)
	}
}

// Connect opens a connection for later requests. It returns ErrClosed or why
// there is none; without room for another connection it does nothing.
func (p *Pool) Connect(ctx context.Context) error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return ErrClosed
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil
	}
	p.open++
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		p.discard(nil)
		return err
	}
	p.release(c, true)
	return nil
}

// CloseExpired closes connections that were idle for long.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.After(c.until) })
}

// CloseIdle closes the connections that no request is using.
func (p *Pool) CloseIdle() {
	p.closeIdle(func(*conn) bool { return true })
}

// closeIdle closes the idle connections that are picked.
func (p *Pool) closeIdle(picked func(*conn) bool) {
	p.mu.Lock()
	var old, kept []*conn
	for _, c := range p.idle {
		if picked(c) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.open -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Close closes the idle connections and refuses further requests. Those in
// flight go on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.queue {
		close(w)
	}
	p.queue = nil
	p.mu.Unlock()
	p.CloseIdle()
}

// Do sends a request once and reads the answer. It ends with ctx, which closes
// the connection, so that the server learns that nobody waits. Errors are
// ErrUnsent and ErrBroken.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	response, reusable, err := c.exchange(ctx, r)
	if err != nil {
		p.discard(c)
		return nil, err
	}
	if !reusable {
		p.discard(c)
		return response, nil
	}
	p.mu.Lock()
	rest := p.rest
	p.mu.Unlock()
	c.until = time.Now().Add(min(keepFor(response.Header), rest))
	p.release(c, false)
	return response, nil
}

// acquire returns a connection that nothing else uses.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := p.next()
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
		c, err = p.await(ctx, wait)
		if err != nil || c != nil {
			return c, err
		}
	}
}

// next takes an idle connection, the one used last first, or allows a new one to
// be opened, or returns a channel on which to wait.
func (p *Pool) next() (*conn, chan *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	wait := make(chan *conn, 1)
	p.queue = append(p.queue, wait)
	return nil, wait, nil
}

// await returns the connection that another request handed over, or nil when
// the place of one has become free.
func (p *Pool) await(ctx context.Context, wait chan *conn) (*conn, error) {
	select {
	case c, ok := <-wait:
		if !ok {
			return nil, ErrClosed
		}
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, w := range p.queue {
		if w == wait {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			p.mu.Unlock()
			return nil, context.Cause(ctx)
		}
	}
	p.mu.Unlock()
	// The connection was handed over at the same moment.
	if c := <-wait; c != nil {
		p.release(c, false)
	}
	return nil, context.Cause(ctx)
}

// release gives a connection back. A waiting request gets it at once, unless it
// is fresh and so has proved nothing.
func (p *Pool) release(c *conn, fresh bool) {
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.open--
		p.mu.Unlock()
		c.close()
		return
	}
	if len(p.queue) > 0 && !fresh {
		w := p.queue[0]
		p.queue = p.queue[1:]
		w <- c
		p.mu.Unlock()
		return
	}
	p.idle = append(p.idle, c)
	p.wake()
	p.mu.Unlock()
}

// discard closes a connection and lets a waiting request open another.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.open--
	p.wake()
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// wake lets the first waiting request look again. The lock is held.
func (p *Pool) wake() {
	if len(p.queue) > 0 {
		p.queue[0] <- nil
		p.queue = p.queue[1:]
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", p.address.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// keepFor returns how long a connection may stay idle after an answer.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return keepDefault
}
