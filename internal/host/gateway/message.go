package gateway

import "encoding/json"

// The outcomes of a request.
const (
	// OutcomeRan means that the answer belongs to a request that ran.
	OutcomeRan = "ran"
	// OutcomeNotRun means that the request did not run.
	OutcomeNotRun = "not run"
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown = "unknown"
)

// The lanes of a search.
const (
	LaneInteractive = "interactive"
	LaneBulk        = "bulk"
)

// IdempotencyKeyHeader carries the idempotency key of an order.
const IdempotencyKeyHeader = "Idempotency-Key"

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	ID       string          `json:"id"`
	Archive  string          `json:"archive"`
	Lane     string          `json:"lane,omitempty"`
	Deadline string          `json:"deadline,omitempty"`
	Query    json.RawMessage `json:"query"`
}

// Coverage tells how much of a snapshot an answer rests on.
type Coverage struct {
	Shards   uint32   `json:"shards"`
	Answered uint32   `json:"answered"`
	Missing  []uint32 `json:"missing"`
}

// SearchAnswer is the answer to POST /v1/search.
type SearchAnswer struct {
	ID       string            `json:"id"`
	Outcome  string            `json:"outcome"`
	Code     string            `json:"code,omitempty"`
	Reason   string            `json:"reason,omitempty"`
	Snapshot string            `json:"snapshot,omitempty"`
	Coverage Coverage          `json:"coverage"`
	Hits     []json.RawMessage `json:"hits"`
}

// OrderRequest is the body of POST /v1/order.
type OrderRequest struct {
	ID       string          `json:"id"`
	Archive  string          `json:"archive"`
	Deadline string          `json:"deadline,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// OrderAnswer is the answer to POST /v1/order.
type OrderAnswer struct {
	ID      string          `json:"id"`
	Outcome string          `json:"outcome"`
	Code    string          `json:"code,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	Repeat  bool            `json:"repeat,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}
