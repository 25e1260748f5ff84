package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// maxDirectWriteBytes is the size up to which a request fits into the socket's send
// buffer, so that writing it does not block for long.
const maxDirectWriteBytes = 8 << 10

// conn is a connection to the backend server. One request uses it at a time.
type conn struct {
	// raw is the TCP connection, reader buffers what is read from it within limits.
	raw    net.Conn
	reader *bufio.Reader
	limits *limitedReader
	// used is true once a request has been sent.
	used bool
	// descriptors is the account of the connection, nil without one. closed is set once the
	// connection was removed from it.
	descriptors Descriptors
	closed      atomic.Bool
	// idleSince is when the connection was opened or returned after a response.
	idleSince time.Time
	// expiresAt is when the connection, if idle, is no longer used.
	expiresAt time.Time
}

// newConn returns the connection over raw. It expires after defaultIdleTimeout; each
// response sets a new time.
func newConn(raw net.Conn) *conn {
	limits, now := &limitedReader{raw: raw}, time.Now()
	return &conn{raw: raw, limits: limits, reader: bufio.NewReaderSize(limits, readBufferBytes), idleSince: now, expiresAt: now.Add(defaultIdleTimeout)}
}

func (c *conn) close() {
	// An error means that the server has disconnected.
	_ = c.raw.Close()
	if c.descriptors != nil && !c.closed.Swap(true) {
		c.descriptors.Remove()
	}
}

// usable reports whether an idle connection can take a request: it has not
// expired, the server has not closed it, and no unexpected data has arrived.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.expiresAt) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// encodeRequest returns the request in HTTP/1.1 format, so that it can be sent
// with a single write. A long body is not copied: sends of the same request share it.
func encodeRequest(r *Request, header http.Header) (head, body []byte) {
	var b bytes.Buffer
	if len(r.Body) > maxDirectWriteBytes {
		body = r.Body
	}
	b.Grow(512 + len(r.Body) - len(body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a buffer do not fail.
	_ = header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if body == nil {
		b.Write(r.Body)
	}
	return b.Bytes(), body
}

// exchange sends the request and reads the response. Reusable is true if the
// connection can take another request afterwards.
func (c *conn) exchange(ctx context.Context, r *Request) (response *Response, reusable bool, err error) {
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return nil, false, errors.Join(ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() {
			reusable = false
		}
	}()
	var written atomic.Bool
	header := r.Header
	if r.BeforeSend != nil {
		// Sends of the same request share its header. The copy lasts until it is encoded.
		header = maps.Clone(header)
		if header == nil {
			header = http.Header{}
		}
		r.BeforeSend(header)
	}
	data, body := encodeRequest(r, header)
	// A process that was paused after the request was admitted must not send it
	// after the deadline, because other hosts may be using the server by then. The
	// timer of ctx may not have fired yet, so the clock is compared here.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
		return nil, false, errors.Join(ErrUnsent, ctx.Err())
	}
	if len(data)+len(body) <= maxDirectWriteBytes {
		n, err := c.raw.Write(data)
		if err != nil && n == 0 {
			return nil, false, errors.Join(ErrUnsent, err)
		}
		if err != nil {
			return nil, false, errors.Join(ErrBroken, err)
		}
		written.Store(true)
	} else {
		// The server may respond before it has read a long body.
		done := make(chan struct{})
		go func() {
			defer close(done)
			buffers := net.Buffers{data, body}
			_, err := buffers.WriteTo(c.raw)
			written.Store(err == nil)
		}()
		defer func() {
			if !written.Load() {
				c.close()
			}
			<-done
		}()
	}
	response, keep, err := c.readResponse(r)
	if err != nil && ctx.Err() != nil && r.CloseWait > 0 {
		c.awaitServerClose(r.CloseWait)
	}
	if err != nil {
		return nil, false, err
	}
	return response, keep && written.Load(), nil
}

// awaitServerClose shuts down the sending side, which tells the server that the
// request was cancelled, and reads until the server closes the connection or limit
// has passed. Errors are ignored because the caller closes the connection next.
func (c *conn) awaitServerClose(limit time.Duration) {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.raw.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.raw)
}
