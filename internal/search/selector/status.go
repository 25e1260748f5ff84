package selector

//go:generate stringer -type=Status -linecomment

// Status is how a sub-request ended.
type Status uint8

const (
	// Completed means that the server answered.
	Completed Status = iota // completed
	// Failed means that the server failed or the connection to it broke.
	Failed // failed
	// TimedOut means that no answer came within the deadline.
	TimedOut // timed out
	// Shed means that the server or the host that owns it refused the sub-request
	// before it started. It does not count as a failure of the server.
	Shed // shed
	// Cancelled means that the answer was no longer needed.
	Cancelled // cancelled
)
