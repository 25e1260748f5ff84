// Package pinner chooses the snapshot of an archive that a query is pinned to.
// A Map is built once whenever the usable backend servers change; choosing
// from it costs a slice access.
package pinner

import (
	"cmp"
	"slices"
	"strings"
)

// MaxCount is the largest shard count that a snapshot may state. It bounds the
// memory that one malformed announcement can claim.
const MaxCount = 1 << 16

// Offer is one snapshot of the archive as a usable backend server announces
// it.
type Offer struct {
	Server   string
	Snapshot string
	// Count is the snapshot's own number of shards.
	Count  uint32
	Shards []uint32
}

// Snapshot is one snapshot of an archive with the backend servers of each of
// its shards. It is immutable.
type Snapshot struct {
	version string
	covered uint32
	// servers is indexed by shard; its length is the shard count.
	servers [][]string
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() string { return s.version }

// Count returns the snapshot's number of shards, the denominator of coverage.
func (s *Snapshot) Count() uint32 { return uint32(len(s.servers)) }

// Covered returns the number of shards with at least one usable replica.
func (s *Snapshot) Covered() uint32 { return s.covered }

// Complete reports whether every shard has a usable replica.
func (s *Snapshot) Complete() bool { return s.covered == s.Count() }

// Candidates returns the sorted names of the usable replicas of shard. The
// caller must not change the slice.
func (s *Snapshot) Candidates(shard uint32) []string {
	if shard >= s.Count() {
		return nil
	}
	return s.servers[shard]
}

// Missing returns the sorted shards without a usable replica.
func (s *Snapshot) Missing() []uint32 {
	var missing []uint32
	for shard, servers := range s.servers {
		if len(servers) == 0 {
			missing = append(missing, uint32(shard))
		}
	}
	return missing
}

// Map holds the usable snapshots of one archive in the order of preference.
// It is immutable and safe for concurrent use. A nil Map is empty.
type Map struct {
	snapshots []*Snapshot
	conflicts []Conflict
}

// Build returns the map of the given offers. A snapshot that states fewer
// shards than minimum is left out; a minimum of 0 allows any count.
//
// When servers state different counts for one snapshot, the largest one holds.
// Servers with another count are left out of that snapshot: they may have been
// partitioned differently, and their shard numbers could then name other data.
func Build(offers []Offer, minimum uint32) *Map {
	m := &Map{}
	for _, group := range groupByVersion(offers, m) {
		m.add(group, minimum)
	}
	slices.SortFunc(m.snapshots, prefer)
	slices.SortFunc(m.conflicts, compareConflicts)
	return m
}

// Pick returns the preferred snapshot: the newest complete one, else the one
// with the largest covered share of its shards, newer first.
func (m *Map) Pick() (*Snapshot, bool) { return m.Next() }

// Next returns the preferred snapshot other than the ones in after. A query
// whose pinned snapshot was withdrawn restarts with it and passes every version
// that it has tried.
func (m *Map) Next(after ...string) (*Snapshot, bool) {
	if m == nil {
		return nil, false
	}
	for _, s := range m.snapshots {
		if !slices.Contains(after, s.version) {
			return s, true
		}
	}
	return nil, false
}

// Snapshots returns all usable snapshots in the order of preference. The caller
// must not change the slice.
func (m *Map) Snapshots() []*Snapshot {
	if m == nil {
		return nil
	}
	return m.snapshots
}

// Conflicts returns what Build left out, sorted by snapshot and server. The
// caller must not change the slice.
func (m *Map) Conflicts() []Conflict {
	if m == nil {
		return nil
	}
	return m.conflicts
}

// group is the offers of one version with an acceptable count.
type group struct {
	version string
	count   uint32
	offers  []Offer
}

func groupByVersion(offers []Offer, m *Map) map[string]*group {
	groups := map[string]*group{}
	for _, o := range offers {
		if o.Count == 0 || o.Count > MaxCount {
			m.conflict(o, BadCount, MaxCount)
			continue
		}
		g := groups[o.Snapshot]
		if g == nil {
			g = &group{version: o.Snapshot}
			groups[o.Snapshot] = g
		}
		g.count = max(g.count, o.Count)
		g.offers = append(g.offers, o)
	}
	return groups
}

// add puts the group's snapshot into the map when at least one shard has a
// replica.
func (m *Map) add(g *group, minimum uint32) {
	s := &Snapshot{version: g.version, servers: make([][]string, g.count)}
	for _, o := range g.offers {
		switch {
		case o.Count != g.count:
			m.conflict(o, OtherCount, g.count)
		case o.Count < minimum:
			m.conflict(o, BelowMinimum, minimum)
		default:
			m.place(s, o)
		}
	}
	for i, servers := range s.servers {
		if len(servers) == 0 {
			continue
		}
		slices.Sort(servers)
		s.servers[i] = slices.Compact(servers)
		s.covered++
	}
	if s.covered > 0 {
		m.snapshots = append(m.snapshots, s)
	}
}

func (m *Map) place(s *Snapshot, o Offer) {
	outside := false
	for _, shard := range o.Shards {
		if shard >= s.Count() {
			outside = true
			continue
		}
		s.servers[shard] = append(s.servers[shard], o.Server)
	}
	if outside {
		m.conflict(o, ShardOutside, s.Count())
	}
}

func (m *Map) conflict(o Offer, fault Fault, limit uint32) {
	m.conflicts = append(m.conflicts, Conflict{
		Server:   o.Server,
		Snapshot: o.Snapshot,
		Count:    o.Count,
		Fault:    fault,
		Limit:    limit,
	})
}

// prefer orders complete snapshots first, then by covered share, then newer
// first. The share is compared without division, so it is exact.
func prefer(a, b *Snapshot) int {
	as := uint64(a.covered) * uint64(b.Count())
	bs := uint64(b.covered) * uint64(a.Count())
	if c := cmp.Compare(bs, as); c != 0 {
		return c
	}
	return Compare(b.version, a.version)
}

func compareConflicts(a, b Conflict) int {
	return cmp.Or(
		Compare(a.Snapshot, b.Snapshot),
		strings.Compare(a.Server, b.Server),
		cmp.Compare(a.Fault, b.Fault),
		cmp.Compare(a.Count, b.Count),
	)
}
