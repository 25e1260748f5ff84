package tracker

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"

	"gentianpond/internal/settings/scanner"
	"gentianpond/internal/value/container"
)

// MaxBodyBytes bounds the body of POST /v1/announce in bytes.
const MaxBodyBytes = 64 << 10

// maxUptime is the greatest uptime that can be announced.
const maxUptime = 100 * 365 * 24 * time.Hour

// announcementJSON is the body of POST /v1/announce. Its fields are those of
// Announcement; Connections is its ConnectionLimit, and Started its Uptime, written
// as a duration.
type announcementJSON struct {
	Server      string       `json:"server"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Draining    bool         `json:"draining,omitempty"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	Load        float64      `json:"load"`
	Started     string       `json:"started"`
	Served      []servedJSON `json:"served"`
}

// servedJSON is an element of the field served. Its fields are those of
// ServedSnapshot.
type servedJSON struct {
	Archive    string   `json:"archive"`
	Snapshot   string   `json:"snapshot"`
	ShardCount int      `json:"count"`
	Shards     []int    `json:"shards"`
	Lanes      []string `json:"lanes,omitempty"`
}

// MarshalJSON returns a as the body of POST /v1/announce.
func (a Announcement) MarshalJSON() ([]byte, error) {
	j := announcementJSON{
		Server:      a.ServerName,
		Address:     a.Address.String(),
		Zone:        a.Zone,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Draining:    a.Draining,
		Slots:       a.Slots,
		Connections: a.ConnectionLimit,
		Load:        a.Load,
		Started:     a.Uptime.String(),
		Served:      []servedJSON{},
	}
	for _, s := range a.Served {
		j.Served = append(j.Served, servedJSON(s))
	}
	return json.Marshal(j)
}

// ParseJSON parses the body of POST /v1/announce. Unknown, repeated and missing
// fields, wrong types and values out of range are faults. The error is a
// *scanner.Error that lists all faults with line and column, or an *InvalidError
// for a body that is too long or breaks a rule beyond single fields; for both,
// errors.Is reports ErrInvalid.
//
// The field started states how long ago the process started, such as "12s",
// so that the clocks of server and host need not agree.
func ParseJSON(body []byte) (Announcement, error) {
	if len(body) > MaxBodyBytes {
		return Announcement{}, &InvalidError{Faults: []string{
			fmt.Sprintf("the body has %d bytes, more than %d", len(body), MaxBodyBytes),
		}}
	}
	s, root := scanner.ParseStandardJSON("", body)
	var a Announcement
	o, ok := root.Object("server", "address", "zone", "incarnation", "sequence", "draining",
		"slots", "connections", "load", "started", "served")
	if ok {
		a = parseAnnouncement(o)
	}
	if err := s.Err(); err != nil {
		return Announcement{}, err
	}
	if err := a.Validate(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}

// parseAnnouncement reads the fields of an announcement. The scanner records any fault.
func parseAnnouncement(o scanner.Object) Announcement {
	var a Announcement
	if n, ok := o.RequiredField("server"); ok {
		a.ServerName, _ = n.Name()
	}
	if n, ok := o.RequiredField("address"); ok {
		a.Address = parseAddress(n)
	}
	if n, ok := o.RequiredField("zone"); ok {
		a.Zone, _ = n.Name()
	}
	if n, ok := o.RequiredField("incarnation"); ok {
		a.Incarnation, _ = n.Uint(1, math.MaxUint64)
	}
	if n, ok := o.RequiredField("sequence"); ok {
		a.Sequence, _ = n.Uint(1, math.MaxUint64)
	}
	if n, ok := o.Field("draining"); ok {
		a.Draining, _ = n.Bool()
	}
	if n, ok := o.RequiredField("slots"); ok {
		a.Slots = parseInt(n, 1, maxSlots)
	}
	if n, ok := o.RequiredField("connections"); ok {
		a.ConnectionLimit = parseInt(n, 1, maxConnections)
	}
	if n, ok := o.RequiredField("load"); ok {
		a.Load, _ = n.Float(0, 1)
	}
	if n, ok := o.RequiredField("started"); ok {
		a.Uptime, _ = n.Duration(0, maxUptime)
	}
	if n, ok := o.RequiredField("served"); ok {
		a.Served = parseServedSnapshots(n)
	}
	return a
}

// parseInt reads an integer from low to high. The scanner records any fault.
func parseInt(n scanner.Node, low, high uint64) int {
	v, _ := n.Uint(low, high)
	return int(v)
}

// parseAddress reads an address and records a fault unless hosts can connect to
// it.
func parseAddress(n scanner.Node) netip.AddrPort {
	a, ok := n.Address()
	if ok && !isHostAddress(a) {
		n.Fault("%s is not the address of a host", a)
	}
	return a
}

// parseServedSnapshots reads the field served. The scanner records any fault.
func parseServedSnapshots(n scanner.Node) []ServedSnapshot {
	nodes, _ := n.Array()
	if len(nodes) > maxServedSnapshots {
		n.Fault("%d snapshots are served, more than %d", len(nodes), maxServedSnapshots)
	}
	type key struct{ archive, snapshot string }
	var seen container.Set[key]
	var list []ServedSnapshot
	for _, n := range nodes {
		o, ok := n.Object("archive", "snapshot", "count", "shards", "lanes")
		if !ok {
			continue
		}
		s := parseServedSnapshot(o)
		if s.Archive != "" && !seen.Add(key{s.Archive, s.Snapshot}) {
			n.Fault("archive %q snapshot %q is listed twice", s.Archive, s.Snapshot)
		}
		list = append(list, s)
	}
	return list
}

// parseServedSnapshot reads one element of the field served. The scanner records any
// fault.
func parseServedSnapshot(o scanner.Object) ServedSnapshot {
	var s ServedSnapshot
	if n, ok := o.RequiredField("archive"); ok {
		s.Archive, _ = n.Name()
	}
	if n, ok := o.RequiredField("snapshot"); ok {
		s.Snapshot, _ = n.Name()
	}
	if n, ok := o.RequiredField("count"); ok {
		s.ShardCount = parseInt(n, 1, maxShardCount)
	}
	if n, ok := o.RequiredField("shards"); ok {
		s.Shards = parseShards(n, s.ShardCount)
	}
	if n, ok := o.Field("lanes"); ok {
		s.Lanes = parseLanes(n)
	}
	return s
}

// parseShards reads the list of shards held of a snapshot of count shards; count
// is 0 if it could not be read.
func parseShards(n scanner.Node, count int) []int {
	nodes, ok := n.Array()
	if ok && len(nodes) == 0 {
		n.Fault("no shards are listed")
	}
	var seen container.Set[uint64]
	var list []int
	for _, n := range nodes {
		shard, ok := n.Uint(0, maxShardCount-1)
		if !ok {
			continue
		}
		if count > 0 && shard >= uint64(count) {
			n.Fault("shard %d is not less than count %d", shard, count)
		}
		if !seen.Add(shard) {
			n.Fault("shard %d is listed twice", shard)
		}
		list = append(list, int(shard))
	}
	return list
}

// parseLanes reads the lanes of a snapshot and records unknown and repeated ones as
// faults.
func parseLanes(n scanner.Node) []string {
	nodes, _ := n.Array()
	var seen container.Set[string]
	var list []string
	for _, n := range nodes {
		lane, ok := n.String()
		if !ok {
			continue
		}
		if !knownLane(lane) {
			n.Fault("lane %q is not %q or %q", lane, LaneInteractive, LaneBulk)
		}
		if !seen.Add(lane) {
			n.Fault("lane %q is listed twice", lane)
		}
		list = append(list, lane)
	}
	return list
}
