package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is the disturbance that a proxy applies to its connections.
type Fault int32

// Faults of a proxy.
const (
	// NoFault forwards bytes in both directions.
	NoFault Fault = iota
	// DelayBytes delays each chunk of bytes by byteDelay.
	DelayBytes
	// StallToServer holds back the bytes to the server, StallToClient those to
	// the client, for as long as the fault lasts.
	StallToServer
	StallToClient
	// StallBoth holds back bytes in both directions. Connections stay open.
	StallBoth
	// RefuseConnections closes new connections; open ones go on.
	RefuseConnections
	faultCount
)

// FaultKinds is the number of values of Fault, with NoFault.
const FaultKinds = int(faultCount)

const (
	byteDelay         = 80 * time.Millisecond
	stallPollInterval = 5 * time.Millisecond
)

// Proxy forwards TCP connections to one address.
type Proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32

	mu    sync.Mutex
	conns []*net.TCPConn
}

// StartProxy starts a proxy to the target address.
func StartProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l}
	go p.accept()
	return p, nil
}

// Addr returns the proxy's own address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFault changes the fault for open and new connections.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(int32(f)) }

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == RefuseConnections {
			_ = c.Close()
			continue
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// forward connects a client to the target and copies bytes in both directions.
func (p *Proxy) forward(client *net.TCPConn) {
	raw, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	server := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns = append(p.conns, client, server)
	p.mu.Unlock()
	go p.copyBytes(server, client, StallToServer)
	p.copyBytes(client, server, StallToClient)
}

// copyBytes copies one direction of a connection until it ends; stall is the
// fault that holds back this direction alone.
func (p *Proxy) copyBytes(to, from *net.TCPConn, stall Fault) {
	defer func() { _ = to.CloseWrite() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for f := Fault(p.fault.Load()); f == stall || f == StallBoth; f = Fault(p.fault.Load()) {
				time.Sleep(stallPollInterval)
			}
			if Fault(p.fault.Load()) == DelayBytes {
				time.Sleep(byteDelay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}
