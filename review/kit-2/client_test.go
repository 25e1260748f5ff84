//go:build review

package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Hosts and services of the desired state.
const (
	orderHost    = "order.example"
	orderService = "orders"
)

// document returns a desired state with a safe and an unsafe route to one service.
func document(version int) []byte {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": orderHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 2,
			"service": orderService, "attempts": 2,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("fetch", "/fetch/", "safe"), route("order", "/order/", "unsafe")},
		"services": []any{map[string]any{
			"name": orderService, "healthPath": "/health", "connectionLimit": 52, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// answer is what a client sees.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if no complete answer came.
	err error
}

// client is a stand-in of a client with one connection that it keeps.
type client struct {
	run     *run
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request and reads the answer, for which it waits as long as it tells the system.
func (c *client) send(method, host, target, id, body string, limit time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	c.run.note("client sends %s %s %s to %s", method, target, id, c.address)
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n%s\r\n%s", method, target, host, id, limit.Milliseconds(), length, body)
	if err != nil {
		c.close()
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.run.note("client gets no answer to %s: %v", id, err)
		c.close()
		return answer{err: err}
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	a := answer{status: res.StatusCode, header: res.Header, body: string(data), err: err}
	c.run.note("client gets %d to %s, stamp %q, not executed %q, body %q", a.status, id, a.header.Get("X-Response-Stamp"), a.header.Get("X-Not-Executed"), a.body)
	if err != nil || res.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
