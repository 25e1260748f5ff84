package pinner

import "fmt"

//go:generate stringer -type=Fault -linecomment

// Fault is the reason why an offer was left out of a SnapshotList in whole
// or in part.
type Fault uint8

const (
	// ShardCountMismatch means that another server states a larger shard count for
	// the same snapshot.
	ShardCountMismatch Fault = iota // other count
	// ShardCountBelowMinimum means that the shard count is below the minimum given to
	// Build.
	ShardCountBelowMinimum // count below minimum
	// ShardCountOutOfRange means that the shard count is 0 or above
	// MaxShardCount.
	ShardCountOutOfRange // count out of range
	// ShardOutOfRange means that at least one shard number is not below the shard
	// count. The server's other shards are used.
	ShardOutOfRange // shard out of range
)

// Conflict describes an offer that was left out of a SnapshotList in whole or in
// part.
type Conflict struct {
	// Server is the name of the backend server that made the offer.
	Server string
	// Snapshot is the version of the offered snapshot.
	Snapshot string
	// ShardCount is the shard count that the server stated.
	ShardCount uint32
	// Fault says what is wrong with the offer.
	Fault Fault
	// Limit is the shard count that the offer was compared with.
	Limit uint32
}

// String describes the conflict for a log line.
func (c Conflict) String() string {
	return fmt.Sprintf("server %s, snapshot %s: %s (stated %d, limit %d)",
		c.Server, c.Snapshot, c.Fault, c.ShardCount, c.Limit)
}
