// Package limiter admits requests to one backend server at the host that owns
// it. It keeps the server's slots and, per lane, one bounded queue of requests
// that may share the server and one of requests that run alone.
//
// Rules, in order of precedence:
//
//   - A start never makes the requests in flight exceed the slots.
//   - With 2 or more slots, a bulk request starts only if another slot stays
//     free.
//   - A request that runs alone starts when nothing is in flight, and nothing
//     starts until it is done.
//   - Interactive requests start before bulk ones, each lane in order of arrival.
//   - A request that has expired or cannot finish by its deadline never starts.
//
// A waiting interactive request that is to run alone holds back bulk requests
// and, once no bulk request is in flight, interactive ones too: a long bulk run
// must not stop interactive work. A waiting bulk request that is to run alone
// holds back only bulk requests, for a limited time. After a request has run
// alone, as many waiting interactive requests as there are slots go before the
// next request that runs alone.
package limiter

import (
	"time"

	"gentianpond/internal/value/container"
)

// Defaults of Config.
const (
	DefaultInteractiveQueueSize = 64
	DefaultBulkQueueSize        = 256
	DefaultAloneQueueSize       = 8
	DefaultLongQueueLength      = 64
	DefaultLongQueueTimeout     = 100 * time.Millisecond
	DefaultBulkAloneTimeout     = time.Second
)

// Config holds the bounds of a limiter. A zero field means the default.
type Config struct {
	// InteractiveQueueSize and BulkQueueSize limit the waiting requests per lane,
	// without those that are to run alone. AloneQueueSize limits these per lane.
	InteractiveQueueSize int
	BulkQueueSize        int
	AloneQueueSize       int
	// LongQueueLength is the number of waiting requests of both lanes above which
	// the queue counts as long. The default equals that of InteractiveQueueSize, so
	// that only bulk requests are refused.
	LongQueueLength int
	// LongQueueTimeout is how long the queue may stay long before it is cut to
	// LongQueueLength.
	LongQueueTimeout time.Duration
	// BulkAloneTimeout is how long a bulk request that is to run alone may wait.
	// Without it, steady interactive work would let such a request hold back the
	// bulk lane forever.
	BulkAloneTimeout time.Duration
}

// inFlightRequest is a request that holds a slot.
type inFlightRequest struct {
	// lane is the class of the request, interactive or bulk.
	lane Lane
	// alone means that no other request runs beside it.
	alone bool
	// cancelled keeps the time of a cancelled request out of the service times.
	cancelled bool
	// started is when the request got its slot.
	started time.Time
}

// waitingTicket is a ticket in a queue.
type waitingTicket struct {
	Ticket
	// since is when it was submitted.
	since time.Time
}

// Limiter admits requests to one backend server. It is not safe for concurrent
// use.
//
// Every submitted ticket gets exactly one Started or Refused, either at once or
// in an event of a later call. Every started ticket must be given to Done once.
type Limiter struct {
	config Config
	// slots is the number of requests that the server runs at once.
	slots int
	// suspended is true from Suspend to Resume.
	suspended bool
	// inFlight holds the started requests by ticket ID until Done.
	inFlight map[uint64]inFlightRequest
	// bulkInFlight is the number of bulk requests in inFlight.
	bulkInFlight int
	// aloneInFlight is set while a request that runs alone is in flight.
	aloneInFlight bool
	// startsBeforeAlone is the number of waiting interactive requests that start
	// before the next request that runs alone. Without it, a series of requests
	// that run alone would starve the interactive lane.
	startsBeforeAlone int
	// sharedQueues holds, by lane, the waiting tickets that may share the server,
	// aloneQueues those that are to run alone.
	sharedQueues [laneCount]container.Ring[waitingTicket]
	aloneQueues  [laneCount]container.Ring[waitingTicket]
	// waitingIDs holds the IDs of the tickets in all queues.
	waitingIDs container.Set[uint64]
	// serviceTimes holds the estimates by lane.
	serviceTimes [laneCount]serviceTime
	// longSince is when the queue became long or was last cut; zero while it is
	// not long.
	longSince time.Time
}

// New returns a limiter with the given number of slots.
func New(c Config, slots int) *Limiter {
	c = c.withDefaults()
	l := &Limiter{config: c, slots: max(slots, 0), inFlight: map[uint64]inFlightRequest{}}
	l.sharedQueues[Interactive] = container.NewRing[waitingTicket](c.InteractiveQueueSize)
	l.sharedQueues[Bulk] = container.NewRing[waitingTicket](c.BulkQueueSize)
	l.aloneQueues[Interactive] = container.NewRing[waitingTicket](c.AloneQueueSize)
	l.aloneQueues[Bulk] = container.NewRing[waitingTicket](c.AloneQueueSize)
	return l
}

// withDefaults replaces the fields that are not positive by the defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.InteractiveQueueSize, DefaultInteractiveQueueSize)
	setDefault(&c.BulkQueueSize, DefaultBulkQueueSize)
	setDefault(&c.AloneQueueSize, DefaultAloneQueueSize)
	setDefault(&c.LongQueueLength, DefaultLongQueueLength)
	if c.LongQueueTimeout <= 0 {
		c.LongQueueTimeout = DefaultLongQueueTimeout
	}
	if c.BulkAloneTimeout <= 0 {
		c.BulkAloneTimeout = DefaultBulkAloneTimeout
	}
	return c
}

// setDefault replaces a value that is not positive by the default.
func setDefault(field *int, def int) {
	if *field <= 0 {
		*field = def
	}
}

// InFlight returns the number of requests that hold a slot, cancelled ones
// included.
func (l *Limiter) InFlight() int { return len(l.inFlight) }

// Waiting returns the number of waiting requests of a lane.
func (l *Limiter) Waiting(lane Lane) int {
	return l.sharedQueues[lane].Len() + l.aloneQueues[lane].Len()
}

// Submit asks for a slot. The ticket starts, waits in its queue or is refused.
func (l *Limiter) Submit(now time.Time, t Ticket) Decision {
	if reason := l.submitRefusal(now, t); reason != None {
		return Decision{Verdict: Refused, Reason: reason}
	}
	queue := l.queueOf(t)
	var events []Event
	w := waitingTicket{Ticket: t, since: now}
	if !queue.Push(w) {
		events = l.refuseOverdue(now, queue, events)
		if !queue.Push(w) {
			return Decision{Verdict: Refused, Reason: QueueFull, Events: events}
		}
	}
	l.waitingIDs.Add(t.ID)
	events = l.dispatch(now, events)
	events = l.trimLongQueue(now, events)
	return decisionOf(t.ID, events)
}

// decisionOf returns the decision on the submitted ticket: its own event, if
// there is one, and the events of the other tickets.
func decisionOf(id uint64, events []Event) Decision {
	d := Decision{Verdict: Queued}
	for _, e := range events {
		if e.ID == id {
			d.Verdict = e.Verdict
			d.Reason = e.Reason
			continue
		}
		d.Events = append(d.Events, e)
	}
	return d
}

// submitRefusal returns why a submitted ticket cannot be accepted, or None.
func (l *Limiter) submitRefusal(now time.Time, t Ticket) Reason {
	_, inFlight := l.inFlight[t.ID]
	switch {
	case inFlight || l.waitingIDs.Has(t.ID):
		return DuplicateID
	case l.suspended:
		return Suspended
	case l.slots == 0:
		return NoSlots
	}
	return l.deadlineRefusal(now.Add(l.estimateWait(now, t)), now, t)
}

// queueOf returns the queue in which a ticket waits.
func (l *Limiter) queueOf(t Ticket) *container.Ring[waitingTicket] {
	if t.Alone {
		return &l.aloneQueues[t.Lane]
	}
	return &l.sharedQueues[t.Lane]
}

// deadlineRefusal returns why a request that would start at the given time must
// not run because of its deadline, or None.
func (l *Limiter) deadlineRefusal(start, now time.Time, t Ticket) Reason {
	switch {
	case t.Deadline.IsZero():
		return None
	case !now.Before(t.Deadline):
		return Expired
	case start.Add(l.serviceTimes[t.Lane].estimate(now)).After(t.Deadline):
		return TooLate
	}
	return None
}

// estimateWait returns a low estimate of how long a new ticket would wait: the
// service times of the requests ahead of it, spread over all slots.
func (l *Limiter) estimateWait(now time.Time, t Ticket) time.Duration {
	ahead := time.Duration(l.sharedQueues[Interactive].Len()) * l.serviceTimes[Interactive].average(now)
	if t.Lane == Bulk {
		ahead += time.Duration(l.sharedQueues[Bulk].Len()) * l.serviceTimes[Bulk].average(now)
	}
	return ahead / time.Duration(l.slots)
}

// Done frees the slot of a request in flight, whatever its outcome, and starts
// waiting tickets.
func (l *Limiter) Done(now time.Time, id uint64) []Event {
	r, ok := l.inFlight[id]
	if !ok {
		return nil
	}
	delete(l.inFlight, id)
	if r.lane == Bulk {
		l.bulkInFlight--
	}
	if r.alone {
		l.aloneInFlight = false
		l.startsBeforeAlone = l.slots
	}
	if !r.cancelled {
		l.serviceTimes[r.lane].addSample(now, now.Sub(r.started))
	}
	return l.trimLongQueue(now, l.dispatch(now, nil))
}

// Cancel refuses a waiting ticket. A request in flight keeps its slot until
// Done, because the server may still run it.
func (l *Limiter) Cancel(now time.Time, id uint64) []Event {
	if r, ok := l.inFlight[id]; ok {
		r.cancelled = true
		l.inFlight[id] = r
		return nil
	}
	if !l.waitingIDs.Has(id) {
		return nil
	}
	cancelled := func(w waitingTicket) Reason {
		if w.ID == id {
			return Cancelled
		}
		return None
	}
	var events []Event
	for lane := range laneCount {
		events = l.refuseWhere(&l.sharedQueues[lane], cancelled, events)
		events = l.refuseWhere(&l.aloneQueues[lane], cancelled, events)
	}
	return l.dispatch(now, events)
}

// Expire refuses the waiting tickets that have expired or cannot finish by
// their deadline any more. Call it every few milliseconds while tickets wait.
func (l *Limiter) Expire(now time.Time) []Event {
	var events []Event
	for lane := range laneCount {
		events = l.refuseOverdue(now, &l.sharedQueues[lane], events)
		events = l.refuseOverdue(now, &l.aloneQueues[lane], events)
	}
	return l.trimLongQueue(now, l.dispatch(now, events))
}

// Resize changes the number of slots. Requests in flight continue even if they
// exceed it. With 0 slots all waiting tickets are refused.
func (l *Limiter) Resize(now time.Time, slots int) []Event {
	l.slots = max(slots, 0)
	l.startsBeforeAlone = min(l.startsBeforeAlone, l.slots)
	if l.slots == 0 {
		return l.refuseAll(NoSlots)
	}
	return l.dispatch(now, nil)
}

// Suspend refuses all waiting tickets, and all new ones until Resume. Requests
// in flight continue; the server may be released when InFlight is 0.
func (l *Limiter) Suspend() []Event {
	l.suspended = true
	return l.refuseAll(Suspended)
}

// Resume accepts tickets again.
func (l *Limiter) Resume() { l.suspended = false }

// refuseAll refuses all waiting tickets.
func (l *Limiter) refuseAll(reason Reason) []Event {
	all := func(waitingTicket) Reason { return reason }
	var events []Event
	for lane := range laneCount {
		events = l.refuseWhere(&l.sharedQueues[lane], all, events)
		events = l.refuseWhere(&l.aloneQueues[lane], all, events)
	}
	l.longSince = time.Time{}
	return events
}

// refuseWhere refuses the tickets of a queue for which reasonFor returns a reason
// other than None and keeps the order of the others.
func (l *Limiter) refuseWhere(q *container.Ring[waitingTicket], reasonFor func(waitingTicket) Reason, events []Event) []Event {
	for range q.Len() {
		w, _ := q.Pop()
		reason := reasonFor(w)
		if reason == None {
			q.Push(w)
			continue
		}
		events = l.refuse(w.ID, reason, events)
	}
	return events
}

// refuseOverdue refuses the tickets of a queue that cannot finish by their
// deadline or have waited for BulkAloneTimeout.
func (l *Limiter) refuseOverdue(now time.Time, q *container.Ring[waitingTicket], events []Event) []Event {
	return l.refuseWhere(q, func(w waitingTicket) Reason { return l.waitingRefusal(now, w) }, events)
}

// waitingRefusal returns why a ticket that waits must be refused now, or None.
func (l *Limiter) waitingRefusal(now time.Time, w waitingTicket) Reason {
	if reason := l.deadlineRefusal(now, now, w.Ticket); reason != None {
		return reason
	}
	if w.Alone && w.Lane == Bulk && now.Sub(w.since) >= l.config.BulkAloneTimeout {
		return Overload
	}
	return None
}

// refuse returns events with the refusal of a ticket that was taken out of its queue.
func (l *Limiter) refuse(id uint64, reason Reason, events []Event) []Event {
	l.waitingIDs.Remove(id)
	return append(events, Event{ID: id, Verdict: Refused, Reason: reason})
}

// start gives a slot to a ticket that was taken out of its queue, and returns events
// with its start.
func (l *Limiter) start(now time.Time, t Ticket, events []Event) []Event {
	l.waitingIDs.Remove(t.ID)
	l.inFlight[t.ID] = inFlightRequest{lane: t.Lane, alone: t.Alone, started: now}
	if t.Lane == Bulk {
		l.bulkInFlight++
	}
	if t.Lane == Interactive && !t.Alone {
		l.startsBeforeAlone = max(l.startsBeforeAlone-1, 0)
	}
	l.aloneInFlight = t.Alone
	return append(events, Event{ID: t.ID, Verdict: Started})
}
