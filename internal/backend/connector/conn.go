package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 8 << 20
	// maxSkippedResponses bounds the responses to earlier requests that are
	// skipped before the one to the current request.
	maxSkippedResponses = 2
	// readBufferBytes is large enough for the headers and body of most responses.
	readBufferBytes = 2 << 10
	// maxDirectWriteBytes is the size up to which a request fits into the
	// socket's send buffer, so that writing it does not block for long.
	maxDirectWriteBytes = 8 << 10
)

// conn is a connection to the backend server. One request uses it at a time.
type conn struct {
	// raw is the TCP connection, reader buffers what is read from it.
	raw    net.Conn
	reader *bufio.Reader
	// expiresAt is when the connection, if idle, is no longer used.
	expiresAt time.Time
}

// newConn returns the connection over raw. It expires after defaultIdleTimeout; each
// response sets a new time.
func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), expiresAt: time.Now().Add(defaultIdleTimeout)}
}

func (c *conn) close() { _ = c.raw.Close() }

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
// with a single write.
func encodeRequest(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a buffer do not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
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
	if r.BeforeSend != nil {
		r.BeforeSend(r.Header)
	}
	data := encodeRequest(r)
	// A process that was paused after the request was admitted must not send it
	// after the deadline, because other hosts may be using the server by then. The
	// timer of ctx may not have fired yet, so the clock is compared here.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
		return nil, false, errors.Join(ErrUnsent, ctx.Err())
	}
	if len(data) <= maxDirectWriteBytes {
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
			_, err := c.raw.Write(data)
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

// readResponse reads the response to r and skips responses to earlier requests.
// The result is true if the connection can be kept: the server keeps it open, no
// data follows the response and no other response was skipped.
func (c *conn) readResponse(r *Request) (*Response, bool, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, errors.Join(ErrBroken, err)
	}
	request := &http.Request{Method: r.Method}
	skipped := 0
	for {
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, errors.Join(ErrBroken, err)
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := readBody(res)
		if err != nil {
			// The caller closes the connection; closing the body would first read
			// the rest of it.
			return nil, false, errors.Join(ErrBroken, err)
		}
		if err := res.Body.Close(); err != nil {
			return nil, false, errors.Join(ErrBroken, err)
		}
		if r.MatchesResponse != nil && !r.MatchesResponse(res.Header) && !res.Close && skipped < maxSkippedResponses {
			skipped++
			continue
		}
		// A connection that carried responses to other requests is not reused.
		keep := !res.Close && c.reader.Buffered() == 0 && skipped == 0
		return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, keep, nil
	}
}

// readBody reads the body of a response of at most maxResponseBytes.
func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > maxResponseBytes {
		return nil, errors.Errorf("response body of %d bytes exceeds the limit of %d bytes", res.ContentLength, maxResponseBytes)
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, errors.Wrap(err, "read response body")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("response body exceeds the limit of %d bytes", maxResponseBytes)
	}
	return body, nil
}
