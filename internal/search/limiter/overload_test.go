package limiter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// phase counts the requests that arrived in one second of a simulation.
type phase struct{ arrived, inTime, late, refused int }

// simulation is a server whose requests take 10 to 30 ms, except 1 in 100, which
// takes 200 ms.
type simulation struct {
	l        *Limiter
	random   *rand.Rand
	now      time.Time
	phases   []phase
	requests map[uint64]request
	inFlight []request
}

type request struct {
	id       uint64
	phase    *phase
	deadline time.Time
	end      time.Time
}

func (s *simulation) apply(events []Event) {
	for _, e := range events {
		q := s.requests[e.ID]
		if e.Verdict == Refused {
			q.phase.refused++
			continue
		}
		took := 10*time.Millisecond + time.Duration(s.random.Int64N(int64(20*time.Millisecond)))
		if s.random.IntN(100) == 0 {
			took = 200 * time.Millisecond
		}
		q.end = s.now.Add(took)
		s.inFlight = append(s.inFlight, q)
	}
}

// advance moves the clock and completes the requests that end by then.
func (s *simulation) advance(then time.Time) {
	for len(s.inFlight) > 0 {
		slices.SortFunc(s.inFlight, func(a, b request) int { return a.end.Compare(b.end) })
		q := s.inFlight[0]
		if q.end.After(then) {
			break
		}
		s.inFlight = s.inFlight[1:]
		s.now = q.end
		if q.end.After(q.deadline) {
			q.phase.late++
		} else {
			q.phase.inTime++
		}
		s.apply(s.l.Done(s.now, q.id))
	}
	s.now = then
	s.apply(s.l.Expire(s.now))
}

// TestOverload guards against a loss of goodput. Under overload the slots must
// serve requests that meet their deadline, and right after the overload at most
// 1 in 20 requests may be refused or late.
func TestOverload(t *testing.T) {
	const capacity = 137 // 3 slots, 21.9 ms on average, per second
	loads := []float64{0.5, 2, 2, 4, 0.5, 0.5}
	begin := time.Unix(1000, 0)
	s := &simulation{
		l:        New(Config{}, 3),
		random:   rand.New(rand.NewPCG(1, 2)),
		now:      begin,
		phases:   make([]phase, len(loads)),
		requests: map[uint64]request{},
	}
	for id := uint64(1); ; id++ {
		second := int(s.now.Sub(begin) / time.Second)
		if second >= len(loads) {
			break
		}
		p := &s.phases[second]
		p.arrived++
		s.requests[id] = request{id: id, phase: p, deadline: s.now.Add(160 * time.Millisecond)}
		d := s.l.Submit(s.now, Ticket{ID: id, Deadline: s.requests[id].deadline})
		s.apply(d.Events)
		if d.Verdict != Queued {
			s.apply([]Event{{ID: id, Verdict: d.Verdict, Reason: d.Reason}})
		}
		gap := s.random.ExpFloat64() / capacity / loads[second]
		s.advance(s.now.Add(time.Duration(gap * float64(time.Second))))
	}
	var overload phase
	for second, p := range s.phases {
		t.Logf("load %.1f: %+v", loads[second], p)
		if loads[second] > 1 {
			overload.inTime += p.inTime
			overload.late += p.late
			continue
		}
		require.LessOrEqual(t, float64(p.refused+p.late), 0.05*float64(p.arrived), "no return to normal")
	}
	require.Greater(t, float64(overload.inTime), 0.9*3*capacity, "capacity spent on late work")
	require.Less(t, float64(overload.late), 0.05*float64(overload.inTime+overload.late), "late work was started")
}
