// Package caller calls one backend server of the project's own interface.
//
// It never sends a request twice: a server that may have run it must not get it
// again.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
)

// The paths under which backend servers take requests.
const (
	SearchPath = "/search"
	OrderPath  = "/order"
)

// settleLimit bounds the wait for a server to end a request that was called off. A
// server that still runs it has no free slot for the next one; busy servers need some
// milliseconds to notice.
const settleLimit = 200 * time.Millisecond

// Caller holds the connections to one incarnation of one backend server.
type Caller struct {
	host string
	pool *connector.Pool
}

// New returns a caller for the server at addr that holds at most limit
// connections. It connects on the first call or on Warm.
func New(addr netip.AddrPort, limit int) *Caller {
	return &Caller{host: addr.String(), pool: connector.New(addr, limit)}
}

// Close closes the connections that no call is using.
func (c *Caller) Close() { c.pool.CloseIdle() }

// Warm opens count connections, so that no query has to wait for one. Failures
// show at the first call.
func (c *Caller) Warm(ctx context.Context, count int) {
	var group sync.WaitGroup
	for range count {
		group.Go(func() { _ = c.pool.Connect(ctx) })
	}
	group.Wait()
}

// Call sends m to path once and waits for the answer. The request is called
// off when ctx ends.
func (c *Caller) Call(ctx context.Context, path string, m Message) Result {
	start := time.Now()
	r := c.call(ctx, path, m)
	r.Latency = time.Since(start)
	return r
}

func (c *Caller) call(ctx context.Context, path string, m Message) Result {
	data, err := json.Marshal(m)
	if err != nil {
		return Result{Status: Unsent, Err: errors.Wrap(err, "encode request")}
	}
	res, err := c.pool.Do(ctx, &connector.Request{
		Method:    http.MethodPost,
		Target:    path,
		Host:      c.host,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      data,
		CloseWait: settleLimit,
	})
	switch {
	case errors.Is(err, connector.ErrUnsent):
		return Result{Status: Unsent, Err: errors.Wrap(err, "call backend server")}
	case err != nil:
		return Result{Status: interrupted(ctx), Err: errors.Wrap(err, "call backend server")}
	}
	return read(res, m)
}

func read(res *connector.Response, m Message) Result {
	if res.Header.Get(StartedHeader) == "no" {
		return notStarted(res.Status)
	}
	if res.Status != http.StatusOK {
		return Result{Status: Failed, Err: errors.Errorf("backend server answered %d", res.Status)}
	}
	var r reply
	if err := json.Unmarshal(res.Body, &r); err != nil {
		return Result{Status: Failed, Err: errors.Wrap(err, "decode answer")}
	}
	if !r.answers(m) {
		return Result{Status: Crossed, Err: errors.New("answer belongs to another request")}
	}
	return Result{Status: Answered, Body: r.Body}
}

func notStarted(code int) Result {
	err := errors.Errorf("backend server refused with %d", code)
	if code == http.StatusConflict {
		return Result{Status: Missing, Err: err}
	}
	return Result{Status: Shed, Err: err}
}

// interrupted classifies a call that ended after the request had left.
func interrupted(ctx context.Context) Status {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return Broken
	}
}
