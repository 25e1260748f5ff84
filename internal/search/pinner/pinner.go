// Package pinner chooses the snapshot of an archive that a query is pinned to.
// A SnapshotList is built once whenever the usable backend servers change, so that
// choosing from it costs a slice access.
package pinner

import (
	"cmp"
	"slices"
	"strings"
)

// MaxShardCount is the largest shard count that a snapshot may state. It bounds the
// memory that a malformed announcement can make Build allocate.
const MaxShardCount = 1 << 16

// Offer is one snapshot of an archive on one usable backend server, as the server
// announces it.
type Offer struct {
	// Server is the name of the backend server.
	Server string
	// Snapshot is the version of the snapshot.
	Snapshot string
	// ShardCount is the number of shards that the server states for the whole
	// snapshot.
	ShardCount uint32
	// Shards are the numbers of the shards that the server holds.
	Shards []uint32
}

// Snapshot is one snapshot of an archive with the backend servers of each of
// its shards. It is immutable.
type Snapshot struct {
	// version identifies the snapshot among those of its archive.
	version string
	// coveredShards is the number of shards with a usable replica.
	coveredShards uint32
	// replicas holds the sorted server names of each shard. Its length is the shard
	// count.
	replicas [][]string
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() string { return s.version }

// ShardCount returns the snapshot's number of shards, the denominator of coverage.
func (s *Snapshot) ShardCount() uint32 { return uint32(len(s.replicas)) }

// CoveredShards returns the number of shards with at least one usable replica.
func (s *Snapshot) CoveredShards() uint32 { return s.coveredShards }

// Complete reports whether every shard has a usable replica.
func (s *Snapshot) Complete() bool { return s.coveredShards == s.ShardCount() }

// Candidates returns the sorted names of the backend servers with a usable replica
// of the shard. The caller must not change the slice.
func (s *Snapshot) Candidates(shard uint32) []string {
	if shard >= s.ShardCount() {
		return nil
	}
	return s.replicas[shard]
}

// MissingShards returns the sorted numbers of the shards without a usable replica.
func (s *Snapshot) MissingShards() []uint32 {
	var missing []uint32
	for shard, servers := range s.replicas {
		if len(servers) == 0 {
			missing = append(missing, uint32(shard))
		}
	}
	return missing
}

// SnapshotList holds the usable snapshots of one archive in the order of preference.
// It is immutable and safe for concurrent use. A nil SnapshotList is empty.
type SnapshotList struct {
	// snapshots holds the usable snapshots, the preferred one first.
	snapshots []*Snapshot
	// conflicts holds the offers that were left out, sorted.
	conflicts []Conflict
}

// Build returns the list of the snapshots in the given offers. A snapshot with fewer
// shards than minShards is left out; a minShards of 0 allows any count.
//
// When servers state different counts for one snapshot, the largest one applies.
// Servers with another count are left out of that snapshot: their data may be
// partitioned differently, and their shard numbers could then refer to other data.
func Build(offers []Offer, minShards uint32) *SnapshotList {
	l := &SnapshotList{}
	for _, group := range groupByVersion(offers, l) {
		l.addSnapshot(group, minShards)
	}
	slices.SortFunc(l.snapshots, comparePreference)
	slices.SortFunc(l.conflicts, compareConflicts)
	return l
}

// Pick returns the preferred snapshot: the newest complete one, else the one
// with the largest covered share of its shards, newer first.
func (l *SnapshotList) Pick() (*Snapshot, bool) { return l.Next() }

// Next returns the preferred snapshot whose version is not in tried. A query whose
// pinned snapshot was withdrawn restarts with it and passes every version that it
// has tried.
func (l *SnapshotList) Next(tried ...string) (*Snapshot, bool) {
	if l == nil {
		return nil, false
	}
	for _, s := range l.snapshots {
		if !slices.Contains(tried, s.version) {
			return s, true
		}
	}
	return nil, false
}

// Snapshots returns all usable snapshots in the order of preference. The caller
// must not change the slice.
func (l *SnapshotList) Snapshots() []*Snapshot {
	if l == nil {
		return nil
	}
	return l.snapshots
}

// Conflicts returns the offers that Build left out, with reasons, sorted by snapshot
// and server. The caller must not change the slice.
func (l *SnapshotList) Conflicts() []Conflict {
	if l == nil {
		return nil
	}
	return l.conflicts
}

// versionGroup holds the offers of one version whose count is in range.
type versionGroup struct {
	version string
	// shardCount is the largest count of the offers.
	shardCount uint32
	offers     []Offer
}

// groupByVersion groups the offers by version. It records those with a count out of
// range as conflicts of l.
func groupByVersion(offers []Offer, l *SnapshotList) map[string]*versionGroup {
	groups := map[string]*versionGroup{}
	for _, o := range offers {
		if o.ShardCount == 0 || o.ShardCount > MaxShardCount {
			l.addConflict(o, ShardCountOutOfRange, MaxShardCount)
			continue
		}
		g := groups[o.Snapshot]
		if g == nil {
			g = &versionGroup{version: o.Snapshot}
			groups[o.Snapshot] = g
		}
		g.shardCount = max(g.shardCount, o.ShardCount)
		g.offers = append(g.offers, o)
	}
	return groups
}

// addSnapshot adds the group's snapshot to the list if at least one shard has a
// replica.
func (l *SnapshotList) addSnapshot(g *versionGroup, minShards uint32) {
	s := &Snapshot{version: g.version, replicas: make([][]string, g.shardCount)}
	for _, o := range g.offers {
		switch {
		case o.ShardCount != g.shardCount:
			l.addConflict(o, ShardCountMismatch, g.shardCount)
		case o.ShardCount < minShards:
			l.addConflict(o, ShardCountBelowMinimum, minShards)
		default:
			l.addReplicas(s, o)
		}
	}
	for i, servers := range s.replicas {
		if len(servers) == 0 {
			continue
		}
		slices.Sort(servers)
		s.replicas[i] = slices.Compact(servers)
		s.coveredShards++
	}
	if s.coveredShards > 0 {
		l.snapshots = append(l.snapshots, s)
	}
}

// addReplicas adds the offer's server to each of its shards. Shards out of range are
// recorded as one conflict.
func (l *SnapshotList) addReplicas(s *Snapshot, o Offer) {
	outside := false
	for _, shard := range o.Shards {
		if shard >= s.ShardCount() {
			outside = true
			continue
		}
		s.replicas[shard] = append(s.replicas[shard], o.Server)
	}
	if outside {
		l.addConflict(o, ShardOutOfRange, s.ShardCount())
	}
}

// addConflict records that an offer was left out because of a fault; limit is the
// shard count that it was compared with.
func (l *SnapshotList) addConflict(o Offer, fault Fault, limit uint32) {
	l.conflicts = append(l.conflicts, Conflict{
		Server:     o.Server,
		Snapshot:   o.Snapshot,
		ShardCount: o.ShardCount,
		Fault:      fault,
		Limit:      limit,
	})
}

// comparePreference orders snapshots by falling share of covered shards, complete
// ones first, and then newer versions first. The shares are compared without a
// division, so that the order is exact.
func comparePreference(a, b *Snapshot) int {
	aShare := uint64(a.coveredShards) * uint64(b.ShardCount())
	bShare := uint64(b.coveredShards) * uint64(a.ShardCount())
	if c := cmp.Compare(bShare, aShare); c != 0 {
		return c
	}
	return CompareVersions(b.version, a.version)
}

// compareConflicts orders conflicts by snapshot, older versions first, and server. The
// fault and the shard count make the order of the rest definite.
func compareConflicts(a, b Conflict) int {
	return cmp.Or(
		CompareVersions(a.Snapshot, b.Snapshot),
		strings.Compare(a.Server, b.Server),
		cmp.Compare(a.Fault, b.Fault),
		cmp.Compare(a.ShardCount, b.ShardCount),
	)
}
