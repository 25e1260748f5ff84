package gateway

import "encoding/json"

// The outcomes of a request.
const (
	// OutcomeRan means that the request ran.
	OutcomeRan = "ran"
	// OutcomeNotRun means that the request did not run.
	OutcomeNotRun = "not run"
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown = "unknown"
)

// The lanes of a search. Each has its own queues.
const (
	// LaneInteractive is for searches that somebody waits for. They go first.
	LaneInteractive = "interactive"
	// LaneBulk is for searches that use what interactive ones leave.
	LaneBulk = "bulk"
)

// IdempotencyKeyHeader carries the idempotency key of an order.
const IdempotencyKeyHeader = "Idempotency-Key"

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	// ID is the caller's name for the request. It is repeated in the answer.
	ID string `json:"id"`
	// Archive is the name of the archive to search.
	Archive string `json:"archive"`
	// Lane defaults to LaneInteractive.
	Lane string `json:"lane,omitempty"`
	// Deadline is a duration such as 160ms. It defaults to the archive's deadline.
	Deadline string `json:"deadline,omitempty"`
	// Query is what the backend servers get, in compact form.
	Query json.RawMessage `json:"query"`
}

// Coverage tells which shards of a snapshot contributed to an answer.
type Coverage struct {
	// Shards is the number of shards of the snapshot.
	Shards uint32 `json:"shards"`
	// Answered is the number of shards that answered.
	Answered uint32 `json:"answered"`
	// Missing lists the shards that did not answer.
	Missing []uint32 `json:"missing"`
}

// SearchAnswer is the answer to POST /v1/search.
type SearchAnswer struct {
	// ID repeats the ID of the request.
	ID string `json:"id"`
	// Outcome is OutcomeRan, OutcomeNotRun or OutcomeUnknown.
	Outcome string `json:"outcome"`
	// Code tells why a search has no result, and Reason explains it to people.
	Code   string `json:"code,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Snapshot is the version of the snapshot that was searched.
	Snapshot string `json:"snapshot,omitempty"`
	// Coverage tells which shards contributed to the hits.
	Coverage Coverage `json:"coverage"`
	// Hits holds the hits of all shards in shard order.
	Hits []json.RawMessage `json:"hits"`
}

// OrderRequest is the body of POST /v1/order.
type OrderRequest struct {
	// ID is the caller's name for the request. It is repeated in the answer.
	ID string `json:"id"`
	// Archive is the name of the archive that the order is for.
	Archive string `json:"archive"`
	// Deadline is a duration such as 160ms. It defaults to the archive's deadline.
	Deadline string `json:"deadline,omitempty"`
	// Body is what the backend server gets, in compact form.
	Body json.RawMessage `json:"body"`
}

// OrderAnswer is the answer to POST /v1/order.
type OrderAnswer struct {
	// ID repeats the ID of the request.
	ID string `json:"id"`
	// Outcome is OutcomeRan, OutcomeNotRun or OutcomeUnknown.
	Outcome string `json:"outcome"`
	// Code tells why an order has no result, and Reason explains the outcome to people.
	Code   string `json:"code,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Repeat is true when an order with the same key was accepted before.
	Repeat bool `json:"repeat,omitempty"`
	// Answer is the backend server's answer.
	Answer json.RawMessage `json:"answer,omitempty"`
}
