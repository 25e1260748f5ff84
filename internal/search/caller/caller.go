// Package caller sends requests to one backend server that implements the
// project's own HTTP interface.
//
// It never sends a request twice: a server that may have run a request must not
// get it again.
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

// The paths at which backend servers accept requests.
const (
	// SearchPath accepts the sub-request of a search for one shard.
	SearchPath = "/search"
	// OrderPath accepts an order.
	OrderPath = "/order"
)

// cancelGracePeriod bounds the wait for a server to end a cancelled request. A
// server that still runs it has no free slot for the next one; busy servers need
// some milliseconds to notice.
const cancelGracePeriod = 200 * time.Millisecond

const (
	// DefaultAnswerBytes is the memory that one answer may hold while it is read and decoded,
	// and defaultAnswersBytes what all answers of a server may hold together.
	DefaultAnswerBytes  = 16 << 20
	defaultAnswersBytes = 32 << 20
)

// Caller holds the connections to one incarnation of one backend server.
type Caller struct {
	// host is the Host header of requests: the server's address.
	host string
	// pool holds the connections to the server.
	pool *connector.Pool
	// answers is the memory for all answers, and answerBytes bounds that of one of them.
	answers     *connector.Allowance
	answerBytes int64
}

// New returns a caller for the server at addr that holds at most limit
// connections. It connects on the first call or on Preconnect.
func New(addr netip.AddrPort, limit int) *Caller {
	return NewWithin(addr, limit, connector.NewAllowance(defaultAnswersBytes, nil), DefaultAnswerBytes)
}

// NewWithin is New with the memory that the answers hold, which may be shared with other
// callers, and the memory in bytes that each of them may hold.
func NewWithin(addr netip.AddrPort, limit int, answers *connector.Allowance, answerBytes int64) *Caller {
	return &Caller{host: addr.String(), pool: connector.New(addr, limit), answers: answers, answerBytes: answerBytes}
}

// CloseIdle closes the connections that no call is using.
func (c *Caller) CloseIdle() { c.pool.CloseIdle() }

// Preconnect opens count connections, so that no query has to wait for one. A failure
// to connect is reported by the first call instead.
func (c *Caller) Preconnect(ctx context.Context, count int) {
	var group sync.WaitGroup
	for range count {
		group.Go(func() { _ = c.pool.Connect(ctx) })
	}
	group.Wait()
}

// Call sends m to path once and waits for the answer. The request is cancelled
// when ctx ends. The result has to be released when its body is no longer needed.
func (c *Caller) Call(ctx context.Context, path string, m Message) Result {
	start := time.Now()
	r := c.call(ctx, path, m)
	r.Latency = time.Since(start)
	return r
}

// call is Call without the latency.
func (c *Caller) call(ctx context.Context, path string, m Message) Result {
	data, err := json.Marshal(m)
	if err != nil {
		return Result{Status: Unsent, Err: errors.Wrap(err, "encode request")}
	}
	answer := connector.NewAllowance(c.answerBytes, c.answers)
	res, err := c.pool.Do(ctx, &connector.Request{
		Method:    http.MethodPost,
		Target:    path,
		Host:      c.host,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      data,
		CloseWait: cancelGracePeriod,
		Allowance: answer,
	})
	switch {
	case errors.Is(err, connector.ErrUnsent):
		return Result{Status: Unsent, Err: errors.Wrap(err, "call backend server")}
	case errors.Is(err, connector.ErrExhausted):
		// The server is not at fault, and the request is not repeated at once.
		return Result{Status: Cancelled, Err: errors.Wrap(err, "call backend server")}
	case errors.Is(err, connector.ErrTooLarge), errors.Is(err, connector.ErrMalformed):
		// The connection did not break, so the request has not crashed the server.
		return Result{Status: Failed, Err: errors.Wrap(err, "call backend server")}
	case err != nil:
		return Result{Status: interruptedStatus(ctx), Err: errors.Wrap(err, "call backend server")}
	}
	r := decodeResponse(res, m)
	if r.Status != Answered {
		answer.Close()
		return r
	}
	r.answer = answer
	return r
}

// decodeResponse converts the HTTP response to the request m to a result.
func decodeResponse(res *connector.Response, m Message) Result {
	if res.Header.Get(StartedHeader) == "no" {
		return notStartedResult(res.Status)
	}
	if res.Status != http.StatusOK {
		return Result{Status: Failed, Err: errors.Errorf("backend server answered with HTTP status %d", res.Status)}
	}
	var r reply
	if err := json.Unmarshal(res.Body, &r); err != nil {
		return Result{Status: Failed, Err: errors.Wrap(err, "decode answer")}
	}
	if !r.matches(m) {
		return Result{Status: Crossed, Err: errors.New("answer belongs to another request")}
	}
	return Result{Status: Answered, Body: r.Body}
}

// notStartedResult converts the HTTP status of a refusal. The status 409 means
// that the server does not have what was asked for.
func notStartedResult(code int) Result {
	err := errors.Errorf("backend server refused the request with HTTP status %d", code)
	if code == http.StatusConflict {
		return Result{Status: Missing, Err: err}
	}
	return Result{Status: Shed, Err: err}
}

// interruptedStatus returns the status of a call that ended without an answer
// after sending had begun.
func interruptedStatus(ctx context.Context) Status {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return Broken
	}
}
