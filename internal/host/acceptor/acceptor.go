// Package acceptor accepts the connections of HTTP clients and of other hosts, and bounds the
// connections and the memory that they hold, whatever they send. It passes a request on to the HTTP
// server only when its head is complete.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/host/rationer"
)

const (
	// DefaultMemoryBytes is the memory of a process whose settings do not name it.
	DefaultMemoryBytes = 256 << 20
	// DefaultFiles is the number of file descriptors of a process whose settings do not name it.
	DefaultFiles = 4096
	// DefaultHeadBytes bounds the head of a request where no lower limit is set.
	DefaultHeadBytes = 64 << 10
	// connectionBytes is the memory that an idle connection takes: the buffers of net/http, two
	// stacks and the connection itself.
	connectionBytes = 24 << 10
	// programBytes is the memory of the program's code and of a process without clients.
	programBytes = 20 << 20
	// connectionMemoryDivisor is the reciprocal of the share of the usable memory that the
	// connections of clients may take, and requestMemoryDivisor that of the share of all memory
	// for their heads and bodies.
	connectionMemoryDivisor = 6
	requestMemoryDivisor    = 8
	// ownFiles is the number of file descriptors that a host opens for itself: its listeners, the
	// journal or the log, and connections to control hosts and other hosts.
	ownFiles = 48
	// sideDivisor is the reciprocal of the share of the limits that apply on ports that only
	// operators and load balancers use.
	sideDivisor = 8
	// minSideClients and minSideBytes bound these limits from below.
	minSideClients = 8
	minSideBytes   = 512 << 10
)

// usableBytes returns the part of the memory of a host that its ports share.
func usableBytes(memoryBytes int64) int64 { return max(memoryBytes/2, memoryBytes-programBytes) }

// ClientLimits returns the limits on the main port of a process with the given memory and file
// descriptors.
func ClientLimits(memoryBytes int64, files int) rationer.Limits {
	return rationer.Limits{
		Clients: max(minSideClients, min(files/2, int(usableBytes(memoryBytes)/connectionMemoryDivisor/connectionBytes))),
		Bytes:   memoryBytes / requestMemoryDivisor,
	}
}

// SideLimits returns the limits on a port that only operators or load balancers use.
func SideLimits(memoryBytes int64, files int) rationer.Limits {
	l := ClientLimits(memoryBytes, files)
	return rationer.Limits{Clients: max(minSideClients, l.Clients/sideDivisor), Bytes: max(minSideBytes, l.Bytes/sideDivisor)}
}

// SharedDescriptors returns the account of the file descriptors that the clients of an entry host and
// its connections to backend servers share: all that the other ports and the host itself leave.
func SharedDescriptors(memoryBytes int64, files int) *rationer.Descriptors {
	side, hosts := SideLimits(memoryBytes, files), EntryHostLimits(memoryBytes, files)
	// The side ports are those for readiness checks and for metrics.
	others := 2*side.Clients + hosts.Known.Clients + hosts.Unknown.Clients + ownFiles
	return rationer.NewDescriptors(max(minSideClients, files-others))
}

// Config configures a Listener.
type Config struct {
	Limits rationer.Limits
	// HeadBytes returns the limit on the head of a request, if it is lower than
	// DefaultHeadBytes. It may be nil.
	HeadBytes func() int
	// BodyTime bounds the time to read a body. With 0 the caller bounds it.
	BodyTime time.Duration
	// Descriptors is an account of file descriptors that the port shares with others. When it is
	// exceeded, a client is disconnected for each new one. It may be nil.
	Descriptors *rationer.Descriptors
	// Name names the port in log lines and counters.
	Name  string
	Log   *log.Logger
	Scope tally.Scope
}

// Listener accepts connections within limits. Use New.
type Listener struct {
	net.Listener
	config Config
	events eventReporter
	// memory and connections show what the clients hold.
	memory, connections tally.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	rationer *rationer.Rationer
	conns    map[*rationer.Client]*Conn
}

// New returns a Listener on top of l.
func New(l net.Listener, c Config) *Listener {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	scope := c.Scope.Tagged(map[string]string{"port": c.Name})
	return &Listener{
		Listener: l, config: c, events: eventReporter{name: c.Name, log: c.Log, scope: scope},
		memory: scope.Gauge("client_memory"), connections: scope.Gauge("client_connections"),
		rationer: rationer.New(c.Limits), conns: map[*rationer.Client]*Conn{},
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		join := l.rationer.Join
		if l.config.Descriptors != nil && !l.config.Descriptors.Add() {
			join = l.rationer.Replace
		}
		l.mu.Lock()
		client, victim, ok := join(time.Now())
		c := &Conn{Conn: conn, listener: l, client: client, gated: true}
		if ok {
			l.conns[client] = c
		}
		closing := l.removeLocked(victim)
		l.connections.Update(float64(l.rationer.Clients()))
		l.mu.Unlock()
		l.disconnect(closing)
		if ok {
			return c, nil
		}
		l.report("refused", "connections")
		// An error means that the client has disconnected.
		_ = conn.Close()
		l.removeDescriptor()
	}
}

// removeDescriptor counts a connection as closed.
func (l *Listener) removeDescriptor() {
	if l.config.Descriptors != nil {
		l.config.Descriptors.Remove()
	}
}

// removeLocked removes clients that have left the rationer and returns their connections.
func (l *Listener) removeLocked(clients ...*rationer.Client) []*Conn {
	var list []*Conn
	for _, client := range clients {
		if c := l.conns[client]; c != nil {
			delete(l.conns, client)
			list = append(list, c)
		}
	}
	return list
}

// disconnect closes the connections of clients that were chosen by the rationer.
func (l *Listener) disconnect(conns []*Conn) {
	for _, c := range conns {
		c.evicted.Store(true)
		l.report("disconnected", "slow")
		// An error means that the client has disconnected.
		_ = c.Conn.Close()
	}
}

// report counts an event and logs it, at most once a second.
func (l *Listener) report(event, cause string) {
	l.mu.Lock()
	used, clients := l.rationer.Used(), l.rationer.Clients()
	l.mu.Unlock()
	l.events.report(event, cause, clients, used)
}

// headBytes returns the limit on the head of a request.
func (l *Listener) headBytes() int {
	if l.config.HeadBytes != nil {
		if n := l.config.HeadBytes(); n > 0 {
			return min(n, DefaultHeadBytes)
		}
	}
	return DefaultHeadBytes
}

// Attach makes a server that will serve the listener use its connections. ConnState and
// ConnContext of the server are still called.
func Attach(s *http.Server) {
	state, withConn := s.ConnState, s.ConnContext
	s.ConnState = func(conn net.Conn, v http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(v)
		}
		if state != nil {
			state(conn, v)
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
