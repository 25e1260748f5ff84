package loader

import (
	"net/netip"

	"gentianpond/internal/settings/scanner"
)

// usedAddresses holds the addresses of one settings file, to find those that are
// used for two purposes.
type usedAddresses struct {
	// addresses holds those that were added without a fault.
	addresses []netip.AddrPort
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
		u.addAddress(n, a, listenConflict)
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
		u.addAddress(n, a, listenConflict)
	}
	return a
}

// readPeer reads the field peer, the address for other entry hosts. By default it is the
// inner port at the address of listen, or none if that is every interface.
func (u *usedAddresses) readPeer(o scanner.Object, listen netip.AddrPort, innerPort uint16) netip.AddrPort {
	n, ok := o.Field("peer")
	if !ok {
		if !listen.IsValid() || listen.Addr().IsUnspecified() {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(listen.Addr(), innerPort)
	}
	a, ok := n.Address()
	if ok && requireReachable(n, a) {
		u.addAddress(n, a, listenConflict)
	}
	return a
}

// addRemote adds an address that another host listens on. It reports a fault at n if
// other hosts cannot reach the address or the file already uses it.
func (u *usedAddresses) addRemote(n scanner.Node, a netip.AddrPort) {
	if requireReachable(n, a) {
		u.addAddress(n, a, sameAddress)
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

// addAddress reports a fault at n if conflict returns true for a and an address that
// was added before, and adds a otherwise.
func (u *usedAddresses) addAddress(n scanner.Node, a netip.AddrPort, conflict func(a, b netip.AddrPort) bool) {
	for _, b := range u.addresses {
		if conflict(a, b) {
			n.Fault("%s is already used in this file as %s", a, b)
			return
		}
	}
	u.addresses = append(u.addresses, a)
}

// sameAddress reports whether a and b are equal. addRemote uses it because addresses
// that other hosts listen on conflict only if they are equal.
func sameAddress(a, b netip.AddrPort) bool { return a == b }

// listenConflict reports whether one host cannot listen on both a and b.
func listenConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
