package limiter

import "time"

//go:generate stringer -type=Lane,Verdict,Reason -linecomment -output=enums_string.go

// Lane is the priority class of a request.
type Lane uint8

const (
	// Interactive requests have somebody waiting and go first.
	Interactive Lane = iota // interactive
	// Bulk requests use what interactive ones leave, but not the last free slot.
	Bulk // bulk
)

const laneCount = 2

// Verdict is the state of a ticket after a decision.
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
	// None is the reason of a ticket that was not refused.
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
	// Suspended means that this host may not use the server now.
	Suspended // suspended
	// NoSlots means that the server has no slots.
	NoSlots // no slots
	// DuplicateID means that a ticket with this ID is already waiting or in flight.
	// That earlier ticket is not affected.
	DuplicateID // duplicate ticket
)

// Ticket asks for a slot on behalf of one request.
type Ticket struct {
	// ID is unique among the tickets of one limiter.
	ID uint64
	// Lane is the class of the request, interactive or bulk.
	Lane Lane
	// Alone makes the request run with no other request in flight.
	Alone bool
	// Deadline is when the request must have finished; zero means no deadline.
	Deadline time.Time
}

// Event is the decision on a ticket that was waiting. Its verdict is Started or
// Refused.
type Event struct {
	// ID is that of the ticket.
	ID      uint64
	Verdict Verdict
	// Reason says why the ticket was refused; it is None if the request starts.
	Reason Reason
}

// Decision is the result of Submit.
type Decision struct {
	// Verdict says whether the submitted ticket started, waits or was refused.
	Verdict Verdict
	// Reason says why the ticket was refused; it is None if it was not.
	Reason Reason
	// Events holds the decisions on other tickets that were waiting.
	Events []Event
}
