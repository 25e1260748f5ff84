package server

import (
	"net/netip"
	"time"

	"gentianpond/internal/value/container"
)

// knownHostsInterval is how often the addresses of known hosts are collected. Until then, a host that
// has just started shares the limits of unknown addresses.
const knownHostsInterval = 250 * time.Millisecond

// isHost reports whether a host of the system has an address.
func (s *Server) isHost(a netip.Addr) bool {
	known := s.knownHosts.Load()
	return known != nil && known.Has(a)
}

// updateKnownHosts stores the addresses of the hosts of the system for the listener.
func (l *loop) updateKnownHosts(now time.Duration) {
	if l.storeKnownHosts == nil || now < l.nextKnownHosts {
		return
	}
	l.nextKnownHosts = now + knownHostsInterval
	l.storeKnownHosts(l.hostAddresses())
}

// hostAddresses returns the addresses of the control hosts, and of the entry hosts that are in the
// view or watch this host as the leader.
func (l *loop) hostAddresses() container.Set[netip.Addr] {
	var known container.Set[netip.Addr]
	for _, h := range l.helloReceivers() {
		known.Add(h.Address.Addr())
	}
	for _, m := range l.keeper.View().Members {
		if a, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			known.Add(a.Addr())
		}
	}
	for name := range l.watchingHosts.hosts {
		// An entry host that watches is named after its address. Other names are ignored.
		if a, err := netip.ParseAddr(name); err == nil {
			known.Add(a)
		}
	}
	return known
}
