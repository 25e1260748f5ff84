package loader

import (
	"net/netip"

	"gentianpond/internal/settings/scanner"
)

// usedAddresses holds the addresses of one settings file, to find those that are
// used for two purposes.
type usedAddresses struct {
	list []netip.AddrPort
}

// readListen reads the field listen, the address for callers and operators. An
// unspecified IP address means every interface.
func (u *usedAddresses) readListen(o scanner.Object) netip.AddrPort {
	n, ok := o.RequiredField("listen")
	if !ok {
		return netip.AddrPort{}
	}
	a, ok := n.Address()
	if ok {
		u.add(n, a, listenConflict)
	}
	return a
}

// readInner reads the field inner, the address of the inner service. This host
// listens on it in addition to listen.
func (u *usedAddresses) readInner(o scanner.Object) netip.AddrPort {
	n, ok := o.RequiredField("inner")
	if !ok {
		return netip.AddrPort{}
	}
	a, ok := n.Address()
	if ok && requireReachable(n, a) {
		u.add(n, a, listenConflict)
	}
	return a
}

// addRemote adds an address that another host listens on.
func (u *usedAddresses) addRemote(n scanner.Node, a netip.AddrPort) {
	if requireReachable(n, a) {
		u.add(n, a, sameAddress)
	}
}

// requireReachable reports a fault and returns false if other hosts cannot
// connect to a.
func requireReachable(n scanner.Node, a netip.AddrPort) bool {
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		n.Fault("%s cannot be reached by other hosts", a)
		return false
	}
	return true
}

// add reports a fault if a conflicts with an address that was added before, and
// adds it otherwise.
func (u *usedAddresses) add(n scanner.Node, a netip.AddrPort, conflict func(a, b netip.AddrPort) bool) {
	for _, b := range u.list {
		if conflict(a, b) {
			n.Fault("%s is already used in this file as %s", a, b)
			return
		}
	}
	u.list = append(u.list, a)
}

func sameAddress(a, b netip.AddrPort) bool { return a == b }

// listenConflict reports whether one host cannot listen on both a and b.
func listenConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
