package acceptor

import (
	"context"
	"slices"
	"sync/atomic"

	"google.golang.org/grpc"

	"gentianpond/internal/protocol/messenger"
)

// CountCalls returns a registrar for the services of a server with LimitCalls. It counts the memory of
// requests before they are decoded, which may take many times the bytes that were received, until
// their calls have ended. Calls with a request for which there is no memory get ErrNoCallMemory.
func CountCalls(server grpc.ServiceRegistrar) grpc.ServiceRegistrar { return callCounter{server} }

type callCounter struct{ grpc.ServiceRegistrar }

// RegisterService implements grpc.ServiceRegistrar.
func (c callCounter) RegisterService(desc *grpc.ServiceDesc, service any) {
	counted := *desc
	counted.Methods = slices.Clone(desc.Methods)
	for i := range counted.Methods {
		counted.Methods[i].Handler = countMethod(counted.Methods[i].Handler)
	}
	counted.Streams = slices.Clone(desc.Streams)
	for i := range counted.Streams {
		counted.Streams[i].Handler = countStream(counted.Streams[i].Handler)
	}
	c.ServiceRegistrar.RegisterService(&counted, service)
}

// countMethod counts the memory of the request of each call.
func countMethod(handler grpc.MethodHandler) grpc.MethodHandler {
	return func(service any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
		a := newCallAccount()
		defer a.end()
		return handler(service, context.WithValue(ctx, accountKey{}, a), func(m any) error { return a.decode(ctx, m, decode) }, interceptor)
	}
}

// countStream counts the memory of the requests of each call.
func countStream(handler grpc.StreamHandler) grpc.StreamHandler {
	return func(service any, stream grpc.ServerStream) error {
		s := &countedStream{ServerStream: stream, account: newCallAccount()}
		defer s.account.end()
		return handler(service, s)
	}
}

// countedStream is a stream whose received messages are counted.
type countedStream struct {
	grpc.ServerStream
	account *callAccount
}

// RecvMsg implements grpc.ServerStream.
func (s *countedStream) RecvMsg(m any) error {
	return s.account.decode(s.Context(), m, s.ServerStream.RecvMsg)
}

// callAccount holds the memory of the requests of a call. It does not end with the connection, whose
// calls may still be handled.
type callAccount struct {
	listener *HostListener
	// class is the class that counts the memory, nil before there is any.
	class *hostClass
	held  int64
	// holders is the number of those that need the requests: the call itself, and callers of Keep.
	holders atomic.Int32
}

// accountKey is the key of the account in the context of a call.
type accountKey struct{}

func newCallAccount() *callAccount {
	a := &callAccount{}
	a.holders.Store(1)
	return a
}

// Keep keeps the memory of the request of a call until the returned function is called, also after the
// call has ended. It is for requests that wait for somebody else to handle them. The context is that
// of the handler; without a connection of a HostListener nothing is kept.
func Keep(ctx context.Context) (release func()) {
	a, ok := ctx.Value(accountKey{}).(*callAccount)
	if !ok {
		return func() {}
	}
	a.holders.Add(1)
	return a.end
}

// decode decodes a request, within the memory for calls.
func (a *callAccount) decode(ctx context.Context, m any, decode func(any) error) error {
	c, ok := connOfCall(ctx)
	if !ok {
		return decode(m)
	}
	refused := false
	err := decode(&messenger.Request{Message: m, Reserve: func(received, decoded int64) bool {
		n := handlerBytes + decoded
		refused = !a.charge(c, n, decoded-received)
		promiseOf(ctx).end()
		return !refused
	}})
	if refused {
		return ErrNoCallMemory
	}
	return err
}

// charge adds the memory of a decoded request that arrived on a connection, of which extra exceeds what
// was received. It returns false if there is no room for the extra memory.
func (a *callAccount) charge(c *HostConn, n, extra int64) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if extra > freeBytes && c.class.Exceeded(extra) {
		return false
	}
	a.listener, a.held = l, a.held+n
	if a.class == nil {
		a.class = c.class
	}
	a.class.Add(n)
	return true
}

// end returns the memory if nobody else needs the requests.
func (a *callAccount) end() {
	if a.holders.Add(-1) > 0 || a.class == nil {
		return
	}
	a.listener.mu.Lock()
	defer a.listener.mu.Unlock()
	a.class.Add(-a.held)
}
