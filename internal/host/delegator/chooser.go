package delegator

import (
	"net/netip"
	"slices"
	"time"
)

// otherZoneCost is the number of requests in flight by which a host in the same zone may
// be ahead before one in another zone is asked. Traffic between zones is slower and
// costs more.
const otherZoneCost = 2

// helper is another entry host that may be asked.
type helper struct {
	address netip.AddrPort
	zone    string
	// inFlight is the number of requests that it has been handed and not answered.
	inFlight int
	// restsUntil is the time until which it is not asked, because it could not help.
	restsUntil time.Time
}

// choose returns the helper to ask among those that are not in asked, or nil if there is
// none. It prefers the one with the fewest requests in flight, so that a host that hangs
// gets no further ones and many cut-off hosts do not overload one helper. The position
// start, a random number, decides between equals.
//
// The load that it answers: most hosts of a zone or of the fleet are cut off at the same
// moment and hand over all of their requests to the few others.
func choose(now time.Time, helpers []*helper, zone string, asked []*helper, start int) *helper {
	var best *helper
	bestCost := 0
	for i := range helpers {
		h := helpers[(start+i)%len(helpers)]
		if now.Before(h.restsUntil) || slices.Contains(asked, h) {
			continue
		}
		cost := h.inFlight
		if h.zone != zone {
			cost += otherZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
}
