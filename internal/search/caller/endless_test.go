package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/search/caller"
)

// startEndless starts a server that answers each request with a text and then repeats another
// one until the caller closes the connection.
func startEndless(t *testing.T, begin, repeated string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		group.Wait()
	})
	block := []byte(strings.Repeat(repeated, 16<<10/len(repeated)))
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, begin)
				for {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
		}
	})
	return l
}

// callAll makes calls at once and returns their results.
func callAll(t *testing.T, c *caller.Caller, calls int) []caller.Result {
	results := make([]caller.Result, calls)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			results[i] = c.Call(t.Context(), caller.OrderPath, caller.Message{Query: "q", Attempt: "1", Deadline: "1s"})
		})
	}
	group.Wait()
	return results
}

// TestEndlessBody guards against a server whose answer has no end and which takes the memory of
// the host with many calls at once, and against memory that is not returned.
func TestEndlessBody(t *testing.T) {
	const calls, poolBytes = 100, 8 << 20
	l := startEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "[1],")
	pool := connector.NewAllowance(poolBytes, nil)
	c := caller.NewWithin(l.Addr().(*net.TCPAddr).AddrPort(), calls, pool, poolBytes/8)
	for _, r := range callAll(t, c, calls) {
		require.Contains(t, []caller.Status{caller.Failed, caller.Cancelled}, r.Status, "%v", r.Err)
		require.Less(t, len(r.Err.Error()), 1<<10)
	}
	require.Zero(t, pool.Used())

	// Without settings the memory is bounded too.
	const bound = 128 << 20
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	callAll(t, caller.New(l.Addr().(*net.TCPAddr).AddrPort(), calls), calls)
	close(stop)
	require.Less(t, <-peak, uint64(bound))
}

// TestNoCrash guards against a request that is suspected of crashing servers because a server
// sent something that is no answer: its connection did not break.
func TestNoCrash(t *testing.T) {
	for _, texts := range [][2]string{
		{"HTTP/1.1 200 ", "O"}, {"", "\r\n"}, {"", "x"}, {"HTTP/1.1 200 OK\r\nX: ", "x"}, {"HTTP/1.1 200 OK\r\n", "a:b\r\n"}, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"HTTP/1.1 200 OK\r\n\r\n", "x"}, {"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"}, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
	} {
		l := startEndless(t, texts[0], texts[1])
		c := caller.NewWithin(l.Addr().(*net.TCPAddr).AddrPort(), 1, connector.NewAllowance(4<<20, nil), 1<<20)
		r := c.Call(t.Context(), caller.SearchPath, caller.Message{Query: "q", Attempt: "1", Deadline: "1s"})
		require.Equal(t, caller.Failed, r.Status, "%q: %v", texts, r.Err)
		require.Less(t, len(r.Err.Error()), 1<<10, "the error repeats what was read")
	}
}

// TestRelease guards against answers that hold no memory of the host, and against memory that is
// not returned with them.
func TestRelease(t *testing.T) {
	hits := `"` + strings.Repeat("a", 1<<18) + `"`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"query":"q","attempt":"1","body":`+hits+`}`)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	pool := connector.NewAllowance(4<<20, nil)
	c := caller.NewWithin(l.Addr().(*net.TCPAddr).AddrPort(), 1, pool, 2<<20)
	r := c.Call(t.Context(), caller.SearchPath, caller.Message{Query: "q", Attempt: "1", Deadline: "1s"})
	require.Equal(t, caller.Answered, r.Status, "%v", r.Err)
	require.GreaterOrEqual(t, pool.Used(), int64(len(hits)))
	r.Release()
	require.Zero(t, pool.Used())
	// One that does not fit says nothing about the server.
	require.NoError(t, pool.Take(4<<20-1<<10))
	require.Equal(t, caller.Cancelled, c.Call(t.Context(), caller.SearchPath, caller.Message{Query: "q", Attempt: "1", Deadline: "1s"}).Status)
	caller.Result{}.Release()
}
