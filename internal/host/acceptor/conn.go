package acceptor

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/rationer"
)

const (
	// headSlackBytes is how much longer than its limit a head may be: the limit applies to the
	// request line and the header lines without their framing.
	headSlackBytes = 64
	// maxEmptyLineBytes bounds the empty lines before a request.
	maxEmptyLineBytes = 16
	// firstHeadBytes is the first size of the buffer for a head that arrives in pieces.
	firstHeadBytes = 1 << 10
	// freeLines and freeBytes are the header lines and the bytes of a body that are part of
	// connectionBytes.
	freeLines = 32
	freeBytes = 4 << 10
	// lineBytes is the memory that a header line takes once it is parsed and while it is
	// sent to servers.
	lineBytes = 256
	// headTime is passed to SetReadDeadline when the first byte of a head has arrived.
	headTime = 10 * time.Second
	// writeTime bounds the time in which a client has to take writeBytes of an answer, and with
	// a second for each minWriteRate bytes the time for all of it.
	writeTime    = 10 * time.Second
	writeBytes   = 32 << 10
	minWriteRate = 32 << 10
	// lingerTime is how long a refused client may take to read the answer before the
	// connection is closed.
	lingerTime = 250 * time.Millisecond
)

// Answers to clients that are refused before their request reaches the HTTP server.
const (
	tooLong   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	malformed = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemory  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + RetryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	client   *rationer.Client
	// evicted is set when the connection is closed in favor of others, and closed when it was
	// closed by the HTTP server.
	evicted, closed atomic.Bool
	// gated is true while the HTTP server waits for the head of a request.
	gated   bool
	scanner headScanner
	// held holds bytes that the HTTP server has not read, and cleared is the number of those
	// that it may read. The bytes up to scanned have been scanned.
	held             []byte
	cleared, scanned int
	// heldCost is the memory reserved for held, headCost that for the parsed head, and bodyCost
	// that for the body.
	heldCost, headCost, bodyCost int64
	// passed is true once the HTTP server has read a byte. Before that, empty is the number of
	// bytes of empty lines that were skipped.
	passed bool
	empty  int
}

// Unwrap returns the connection below.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// Buffered reports whether bytes have arrived that the HTTP server has not read.
func (c *Conn) Buffered() bool { return len(c.held) > 0 }

// Read implements net.Conn. While the HTTP server waits for a head, it returns bytes only once the
// head is complete.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if c.gated && c.cleared == 0 {
			c.clear()
		}
		if !c.gated {
			c.clearAll()
		}
		if c.cleared > 0 {
			if err := c.takeHead(); err != nil {
				return 0, err
			}
			return c.deliver(b), nil
		}
		if !c.gated {
			n, err := c.Conn.Read(b)
			c.scanner.scanAll(b[:n])
			c.progress(n)
			return n, err
		}
		if len(c.held) > c.listener.headBytes()+headSlackBytes {
			return 0, c.refuse(tooLong, "head too long", b)
		}
		n, err := c.fill(b)
		if n > 0 {
			// The head is complete, and complete in b.
			return n, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// clear looks for the end of a head in what is held.
func (c *Conn) clear() {
	if n := c.scanner.scan(c.held[c.scanned:]); n > 0 {
		c.cleared = c.scanned + n
		c.scanned = c.cleared
		return
	}
	c.scanned = len(c.held)
}

// clearAll lets the HTTP server read all that is held.
func (c *Conn) clearAll() {
	c.scanner.scanAll(c.held[c.scanned:])
	c.scanned, c.cleared = len(c.held), len(c.held)
}

// deliver moves bytes that are cleared to b.
func (c *Conn) deliver(b []byte) int {
	c.passed = true
	n := copy(b, c.held[:c.cleared])
	c.held, c.cleared, c.scanned = c.held[n:], c.cleared-n, c.scanned-n
	if len(c.held) == 0 {
		c.held = nil
		c.release(&c.heldCost)
	}
	return n
}

// fill reads more of a head. A head that arrives in one piece is read into b directly, and n is then
// its length.
func (c *Conn) fill(b []byte) (n int, err error) {
	if len(c.held) == 0 {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.begin()
		}
		if !c.passed {
			n = c.skipEmpty(b[:n])
			if c.empty > maxEmptyLineBytes {
				return 0, c.refuse(malformed, "empty lines", b)
			}
		}
		if end := c.scanner.scan(b[:n]); end > 0 {
			if end > c.listener.headBytes()+headSlackBytes {
				return 0, c.refuse(tooLong, "head too long", b)
			}
			if err := c.takeHead(); err != nil {
				return 0, err
			}
			c.passed = true
			// What follows is the body, or the next request.
			if end < n {
				c.held, c.scanned = append([]byte(nil), b[end:n]...), 0
			}
			return end, nil
		}
		if n > 0 {
			if !c.grow(n, n) {
				return 0, c.refuse(noMemory, "no memory", b)
			}
			c.held = append(c.held, b[:n]...)
			c.scanned = n
		}
		return 0, err
	}
	c.begin()
	if len(c.held) == cap(c.held) && !c.grow(len(c.held)+1, 2*len(c.held)) {
		return 0, c.refuse(noMemory, "no memory", b)
	}
	n, err = c.Conn.Read(c.held[len(c.held):cap(c.held)])
	c.held = c.held[:len(c.held)+n]
	c.progress(n)
	return 0, err
}

// begin records that the first byte of a head has arrived. On a connection that was idle, the
// limit for the head replaces the one for idle connections.
func (c *Conn) begin() {
	if c.client.Phase() != rationer.Idle {
		return
	}
	c.enter(rationer.Head)
	// An error means that the client has disconnected.
	_ = c.SetReadDeadline(time.Now().Add(headTime))
}

// skipEmpty removes empty lines before the first request and returns the number of bytes left.
// Between requests they are left to net/http, which skips at most four bytes.
func (c *Conn) skipEmpty(b []byte) int {
	n := 0
	for n < len(b) && (b[n] == '\r' || b[n] == '\n') {
		n++
	}
	c.empty += n
	return copy(b, b[n:])
}

// grow enlarges the buffer for the head to at least least bytes, and to want if the limit for heads
// allows it.
func (c *Conn) grow(least, want int) bool {
	size := firstHeadBytes
	for size < want {
		size *= 2
	}
	size = max(least, min(size, c.listener.headBytes()+headSlackBytes+1))
	if size > freeBytes && !c.reserve(&c.heldCost, int64(size)) {
		return false
	}
	held := make([]byte, len(c.held), size)
	copy(held, c.held)
	c.held = held
	return true
}

// takeHead reserves the memory for the parsed head.
func (c *Conn) takeHead() error {
	if !c.gated || c.scanner.lines == 0 {
		return nil
	}
	lines := c.scanner.lines
	c.scanner.lines = 0
	if lines <= freeLines {
		return nil
	}
	if !c.reserve(&c.headCost, c.headCost+int64(lines)*lineBytes) {
		return c.refuse(noMemory, "no memory", nil)
	}
	return nil
}

// refuse answers a client whose request does not reach the HTTP server. b is used as a buffer.
func (c *Conn) refuse(answer, cause string, b []byte) error {
	if c.evicted.Load() {
		return io.EOF
	}
	c.listener.report("refused", cause)
	if len(b) == 0 {
		b = make([]byte, firstHeadBytes)
	}
	c.held, c.cleared, c.scanned = nil, 0, 0
	c.release(&c.heldCost)
	// Errors mean that the client has disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, answer)
	// A connection that is closed with unread data may lose the answer.
	if half, ok := c.raw().(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		end := time.Now().Add(lingerTime)
		for time.Now().Before(end) {
			_ = c.raw().SetReadDeadline(end)
			if _, err := c.raw().Read(b); err != nil {
				break
			}
		}
	}
	return io.EOF
}

// raw returns the connection below all wrappers.
func (c *Conn) raw() net.Conn {
	conn := c.Conn
	for {
		u, ok := conn.(interface{ Unwrap() net.Conn })
		if !ok {
			return conn
		}
		conn = u.Unwrap()
	}
}

// Write implements net.Conn. It closes the connection of a client that does not take the answer.
func (c *Conn) Write(b []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	if p := c.client.Phase(); p == rationer.Running {
		l.rationer.Enter(c.client, rationer.Writing, time.Now())
	}
	var victims []*Conn
	large := len(b) > freeBytes
	if large {
		victims = l.removeLocked(l.rationer.Hold(c.client, int64(len(b)), time.Now())...)
	}
	l.mu.Unlock()
	l.disconnect(victims)
	if large {
		defer func() {
			l.mu.Lock()
			l.rationer.Release(c.client, int64(len(b)))
			l.mu.Unlock()
		}()
	}
	end := time.Now().Add(writeTime + time.Duration(len(b)/minWriteRate)*time.Second)
	written := 0
	for written < len(b) {
		deadline := time.Now().Add(writeTime)
		if end.Before(deadline) {
			deadline = end
		}
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		if err != nil {
			return written, err
		}
		if large {
			c.progress(n)
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.rationer.Leave(c.client)
	delete(l.conns, c.client)
	l.connections.Update(float64(l.rationer.Clients()))
	l.memory.Update(float64(l.rationer.Used()))
	l.mu.Unlock()
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		l.removeDescriptor()
	}
	return err
}

// setState records a state of the HTTP server for the connection.
func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.gated = false
		c.enter(rationer.Running)
	case http.StateIdle:
		c.gated = true
		c.release(&c.headCost)
		c.release(&c.bodyCost)
		c.enter(rationer.Idle)
	}
}

// enter records the phase of the client.
func (c *Conn) enter(p rationer.Phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.rationer.Enter(c.client, p, time.Now())
}

// progress records bytes that were received or sent.
func (c *Conn) progress(n int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.rationer.Progress(c.client, n, time.Now())
}

// reserve reserves memory so that *cost is n, and disconnects slower clients for it if necessary.
func (c *Conn) reserve(cost *int64, n int64) bool {
	l := c.listener
	l.mu.Lock()
	clients, ok := l.rationer.Reserve(c.client, n-*cost, time.Now())
	victims := l.removeLocked(clients...)
	l.memory.Update(float64(l.rationer.Used()))
	l.mu.Unlock()
	l.disconnect(victims)
	if ok {
		*cost = n
	}
	return ok
}

// release returns the memory reserved for *cost.
func (c *Conn) release(cost *int64) {
	if *cost == 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.rationer.Release(c.client, *cost)
	c.listener.memory.Update(float64(c.listener.rationer.Used()))
	*cost = 0
}

// errClosed is the error of reads from a connection that was closed in favor of others.
var errClosed = errors.New("client was disconnected in favor of others")
