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
		u.use(n, a)
	}
	return a
}

// inner reads the address of the inner service.
func (u *addresses) inner(o scanner.Object) netip.AddrPort {
	n, ok := o.Need("inner")
	if !ok {
		return netip.AddrPort{}
	}
	a, ok := n.Address()
	if ok {
		u.remote(n, a)
	}
	return a
}

// remote takes an address that other hosts connect to.
func (u *addresses) remote(n scanner.Node, a netip.AddrPort) {
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		n.Fault("%s cannot be reached by other hosts", a)
		return
	}
	u.use(n, a)
}

func (u *addresses) use(n scanner.Node, a netip.AddrPort) {
	for _, b := range u.seen {
		if clash(a, b) {
			n.Fault("%s is already used in this file as %s", a, b)
			return
		}
	}
	u.seen = append(u.seen, a)
}

// clash reports whether one host cannot listen on both addresses.
func clash(a, b netip.AddrPort) bool {
	return a == b
}
