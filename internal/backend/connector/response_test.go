package connector

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

const (
	// testAllowanceBytes is the allowance of a request in the tests.
	testAllowanceBytes = 4 << 20
	// maxResponseMemory is the stated bound of the memory that one request may take,
	// whatever the server sends. It counts everything allocated, garbage too.
	maxResponseMemory = 16 << 20
)

// playResponse sends what a script of testdata/responses says.
func playResponse(c net.Conn, script string) {
	for _, line := range strings.Split(script, "\n") {
		verb, text, _ := strings.Cut(line, " ")
		text = strings.ReplaceAll(text, `\r\n`, "\r\n")
		switch verb {
		case "send":
			_, _ = io.WriteString(c, text)
		case "fill":
			n, _ := strconv.Atoi(text)
			_, _ = c.Write(make([]byte, n))
		case "close":
			return
		case "repeat":
			block := []byte(strings.Repeat(text, 4096/len(text)+1))
			for {
				if _, err := c.Write(block); err != nil {
					return
				}
			}
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

// describe returns the outcome of a request as testdata/responses states it.
func describe(res *Response, err error) string {
	switch {
	case errors.Is(err, ErrTooLarge) && errors.Is(err, ErrBroken):
		return "broken, too large\n"
	case errors.Is(err, ErrBroken):
		return "broken\n"
	case err != nil:
		return err.Error() + "\n"
	case len(res.Body) > 64:
		return fmt.Sprintf("%d, %d bytes\n", res.Status, len(res.Body))
	}
	return fmt.Sprintf("%d %q\n", res.Status, res.Body)
}

// TestResponses guards against a server whose bytes without end take the memory of this
// host, or whose request is ended only by its deadline.
func TestResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, d *datadriven.TestData) string {
		p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, ok := readRequestID(r); ok {
				// A response without a length ends with its connection.
				if strings.HasSuffix(d.Input, `\r\n\r\nok`) && !strings.Contains(d.Input, "Content-Length") {
					_, _ = io.WriteString(c, strings.ReplaceAll(strings.TrimPrefix(d.Input, "send "), `\r\n`, "\r\n"))
					return
				}
				playResponse(c, d.Input)
			}
		}), 1)
		defer p.Close()
		r := newRequest("1")
		r.Allowance = NewAllowance(testAllowanceBytes, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		res, err := p.Do(ctx, r)
		took := time.Since(start)
		runtime.ReadMemStats(&after)
		require.Less(t, took, testTimeout, "ended by its deadline only")
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxResponseMemory))
		if err != nil {
			require.Zero(t, r.Allowance.Used(), "a failed response holds memory")
			require.Zero(t, p.openConns, "the connection is kept")
		}
		return describe(res, err)
	})
}

// TestSharedAllowance guards against many servers that send without end to one request
// and together take the memory of this host, and against answers to other requests that
// fail because of them.
func TestSharedAllowance(t *testing.T) {
	host := NewAllowance(2*testAllowanceBytes, nil)
	request := NewAllowance(testAllowanceBytes, host)
	small := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, strings.Repeat("a", 1<<19))
		}
	}), 1)
	defer small.Close()
	const servers = 40
	done := make(chan error, servers)
	for range servers {
		p := New(serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, ok := readRequestID(r); ok {
				playResponse(c, "send HTTP/1.1 200 OK\\r\\nId: 1\\r\\n\\r\\n\nrepeat aaaaaaaa")
			}
		}), 1)
		defer p.Close()
		go func() {
			r := newRequest("1")
			r.Allowance = request
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := p.Do(ctx, r)
			done <- err
		}()
	}
	r := newRequest("2")
	r.Allowance = NewAllowance(testAllowanceBytes, host)
	res, err := small.Do(t.Context(), r)
	require.NoError(t, err)
	require.Len(t, res.Body, 1<<19)
	for range servers {
		require.ErrorIs(t, <-done, ErrTooLarge)
	}
	require.Zero(t, request.Used())
	r.Allowance.Close()
	require.Zero(t, host.Used(), "memory is not returned")
}

// TestExhausted guards against blaming a server, or its request, for memory that other
// requests hold.
func TestExhausted(t *testing.T) {
	host := NewAllowance(100, nil)
	first, second := NewAllowance(100, host), NewAllowance(100, host)
	require.NoError(t, first.take(80))
	require.ErrorIs(t, second.take(30), ErrExhausted)
	require.ErrorIs(t, first.take(30), ErrTooLarge)
	first.Close()
	require.ErrorIs(t, first.take(1), ErrTooLarge)
	first.release(80)
	require.NoError(t, second.take(30))
	require.EqualValues(t, 30, host.Used())
}

// TestLostWakeup guards against a waiter that drops the permission to open a connection
// when its own request ends at the same moment: the next one would wait in vain.
func TestLostWakeup(t *testing.T) {
	address := serveConns(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, id)
		}
	})
	for range 200 {
		p := New(address, 1)
		p.openConns = 1
		first, second := make(chan *conn, 1), make(chan *conn, 1)
		p.waiters = []chan *conn{first, second}
		// The first waiter is taken off the queue by a closed connection after its
		// request has ended.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		p.discard(nil)
		_, err := p.awaitConn(ctx, first)
		if err != nil {
			select {
			case <-second:
			case <-time.After(testTimeout):
				require.Fail(t, "the second waiter was not woken")
			}
		}
	}
}

// pipeConn is a connection that reads from a buffer.
type pipeConn struct {
	net.Conn
	io.Reader
}

func (c pipeConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// FuzzReadResponse guards against bytes that make the reader panic, return more than
// its limits allow, or keep memory of a response that failed.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nb",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	} {
		f.Add([]byte(text), uint16(1))
		f.Add([]byte(text), uint16(2000))
	}
	f.Fuzz(func(t *testing.T, data []byte, repeat uint16) {
		const limit = 64 << 10
		// The text is read once and its last 16 bytes again and again.
		tail := data[max(0, len(data)-16):]
		c := newConn(pipeConn{Reader: io.MultiReader(bytes.NewReader(data), bytes.NewReader(bytes.Repeat(tail, int(repeat))))})
		r := newRequest("1")
		r.Allowance = NewAllowance(limit, nil)
		res, _, err := c.readResponse(r)
		if err != nil {
			require.ErrorIs(t, err, ErrBroken)
			require.Zero(t, r.Allowance.Used())
			return
		}
		require.LessOrEqual(t, len(res.Body), limit/bodyCost+readBufferBytes)
		require.LessOrEqual(t, r.Allowance.Used(), int64(limit))
	})
}

// readUnbounded reads a response without limits, as the connector did before it had
// any. BenchmarkResponse compares the reader with it.
func readUnbounded(r *bufio.Reader, q *Request) (*Response, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, err
	}
	body := make([]byte, max(res.ContentLength, 0))
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, err
	}
	if !q.MatchesResponse(res.Header) {
		return nil, errors.New("response to another request")
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, res.Body.Close()
}

// BenchmarkResponse compares the reader with one without limits.
func BenchmarkResponse(b *testing.B) {
	for _, size := range []int{200, 6000} {
		text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: 1\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 1,0,3\r\nContent-Length: %d\r\n\r\n", size)
		text = append(text, bytes.Repeat([]byte{'a'}, size)...)
		b.Run(fmt.Sprintf("unbounded/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			r := newRequest("1")
			source := bytes.NewReader(text)
			reader := bufio.NewReaderSize(source, readBufferBytes)
			for b.Loop() {
				source.Reset(text)
				if _, err := readUnbounded(reader, r); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("bounded/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			r := newRequest("1")
			source := bytes.NewReader(text)
			c := newConn(pipeConn{Reader: source})
			for b.Loop() {
				r.Allowance = NewAllowance(testAllowanceBytes, nil)
				source.Reset(text)
				if _, _, err := c.readResponse(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
