package messenger

import (
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
)

// Conns caches one connection per process. The zero value is ready to use; it is
// safe for concurrent use.
type Conns struct {
	// DialOptions are added to the options with which Dial makes a connection.
	DialOptions []grpc.DialOption

	// mu guards conns.
	mu sync.Mutex
	// conns holds the open connections by the address of the process.
	conns map[netip.AddrPort]*grpc.ClientConn
}

// Get returns the connection to the process at addr. A new connection starts
// connecting at once.
func (c *Conns) Get(addr netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	conn, err := Dial(addr, c.DialOptions...)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	conn.Connect()
	if c.conns == nil {
		c.conns = map[netip.AddrPort]*grpc.ClientConn{}
	}
	c.conns[addr] = conn
	return conn, nil
}

// Drop closes and removes the connection to a process that did not answer, so that
// the next Get makes a new one.
func (c *Conns) Drop(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}

// Close closes and removes all connections.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}
