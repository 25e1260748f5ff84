package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model checks a limiter against the rules of the package, with state of its
// own.
type model struct {
	t         *rapid.T
	l         *Limiter
	now       time.Time
	slots     int
	suspended bool
	lastID    uint64
	waiting   map[uint64]Ticket
	inFlight  map[uint64]Ticket
	decided   map[uint64]Verdict
}

func newModel(t *rapid.T) *model {
	slots := rapid.IntRange(0, 6).Draw(t, "slots")
	c := Config{
		InteractiveQueueSize: rapid.IntRange(1, 8).Draw(t, "interactive queue"),
		BulkQueueSize:        rapid.IntRange(1, 8).Draw(t, "bulk queue"),
		AloneQueueSize:       rapid.IntRange(1, 3).Draw(t, "alone queue"),
		LongQueueLength:      rapid.IntRange(1, 8).Draw(t, "long"),
		BulkAloneTimeout:     20 * time.Millisecond,
		LongQueueTimeout:     10 * time.Millisecond,
	}
	return &model{
		t:        t,
		l:        New(c, slots),
		now:      time.Unix(1000, 0),
		slots:    slots,
		waiting:  map[uint64]Ticket{},
		inFlight: map[uint64]Ticket{},
		decided:  map[uint64]Verdict{},
	}
}

func (m *model) submit(t *rapid.T) {
	m.lastID++
	ticket := Ticket{
		ID:    m.lastID,
		Lane:  Lane(rapid.IntRange(0, laneCount-1).Draw(t, "lane")),
		Alone: rapid.IntRange(0, 7).Draw(t, "alone") == 0,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		left := rapid.IntRange(-2, 40).Draw(t, "deadline")
		ticket.Deadline = m.now.Add(time.Duration(left) * time.Millisecond)
	}
	m.waiting[ticket.ID] = ticket
	d := m.l.Submit(m.now, ticket)
	m.apply(d.Events)
	if d.Verdict == Queued {
		require.Equal(m.t, None, d.Reason)
		return
	}
	m.apply([]Event{{ID: ticket.ID, Verdict: d.Verdict, Reason: d.Reason}})
}

// resubmit submits the ID of a waiting or running ticket again. A duplicated
// request must not run twice or affect the first.
func (m *model) resubmit(t *rapid.T) {
	id := m.recentID(t)
	_, waiting := m.waiting[id]
	_, inFlight := m.inFlight[id]
	if !waiting && !inFlight {
		t.Skip("no such ticket")
	}
	d := m.l.Submit(m.now, Ticket{ID: id})
	require.Equal(m.t, Decision{Verdict: Refused, Reason: DuplicateID}, d)
}

func (m *model) done(t *rapid.T) {
	id := m.recentID(t)
	delete(m.inFlight, id)
	m.apply(m.l.Done(m.now, id))
}

func (m *model) cancel(t *rapid.T) {
	id := m.recentID(t)
	_, waiting := m.waiting[id]
	m.apply(m.l.Cancel(m.now, id))
	if waiting {
		require.Equal(m.t, Refused, m.decided[id], "ticket %d is still waiting", id)
	}
}

func (m *model) resize(t *rapid.T) {
	m.slots = rapid.IntRange(0, 6).Draw(t, "slots")
	m.apply(m.l.Resize(m.now, m.slots))
}

func (m *model) suspend(*rapid.T) {
	m.suspended = true
	m.apply(m.l.Suspend())
	require.Empty(m.t, m.waiting)
}

func (m *model) resume(*rapid.T) {
	m.suspended = false
	m.l.Resume()
}

func (m *model) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "passed")) * time.Millisecond)
	m.apply(m.l.Expire(m.now))
	for id, w := range m.waiting {
		require.True(m.t, w.Deadline.IsZero() || m.now.Before(w.Deadline), "expired ticket %d waits", id)
	}
}

// recentID draws an ID from the last 20 or so, and sometimes one not yet used.
func (m *model) recentID(t *rapid.T) uint64 {
	return uint64(rapid.IntRange(max(1, int(m.lastID)-20), int(m.lastID)+1).Draw(t, "id"))
}

// apply checks that each ticket is decided only once and that a start obeys
// every rule.
func (m *model) apply(events []Event) {
	for _, e := range events {
		ticket, waiting := m.waiting[e.ID]
		require.True(m.t, waiting, "decision on ticket %d, which does not wait", e.ID)
		require.NotContains(m.t, m.decided, e.ID, "second decision on ticket %d", e.ID)
		require.NotEqual(m.t, Queued, e.Verdict)
		require.Equal(m.t, e.Verdict == Refused, e.Reason != None)
		m.decided[e.ID] = e.Verdict
		delete(m.waiting, e.ID)
		if e.Verdict == Started {
			m.checkStart(ticket)
		}
	}
}

func (m *model) checkStart(ticket Ticket) {
	require.False(m.t, m.suspended, "start while suspended")
	estimate := m.l.serviceTimes[ticket.Lane].estimate(m.now)
	require.True(m.t, ticket.Deadline.IsZero() ||
		m.now.Before(ticket.Deadline) && !m.now.Add(estimate).After(ticket.Deadline), "start of late work")
	if ticket.Lane == Bulk && !ticket.Alone {
		require.Zero(m.t, m.interactiveWaiting(), "bulk start while interactive work waits")
	}
	m.inFlight[ticket.ID] = ticket
	require.LessOrEqual(m.t, len(m.inFlight), m.slots, "more in flight than slots")
	for _, f := range m.inFlight {
		require.True(m.t, !f.Alone || len(m.inFlight) == 1, "ticket %d is not alone", f.ID)
	}
	if ticket.Lane == Bulk && m.slots >= 2 {
		require.Less(m.t, len(m.inFlight), m.slots, "bulk in the last free slot")
	}
}

func (m *model) interactiveWaiting() int {
	n := 0
	for _, w := range m.waiting {
		if w.Lane == Interactive {
			n++
		}
	}
	return n
}

// checkInvariants runs after every call. No slot may be idle while a ticket could
// use it: if no further call came, that ticket would wait forever.
func (m *model) checkInvariants(*rapid.T) {
	require.Equal(m.t, len(m.inFlight), m.l.InFlight())
	require.Equal(m.t, len(m.waiting), m.l.Waiting(Interactive)+m.l.Waiting(Bulk))
	if len(m.inFlight) == 0 {
		require.Empty(m.t, m.waiting, "tickets wait for an idle server")
	}
	interactiveWaiting, aloneWaiting, bulkInFlight := 0, false, false
	for _, w := range m.waiting {
		aloneWaiting = aloneWaiting || w.Alone && w.Lane == Interactive
		if w.Lane == Interactive && !w.Alone {
			interactiveWaiting++
		}
	}
	for _, f := range m.inFlight {
		bulkInFlight = bulkInFlight || f.Lane == Bulk
		if f.Alone {
			return
		}
	}
	// Only a request that is to run alone holds interactive work back, and only
	// while no bulk request is in flight.
	if interactiveWaiting > 0 && (bulkInFlight || !aloneWaiting) {
		require.GreaterOrEqual(m.t, len(m.inFlight), m.slots, "interactive work waits beside a free slot")
	}
}

// TestLimits guards against a broken limit in any order of calls: more requests
// than slots, bulk in the last free slot, a second request beside one that runs
// alone, a start that misses its deadline, and a ticket decided twice or never.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":      m.submit,
			"submit more": m.submit,
			"submit most": m.submit,
			"done":        m.done,
			"done more":   m.done,
			"cancel":      m.cancel,
			"resubmit":    m.resubmit,
			"expire":      m.expire,
			"resize":      m.resize,
			"suspend":     m.suspend,
			"resume":      m.resume,
			"":            m.checkInvariants,
		})
		m.finishAll()
		require.Len(t, m.decided, int(m.lastID), "tickets without a decision")
	})
}

// finishAll completes the requests in flight until nothing runs or waits.
func (m *model) finishAll() {
	for len(m.inFlight) > 0 {
		for id := range m.inFlight {
			delete(m.inFlight, id)
			m.apply(m.l.Done(m.now, id))
			break
		}
	}
}
