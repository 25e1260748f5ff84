package limiter

import (
	"time"

	"gentianpond/internal/value/container"
)

// dispatchStep is what dispatch does next: nothing, or start the first ticket of one
// of the queues.
type dispatchStep uint8

const (
	startNothing dispatchStep = iota
	startInteractive
	startBulk
	startInteractiveAlone
	startBulkAlone
)

// dispatch starts waiting tickets while the rules of the package comment allow it, and
// refuses those that cannot run any more. It returns events with these decisions.
func (l *Limiter) dispatch(now time.Time, events []Event) []Event {
	for lane := range laneCount {
		events = l.refuseOverdue(now, &l.aloneQueues[lane], events)
	}
	for {
		var queue *container.Ring[waitingTicket]
		switch l.nextStep() {
		case startNothing:
			return events
		case startInteractive:
			queue = &l.sharedQueues[Interactive]
		case startBulk:
			queue = &l.sharedQueues[Bulk]
		case startInteractiveAlone:
			queue = &l.aloneQueues[Interactive]
		case startBulkAlone:
			queue = &l.aloneQueues[Bulk]
		}
		w, _ := queue.Pop()
		if reason := l.waitingRefusal(now, w); reason != None {
			events = l.refuse(w.ID, reason, events)
			continue
		}
		events = l.start(now, w.Ticket, events)
	}
}

// nextStep decides which queue may start a ticket, only from what is in flight
// and which queues hold tickets.
func (l *Limiter) nextStep() dispatchStep {
	if l.aloneInFlight || len(l.inFlight) >= l.slots {
		return startNothing
	}
	idle := len(l.inFlight) == 0
	interactiveWaiting := l.sharedQueues[Interactive].Len() > 0
	aloneWaiting := l.aloneQueues[Interactive].Len() > 0
	aloneDue := aloneWaiting && (l.startsBeforeAlone == 0 || !interactiveWaiting)
	switch {
	case aloneDue && idle:
		return startInteractiveAlone
	case aloneDue && l.bulkInFlight == 0:
		return startNothing
	case interactiveWaiting:
		return startInteractive
	case aloneWaiting:
		return startNothing
	}
	if l.aloneQueues[Bulk].Len() > 0 {
		if idle {
			return startBulkAlone
		}
		return startNothing
	}
	if l.sharedQueues[Bulk].Len() > 0 && len(l.inFlight) < l.bulkSlots() {
		return startBulk
	}
	return startNothing
}

// bulkSlots returns the number of requests in flight, of both lanes, below which
// a bulk request may start. Interactive requests count too, so that the next
// interactive request finds a free slot. A slot that is only reserved for
// interactive requests would make it wait whenever another one holds that slot.
func (l *Limiter) bulkSlots() int {
	if l.slots >= 2 {
		return l.slots - 1
	}
	return l.slots
}

// trimLongQueue cuts a queue that stayed long for LongQueueTimeout down to
// LongQueueLength. It refuses the oldest bulk tickets first, which have the least
// time left, and then the oldest interactive ones. It returns events with the
// refusals.
func (l *Limiter) trimLongQueue(now time.Time, events []Event) []Event {
	excess := l.sharedQueues[Interactive].Len() + l.sharedQueues[Bulk].Len() - l.config.LongQueueLength
	if excess <= 0 {
		l.longSince = time.Time{}
		return events
	}
	if l.longSince.IsZero() {
		l.longSince = now
	}
	if now.Sub(l.longSince) < l.config.LongQueueTimeout {
		return events
	}
	l.longSince = now
	for _, lane := range []Lane{Bulk, Interactive} {
		for excess > 0 && l.sharedQueues[lane].Len() > 0 {
			w, _ := l.sharedQueues[lane].Pop()
			events = l.refuse(w.ID, Overload, events)
			excess--
		}
	}
	return events
}
