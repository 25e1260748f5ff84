package caller

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Status -linecomment

// Status tells what became of one call to a backend server.
type Status int

// The results of a call. Only Answered carries an answer.
const (
	// Answered means that the server ran the request and this is its answer.
	Answered Status = iota + 1 // answered
	// Shed means that the server said that it had not started the request.
	Shed // shed
	// Missing means that the server does not have the snapshot, the shard or
	// the incarnation asked for, and had not started the request.
	Missing // missing
	// Unsent means that no byte of the request left for the server.
	Unsent // unsent
	// Refused means that the owner did not send the request: its queue is
	// full, the deadline can't be met or it does not own the server.
	Refused // refused
	// Broken means that the connection broke after the request had left.
	Broken // broken
	// TimedOut means that no answer came in time after the request had left.
	TimedOut // timed out
	// Cancelled means that the request was called off after it had left.
	Cancelled // cancelled
	// Failed means that the server reported an error of its own, or answered
	// with something that is not an answer.
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
