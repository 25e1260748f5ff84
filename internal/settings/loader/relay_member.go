package loader

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/route/allotter"
	"gentianpond/internal/settings/scanner"
)

const (
	// DefaultGrace is how long a planned stop may take unless the settings name a
	// time.
	DefaultGrace = 10 * time.Second
	// minMemberGrace is the least time for a planned stop of a control host, in which
	// another one may have to take over its vote.
	minMemberGrace = 2 * time.Second
	// maxLosses is the greatest number of lost control hosts that a group can be
	// set up to survive.
	maxLosses = 16
	// maxExtraSends bounds the extra sends that a budget allows regardless of the
	// number of requests.
	maxExtraSends = 1 << 20
	// minCoreShare and maxCoreShare bound the number of CPU cores that a host has.
	minCoreShare = 0.01
	maxCoreShare = 1024
	// defaultMemoryMiB is the memory of a host whose settings name none, and
	// maxMemoryMiB the most that they may name.
	defaultMemoryMiB = 256
	maxMemoryMiB     = 1 << 20
	// defaultFiles is the number of file descriptors of a host whose settings name none, and
	// minFiles and maxFiles bound what they may name.
	defaultFiles = 4096
	minFiles     = 64
	maxFiles     = 1 << 20
	// answersPerMemory is how many requests may hold all that their answers are allowed
	// before these fill the memory of the host.
	answersPerMemory = 64
	// minAnswerBytes and maxAnswerBytes bound the memory for the answers to a request.
	minAnswerBytes = 256 << 10
	maxAnswerBytes = 4 << 20
	// entryAnswersPerMemory and maxEntryAnswerBytes are the same for the project's own
	// interface, whose answers are longer.
	entryAnswersPerMemory = 16
	maxEntryAnswerBytes   = 16 << 20
)

// RelaySettings holds the settings of an entry host that forwards requests by a routing
// table.
type RelaySettings struct {
	Name string
	Zone string
	// Region is the region of this host, and Zones names the region of each availability
	// zone. Without them all regions count as one.
	Region string
	Zones  map[string]string
	// Listen is the address for clients.
	Listen netip.AddrPort
	// Ready is the address for the load balancer's readiness checks.
	Ready netip.AddrPort
	// Peer is the address for other entry hosts. The zero value means that this host takes
	// over no requests of others.
	Peer netip.AddrPort
	// Seeds are the inner addresses of some control hosts.
	Seeds []netip.AddrPort
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Ratio, Extra and Window are the budget of all hosts together for extra
	// sends to a service: Ratio extra sends per request, and Extra more within any
	// period of length Window.
	Ratio float64
	// Extra is the number of extra sends allowed within any period of length Window
	// beyond those that Ratio allows.
	Extra int
	// Window is the length of the period that Extra applies to.
	Window time.Duration
	// Quota is what the platform allows client accounts beyond their limits.
	Quota allotter.Bounds
	// Share is the number of CPU cores that the host has, such as 0.5; 1 if it is
	// not given.
	Share float64
	// MemoryBytes is the memory that the host has. AnswerBytes is the memory that the
	// answers of backend servers to one request may hold.
	MemoryBytes int64
	AnswerBytes int64
	// Files is the number of file descriptors that the host has.
	Files int
	// Metrics is the address of the metrics page. The zero value means no page.
	Metrics netip.AddrPort
	// Cost ranks backend servers by the expected cost of requests.
	Cost bool
}

// MemberSettings holds the settings of a control host of an open group.
type MemberSettings struct {
	Name string
	Zone string
	// Zones names the region of each availability zone. It may be nil.
	Zones map[string]string
	// Listen is the address for operators and backend servers.
	Listen netip.AddrPort
	// Inner is the address of the inner service.
	Inner netip.AddrPort
	// Data is the path of the folder for durable state.
	Data string
	// Seeds are the inner addresses of some control hosts.
	Seeds []netip.AddrPort
	// Bootstrap is true only at the very first start of the group.
	Bootstrap bool
	// Losses is how many control hosts may be lost at the same time.
	Losses int
	// Grace is how long a planned stop may take; 0 means the default of the control
	// host.
	Grace time.Duration
	// MemoryBytes and Files are the memory and the file descriptors that the host has.
	MemoryBytes int64
	Files       int
	// Metrics is the address of the metrics page. The zero value means no page.
	Metrics netip.AddrPort
}

// ReadRelay reads the settings file of an entry host that forwards requests by a
// routing table.
func ReadRelay(path string) (RelaySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return RelaySettings{}, errors.Wrap(err, "read settings")
	}
	return ParseRelay(path, text)
}

// ReadMember reads the settings file of a control host of an open group.
func ReadMember(path string) (MemberSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return MemberSettings{}, errors.Wrap(err, "read settings")
	}
	return ParseMember(path, text)
}

// ParseRelay is ReadRelay for a text. The name stands for the text in errors.
func ParseRelay(name string, text []byte) (RelaySettings, error) {
	s, root := scanner.Parse(name, text)
	r := RelaySettings{Grace: DefaultGrace, Share: 1, Quota: allotter.DefaultBounds}
	if o, ok := root.Object("name", "zone", "listen", "ready", "control", "port", "peer", "grace", "ratio", "extra", "window", "share", "memory", "answers", "metrics", "quota", "region", "zones", "files", "cost"); ok {
		var used usedAddresses
		r.Name = readRequiredName(o, "name")
		r.Zone = readRequiredName(o, "zone")
		r.Region, r.Zones = readRegion(o), readZones(o)
		r.Listen = used.readListen(o)
		r.Ready = readRequiredField(o, "ready", scanner.Node.Address)
		innerPort := parseInnerPort(o)
		r.Seeds = parseSeeds(o, innerPort)
		r.Peer = used.readPeer(o, r.Listen, innerPort)
		r.Ratio = readRequiredField(o, "ratio", func(n scanner.Node) (float64, bool) { return n.Float(0, 1) })
		r.Extra = int(readRequiredField(o, "extra", func(n scanner.Node) (uint64, bool) { return n.Uint(0, maxExtraSends) }))
		r.Window = readRequiredField(o, "window", func(n scanner.Node) (time.Duration, bool) { return n.Duration(time.Second, time.Hour) })
		if n, ok := o.Field("grace"); ok {
			r.Grace, _ = n.Duration(time.Second, maxStopDuration)
		}
		if n, ok := o.Field("share"); ok {
			r.Share, _ = n.Float(minCoreShare, maxCoreShare)
		}
		r.MemoryBytes, r.Files = parseMachine(o)
		r.AnswerBytes = parseAnswers(o, r.MemoryBytes/answersPerMemory, maxAnswerBytes)
		if n, ok := o.Field("metrics"); ok {
			r.Metrics, _ = n.Address()
		}
		if n, ok := o.Field("quota"); ok {
			r.Quota = parseQuota(n)
		}
		if n, ok := o.Field("cost"); ok {
			r.Cost, _ = n.Bool()
		}
	}
	return r, s.Err()
}

// parseQuota reads the object quota. A field that is missing has its default.
func parseQuota(n scanner.Node) allotter.Bounds {
	b := allotter.DefaultBounds
	o, ok := n.Object("window", "overage", "slack")
	if !ok {
		return b
	}
	if n, ok := o.Field("window"); ok {
		b.Window, _ = n.Duration(time.Second, time.Hour)
	}
	if n, ok := o.Field("overage"); ok {
		b.Overage, _ = n.Float(0, 1)
	}
	if n, ok := o.Field("slack"); ok {
		b.Slack, _ = n.Float(0, maxExtraSends)
	}
	return b
}

// ParseMember is ReadMember for a text. The name stands for the text in errors.
func ParseMember(name string, text []byte) (MemberSettings, error) {
	s, root := scanner.Parse(name, text)
	var m MemberSettings
	if o, ok := root.Object("name", "zone", "listen", "control", "port", "data", "bootstrap", "losses", "grace", "metrics", "zones", "memory", "files"); ok {
		var used usedAddresses
		m.Name = readRequiredName(o, "name")
		m.Zone = readRequiredName(o, "zone")
		m.Zones = readZones(o)
		m.Listen = used.readListen(o)
		innerPort := parseInnerPort(o)
		m.Inner = netip.AddrPortFrom(m.Listen.Addr(), innerPort)
		m.Data = readRequiredField(o, "data", scanner.Node.String)
		m.Seeds = parseSeeds(o, innerPort)
		m.Bootstrap = readRequiredField(o, "bootstrap", scanner.Node.Bool)
		m.Losses = int(readRequiredField(o, "losses", func(n scanner.Node) (uint64, bool) { return n.Uint(0, maxLosses) }))
		if n, ok := o.Field("grace"); ok {
			m.Grace, _ = n.Duration(minMemberGrace, maxStopDuration)
		}
		m.MemoryBytes, m.Files = parseMachine(o)
		if n, ok := o.Field("metrics"); ok {
			m.Metrics, _ = n.Address()
		}
	}
	return m, s.Err()
}

// readRequiredField reads a field that must be present. It returns the zero value if
// the field is missing.
func readRequiredField[T any](o scanner.Object, field string, read func(scanner.Node) (T, bool)) T {
	var v T
	if n, ok := o.RequiredField(field); ok {
		v, _ = read(n)
	}
	return v
}

// parseInnerPort reads the field port, the port of the inner service on all control
// hosts.
func parseInnerPort(o scanner.Object) uint16 {
	return uint16(readRequiredField(o, "port", func(n scanner.Node) (uint64, bool) { return n.Uint(1, 65535) }))
}

// parseMachine reads the fields memory and files, the memory and the file descriptors of the
// machine.
func parseMachine(o scanner.Object) (memoryBytes int64, files int) {
	memoryBytes, files = defaultMemoryMiB<<20, defaultFiles
	if n, ok := o.Field("memory"); ok {
		mib, _ := n.Uint(1, maxMemoryMiB)
		memoryBytes = int64(mib) << 20
	}
	if n, ok := o.Field("files"); ok {
		count, _ := n.Uint(minFiles, maxFiles)
		files = int(count)
	}
	return memoryBytes, files
}

// parseAnswers reads the field answers, the memory for the answers to a request in KiB. What it
// returns is usual if there is no such field, and at most most.
func parseAnswers(o scanner.Object, usual, most int64) int64 {
	if n, ok := o.Field("answers"); ok {
		kib, _ := n.Uint(minAnswerBytes>>10, uint64(most>>10))
		return int64(kib) << 10
	}
	return min(max(usual, minAnswerBytes), most)
}

// parseSeeds reads the field control, the addresses at which operators reach
// control hosts, and returns the inner addresses of these hosts: the inner port is
// the same on all of them.
func parseSeeds(o scanner.Object, innerPort uint16) []netip.AddrPort {
	n, ok := o.RequiredField("control")
	if !ok {
		return nil
	}
	nodes, ok := n.Array()
	if ok && len(nodes) == 0 {
		n.Fault("no control host is listed")
	}
	var list []netip.AddrPort
	for _, n := range nodes {
		if a, ok := n.Address(); ok && requireReachable(n, a) {
			list = append(list, netip.AddrPortFrom(a.Addr(), innerPort))
		}
	}
	return list
}
