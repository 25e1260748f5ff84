package scanner

import (
	"encoding/json"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// MaxNameBytes is the greatest length of a name that ValidName allows.
const MaxNameBytes = 63

// namePattern keeps names usable in logs, metrics, file names and addresses
// without quoting.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]*[a-zA-Z0-9])?$`)

// ValidName reports whether s may be the name of a host, zone, server, team,
// archive or snapshot: letters, digits, '.', '_' and '-', beginning and ending
// with a letter or digit, at most MaxNameBytes bytes.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// Node is one value of a text. Its reading methods report a fault and return
// false if the value is of another type. The zero Node stands for a value that
// could not be parsed: its methods return false and report nothing.
type Node struct {
	// scanner collects the faults. It is nil in the zero Node.
	scanner *Scanner
	// value is the parsed value, with its position in the text of scanner.
	value *hujson.Value
}

// Member is one member of an object.
type Member struct {
	Name string
	// Key is the name as a node, for faults at its position.
	Key   Node
	Value Node
}

// Valid reports whether n is not the zero Node.
func (n Node) Valid() bool { return n.scanner != nil }

// Fault reports a fault at the position of the value.
func (n Node) Fault(format string, args ...any) {
	if n.Valid() {
		n.scanner.addFault(n.value.StartOffset, format, args...)
	}
}

// Warn reports a warning at the position of the value.
func (n Node) Warn(format string, args ...any) {
	if n.Valid() {
		s := n.scanner
		s.warnings = append(s.warnings, s.newFault(n.value.StartOffset, format, args...))
	}
}

// Source returns the text of the value, without the comments around it.
func (n Node) Source() []byte {
	if !n.Valid() {
		return nil
	}
	return n.scanner.text[n.value.StartOffset:n.value.EndOffset]
}

// reportTypeMismatch reports the fault that the value is not of the expected kind.
func (n Node) reportTypeMismatch(expected string) {
	if n.Valid() {
		n.Fault("%s is expected, not %s", expected, kindName(n.value.Value.Kind()))
	}
}

// kindName returns the name of a kind with its article, as fault texts use it.
func kindName(k hujson.Kind) string {
	switch k {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

// Members returns the members of an object. A member whose name occurs before in
// the same object is a fault and is left out.
func (n Node) Members() ([]Member, bool) {
	if !n.Valid() {
		return nil, false
	}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.reportTypeMismatch("an object")
		return nil, false
	}
	seen := map[string]bool{}
	members := make([]Member, 0, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		key := Node{n.scanner, &m.Name}
		name, ok := key.String()
		if !ok {
			continue
		}
		if seen[name] {
			key.Fault("%q is given twice", truncate(name))
			continue
		}
		seen[name] = true
		members = append(members, Member{Name: name, Key: key, Value: Node{n.scanner, &m.Value}})
	}
	return members, true
}

// Object is an object whose member names are known in advance.
type Object struct {
	// node is the object itself, for faults at its position.
	node Node
	// fields holds the values of the members that are present, by name.
	fields map[string]Node
}

// Object reads an object whose members may have only the given names. Members
// with other names are faults.
func (n Node) Object(names ...string) (Object, bool) {
	members, ok := n.Members()
	if !ok {
		return Object{}, false
	}
	known := map[string]bool{}
	for _, name := range names {
		known[name] = true
	}
	o := Object{node: n, fields: map[string]Node{}}
	for _, m := range members {
		if !known[m.Name] {
			m.Key.Fault("%q is not a known field", truncate(m.Name))
			continue
		}
		o.fields[m.Name] = m.Value
	}
	return o, true
}

// Field returns the named member, or false if it is absent.
func (o Object) Field(name string) (Node, bool) {
	n, ok := o.fields[name]
	return n, ok
}

// RequiredField returns the named member and reports a fault if it is absent.
func (o Object) RequiredField(name string) (Node, bool) {
	n, ok := o.fields[name]
	if !ok {
		o.node.Fault("%q is missing", name)
	}
	return n, ok
}

// Array returns the elements of an array.
func (n Node) Array() ([]Node, bool) {
	if !n.Valid() {
		return nil, false
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.reportTypeMismatch("an array")
		return nil, false
	}
	nodes := make([]Node, 0, len(array.Elements))
	for i := range array.Elements {
		nodes = append(nodes, Node{n.scanner, &array.Elements[i]})
	}
	return nodes, true
}

// literal returns a literal of the given kind. The expected kind is named in the
// fault.
func (n Node) literal(kind hujson.Kind, expected string) (hujson.Literal, bool) {
	if !n.Valid() {
		return nil, false
	}
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != kind {
		n.reportTypeMismatch(expected)
		return nil, false
	}
	return lit, true
}

// String returns a string.
func (n Node) String() (string, bool) {
	lit, ok := n.literal('"', "a string")
	if !ok {
		return "", false
	}
	var s string
	if err := json.Unmarshal(lit, &s); err != nil {
		n.Fault("the string is malformed")
		return "", false
	}
	return s, true
}

// Name returns a string that is a valid name.
func (n Node) Name() (string, bool) {
	s, ok := n.String()
	if !ok {
		return "", false
	}
	if !ValidName(s) {
		n.Fault("%q is not a name: 1 to %d letters, digits, '.', '_' and '-', first and last a letter or digit",
			truncate(s), MaxNameBytes)
		return "", false
	}
	return s, true
}

// Bool returns a boolean.
func (n Node) Bool() (bool, bool) {
	if !n.Valid() {
		return false, false
	}
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || (string(lit) != "true" && string(lit) != "false") {
		n.reportTypeMismatch("a boolean")
		return false, false
	}
	return string(lit) == "true", true
}

// Uint returns a whole number from lowest to highest, both included.
func (n Node) Uint(lowest, highest uint64) (uint64, bool) {
	lit, ok := n.literal('0', "a number")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseUint(string(lit), 10, 64)
	if err != nil {
		n.Fault("%s is not a whole number from %d to %d", truncate(string(lit)), lowest, highest)
		return 0, false
	}
	if v < lowest || v > highest {
		n.Fault("%d is not from %d to %d", v, lowest, highest)
		return 0, false
	}
	return v, true
}

// Float returns a number from lowest to highest, both included.
func (n Node) Float(lowest, highest float64) (float64, bool) {
	lit, ok := n.literal('0', "a number")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || math.IsInf(v, 0) || v < lowest || v > highest {
		n.Fault("%s is not from %v to %v", truncate(string(lit)), lowest, highest)
		return 0, false
	}
	return v, true
}

// Duration returns a duration from shortest to longest, both included, which is
// written as a string with a unit such as "400ms".
func (n Node) Duration(shortest, longest time.Duration) (time.Duration, bool) {
	if n.Valid() && n.value.Value.Kind() == '0' {
		n.Fault(`a duration is a string with a unit, such as "400ms"`)
		return 0, false
	}
	s, ok := n.String()
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	if err != nil || !hasUnit(s) {
		n.Fault(`%q is not a duration with a unit, such as "400ms"`, truncate(s))
		return 0, false
	}
	if d < shortest || d > longest {
		n.Fault("%s is not from %s to %s", s, shortest, longest)
		return 0, false
	}
	return d, true
}

// hasUnit reports whether the duration s ends with a unit. It is needed because
// time.ParseDuration accepts "0" without one.
func hasUnit(s string) bool {
	last := s[len(s)-1]
	return last < '0' || last > '9'
}

// Address returns an IP address with a port other than 0. An IPv4-mapped IPv6
// address is returned as an IPv4 address.
func (n Node) Address() (netip.AddrPort, bool) {
	s, ok := n.String()
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		n.Fault("%q is not IP:port", truncate(s))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// truncate shortens long input for use in fault texts.
func truncate(s string) string {
	const maxRunes = 80
	runes := []rune(s)
	if len(runes) <= maxRunes {
		return s
	}
	return string(runes[:maxRunes]) + "..."
}
