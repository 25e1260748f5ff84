package limiter

import (
	"time"

	"gentianpond/internal/value/container"
)

// step is what dispatch does next.
type step uint8

const (
	// hold starts nothing until the next call.
	hold step = iota
	startInteractive
	startBulk
	startInteractiveAlone
	startBulkAlone
)

// dispatch starts waiting tickets while the rules allow it.
func (l *Limiter) dispatch(now time.Time, events []Event) []Event {
	for lane := range laneCount {
		events = l.dropLate(now, &l.alones[lane], events)
	}
	for {
		var queue *container.Ring[waiting]
		switch l.next() {
		case hold:
			return events
		case startInteractive:
			queue = &l.queues[Interactive]
		case startBulk:
			queue = &l.queues[Bulk]
		case startInteractiveAlone:
			queue = &l.alones[Interactive]
		case startBulkAlone:
			queue = &l.alones[Bulk]
		}
		w, _ := queue.Pop()
		if why := l.overdue(now, w); why != None {
			events = l.refuse(w.ID, why, events)
			continue
		}
		events = l.start(now, w.Ticket, events)
	}
}

// next decides from the counts alone which queue may start a ticket.
func (l *Limiter) next() step {
	if l.alone || len(l.flying) >= l.slots {
		return hold
	}
	idle := len(l.flying) == 0
	interactive := l.queues[Interactive].Len() > 0
	alone := l.alones[Interactive].Len() > 0
	due := alone && (l.turns == 0 || !interactive)
	switch {
	case due && idle:
		return startInteractiveAlone
	case due && l.bulk == 0:
		return hold
	case interactive:
		return startInteractive
	case alone:
		return hold
	}
	if l.alones[Bulk].Len() > 0 {
		if idle {
			return startBulkAlone
		}
		return hold
	}
	if l.queues[Bulk].Len() > 0 && len(l.flying) < l.bulkSlots() {
		return startBulk
	}
	return hold
}

// bulkSlots is the number of slots open to bulk. Interactive requests count
// towards it, so that the next interactive request finds a free slot: a slot
// that is merely never bulk's leaves it waiting whenever another interactive
// request holds that slot.
func (l *Limiter) bulkSlots() int {
	if l.slots >= 2 {
		return l.slots - 1
	}
	return l.slots
}

// shorten cuts a queue that stayed long down to the length that counts as long:
// the oldest bulk tickets first, which have the least time left, then the
// oldest interactive ones.
func (l *Limiter) shorten(now time.Time, events []Event) []Event {
	excess := l.queues[Interactive].Len() + l.queues[Bulk].Len() - l.config.Long
	if excess <= 0 {
		l.longSince = time.Time{}
		return events
	}
	if l.longSince.IsZero() {
		l.longSince = now
	}
	if now.Sub(l.longSince) < l.config.Patience {
		return events
	}
	l.longSince = now
	for _, lane := range []Lane{Bulk, Interactive} {
		for excess > 0 && l.queues[lane].Len() > 0 {
			w, _ := l.queues[lane].Pop()
			events = l.refuse(w.ID, Overload, events)
			excess--
		}
	}
	return events
}
