package forwarder

import (
	"net"
	"net/netip"

	"github.com/uber-go/tally/v4"

	"gentianpond/internal/host/acceptor"
)

// limitClients makes the listeners accept connections within the memory and the file descriptors
// of the host.
func (f *Forwarder) limitClients(scope tally.Scope) {
	memory, files := f.settings.MemoryBytes, f.settings.Files
	if memory <= 0 {
		memory = acceptor.DefaultMemoryBytes
	}
	if files <= 0 {
		files = acceptor.DefaultFiles
	}
	f.descriptors = acceptor.SharedDescriptors(memory, files)
	f.clients = acceptor.New(f.clientListener, acceptor.Config{
		Limits: acceptor.ClientLimits(memory, files), Descriptors: f.descriptors, HeadBytes: f.headBytes, Name: "clients", Log: f.log, Scope: scope,
	})
	f.checks = acceptor.New(f.readinessListener, acceptor.Config{
		Limits: acceptor.SideLimits(memory, files), BodyTime: bodyTimeout, Name: "readiness", Log: f.log, Scope: scope,
	})
	if f.peerListener != nil {
		f.peerListener = acceptor.NewHostListener(f.peerListener, acceptor.HostConfig{
			Limits: acceptor.EntryHostLimits(memory, files), IsHost: f.isHost, Log: f.log, Scope: scope,
		})
	}
}

// isHost reports whether another entry host has an address: one that may hand over requests or
// borrow from allowances.
func (f *Forwarder) isHost(a netip.Addr) bool { return f.delegator.IsPeer(a) || f.lender.IsCaller(a) }

// headBytes returns the limit of the routing table in force for the head of a request, 0 if there
// is none.
func (f *Forwarder) headBytes() int {
	if t := f.relayer.Table(); t != nil {
		return t.Limits.HeaderBytes
	}
	return 0
}

// asClientConn returns the clientConn that a connection of the client server is, or wraps.
func asClientConn(conn net.Conn) (*clientConn, bool) {
	if limited, ok := conn.(*acceptor.Conn); ok {
		conn = limited.Unwrap()
	}
	c, ok := conn.(*clientConn)
	return c, ok
}
