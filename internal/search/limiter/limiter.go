// Package limiter admits requests to one backend server at the host that owns
// it. It holds the server's slots and a bounded queue per lane.
//
// Rules, in order of precedence:
//
//   - A start never makes the requests in flight exceed the slots.
//   - Of 2 or more slots, one is closed to bulk: a bulk request starts only if
//     another slot stays free.
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
// next such request.
package limiter

import (
	"time"

	"gentianpond/internal/value/container"
)

// Defaults of Config.
const (
	DefaultInteractiveQueue = 64
	DefaultBulkQueue        = 256
	DefaultAloneQueue       = 8
	DefaultLong             = 64
	DefaultPatience         = 100 * time.Millisecond
	DefaultAloneHold        = time.Second
)

// Config is the bounds of a limiter. A zero field means the default.
type Config struct {
	// InteractiveQueue and BulkQueue are the most waiting requests per lane,
	// AloneQueue the most per lane that are to run alone.
	InteractiveQueue int
	BulkQueue        int
	AloneQueue       int
	// Long is the number of waiting requests above which the queue is long. The
	// default is the room for interactive requests, so that only bulk is cut.
	Long int
	// Patience is how long the queue may stay long before it is cut to Long.
	Patience time.Duration
	// AloneHold is how long a bulk request that is to run alone may wait. Without
	// it, steady interactive work would let it hold back bulk for ever.
	AloneHold time.Duration
}

// running is a request in flight.
type running struct {
	lane      Lane
	alone     bool
	cancelled bool
	started   time.Time
}

// waiting is a queued ticket.
type waiting struct {
	Ticket
	since time.Time
}

// Limiter admits requests to one backend server. It is not safe for concurrent
// use.
//
// Every submitted ticket gets exactly one Started or Refused, either at once or
// in an event of a later call. Every started ticket must be given to Done once.
type Limiter struct {
	config    Config
	slots     int
	suspended bool
	flying    map[uint64]running
	bulk      int
	// alone is set while a request that runs alone is in flight.
	alone bool
	// turns is the number of interactive starts due before the next request
	// that runs alone.
	turns   int
	queues  [laneCount]container.Ring[waiting]
	alones  [laneCount]container.Ring[waiting]
	queued  container.Set[uint64]
	service [laneCount]service
	// longSince is when the queue became long; zero while it is not.
	longSince time.Time
}

// New returns a limiter with the given number of slots.
func New(c Config, slots int) *Limiter {
	c = c.withDefaults()
	l := &Limiter{config: c, slots: max(slots, 0), flying: map[uint64]running{}}
	l.queues[Interactive] = container.NewRing[waiting](c.InteractiveQueue)
	l.queues[Bulk] = container.NewRing[waiting](c.BulkQueue)
	l.alones[Interactive] = container.NewRing[waiting](c.AloneQueue)
	l.alones[Bulk] = container.NewRing[waiting](c.AloneQueue)
	return l
}

func (c Config) withDefaults() Config {
	positive(&c.InteractiveQueue, DefaultInteractiveQueue)
	positive(&c.BulkQueue, DefaultBulkQueue)
	positive(&c.AloneQueue, DefaultAloneQueue)
	positive(&c.Long, DefaultLong)
	if c.Patience <= 0 {
		c.Patience = DefaultPatience
	}
	if c.AloneHold <= 0 {
		c.AloneHold = DefaultAloneHold
	}
	return c
}

func positive(field *int, def int) {
	if *field <= 0 {
		*field = def
	}
}

// InFlight returns the number of requests that hold a slot.
func (l *Limiter) InFlight() int { return len(l.flying) }

// Waiting returns the number of waiting requests of a lane.
func (l *Limiter) Waiting(lane Lane) int {
	return l.queues[lane].Len() + l.alones[lane].Len()
}

// Submit asks for a slot.
func (l *Limiter) Submit(now time.Time, t Ticket) Decision {
	if reason := l.refusal(now, t); reason != None {
		return Decision{Verdict: Refused, Reason: reason}
	}
	queue := l.queue(t)
	var events []Event
	w := waiting{Ticket: t, since: now}
	if !queue.Push(w) {
		events = l.dropLate(now, queue, events)
		if !queue.Push(w) {
			return Decision{Verdict: Refused, Reason: QueueFull, Events: events}
		}
	}
	l.queued.Add(t.ID)
	events = l.dispatch(now, events)
	events = l.shorten(now, events)
	return decide(t.ID, events)
}

// decide takes the submitted ticket's own event out of events.
func decide(id uint64, events []Event) Decision {
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

// refusal returns why the ticket cannot be accepted, or None.
func (l *Limiter) refusal(now time.Time, t Ticket) Reason {
	_, flying := l.flying[t.ID]
	switch {
	case flying || l.queued.Has(t.ID):
		return DuplicateID
	case l.suspended:
		return Suspended
	case l.slots == 0:
		return NoSlots
	}
	return l.late(now.Add(l.wait(now, t)), now, t)
}

func (l *Limiter) queue(t Ticket) *container.Ring[waiting] {
	if t.Alone {
		return &l.alones[t.Lane]
	}
	return &l.queues[t.Lane]
}

// late returns why a request that starts at the given time must not run, or
// None.
func (l *Limiter) late(start, now time.Time, t Ticket) Reason {
	switch {
	case t.Deadline.IsZero():
		return None
	case !now.Before(t.Deadline):
		return Expired
	case start.Add(l.service[t.Lane].estimate(now)).After(t.Deadline):
		return TooLate
	}
	return None
}

// wait is a low estimate of how long a new ticket would wait: the requests
// ahead of it, spread over all slots.
func (l *Limiter) wait(now time.Time, t Ticket) time.Duration {
	ahead := time.Duration(l.queues[Interactive].Len()) * l.service[Interactive].average(now)
	if t.Lane == Bulk {
		ahead += time.Duration(l.queues[Bulk].Len()) * l.service[Bulk].average(now)
	}
	return ahead / time.Duration(l.slots)
}

// Done ends a request in flight, whatever its outcome, and starts others.
func (l *Limiter) Done(now time.Time, id uint64) []Event {
	r, ok := l.flying[id]
	if !ok {
		return nil
	}
	delete(l.flying, id)
	if r.lane == Bulk {
		l.bulk--
	}
	if r.alone {
		l.alone = false
		l.turns = l.slots
	}
	if !r.cancelled {
		l.service[r.lane].add(now, now.Sub(r.started))
	}
	return l.shorten(now, l.dispatch(now, nil))
}

// Cancel refuses a waiting ticket. A request in flight keeps its slot until
// Done, because the server may still run it.
func (l *Limiter) Cancel(now time.Time, id uint64) []Event {
	if r, ok := l.flying[id]; ok {
		r.cancelled = true
		l.flying[id] = r
		return nil
	}
	if !l.queued.Has(id) {
		return nil
	}
	cancelled := func(w waiting) Reason {
		if w.ID == id {
			return Cancelled
		}
		return None
	}
	var events []Event
	for lane := range laneCount {
		events = l.drop(&l.queues[lane], cancelled, events)
		events = l.drop(&l.alones[lane], cancelled, events)
	}
	return l.dispatch(now, events)
}

// Expire refuses the waiting tickets that have expired or cannot finish by
// their deadline any more. Call it every few milliseconds while tickets wait.
func (l *Limiter) Expire(now time.Time) []Event {
	var events []Event
	for lane := range laneCount {
		events = l.dropLate(now, &l.queues[lane], events)
		events = l.dropLate(now, &l.alones[lane], events)
	}
	return l.shorten(now, l.dispatch(now, events))
}

// Resize changes the number of slots. Requests in flight above it go on. With 0
// slots all waiting tickets are refused.
func (l *Limiter) Resize(now time.Time, slots int) []Event {
	l.slots = max(slots, 0)
	l.turns = min(l.turns, l.slots)
	if l.slots == 0 {
		return l.clear(NoSlots)
	}
	return l.dispatch(now, nil)
}

// Suspend refuses all waiting and all further tickets until Resume. Requests in
// flight go on; the server is released when InFlight is 0.
func (l *Limiter) Suspend() []Event {
	l.suspended = true
	return l.clear(Suspended)
}

// Resume accepts tickets again.
func (l *Limiter) Resume() { l.suspended = false }

func (l *Limiter) clear(reason Reason) []Event {
	all := func(waiting) Reason { return reason }
	var events []Event
	for lane := range laneCount {
		events = l.drop(&l.queues[lane], all, events)
		events = l.drop(&l.alones[lane], all, events)
	}
	l.longSince = time.Time{}
	return events
}

// drop refuses the tickets of a queue for which reason returns one and keeps
// the order of the others.
func (l *Limiter) drop(q *container.Ring[waiting], reason func(waiting) Reason, events []Event) []Event {
	for range q.Len() {
		w, _ := q.Pop()
		why := reason(w)
		if why == None {
			q.Push(w)
			continue
		}
		events = l.refuse(w.ID, why, events)
	}
	return events
}

func (l *Limiter) dropLate(now time.Time, q *container.Ring[waiting], events []Event) []Event {
	return l.drop(q, func(w waiting) Reason { return l.overdue(now, w) }, events)
}

// overdue returns why a waiting ticket must be refused, or None.
func (l *Limiter) overdue(now time.Time, w waiting) Reason {
	if why := l.late(now, now, w.Ticket); why != None {
		return why
	}
	if w.Alone && w.Lane == Bulk && now.Sub(w.since) >= l.config.AloneHold {
		return Overload
	}
	return None
}

func (l *Limiter) refuse(id uint64, reason Reason, events []Event) []Event {
	l.queued.Remove(id)
	return append(events, Event{ID: id, Verdict: Refused, Reason: reason})
}

func (l *Limiter) start(now time.Time, t Ticket, events []Event) []Event {
	l.queued.Remove(t.ID)
	l.flying[t.ID] = running{lane: t.Lane, alone: t.Alone, started: now}
	if t.Lane == Bulk {
		l.bulk++
	}
	if t.Lane == Interactive && !t.Alone {
		l.turns = max(l.turns-1, 0)
	}
	l.alone = t.Alone
	return append(events, Event{ID: t.ID, Verdict: Started})
}
