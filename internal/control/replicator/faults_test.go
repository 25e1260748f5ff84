package replicator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianpond/internal/control/replicator"
)

// delays are the longest message delays of a schedule; the longest lets
// messages of earlier terms arrive.
var delays = []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 600 * time.Millisecond}

// Guards against lost or changed committed entries, two leaders of one term,
// diverging logs, stale reads, votes of lost disks and groups that do not
// recover, under any mix of faults.
func TestFaults(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	schedules := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		formed := rapid.SampledFrom([]int{size, size, 1}).Draw(t, "formed")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, formed)
		s.run(400 * time.Millisecond)
		t.Repeat(faults(s))
		s.recover()
		schedules++
		for name, n := range s.counts {
			total[name] += n
		}
	})
	t.Logf("%d schedules: %v", schedules, total)
}

// faults returns the actions of a schedule. The sum of all choices except the
// order of actions comes from the seed of the simulation.
func faults(s *sim) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *host { return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { s.run(20 * time.Millisecond) },
		"run": func(t *rapid.T) {
			s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * 10 * time.Millisecond)
		},
		"propose": func(t *rapid.T) { s.burst(rapid.IntRange(1, 12).Draw(t, "count")) },
		"read":    func(*rapid.T) { s.readAll() },
		"calm": func(*rapid.T) {
			s.calm()
			s.run(300 * time.Millisecond)
			s.burst(1)
		},
		"network": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
			s.dup = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "dup")
			s.delay = rapid.SampledFrom(delays).Draw(t, "delay")
		},
		"partition": func(t *rapid.T) { s.split(rapid.Uint8().Draw(t, "side"), rapid.Bool().Draw(t, "one way")) },
		"isolate leader": func(*rapid.T) {
			if l := s.leader(); l != nil {
				s.isolate(l)
				s.burst(2)
			}
		},
		"hand over": func(*rapid.T) {
			if l := s.leader(); l != nil {
				l.core.TransferLeadership(s.local(l))
				s.pump(l)
				s.counts["handover"]++
				s.burst(1)
			}
		},
		"heal":  func(*rapid.T) { s.heal() },
		"crash": func(t *rapid.T) { s.crash(pick(t)) },
		"crash while writing": func(t *rapid.T) {
			pick(t).writes = rapid.IntRange(0, 6).Draw(t, "writes")
			s.burst(3)
		},
		"restart": func(*rapid.T) {
			s.startAll()
			s.run(100 * time.Millisecond)
			s.burst(1)
		},
		"freeze": func(t *rapid.T) {
			h := pick(t)
			h.frozen = h.core != nil
		},
		"thaw": func(*rapid.T) { s.thawAll() },
		"lose disk": func(t *rapid.T) {
			if h := pick(t); s.canLose(h) {
				s.counts["disk lost"]++
				s.wipe(h)
			}
		},
	}
}

// burst proposes count writes at every host that takes itself for the leader,
// and asks for reads between them.
func (s *sim) burst(count int) {
	for range count {
		for _, h := range s.hosts {
			s.propose(h)
		}
	}
	s.readAll()
}

func (s *sim) readAll() {
	for _, h := range s.hosts {
		s.read(h)
	}
}

// split cuts the links between two sides, given as one bit a host, in both
// directions or in one.
func (s *sim) split(side uint8, oneWay bool) {
	s.heal()
	for i, a := range s.hosts {
		for j, b := range s.hosts {
			out, in := side>>i&1, side>>j&1
			if out < in || out > in && !oneWay {
				s.blocked[[2]string{a.name, b.name}] = true
			}
		}
	}
}

// ledSim returns a simulation whose group has formed and has a leader.
func ledSim(t *rapid.T) (*sim, *host) {
	size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, size)
	s.run(500 * time.Millisecond)
	l := s.leader()
	if l == nil {
		t.Fatalf("no leader on a network without faults")
	}
	return s, l
}

// Guards against a planned stop of the leader that costs an election timeout, and
// against a handover that needs more than the messages of a vote.
func TestHandover(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, l := ledSim(t)
		s.burst(rapid.IntRange(0, 3).Draw(t, "writes"))
		s.run(100 * time.Millisecond)
		l.core.TransferLeadership(s.local(l))
		s.pump(l)
		s.run(simElection / 2)
		next := s.leader()
		if next == nil || next == l {
			t.Fatalf("nobody else leads %s after the handover", simElection/2)
		}
		s.recover()
	})
}

// Guards against a member that returns from isolation and forces an election.
func TestReturn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, l := ledSim(t)
		term := l.core.Status().Term
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
		if h == l {
			return
		}
		s.isolate(h)
		for range rapid.IntRange(0, 2).Draw(t, "bursts") {
			s.burst(2)
		}
		s.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ticks")) * simTick)
		s.heal()
		s.run(500 * time.Millisecond)
		st := l.core.Status()
		if st.Role != replicator.RoleLeader || st.Term != term || h.core.Status().Term != term {
			t.Fatalf("term %d became %d when %s returned", term, st.Term, h.name)
		}
	})
}

// Guards against an isolated leader that keeps its role or confirms reads, and
// against its return to a group that has moved on.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, size)
		s.run(500 * time.Millisecond)
		old := s.leader()
		s.isolate(old)
		for range 8 {
			s.burst(1)
			s.run(simTick * time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")))
		}
		s.run(5 * simElection)
		l := s.leader()
		if old.core.Status().Role == replicator.RoleLeader || l == nil || l == old {
			t.Fatalf("the isolated leader still leads")
		}
		term := l.core.Status().Term
		s.heal()
		s.burst(1)
		s.run(500 * time.Millisecond)
		if got := old.core.Status().Term; got != term || s.leader() != l {
			t.Fatalf("term %d became %d when the old leader returned", term, got)
		}
		s.recover()
	})
}

// Guards against a repair after which the loss of another host loses writes or
// the quorum: the second disk is lost as soon as the first repair is
// committed, before the new voter has heard of it.
func TestSecondLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), 3, 3)
		s.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		s.run(500 * time.Millisecond)
		s.burst(rapid.IntRange(1, 30).Draw(t, "writes"))
		s.wipe(s.hosts[rapid.IntRange(0, 2).Draw(t, "first")])
		for range 2000 {
			s.run(simTick)
			if l := s.leader(); l != nil && voterCount(l.core.Status()) == 3 && s.intact(l) == 3 && s.canLose(l) {
				break
			}
		}
		second := s.hosts[rapid.IntRange(0, 2).Draw(t, "second")]
		if !s.canLose(second) {
			t.Fatalf("the first repair does not end: %v", s.counts)
		}
		s.wipe(second)
		s.recover()
		if s.counts["make voter"] < 2 {
			t.Fatalf("a lost host was not made a voter again: %v", s.counts)
		}
	})
}

// intact returns how many members of the group have their disks.
func (s *sim) intact(l *host) int {
	n := 0
	for _, m := range l.core.Status().Members {
		if s.byID(m.ID) != nil {
			n++
		}
	}
	return n
}
