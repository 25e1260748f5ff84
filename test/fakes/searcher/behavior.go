package searcher

import (
	"encoding/json"
	"time"
)

// Behavior states how a fake backend server handles requests and announces
// itself. It can be changed while the server runs.
type Behavior struct {
	// Delay is the execution time of a request.
	Delay time.Duration `json:"delay"`
	// SlowDelay is the execution time of every SlowEvery-th request instead. No
	// request is slow if SlowEvery is 0.
	SlowDelay time.Duration `json:"slow"`
	SlowEvery int           `json:"every"`
	// CrashText crashes the server when a request has it in its body. An empty text
	// has no effect.
	CrashText string `json:"crash"`
	// Shed makes the server refuse every request before it runs.
	Shed bool `json:"shed"`
	// Draining makes the server announce that it is draining. It still serves
	// requests.
	Draining bool `json:"draining"`
	// StopAnnouncing stops the announcements.
	StopAnnouncing bool `json:"silent"`
	// RepeatAnswer makes the server repeat an earlier answer, which carries the
	// identity of another request.
	RepeatAnswer bool `json:"cross"`
	// CloseAt is the stage at which the server closes the connection instead of
	// answering: "before" reading the request, "running" when the request has
	// been counted as run, "after" its execution, or in the middle of the
	// "answer". Empty means that it does not.
	CloseAt string `json:"close"`
	// Endless is one of EndlessKinds. The server runs each request and then sends bytes without
	// end in place of an answer. Empty means that it does not.
	Endless string `json:"endless"`
	// HitBytes is the number of bytes by which a hit is longer than its fields.
	HitBytes int `json:"bytes"`
	// Load is the load that the server announces, 0 to 1.
	Load float64 `json:"load"`
}

// ServedSnapshot is a snapshot of an archive, with its number of shards and the
// shards of it that the server holds.
type ServedSnapshot struct {
	Archive  string   `json:"archive"`
	Snapshot string   `json:"snapshot"`
	Count    uint32   `json:"count"`
	Shards   []uint32 `json:"shards"`
}

// request is the body of a request from an entry host.
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

// answer is the body of an answer. It repeats the identity of the request.
type answer struct {
	Query       string `json:"query"`
	Attempt     string `json:"attempt"`
	Incarnation uint64 `json:"incarnation"`
	Snapshot    string `json:"snapshot"`
	Shard       uint32 `json:"shard"`
	Body        any    `json:"body"`
}

// hit is one search result. It names the shard, snapshot, query and server that it
// comes from, so that tests can find results that do not belong to an answer.
type hit struct {
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	Query    string `json:"query"`
	Server   string `json:"server"`
	Padding  string `json:"padding,omitempty"`
}
