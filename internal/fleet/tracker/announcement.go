package tracker

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
)

// Lanes that a backend server may accept. A lane is a class of requests; interactive
// requests start before bulk ones.
const (
	LaneInteractive = "interactive"
	LaneBulk        = "bulk"
)

// Announcement is what a backend server announces about itself.
type Announcement struct {
	// ServerName is the name of the backend server, unique in the system.
	ServerName string
	// Address is where the backend server takes requests over HTTP.
	Address netip.AddrPort
	// Zone is the server's availability zone.
	Zone string
	// Incarnation grows with each restart of the server.
	Incarnation uint64
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	// Draining asks for no new work. It is final within an incarnation.
	Draining bool
	// Slots is the number of requests that the server runs at once.
	Slots int
	// ConnectionLimit is the most connections that the server accepts.
	ConnectionLimit int
	// Load is the server's own estimate of its use, 0 to 1.
	Load float64
	// Uptime is the age of the process, for the cold-start ramp.
	Uptime time.Duration
	// Served lists the snapshots of which the server holds shards.
	Served []ServedSnapshot
}

// ServedSnapshot is a snapshot of an archive of which a backend server holds shards.
type ServedSnapshot struct {
	// Archive and Snapshot are the names of the archive and of its snapshot.
	Archive  string
	Snapshot string
	// ShardCount is the number of shards that the snapshot consists of.
	ShardCount int
	// Shards lists the shards that the server holds, each less than ShardCount.
	Shards []int
	// Lanes lists the lanes that the server accepts; empty means all.
	Lanes []string
}

// Newer reports whether a is later than the announcement of the same server with
// the given incarnation and sequence.
func (a Announcement) Newer(incarnation, sequence uint64) bool {
	if a.Incarnation != incarnation {
		return a.Incarnation > incarnation
	}
	return a.Sequence > sequence
}

// sameContent reports whether a and b differ in nothing but incarnation,
// sequence, load and uptime.
func sameContent(a, b Announcement) bool {
	return a.Address == b.Address &&
		a.Zone == b.Zone &&
		a.Draining == b.Draining &&
		a.Slots == b.Slots &&
		a.ConnectionLimit == b.ConnectionLimit &&
		slices.EqualFunc(a.Served, b.Served, sameServed)
}

// sameServed reports whether a and b list the same shards and lanes of the same
// snapshot, in the same order.
func sameServed(a, b ServedSnapshot) bool {
	return a.Archive == b.Archive &&
		a.Snapshot == b.Snapshot &&
		a.ShardCount == b.ShardCount &&
		slices.Equal(a.Shards, b.Shards) &&
		slices.Equal(a.Lanes, b.Lanes)
}

// Message returns a as a message of the inner protocol.
func (a Announcement) Message() *messenger.Announcement {
	m := &messenger.Announcement{
		Server:      a.ServerName,
		Address:     a.Address.String(),
		Zone:        a.Zone,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Draining:    a.Draining,
		Slots:       uint32(a.Slots),
		Connections: uint32(a.ConnectionLimit),
		Load:        a.Load,
		Uptime:      durationpb.New(a.Uptime),
	}
	for _, s := range a.Served {
		m.Served = append(m.Served, s.message())
	}
	return m
}

// message returns s as a message of the inner protocol.
func (s ServedSnapshot) message() *messenger.Served {
	m := &messenger.Served{
		Archive:  s.Archive,
		Snapshot: s.Snapshot,
		Count:    uint32(s.ShardCount),
		Lanes:    s.Lanes,
	}
	for _, shard := range s.Shards {
		m.Shards = append(m.Shards, uint32(shard))
	}
	return m
}

// FromMessage converts a message of the inner protocol and validates it. The
// error is an *InvalidError that lists all faults.
func FromMessage(m *messenger.Announcement) (Announcement, error) {
	a := Announcement{
		ServerName:      m.GetServer(),
		Zone:            m.GetZone(),
		Incarnation:     m.GetIncarnation(),
		Sequence:        m.GetSequence(),
		Draining:        m.GetDraining(),
		Slots:           int(m.GetSlots()),
		ConnectionLimit: int(m.GetConnections()),
		Load:            m.GetLoad(),
		Uptime:          m.GetUptime().AsDuration(),
	}
	// An address that cannot be parsed stays the zero value, which Validate
	// reports.
	a.Address, _ = netip.ParseAddrPort(m.GetAddress())
	for _, s := range m.GetServed() {
		served := ServedSnapshot{
			Archive:    s.GetArchive(),
			Snapshot:   s.GetSnapshot(),
			ShardCount: int(s.GetCount()),
			Lanes:      s.GetLanes(),
		}
		for _, shard := range s.GetShards() {
			served.Shards = append(served.Shards, int(shard))
		}
		a.Served = append(a.Served, served)
	}
	if err := a.Validate(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}
