package loader

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/scanner"
)

const (
	// DefaultGrace is how long a planned stop may take when the settings name no
	// time.
	DefaultGrace = 10 * time.Second
	// maxLosses bounds the losses of control hosts that a group is made for.
	maxLosses = 16
	// maxExtra bounds the extra sends that a budget allows without requests.
	maxExtra = 1 << 20
	// minShare and maxShare bound the part of a core that a host has.
	minShare = 0.01
	maxShare = 1024
)

// Relay holds the settings of an entry host that relays the requests of a
// routing table.
type Relay struct {
	Name string
	Zone string
	// Listen is the address for clients, Ready that for the load balancer's
	// checks.
	Listen netip.AddrPort
	Ready  netip.AddrPort
	// Seeds are the inner addresses of some control hosts.
	Seeds []netip.AddrPort
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Ratio, Extra and Window are the budget for extra sends to a service, of all
	// hosts together.
	Ratio  float64
	Extra  int
	Window time.Duration
	// Share is the part of a core that the host has; 1 when it is not given.
	Share float64
	// Metrics is the address of the metrics page; none means no page.
	Metrics netip.AddrPort
}

// Member holds the settings of a control host of an open group.
type Member struct {
	Name string
	Zone string
	// Listen is the address for operators and backend servers, Inner the address
	// of the inner service.
	Listen netip.AddrPort
	Inner  netip.AddrPort
	// Data is the folder for durable state.
	Data string
	// Seeds are the inner addresses of some control hosts.
	Seeds []netip.AddrPort
	// Bootstrap is true at the very first start of the group only.
	Bootstrap bool
	// Losses is how many control hosts may be lost at the same time.
	Losses  int
	Metrics netip.AddrPort
}

// ReadRelay reads the settings file of a relaying entry host.
func ReadRelay(path string) (Relay, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, errors.Wrap(err, "read settings")
	}
	return ParseRelay(path, text)
}

// ReadMember reads the settings file of a control host of an open group.
func ReadMember(path string) (Member, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Member{}, errors.Wrap(err, "read settings")
	}
	return ParseMember(path, text)
}

// ParseRelay is ReadRelay for a text; name is used in errors only.
func ParseRelay(name string, text []byte) (Relay, error) {
	s, root := scanner.Parse(name, text)
	r := Relay{Grace: DefaultGrace, Share: 1}
	if o, ok := root.Object("name", "zone", "listen", "ready", "control", "port", "grace", "ratio", "extra", "window", "share", "metrics"); ok {
		var used addresses
		r.Name = needName(o, "name")
		r.Zone = needName(o, "zone")
		r.Listen = used.listen(o)
		r.Ready = need(o, "ready", scanner.Node.Address)
		r.Seeds = parseSeeds(o, parsePort(o))
		r.Ratio = need(o, "ratio", func(n scanner.Node) (float64, bool) { return n.Float(0, 1) })
		r.Extra = int(need(o, "extra", func(n scanner.Node) (uint64, bool) { return n.Uint(0, maxExtra) }))
		r.Window = need(o, "window", func(n scanner.Node) (time.Duration, bool) { return n.Duration(time.Second, time.Hour) })
		if n, ok := o.Field("grace"); ok {
			r.Grace, _ = n.Duration(time.Second, maxDrain)
		}
		if n, ok := o.Field("share"); ok {
			r.Share, _ = n.Float(minShare, maxShare)
		}
		if n, ok := o.Field("metrics"); ok {
			r.Metrics, _ = n.Address()
		}
	}
	return r, s.Err()
}

// ParseMember is ReadMember for a text; name is used in errors only.
func ParseMember(name string, text []byte) (Member, error) {
	s, root := scanner.Parse(name, text)
	var m Member
	if o, ok := root.Object("name", "zone", "listen", "control", "port", "data", "bootstrap", "losses", "metrics"); ok {
		var used addresses
		m.Name = needName(o, "name")
		m.Zone = needName(o, "zone")
		m.Listen = used.listen(o)
		port := parsePort(o)
		m.Inner = netip.AddrPortFrom(m.Listen.Addr(), port)
		m.Data = need(o, "data", scanner.Node.String)
		m.Seeds = parseSeeds(o, port)
		m.Bootstrap = need(o, "bootstrap", scanner.Node.Bool)
		m.Losses = int(need(o, "losses", func(n scanner.Node) (uint64, bool) { return n.Uint(0, maxLosses) }))
		if n, ok := o.Field("metrics"); ok {
			m.Metrics, _ = n.Address()
		}
	}
	return m, s.Err()
}

// need reads a field that has to be there.
func need[T any](o scanner.Object, field string, read func(scanner.Node) (T, bool)) T {
	var v T
	if n, ok := o.Need(field); ok {
		v, _ = read(n)
	}
	return v
}

func parsePort(o scanner.Object) uint16 {
	return uint16(need(o, "port", func(n scanner.Node) (uint64, bool) { return n.Uint(1, 65535) }))
}

// parseSeeds turns the addresses at which operators reach control hosts into
// inner ones: the inner port is the same on all hosts.
func parseSeeds(o scanner.Object, port uint16) []netip.AddrPort {
	n, ok := o.Need("control")
	if !ok {
		return nil
	}
	nodes, ok := n.Array()
	if ok && len(nodes) == 0 {
		n.Fault("no control host is listed")
	}
	var list []netip.AddrPort
	for _, n := range nodes {
		if a, ok := n.Address(); ok && reachable(n, a) {
			list = append(list, netip.AddrPortFrom(a.Addr(), port))
		}
	}
	return list
}
