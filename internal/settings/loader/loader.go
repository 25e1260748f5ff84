// Package loader reads the settings file of a host: JSON with comments, read
// strictly, with all faults of a file in one error.
package loader

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/scanner"
	"gentianpond/internal/value/container"
)

// ErrInvalid is the sentinel for a settings file with faults. The error is a
// *scanner.Error that lists them all.
var ErrInvalid = scanner.ErrInvalid

const (
	// DefaultDrain is how long a stopping host stays up for the load balancer
	// when the settings name no time. It covers two checks of readiness at
	// the usual interval of 2 s.
	DefaultDrain = 5 * time.Second
	// maxDrain keeps a planned stop shorter than the patience of process
	// managers.
	maxDrain = 5 * time.Minute
	// fewestControl is the least number of control hosts that outlives the
	// loss of one.
	fewestControl = 3
)

// Entry holds the settings of an entry host.
type Entry struct {
	Name string
	Zone string
	// Listen is the address for callers, backend servers and operators, Inner
	// the address of the inner service, which other hosts must reach.
	Listen netip.AddrPort
	Inner  netip.AddrPort
	// Control lists the inner addresses of the control hosts.
	Control []netip.AddrPort
	// Drain is how long a stopping host stays up for the load balancer.
	Drain time.Duration
	// Trace is the file for spans; empty means none.
	Trace string
}

// Control holds the settings of a control host.
type Control struct {
	Name string
	Zone string
	// Listen is the address for operators, Inner the address of the inner
	// service, which other hosts must reach.
	Listen netip.AddrPort
	Inner  netip.AddrPort
	// Data is the folder for durable state.
	Data string
	// Hosts lists every control host, this one included.
	Hosts []Host
}

// Host is one control host.
type Host struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// ReadEntry reads the settings file of an entry host. The second value lists
// what is legal but probably not meant.
func ReadEntry(path string) (Entry, []scanner.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, nil, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, text)
}

// ReadControl reads the settings file of a control host. The second value
// lists what is legal but probably not meant.
func ReadControl(path string) (Control, []scanner.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Control{}, nil, errors.Wrap(err, "read settings")
	}
	return ParseControl(path, text)
}

// ParseEntry is ReadEntry for a text; name is used in errors only.
func ParseEntry(name string, text []byte) (Entry, []scanner.Fault, error) {
	s, root := scanner.Parse(name, text)
	var e Entry
	if o, ok := root.Object("name", "zone", "listen", "inner", "control", "drain", "trace"); ok {
		e = parseEntry(o)
	}
	if err := s.Err(); err != nil {
		return Entry{}, s.Warnings(), err
	}
	return e, s.Warnings(), nil
}

func parseEntry(o scanner.Object) Entry {
	e := Entry{Drain: DefaultDrain}
	var used addresses
	e.Name = needName(o, "name")
	e.Zone = needName(o, "zone")
	e.Listen = used.listen(o)
	e.Inner = used.inner(o)
	if n, ok := o.Need("control"); ok {
		e.Control = parseAddresses(n, &used)
	}
	if n, ok := o.Field("drain"); ok {
		e.Drain, _ = n.Duration(0, maxDrain)
	}
	if n, ok := o.Field("trace"); ok {
		e.Trace, _ = n.String()
	}
	return e
}

func parseAddresses(n scanner.Node, used *addresses) []netip.AddrPort {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	warnCount(n, len(nodes))
	var list []netip.AddrPort
	for _, n := range nodes {
		if a, ok := n.Address(); ok {
			used.remote(n, a)
			list = append(list, a)
		}
	}
	return list
}

// ParseControl is ReadControl for a text; name is used in errors only.
func ParseControl(name string, text []byte) (Control, []scanner.Fault, error) {
	s, root := scanner.Parse(name, text)
	var c Control
	if o, ok := root.Object("name", "zone", "listen", "inner", "data", "hosts"); ok {
		c = parseControl(o)
	}
	if err := s.Err(); err != nil {
		return Control{}, s.Warnings(), err
	}
	return c, s.Warnings(), nil
}

func parseControl(o scanner.Object) Control {
	var c Control
	var used addresses
	c.Name = needName(o, "name")
	c.Zone = needName(o, "zone")
	c.Listen = used.listen(o)
	c.Inner = used.inner(o)
	if n, ok := o.Need("data"); ok {
		c.Data, _ = n.String()
		if n.Valid() && c.Data == "" {
			n.Fault("the data folder has no name")
		}
	}
	if n, ok := o.Need("hosts"); ok {
		c.Hosts = parseHosts(n, c, &used)
	}
	return c
}

func parseHosts(n scanner.Node, self Control, used *addresses) []Host {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	warnCount(n, len(nodes))
	var list []Host
	var names, zones container.Set[string]
	for _, n := range nodes {
		o, ok := n.Object("name", "zone", "address")
		if !ok {
			continue
		}
		h := parseHost(o, self, used)
		if !names.Add(h.Name) && h.Name != "" {
			n.Fault("host %q is listed twice", h.Name)
		}
		if !zones.Add(h.Zone) && h.Zone != "" {
			n.Warn("zone %q holds more than one control host; the loss of the zone takes them all", h.Zone)
		}
		list = append(list, h)
	}
	// An entry without a valid name may be the one that is missed.
	if self.Name != "" && !names.Has(self.Name) && !names.Has("") {
		n.Fault("this host, %q, is not among the hosts", self.Name)
	}
	return list
}

func parseHost(o scanner.Object, self Control, used *addresses) Host {
	h := Host{Name: needName(o, "name"), Zone: needName(o, "zone")}
	own := h.Name != "" && h.Name == self.Name
	if n, ok := o.Field("zone"); ok && own && h.Zone != "" && self.Zone != "" && h.Zone != self.Zone {
		n.Fault("this host's zone is %q here and %q in \"zone\"", h.Zone, self.Zone)
	}
	n, ok := o.Need("address")
	if !ok {
		return h
	}
	h.Address, ok = n.Address()
	switch {
	case !ok:
	case !own:
		used.remote(n, h.Address)
	case self.Inner.IsValid() && h.Address != self.Inner:
		n.Fault("this host's address is %s here and %s in \"inner\"", h.Address, self.Inner)
	}
	return h
}

func warnCount(n scanner.Node, count int) {
	switch {
	case count == 0:
		n.Fault("no control host is listed")
	case count < fewestControl:
		n.Warn("fewer than %d control hosts do not outlive the loss of one", fewestControl)
	case count%2 == 0:
		n.Warn("%d control hosts outlive no more losses than %d", count, count-1)
	}
}

func needName(o scanner.Object, field string) string {
	n, ok := o.Need(field)
	if !ok {
		return ""
	}
	name, _ := n.Name()
	return name
}
