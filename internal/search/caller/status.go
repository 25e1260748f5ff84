package caller

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Status -linecomment

// Status classifies the outcome of one call to a backend server.
type Status int

// The outcomes of a call. Only Answered comes with an answer.
const (
	// Answered means that the server ran the request and this is its answer.
	Answered Status = iota + 1 // answered
	// Shed means that the server refused the request before it started it.
	Shed // shed
	// Missing means that the server does not have the snapshot, the shard or
	// the incarnation asked for, and had not started the request.
	Missing // missing
	// Unsent means that no byte of the request was sent to the server.
	Unsent // unsent
	// Refused means that the owner did not send the request, for example
	// because its queue is full or the deadline can't be met. A host that does
	// not own the server reports Unsent instead.
	Refused // refused
	// Broken means that the connection broke after sending had begun.
	Broken // broken
	// TimedOut means that sending had begun and no answer came in time.
	TimedOut // timed out
	// Cancelled means that the request was cancelled after sending had begun.
	Cancelled // cancelled
	// Failed means that the server reported an error of its own, that it sent
	// something that is no answer or too long, that its answer could not be
	// decoded, or that the owner may have sent the request and did not report
	// the result.
	Failed // failed
	// Crossed means that the answer belongs to another request.
	Crossed // crossed
)

// NotStarted reports whether the status proves that the server did not run
// the request.
func (s Status) NotStarted() bool {
	switch s {
	case Shed, Missing, Unsent, Refused:
		return true
	default:
		return false
	}
}
