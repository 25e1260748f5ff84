package acceptor

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/host/rationer"
	"gentianpond/internal/protocol/framer"
)

const (
	// hostConnectionBytes is the memory that a connection between hosts takes: the buffers of
	// grpc and the stacks of its goroutines.
	hostConnectionBytes = 32 << 10
	// unknownMemoryDivisor is the reciprocal of the share of the usable memory for connections
	// from unknown addresses.
	unknownMemoryDivisor = 64
	// unknownFilesDivisor is the reciprocal of the share of the file descriptors for connections
	// from unknown addresses, and perAddressDivisor that for connections from one of them.
	unknownFilesDivisor = 16
	perAddressDivisor   = 64
	// minHostConnections bounds these numbers of connections from below.
	minHostConnections = 8
)

// HostLimits is what the connections at the port for other hosts may hold.
type HostLimits struct {
	// Known limits those from addresses of hosts of the system, and Unknown all others.
	Known, Unknown rationer.Limits
}

// divisors are the reciprocals of shares: of the file descriptors and of the usable memory for
// connections from hosts of the system, and of the usable memory for calls from there and from unknown
// addresses.
type divisors struct {
	memory                   int64
	files                    int
	knownCalls, unknownCalls int64
}

// EntryHostLimits returns the limits of an entry host with the given memory and file descriptors. It is
// called by other entry hosts only.
func EntryHostLimits(memoryBytes int64, files int) HostLimits {
	return hostLimits(memoryBytes, files, divisors{files: 8, memory: 16, knownCalls: 16, unknownCalls: 32})
}

// ControlHostLimits returns the limits of a control host with the given memory and file descriptors.
// All entry hosts connect to it, and it receives snapshots. Commands call it from unknown addresses and
// may ask for a document of 8 MiB.
func ControlHostLimits(memoryBytes int64, files int) HostLimits {
	return hostLimits(memoryBytes, files, divisors{files: 4, memory: 8, knownCalls: 4, unknownCalls: 16})
}

// hostLimits returns the limits of a host with the given shares.
func hostLimits(memoryBytes int64, files int, d divisors) HostLimits {
	usable := usableBytes(memoryBytes)
	connections := func(files int, memory int64) int {
		return max(minHostConnections, min(files, int(memory/hostConnectionBytes)))
	}
	return HostLimits{
		Known: rationer.Limits{
			Clients: connections(files/d.files, usable/d.memory),
			Bytes:   usable / d.knownCalls,
		},
		Unknown: rationer.Limits{
			Clients:    connections(files/unknownFilesDivisor, usable/unknownMemoryDivisor),
			PerAddress: max(minHostConnections, files/perAddressDivisor),
			Bytes:      usable / d.unknownCalls,
		},
	}
}

// HostConfig configures a HostListener.
type HostConfig struct {
	Limits HostLimits
	// IsHost reports whether a host of the system has an address. Connections from there do not
	// compete with others. It must not block.
	IsHost func(netip.Addr) bool
	Log    *log.Logger
	Scope  tally.Scope
}

// HostListener accepts connections of other hosts, which use HTTP/2, within limits. Use
// NewHostListener.
type HostListener struct {
	net.Listener
	config HostConfig
	events eventReporter

	// mu guards the fields below, and those of the connections that say so.
	mu             sync.Mutex
	known, unknown *hostClass
	conns          map[*rationer.Client]*HostConn
}

// hostClass is a class of connections that share limits.
type hostClass struct {
	*rationer.Rationer
	// promised is the memory of all promises.
	promised int64
	// wait is how long a connection waits for memory before it is closed.
	wait time.Duration
	// memory and connections show what the connections hold.
	memory, connections tally.Gauge
}

// update sets the gauges.
func (c *hostClass) update() {
	c.memory.Update(float64(c.Used()))
	c.connections.Update(float64(c.Clients()))
}

// NewHostListener returns a HostListener on top of l.
func NewHostListener(l net.Listener, c HostConfig) *HostListener {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	scope := c.Scope.SubScope("hosts")
	class := func(name string, l rationer.Limits, wait time.Duration) *hostClass {
		scope := scope.Tagged(map[string]string{"class": name})
		return &hostClass{Rationer: rationer.New(l), wait: wait, memory: scope.Gauge("memory"), connections: scope.Gauge("connections")}
	}
	return &HostListener{
		Listener: l, config: c, events: eventReporter{name: "hosts", log: c.Log, scope: scope},
		known: class("known", c.Limits.Known, hostWait), unknown: class("unknown", c.Limits.Unknown, 0), conns: map[*rationer.Client]*HostConn{},
	}
}

// Accept implements net.Listener.
func (l *HostListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, victims := l.join(conn)
		l.disconnect("slow", victims)
		if c != nil {
			setTimeout(conn)
			return c, nil
		}
		l.report("refused", "connections")
		// An error means that the other side has disconnected.
		_ = conn.Close()
	}
}

// join adds a connection. It returns nil if there is no room, and the connections to close for it.
func (l *HostListener) join(conn net.Conn) (*HostConn, []*HostConn) {
	// An address that is no IP address is unknown.
	address, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	from := address.Addr().Unmap()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promoteLocked(now)
	class := l.unknown
	if l.config.IsHost(from) {
		class = l.known
	}
	client, victim, ok := class.JoinFrom(from, now)
	victims := l.removeLocked(victim)
	if !ok {
		return nil, victims
	}
	c := &HostConn{Conn: conn, listener: l, address: from, class: class, client: client, in: framer.Scanner{Skip: framer.PrefaceBytes}, streams: map[uint32]int64{}}
	l.conns[client] = c
	class.update()
	return c, victims
}

// promoteLocked moves connections whose address has become known to the other class, if there is
// room.
func (l *HostListener) promoteLocked(now time.Time) {
	for client, c := range l.conns {
		if c.class == l.known || !l.config.IsHost(c.address) {
			continue
		}
		next, victim, ok := l.known.JoinFrom(c.address, now)
		if !ok || victim != nil {
			continue
		}
		l.known.Charge(next, client.Held())
		l.unknown.Leave(client)
		delete(l.conns, client)
		c.class, c.client = l.known, next
		l.conns[next] = c
	}
}

// removeLocked removes connections that have left their class and returns them.
func (l *HostListener) removeLocked(clients ...*rationer.Client) []*HostConn {
	var list []*HostConn
	for _, client := range clients {
		if c := l.conns[client]; c != nil {
			delete(l.conns, client)
			list = append(list, c)
		}
	}
	return list
}

// disconnect closes connections in favor of others.
func (l *HostListener) disconnect(cause string, conns []*HostConn) {
	for _, c := range conns {
		l.report("disconnected", cause)
		// An error means that the other side has disconnected.
		_ = c.Conn.Close()
	}
}

// report counts an event and logs it, at most once a second.
func (l *HostListener) report(event, cause string) {
	l.mu.Lock()
	connections, used := l.known.Clients()+l.unknown.Clients(), l.known.Used()+l.unknown.Used()
	l.mu.Unlock()
	l.events.report(event, cause, connections, used)
}

// Close implements net.Listener. It also closes the connections on which no call has begun: the
// server would wait for their handshakes before it stops.
func (l *HostListener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	var unused []*HostConn
	for _, c := range l.conns {
		if c.lastStream == 0 {
			unused = append(unused, c)
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		// An error means that the other side has disconnected.
		_ = c.Conn.Close()
	}
	return err
}
