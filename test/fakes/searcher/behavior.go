package searcher

import (
	"encoding/json"
	"time"
)

// Behavior is what a fake backend server does to requests. It can be changed
// while the server runs.
type Behavior struct {
	// Delay is the time that a request takes.
	Delay time.Duration `json:"delay"`
	// Slow is the time that one in SlowEvery requests takes instead.
	Slow      time.Duration `json:"slow"`
	SlowEvery int           `json:"every"`
	// Crash is a text; a request that contains it crashes the server.
	Crash string `json:"crash"`
	// Shed makes the server refuse every request before it starts.
	Shed bool `json:"shed"`
	// Draining makes the server announce that it is leaving.
	Draining bool `json:"draining"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Cross makes answers repeat the identity of an earlier request.
	Cross bool `json:"cross"`
	// Close says at which point the server closes the connection instead of
	// answering: "before", "running", "after" or "answer".
	Close string `json:"close"`
	// Load is the load that the server reports, 0 to 1.
	Load float64 `json:"load"`
}

// Served is one snapshot of an archive that the server holds shards of.
type Served struct {
	Archive  string   `json:"archive"`
	Snapshot string   `json:"snapshot"`
	Count    uint32   `json:"count"`
	Shards   []uint32 `json:"shards"`
}

// request is what a gentianpond entry host sends.
type request struct {
	Query       string          `json:"query"`
	Attempt     string          `json:"attempt"`
	Incarnation uint64          `json:"incarnation"`
	Archive     string          `json:"archive"`
	Snapshot    string          `json:"snapshot"`
	Shard       uint32          `json:"shard"`
	Deadline    string          `json:"deadline"`
	Body        json.RawMessage `json:"body"`
}

// answer is what the server replies; it repeats the request's identity.
type answer struct {
	Query       string `json:"query"`
	Attempt     string `json:"attempt"`
	Incarnation uint64 `json:"incarnation"`
	Snapshot    string `json:"snapshot"`
	Shard       uint32 `json:"shard"`
	Body        any    `json:"body"`
}

// hit is one result of a search.
type hit struct {
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	Query    string `json:"query"`
	Server   string `json:"server"`
}
