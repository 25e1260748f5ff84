package relayer

import (
	"net/http"
	"time"

	"gentianpond/internal/backend/connector"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Reason -linecomment -output=reason_string.go

// Reason tells why a request got no answer from a backend server, or that it got one.
type Reason uint8

// The reasons. Those between Served and Broken guarantee that the request has not run
// and will not run.
const (
	// Served means that there is an answer.
	Served Reason = iota // served
	// NotReady means that this host has no routing table yet.
	NotReady // not ready
	// NoRoute means that no route matches the request.
	NoRoute // no route
	// HeaderTooLong means that the request headers exceed the limit of the routing table.
	HeaderTooLong // header too long
	// BodyTooLong means that the body exceeds the limit of the routing table.
	BodyTooLong // body too long
	// Unreadable means that the body ended early.
	Unreadable // unreadable
	// BodyTimedOut means that the body did not arrive in time.
	BodyTimedOut // body timed out
	// NoServer means that there was no server to which the request could be sent.
	NoServer // no server
	// Shed means that every server to which the request was sent refused it or could
	// not be reached.
	Shed // shed
	// Overload means that the services are congested.
	Overload // overload
	// RateLimited means that too few servers have room within the rate limits that they
	// name.
	RateLimited // rate limited
	// Quarantined means that the request crashes the servers that run it, or is suspected
	// of that while its service can spare no server.
	Quarantined // quarantined
	// Unauthorized means that the request has no key of an account, although its route
	// needs one.
	Unauthorized // unauthorized
	// OverAllowance means that the account of the request has used up its allowance.
	OverAllowance // over allowance
	// NoMemory means that this host has no memory for the body of the request.
	NoMemory // no memory
	// Expired means that the time limit passed before the request was sent.
	Expired // expired
	// Broken means that servers or their connections failed after the request had been
	// sent. It may have run.
	Broken // broken
	// Unconfirmed means that a server answered with a status that promises that the request
	// has not run, without stating it. The request may have run.
	Unconfirmed // unconfirmed
	// TimedOut means that no answer came in time. The request may have run.
	TimedOut // timed out
	// ClientLeft means that the client disconnected before the answer.
	ClientLeft // client left
)

// NotRun reports whether the request has certainly not run and will not.
func (r Reason) NotRun() bool { return r != Served && r < Broken }

// Answer is the final answer to a request.
type Answer struct {
	// Reason is Served if there is an answer from the backend servers; any other value
	// tells why there is none.
	Reason Reason
	// Status, Header and Body are those of the backend server. For a fan-out
	// only Body is set.
	Status int
	Header http.Header
	Body   []byte
	// Stamps are the signatures of the parts of a fan-out. MissingParts is the number
	// of shards without a part.
	Stamps       []string
	MissingParts int
	// RetryAfter is the time after which the client may retry a request that has not run.
	RetryAfter time.Duration

	// allowance is what the servers' answers were read within.
	allowance *connector.Allowance
}

// Release returns the memory that the answer was read within to the host's allowance.
// The caller calls it when the answer has been written.
func (a Answer) Release() { a.allowance.Close() }
