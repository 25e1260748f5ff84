package caller

import (
	"encoding/json"
	"time"

	"gentianpond/internal/backend/connector"
)

// StartedHeader is set to "no" by a backend server that refuses a request
// before it starts to run it.
const StartedHeader = "Gentianpond-Started"

// Message is the body of a request to a backend server.
type Message struct {
	// Query is the ID of the query; that of an order equals Attempt.
	Query string `json:"query"`
	// Attempt identifies this transmission of the sub-request or order. A retry gets
	// another one.
	Attempt string `json:"attempt"`
	// Incarnation is that of the server process that is to run the request.
	Incarnation uint64 `json:"incarnation"`
	Archive     string `json:"archive"`
	// Snapshot is the version of the snapshot.
	Snapshot string `json:"snapshot"`
	// Shard is the number of a shard of that snapshot.
	Shard uint32 `json:"shard"`
	// Deadline is the time that is left, as a Go duration.
	Deadline string `json:"deadline"`
	// Body is the query or the order.
	Body json.RawMessage `json:"body"`
}

// reply is the body of a backend server's answer. It repeats the fields that
// identify the request, so that an answer to another request is recognised.
type reply struct {
	Query       string `json:"query"`
	Attempt     string `json:"attempt"`
	Incarnation uint64 `json:"incarnation"`
	Snapshot    string `json:"snapshot"`
	Shard       uint32 `json:"shard"`
	// Body is the server's answer to the query or the order.
	Body json.RawMessage `json:"body"`
}

// matches reports whether the reply answers the request m.
func (r reply) matches(m Message) bool {
	return r.Query == m.Query && r.Attempt == m.Attempt && r.Incarnation == m.Incarnation &&
		r.Snapshot == m.Snapshot && r.Shard == m.Shard
}

// Result is the outcome of one call.
type Result struct {
	// Status says how the call ended.
	Status Status
	// Body is the answer if the status is Answered.
	Body json.RawMessage
	// Latency is the time from the call to its end.
	Latency time.Duration
	// Err says why there is no answer.
	Err error

	// answer is the memory that the body holds.
	answer *connector.Allowance
}

// Release returns the memory of the answer to the allowance of the host. The body must not be
// used any more, or has to be counted elsewhere.
func (r Result) Release() { r.answer.Close() }
