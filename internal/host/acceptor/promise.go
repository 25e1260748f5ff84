package acceptor

import (
	"context"
	"sync"
	"time"
)

// promise is memory that is kept for a request whose length was announced and that is still on its
// way. The bytes that have arrived count beside it until the request is complete, so that fewer
// calls are accepted at a time than there is memory for, and never more.
type promise struct {
	conn  *HostConn
	bytes int64
	once  sync.Once
}

// promiseKey is the key of the promise in the context of a call.
type promiseKey struct{}

// end returns the memory of the promise, once. A nil promise is ignored.
func (p *promise) end() {
	if p == nil {
		return
	}
	p.once.Do(func() {
		p.conn.listener.mu.Lock()
		defer p.conn.listener.mu.Unlock()
		p.conn.class.promised -= p.bytes
	})
}

// promiseOf returns the promise of a call, nil if there is none.
func promiseOf(ctx context.Context) *promise {
	p, _ := ctx.Value(promiseKey{}).(*promise)
	return p
}

// acceptCall reports whether there is memory for a call with a request of the announced length, and keeps
// it: until the request is complete or the call has ended, for hostWait at most. Without an
// announcement the call is accepted while the class keeps its limit.
func (c *HostConn) acceptCall(ctx context.Context, announced int64) (context.Context, bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if announced == 0 || c.class != l.known {
		return ctx, !c.class.Exceeded(0)
	}
	if c.class.Exceeded(c.class.promised + announced) {
		return ctx, false
	}
	c.class.promised += announced
	p := &promise{conn: c, bytes: announced}
	time.AfterFunc(hostWait, p.end)
	context.AfterFunc(ctx, p.end)
	return context.WithValue(ctx, promiseKey{}, p), true
}
