package tracker

import (
	"encoding/json"
	"math"
	"time"

	"gentianpond/internal/settings/scanner"
)

// MaxBody is the greatest size in bytes of the body of POST /v1/announce.
const MaxBody = 64 << 10

// maxUptime is the greatest uptime that can be announced.
const maxUptime = 100 * 365 * 24 * time.Hour

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

type servedJSON struct {
	Archive  string   `json:"archive"`
	Snapshot string   `json:"snapshot"`
	Count    int      `json:"count"`
	Shards   []int    `json:"shards"`
	Lanes    []string `json:"lanes,omitempty"`
}

// MarshalJSON returns a as the body of POST /v1/announce.
func (a Announcement) MarshalJSON() ([]byte, error) {
	j := announcementJSON{
		Server:      a.Server,
		Address:     a.Address.String(),
		Zone:        a.Zone,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Draining:    a.Draining,
		Slots:       a.Slots,
		Connections: a.Connections,
		Load:        a.Load,
		Started:     a.Uptime.String(),
		Served:      []servedJSON{},
	}
	for _, s := range a.Served {
		j.Served = append(j.Served, servedJSON(s))
	}
	return json.Marshal(j)
}

// ParseJSON reads the body of POST /v1/announce. Unknown, repeated and
// missing fields and wrong types are faults. The error lists all faults; it
// is a *scanner.Error for faults of form and an *InvalidError for faults of
// content, and errors.Is reports scanner.ErrInvalid or ErrInvalid.
//
// The field started states how long ago the process started, such as "12s",
// so that the clocks of server and host need not agree.
func ParseJSON(body []byte) (Announcement, error) {
	s, root := scanner.ParseStandard("", body)
	var a Announcement
	o, ok := root.Object("server", "address", "zone", "incarnation", "sequence", "draining",
		"slots", "connections", "load", "started", "served")
	if ok {
		a = parseFields(o)
	}
	if err := s.Err(); err != nil {
		return Announcement{}, err
	}
	if err := a.Validate(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}

func parseFields(o scanner.Object) Announcement {
	var a Announcement
	if n, ok := o.Need("server"); ok {
		a.Server, _ = n.Name()
	}
	if n, ok := o.Need("address"); ok {
		a.Address, _ = n.Address()
	}
	if n, ok := o.Need("zone"); ok {
		a.Zone, _ = n.Name()
	}
	if n, ok := o.Need("incarnation"); ok {
		a.Incarnation, _ = n.Uint(1, math.MaxUint64)
	}
	if n, ok := o.Need("sequence"); ok {
		a.Sequence, _ = n.Uint(1, math.MaxUint64)
	}
	if n, ok := o.Field("draining"); ok {
		a.Draining, _ = n.Bool()
	}
	if n, ok := o.Need("slots"); ok {
		a.Slots = whole(n, 1, maxSlots)
	}
	if n, ok := o.Need("connections"); ok {
		a.Connections = whole(n, 1, maxConnections)
	}
	if n, ok := o.Field("load"); ok {
		a.Load, _ = n.Float(0, 1)
	}
	if n, ok := o.Need("started"); ok {
		a.Uptime, _ = n.Duration(0, maxUptime)
	}
	if n, ok := o.Need("served"); ok {
		a.Served = parseServed(n)
	}
	return a
}

func whole(n scanner.Node, low, high uint64) int {
	v, _ := n.Uint(low, high)
	return int(v)
}

func parseServed(n scanner.Node) []Served {
	nodes, _ := n.Array()
	var list []Served
	for _, n := range nodes {
		o, ok := n.Object("archive", "snapshot", "count", "shards", "lanes")
		if !ok {
			continue
		}
		list = append(list, parseOneServed(o))
	}
	return list
}

func parseOneServed(o scanner.Object) Served {
	var s Served
	if n, ok := o.Need("archive"); ok {
		s.Archive, _ = n.Name()
	}
	if n, ok := o.Need("snapshot"); ok {
		s.Snapshot, _ = n.Name()
	}
	if n, ok := o.Need("count"); ok {
		s.Count = whole(n, 1, maxCount)
	}
	if n, ok := o.Need("shards"); ok {
		nodes, _ := n.Array()
		for _, n := range nodes {
			s.Shards = append(s.Shards, whole(n, 0, maxCount-1))
		}
	}
	if n, ok := o.Field("lanes"); ok {
		nodes, _ := n.Array()
		for _, n := range nodes {
			lane, _ := n.String()
			s.Lanes = append(s.Lanes, lane)
		}
	}
	return s
}
