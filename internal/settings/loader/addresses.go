package loader

import (
	"net/netip"

	"gentianpond/internal/settings/scanner"
)

// addresses finds addresses that one file uses for two purposes.
type addresses struct {
	seen []netip.AddrPort
}

// listen reads the address for callers and operators; it may be unspecified
// to mean every interface.
func (u *addresses) listen(o scanner.Object) netip.AddrPort {
	n, ok := o.Need("listen")
	if !ok {
		return netip.AddrPort{}
	}
	a, ok := n.Address()
	if ok {
		u.use(n, a, clash)
	}
	return a
}

// inner reads the address of the inner service, which this host listens on
// besides listen.
func (u *addresses) inner(o scanner.Object) netip.AddrPort {
	n, ok := o.Need("inner")
	if !ok {
		return netip.AddrPort{}
	}
	a, ok := n.Address()
	if ok && reachable(n, a) {
		u.use(n, a, clash)
	}
	return a
}

// remote takes an address of another host.
func (u *addresses) remote(n scanner.Node, a netip.AddrPort) {
	if reachable(n, a) {
		u.use(n, a, same)
	}
}

// reachable reports a fault if other hosts cannot connect to a.
func reachable(n scanner.Node, a netip.AddrPort) bool {
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		n.Fault("%s cannot be reached by other hosts", a)
		return false
	}
	return true
}

func (u *addresses) use(n scanner.Node, a netip.AddrPort, clashes func(a, b netip.AddrPort) bool) {
	for _, b := range u.seen {
		if clashes(a, b) {
			n.Fault("%s is already used in this file as %s", a, b)
			return
		}
	}
	u.seen = append(u.seen, a)
}

func same(a, b netip.AddrPort) bool { return a == b }

// clash reports whether one host cannot listen on both addresses.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
