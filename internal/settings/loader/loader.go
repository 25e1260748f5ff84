// Package loader reads the settings file of a host, which is JSON with comments.
// Unknown fields are faults, and one error lists all faults of a file.
//
// The inner address of a host is the one at which the other hosts call its inner
// service.
package loader

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/scanner"
	"gentianpond/internal/value/container"
)

// ErrInvalid matches, with errors.Is, the error of a settings file with faults.
// That error is a *scanner.Error that lists them all.
var ErrInvalid = scanner.ErrInvalid

const (
	// DefaultDrain is how long a stopping host keeps serving, unless the
	// settings name a time, so that the load balancer can take it out of use. It
	// covers two readiness checks at the usual interval of 2 s.
	DefaultDrain = 5 * time.Second
	// maxStopDuration keeps a planned stop shorter than the time after which a
	// process manager kills the process.
	maxStopDuration = 5 * time.Minute
	// minControlHosts is the smallest number of control hosts that survives the
	// loss of one.
	minControlHosts = 3
)

// EntrySettings holds the settings of an entry host.
type EntrySettings struct {
	Name string
	Zone string
	// Listen is the address for callers, backend servers and operators.
	Listen netip.AddrPort
	// Inner is the address of the inner service, which other hosts must be able to
	// reach.
	Inner netip.AddrPort
	// Control lists the inner addresses of the control hosts.
	Control []netip.AddrPort
	// Drain is how long a stopping host keeps serving, so that the load
	// balancer can take it out of use.
	Drain time.Duration
	// Trace is the file that trace spans are written to; empty means none.
	Trace string
	// MemoryBytes and Files are the memory and the file descriptors that the host has.
	MemoryBytes int64
	Files       int
	// AnswerBytes is the memory that the answers of backend servers to one request may hold.
	AnswerBytes int64
}

// ControlSettings holds the settings of a control host.
type ControlSettings struct {
	Name string
	Zone string
	// Listen is the address for operators.
	Listen netip.AddrPort
	// Inner is the address of the inner service, which other hosts must be able to
	// reach.
	Inner netip.AddrPort
	// Data is the path of the folder for durable state.
	Data string
	// Hosts lists all control hosts, including this one.
	Hosts []ControlHost
}

// ControlHost is one element of the list of control hosts in a settings file.
type ControlHost struct {
	Name string
	Zone string
	// Address is the inner address of the host.
	Address netip.AddrPort
}

// ReadEntry reads the settings file of an entry host. It also returns warnings
// about valid settings that are probably a mistake.
func ReadEntry(path string) (EntrySettings, []scanner.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return EntrySettings{}, nil, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, text)
}

// ReadControl reads the settings file of a control host. It also returns warnings
// about valid settings that are probably a mistake.
func ReadControl(path string) (ControlSettings, []scanner.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return ControlSettings{}, nil, errors.Wrap(err, "read settings")
	}
	return ParseControl(path, text)
}

// ParseEntry is ReadEntry for a text. The name stands for the text in errors.
func ParseEntry(name string, text []byte) (EntrySettings, []scanner.Fault, error) {
	s, root := scanner.Parse(name, text)
	var e EntrySettings
	if o, ok := root.Object("name", "zone", "listen", "inner", "control", "drain", "trace", "memory", "files", "answers"); ok {
		e = parseEntry(o)
	}
	if err := s.Err(); err != nil {
		return EntrySettings{}, s.Warnings(), err
	}
	return e, s.Warnings(), nil
}

// parseEntry reads the settings of an entry host from the object of its file.
func parseEntry(o scanner.Object) EntrySettings {
	e := EntrySettings{Drain: DefaultDrain}
	var used usedAddresses
	e.Name = readRequiredName(o, "name")
	e.Zone = readRequiredName(o, "zone")
	e.Listen = used.readListen(o)
	e.Inner = used.readInner(o)
	if n, ok := o.RequiredField("control"); ok {
		e.Control = parseControlAddresses(n, &used)
	}
	if n, ok := o.Field("drain"); ok {
		e.Drain, _ = n.Duration(0, maxStopDuration)
	}
	if n, ok := o.Field("trace"); ok {
		e.Trace, _ = n.String()
	}
	e.MemoryBytes, e.Files = parseMachine(o)
	e.AnswerBytes = parseAnswers(o, e.MemoryBytes/entryAnswersPerMemory, maxEntryAnswerBytes)
	return e
}

// parseControlAddresses reads the field control of an entry host: a list of the
// inner addresses of the control hosts.
func parseControlAddresses(n scanner.Node, used *usedAddresses) []netip.AddrPort {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	checkControlHostCount(n, len(nodes))
	var list []netip.AddrPort
	for _, n := range nodes {
		if a, ok := n.Address(); ok {
			used.addRemote(n, a)
			list = append(list, a)
		}
	}
	return list
}

// ParseControl is ReadControl for a text. The name stands for the text in errors.
func ParseControl(name string, text []byte) (ControlSettings, []scanner.Fault, error) {
	s, root := scanner.Parse(name, text)
	var c ControlSettings
	if o, ok := root.Object("name", "zone", "listen", "inner", "data", "hosts"); ok {
		c = parseControl(o)
	}
	if err := s.Err(); err != nil {
		return ControlSettings{}, s.Warnings(), err
	}
	return c, s.Warnings(), nil
}

// parseControl reads the settings of a control host from the object of its file.
func parseControl(o scanner.Object) ControlSettings {
	var c ControlSettings
	var used usedAddresses
	c.Name = readRequiredName(o, "name")
	c.Zone = readRequiredName(o, "zone")
	c.Listen = used.readListen(o)
	c.Inner = used.readInner(o)
	if n, ok := o.RequiredField("data"); ok {
		c.Data, _ = n.String()
		if n.Valid() && c.Data == "" {
			n.Fault("the data folder has no name")
		}
	}
	if n, ok := o.RequiredField("hosts"); ok {
		c.Hosts = parseControlHosts(n, c, &used)
	}
	return c
}

// parseControlHosts reads the field hosts of the control host self, which must
// list self too.
func parseControlHosts(n scanner.Node, self ControlSettings, used *usedAddresses) []ControlHost {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	checkControlHostCount(n, len(nodes))
	var list []ControlHost
	var names, zones container.Set[string]
	for _, n := range nodes {
		o, ok := n.Object("name", "zone", "address")
		if !ok {
			continue
		}
		h := parseControlHost(o, self, used)
		if !names.Add(h.Name) && h.Name != "" {
			n.Fault("host %q is listed twice", h.Name)
		}
		if !zones.Add(h.Zone) && h.Zone != "" {
			n.Warn("zone %q holds more than one control host; an outage of the zone stops them all", h.Zone)
		}
		list = append(list, h)
	}
	// A listed host without a valid name may be this one.
	if self.Name != "" && !names.Has(self.Name) && !names.Has("") {
		n.Fault("this host, %q, is not among the hosts", self.Name)
	}
	return list
}

// parseControlHost reads one element of the field hosts. Where it stands for self,
// its zone and address must be those that self has elsewhere in the file.
func parseControlHost(o scanner.Object, self ControlSettings, used *usedAddresses) ControlHost {
	h := ControlHost{Name: readRequiredName(o, "name"), Zone: readRequiredName(o, "zone")}
	isSelf := h.Name != "" && h.Name == self.Name
	if n, ok := o.Field("zone"); ok && isSelf && h.Zone != "" && self.Zone != "" && h.Zone != self.Zone {
		n.Fault("this host's zone is %q here and %q in \"zone\"", h.Zone, self.Zone)
	}
	n, ok := o.RequiredField("address")
	if !ok {
		return h
	}
	h.Address, ok = n.Address()
	switch {
	case !ok:
	case !isSelf:
		used.addRemote(n, h.Address)
	case self.Inner.IsValid() && h.Address != self.Inner:
		n.Fault("this host's address is %s here and %s in \"inner\"", h.Address, self.Inner)
	}
	return h
}

// checkControlHostCount reports a fault if there is no control host, and a warning
// if count hosts survive no loss, or no more losses than count-1 hosts do.
func checkControlHostCount(n scanner.Node, count int) {
	switch {
	case count == 0:
		n.Fault("no control host is listed")
	case count < minControlHosts:
		n.Warn("fewer than %d control hosts do not survive the loss of one", minControlHosts)
	case count%2 == 0:
		n.Warn("%d control hosts survive no more losses than %d", count, count-1)
	}
}

// readRequiredName reads a field that must be present and hold a valid name. It
// returns the empty string if it does not.
func readRequiredName(o scanner.Object, field string) string {
	n, ok := o.RequiredField(field)
	if !ok {
		return ""
	}
	name, _ := n.Name()
	return name
}
