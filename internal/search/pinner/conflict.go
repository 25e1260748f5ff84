package pinner

import "fmt"

//go:generate stringer -type=Fault -linecomment

// Fault is the reason why a part of an offer was left out of a Map.
type Fault uint8

const (
	// OtherCount means that another server states a larger count.
	OtherCount Fault = iota // other count
	// BelowMinimum means that the count is below the configured minimum.
	BelowMinimum // count below minimum
	// BadCount means that the count is 0 or above MaxCount.
	BadCount // count out of range
	// ShardOutside means that a shard number is not below the count; the
	// server's other shards are used.
	ShardOutside // shard out of range
)

// Conflict describes an offer that was left out of a Map in whole or in part.
type Conflict struct {
	Server   string
	Snapshot string
	// Count is the shard count that the server stated.
	Count uint32
	Fault Fault
	// Limit is the count that the offer was held against.
	Limit uint32
}

// String describes the conflict for a log line.
func (c Conflict) String() string {
	return fmt.Sprintf("server %s, snapshot %s: %s (stated %d, limit %d)",
		c.Server, c.Snapshot, c.Fault, c.Count, c.Limit)
}
