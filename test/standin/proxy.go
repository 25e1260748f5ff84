package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int32

// Faults of a proxy.
const (
	// Pass carries bytes both ways.
	Pass Fault = iota
	// Slow delays every piece of bytes.
	Slow
	// Deaf carries nothing towards the server, Mute nothing back.
	Deaf
	Mute
	// Silent carries nothing either way and resets nothing.
	Silent
	// Refuse closes new connections.
	Refuse
	faultCount
)

// Faults is the number of kinds.
const Faults = int(faultCount)

const (
	slowDelay  = 80 * time.Millisecond
	faultCheck = 5 * time.Millisecond
)

// Proxy carries the connections to one address.
type Proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32

	mu    sync.Mutex
	conns []*net.TCPConn
}

// StartProxy returns a proxy to target.
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

// Set changes the fault for open and new connections.
func (p *Proxy) Set(f Fault) { p.fault.Store(int32(f)) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == Refuse {
			_ = c.Close()
			continue
		}
		go p.carry(c.(*net.TCPConn))
	}
}

func (p *Proxy) carry(client *net.TCPConn) {
	raw, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	server := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns = append(p.conns, client, server)
	p.mu.Unlock()
	go p.pump(server, client, Deaf)
	p.pump(client, server, Mute)
}

// pump copies one direction; stopped is the fault that stops just it.
func (p *Proxy) pump(to, from *net.TCPConn, stopped Fault) {
	defer func() { _ = to.CloseWrite() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for f := Fault(p.fault.Load()); f == stopped || f == Silent; f = Fault(p.fault.Load()) {
				time.Sleep(faultCheck)
			}
			if Fault(p.fault.Load()) == Slow {
				time.Sleep(slowDelay)
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
