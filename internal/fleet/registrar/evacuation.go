package registrar

import "time"

// Evacuation is the last order about an availability zone.
type Evacuation struct {
	Zone string
	// Withdrawn is false while no request may be sent to the servers of the zone. After
	// the withdrawal they may be cold.
	Withdrawn bool
	// At is the time of the order.
	At time.Time
}
