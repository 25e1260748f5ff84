package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/host/runner"
	"gentianpond/internal/route/router"
	"gentianpond/internal/settings/loader"
)

// pausingListener accepts connections whose second Read returns only after resume is
// closed, although it has taken bytes off the connection.
type pausingListener struct {
	net.Listener
	paused, resume chan struct{}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{Conn: c, listener: l}, nil
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
	requests int
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 {
		c.requests++
		if c.requests == 2 {
			close(c.listener.paused)
			<-c.listener.resume
		}
	}
	return n, err
}

// startTestForwarder runs a forwarder whose requests are answered with "whole", after
// prepare. The returned function stops it in a planned way.
func startTestForwarder(t *testing.T, prepare func(*Forwarder)) (f *Forwarder, stop func() error) {
	s := loader.RelaySettings{Name: "entry", Zone: "z", Listen: freeAddress(t), Ready: freeAddress(t), Seeds: nil, Grace: 2 * time.Second}
	f, err := New(s, Adapter{
		DecodeDocument: func([]byte) (*router.Table, error) { return nil, router.ErrInvalid },
		NewEntryHandler: func(RequestRelayer) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		},
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, log.New(io.Discard), tally.NoopScope)
	require.NoError(t, err)
	prepare(f)
	var group runner.Group
	f.AddTo(&group)
	begin, done := make(chan struct{}), make(chan error, 1)
	group.Add(func(ctx context.Context) error {
		<-begin
		f.Drain(ctx)
		return runner.ErrStopped
	})
	go func() { done <- group.Run() }()
	return f, sync.OnceValue(func() error {
		close(begin)
		return <-done
	})
}

// get sends a request on a connection and returns the body of the answer.
func get(c net.Conn, r *bufio.Reader) (string, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestStopServesReadRequest guards against a planned stop that closes a kept connection
// from which a request was just read: the Shutdown of net/http counts it as idle until
// the headers are parsed.
func TestStopServesReadRequest(t *testing.T) {
	l := &pausingListener{paused: make(chan struct{}), resume: make(chan struct{})}
	f, stop := startTestForwarder(t, func(f *Forwarder) {
		l.Listener = f.clientListener.Listener
		f.clientListener.Listener = l
	})
	c, err := net.Dial("tcp", f.settings.Listen.String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	body, err := get(c, r)
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	answer := make(chan string, 1)
	go func() {
		body, err := get(c, r)
		answer <- fmt.Sprint(body, err)
	}()
	<-l.paused
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	// By then the wait for the load balancer is over and idle connections are closed.
	time.Sleep(1200 * time.Millisecond)
	close(l.resume)
	require.Equal(t, "whole<nil>", <-answer)
	require.NoError(t, <-stopped)
}

// TestStopServesNewConnection guards against a planned stop that closes a connection
// that was just opened, while its first request is on its way.
func TestStopServesNewConnection(t *testing.T) {
	f, stop := startTestForwarder(t, func(*Forwarder) {})
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	require.Eventually(t, f.draining.Load, time.Second, time.Millisecond)
	time.Sleep(time.Duration(balancerGraceShare*float64(f.settings.Grace)) - 50*time.Millisecond)
	c, err := net.Dial("tcp", f.settings.Listen.String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(200 * time.Millisecond)
	body, err := get(c, bufio.NewReader(c))
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	require.NoError(t, <-stopped)
}

// TestStopServesHalfReadRequest guards against a planned stop that closes a connection from which
// a part of a head has been read, alone or together with the request before it: it is held until
// the head is complete.
func TestStopServesHalfReadRequest(t *testing.T) {
	f, stop := startTestForwarder(t, func(*Forwarder) {})
	var conns []net.Conn
	var readers []*bufio.Reader
	for _, before := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", f.settings.Listen.String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		_, err = io.WriteString(c, before+"GET / HTTP/1.1\r\nHost")
		require.NoError(t, err)
		if before != "" {
			res, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, errors.Join(err, res.Body.Close()))
		}
		conns, readers = append(conns, c), append(readers, r)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	// By then the wait for the load balancer is over and idle connections are closed.
	time.Sleep(1400 * time.Millisecond)
	for i, c := range conns {
		_, err := io.WriteString(c, ": h\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(readers[i], nil)
		require.NoError(t, err, "connection %d", i)
		body, _ := io.ReadAll(res.Body)
		require.Equal(t, http.StatusOK, res.StatusCode, "connection %d: %s", i, body)
		require.NoError(t, res.Body.Close())
	}
	require.NoError(t, <-stopped)
}

// TestClientTimeouts guards against the timeouts of the routing document being ignored:
// a client that sends its headers slowly gets 408, an idle connection is closed.
func TestClientTimeouts(t *testing.T) {
	const header, idle = 150 * time.Millisecond, 300 * time.Millisecond
	f, stop := startTestForwarder(t, func(f *Forwarder) {
		f.clientListener.timeouts = func() (time.Duration, time.Duration) { return header, idle }
	})
	defer func() { require.NoError(t, stop()) }()
	for _, used := range []bool{false, true} {
		c, err := net.Dial("tcp", f.settings.Listen.String())
		require.NoError(t, err)
		r := bufio.NewReader(c)
		if used {
			_, err := get(c, r)
			require.NoError(t, err)
		}
		start := time.Now()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, res.StatusCode)
		require.True(t, res.Close)
		require.NoError(t, res.Body.Close())
		require.Less(t, time.Since(start), headerTimeout/2)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		_ = c.Close()
	}
	c, err := net.Dial("tcp", f.settings.Listen.String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_, err = get(c, r)
	require.NoError(t, err)
	start := time.Now()
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(start), idle-10*time.Millisecond)
	require.Less(t, time.Since(start), headerTimeout/2)
}
