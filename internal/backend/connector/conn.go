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
	// maxAnswer is the largest answer in bytes.
	maxAnswer = 8 << 20
	// maxSkipped is the number of answers of other requests that are skipped.
	maxSkipped = 2
	// readBuffer holds the head and the body of most answers.
	readBuffer = 2 << 10
	// wholeWrite is the size in bytes up to which a request fits into the send
	// buffer, so that writing it cannot block for long.
	wholeWrite = 8 << 10
)

// conn is one connection. One request uses it at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	until  time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), until: time.Now().Add(keepDefault)}
}

func (c *conn) close() { _ = c.raw.Close() }

// usable reports whether an idle connection can take a request: it is not due to
// be closed, and neither an end nor any byte has arrived on it.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.until) || c.reader.Buffered() > 0 {
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

// encode writes the request in one piece.
func encode(r *Request) []byte {
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

// exchange sends the request and reads the answer. Reusable is true when the
// connection is at the start of another exchange afterwards.
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
	data := encode(r)
	// A process that was frozen after the request was admitted must not send it
	// after its time: other hosts may use the server by then. The timer of ctx may
	// not have fired yet.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
		return nil, false, errors.Join(ErrUnsent, ctx.Err())
	}
	if len(data) <= wholeWrite {
		n, err := c.raw.Write(data)
		if err != nil && n == 0 {
			return nil, false, errors.Join(ErrUnsent, err)
		}
		if err != nil {
			return nil, false, errors.Join(ErrBroken, err)
		}
		written.Store(true)
	} else {
		// The server may answer before it has read a long body.
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
	response, keep, err := c.read(r)
	if err != nil && ctx.Err() != nil && r.CloseWait > 0 {
		c.settle(r.CloseWait)
	}
	if err != nil {
		return nil, false, err
	}
	return response, keep && written.Load(), nil
}

// settle tells the server that nobody waits and reads until it ends the connection,
// for a limited time. Its outcome does not matter: the connection is closed next.
func (c *conn) settle(limit time.Duration) {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.raw.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.raw)
}

// read reads one answer. Keep is true when nothing follows it and the server
// keeps the connection.
func (c *conn) read(r *Request) (*Response, bool, error) {
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
			// The connection ends; closing the body would first read the rest.
			return nil, false, errors.Join(ErrBroken, err)
		}
		if err := res.Body.Close(); err != nil {
			return nil, false, errors.Join(ErrBroken, err)
		}
		if r.MatchesResponse != nil && !r.MatchesResponse(res.Header) && !res.Close && skipped < maxSkipped {
			skipped++
			continue
		}
		// A connection with answers of other requests is not used again.
		keep := !res.Close && c.reader.Buffered() == 0 && skipped == 0
		return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, keep, nil
	}
}

func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > maxAnswer {
		return nil, errors.Errorf("answer of %d bytes is longer than %d", res.ContentLength, maxAnswer)
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return nil, errors.Errorf("answer is longer than %d bytes", maxAnswer)
	}
	return body, nil
}
