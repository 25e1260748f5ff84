package caller

import (
	"encoding/json"
	"time"
)

// StartedHeader is set to "no" by a backend server that refuses a request
// before it starts to run it.
const StartedHeader = "Gentianpond-Started"

// Message is the body of a request to a backend server. Body is the query or the
// order in it, Deadline the time that is left as a Go duration.
type Message struct {
	Query       string          `json:"query"`
	Attempt     string          `json:"attempt"`
	Incarnation uint64          `json:"incarnation"`
	Archive     string          `json:"archive"`
	Snapshot    string          `json:"snapshot"`
	Shard       uint32          `json:"shard"`
	Deadline    string          `json:"deadline"`
	Body        json.RawMessage `json:"body"`
}

// reply is the body of a backend server's answer. It repeats the fields that
// identify the request, so that an answer to another request is recognised.
type reply struct {
	Query       string          `json:"query"`
	Attempt     string          `json:"attempt"`
	Incarnation uint64          `json:"incarnation"`
	Snapshot    string          `json:"snapshot"`
	Shard       uint32          `json:"shard"`
	Body        json.RawMessage `json:"body"`
}

// matches reports whether the reply answers the request m.
func (r reply) matches(m Message) bool {
	return r.Query == m.Query && r.Attempt == m.Attempt && r.Incarnation == m.Incarnation &&
		r.Snapshot == m.Snapshot && r.Shard == m.Shard
}

// Result is the outcome of one call.
type Result struct {
	Status  Status
	Body    json.RawMessage
	Latency time.Duration
	// Err says why there is no answer.
	Err error
}
