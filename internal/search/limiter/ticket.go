package limiter

import "time"

//go:generate stringer -type=Lane,Verdict,Reason -linecomment -output=enums_string.go

// Lane separates the two kinds of requests.
type Lane uint8

const (
	// Interactive requests have somebody waiting and go first.
	Interactive Lane = iota // interactive
	// Bulk requests use what interactive ones leave, but not the last free slot.
	Bulk // bulk
)

// laneCount is the number of lanes.
const laneCount = 2

// Verdict is what became of a ticket.
type Verdict uint8

const (
	// Started means that the request holds a slot and is to be sent now.
	Started Verdict = iota // started
	// Queued means that a later event starts or refuses the ticket.
	Queued // queued
	// Refused means that the request did not run and never will.
	Refused // refused
)

// Reason says why a ticket was refused.
type Reason uint8

const (
	// None is the reason of tickets that were not refused.
	None Reason = iota // none
	// Expired means that the deadline has passed.
	Expired // deadline passed
	// TooLate means that the request cannot finish by its deadline.
	TooLate // cannot finish by its deadline
	// QueueFull means that the lane's queue has no room.
	QueueFull // queue full
	// Overload means that the queue stayed long, or that a bulk request waited
	// too long to run alone.
	Overload // queue stays long
	// Cancelled means that the caller cancelled the waiting ticket.
	Cancelled // cancelled
	// Suspended means that this host may not use the server at present.
	Suspended // suspended
	// NoSlots means that the server has no slots.
	NoSlots // no slots
	// DuplicateID means that a ticket with this ID is waiting or in flight; that
	// ticket is not affected.
	DuplicateID // duplicate ticket
)

// Ticket is a request for a slot.
type Ticket struct {
	// ID is unique among the tickets of one limiter.
	ID   uint64
	Lane Lane
	// Alone asks for the server with no other request in flight.
	Alone bool
	// Deadline by which the request must have finished; zero means none.
	Deadline time.Time
}

// Event is the decision on a ticket that was waiting. Its verdict is Started or
// Refused.
type Event struct {
	ID      uint64
	Verdict Verdict
	Reason  Reason
}

// Decision is the answer to Submit.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Events holds decisions on other tickets, which were waiting.
	Events []Event
}
