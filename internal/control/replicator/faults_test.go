package replicator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianpond/internal/control/replicator"
)

// maxDelays are the bounds on message delays to choose from. The greatest one
// lets messages arrive in a later term than they were sent in.
var maxDelays = []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 600 * time.Millisecond}

// Guards against lost or changed committed entries, two leaders in one term,
// diverging logs, stale reads, votes of members that lost their disks and
// groups that do not recover, under any mix of faults.
func TestFaults(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	schedules := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		initialVoters := rapid.SampledFrom([]int{size, size, 1}).Draw(t, "formed")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, initialVoters)
		s.runFor(400 * time.Millisecond)
		t.Repeat(faultActions(s))
		s.requireRecovery()
		schedules++
		for name, n := range s.eventCounts {
			total[name] += n
		}
	})
	t.Logf("%d schedules: %v", schedules, total)
}

// faultActions returns the actions of a schedule. Each rapid draw is one choice
// of the schedule; all other randomness comes from the seed of the simulation.
func faultActions(s *sim) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *host { return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { s.runFor(20 * time.Millisecond) },
		"run": func(t *rapid.T) {
			s.runFor(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * 10 * time.Millisecond)
		},
		"propose": func(t *rapid.T) { s.proposeBurst(rapid.IntRange(1, 12).Draw(t, "count")) },
		"read":    func(*rapid.T) { s.requestReads() },
		"calm": func(*rapid.T) {
			s.endFaults()
			s.runFor(300 * time.Millisecond)
			s.proposeBurst(1)
		},
		"network": func(t *rapid.T) {
			s.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
			s.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "dup")
			s.maxDelay = rapid.SampledFrom(maxDelays).Draw(t, "delay")
		},
		"partition": func(t *rapid.T) { s.partition(rapid.Uint8().Draw(t, "side"), rapid.Bool().Draw(t, "one way")) },
		"isolate leader": func(*rapid.T) {
			if l := s.leader(); l != nil {
				s.isolate(l)
				s.proposeBurst(2)
			}
		},
		"hand over": func(*rapid.T) {
			if l := s.leader(); l != nil {
				l.core.TransferLeadership(s.localTime(l))
				s.handleReadys(l)
				s.eventCounts["handover"]++
				s.proposeBurst(1)
			}
		},
		"heal":  func(*rapid.T) { s.healNetwork() },
		"crash": func(t *rapid.T) { s.crash(pick(t)) },
		"crash while writing": func(t *rapid.T) {
			pick(t).writesBeforeCrash = rapid.IntRange(0, 6).Draw(t, "writes")
			s.proposeBurst(3)
		},
		"restart": func(*rapid.T) {
			s.startStopped()
			s.runFor(100 * time.Millisecond)
			s.proposeBurst(1)
		},
		"freeze": func(t *rapid.T) {
			h := pick(t)
			h.suspended = h.core != nil
		},
		"thaw": func(*rapid.T) { s.resumeAll() },
		"lose disk": func(t *rapid.T) {
			if h := pick(t); s.canLoseDisk(h) {
				s.eventCounts["disk lost"]++
				s.loseDisk(h)
			}
		},
	}
}

// proposeBurst proposes count writes at every host that believes it is the
// leader, and then requests a read at each.
func (s *sim) proposeBurst(count int) {
	for range count {
		for _, h := range s.hosts {
			s.propose(h)
		}
	}
	s.requestReads()
}

// requestReads requests a read at every host that believes it is the leader.
func (s *sim) requestReads() {
	for _, h := range s.hosts {
		s.requestRead(h)
	}
}

// partition blocks the links between two sides of the network, in one or both
// directions. side holds one bit for each host.
func (s *sim) partition(side uint8, oneWay bool) {
	s.healNetwork()
	for i, a := range s.hosts {
		for j, b := range s.hosts {
			out, in := side>>i&1, side>>j&1
			if out < in || out > in && !oneWay {
				s.blockedLinks[[2]string{a.name, b.name}] = true
			}
		}
	}
}

// newSimWithLeader returns a simulation without faults whose group has a
// leader.
func newSimWithLeader(t *rapid.T) (*sim, *host) {
	size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, size)
	s.runFor(500 * time.Millisecond)
	l := s.leader()
	if l == nil {
		t.Fatalf("no leader on a network without faults")
	}
	return s, l
}

// Guards against a leadership transfer that takes an election timeout, or more
// messages than those of one election.
func TestHandover(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, l := newSimWithLeader(t)
		s.proposeBurst(rapid.IntRange(0, 3).Draw(t, "writes"))
		s.runFor(100 * time.Millisecond)
		l.core.TransferLeadership(s.localTime(l))
		s.handleReadys(l)
		s.runFor(simElectionTimeout / 2)
		next := s.leader()
		if next == nil || next == l {
			t.Fatalf("no other member leads %s after the leadership transfer", simElectionTimeout/2)
		}
		s.requireRecovery()
	})
}

// Guards against a member that forces an election when it returns from
// isolation.
func TestReturn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, l := newSimWithLeader(t)
		term := l.core.Status().Term
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
		if h == l {
			return
		}
		s.isolate(h)
		for range rapid.IntRange(0, 2).Draw(t, "bursts") {
			s.proposeBurst(2)
		}
		s.runFor(time.Duration(rapid.IntRange(0, 100).Draw(t, "ticks")) * simTick)
		s.healNetwork()
		s.runFor(500 * time.Millisecond)
		st := l.core.Status()
		if st.Role != replicator.RoleLeader || st.Term != term || h.core.Status().Term != term {
			t.Fatalf("term %d became %d when %s returned", term, st.Term, h.name)
		}
	})
}

// Guards against an isolated leader that keeps its role or confirms reads, and
// against a disturbance when it returns to a group with a new leader.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, size)
		s.runFor(500 * time.Millisecond)
		old := s.leader()
		s.isolate(old)
		for range 8 {
			s.proposeBurst(1)
			s.runFor(simTick * time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")))
		}
		s.runFor(5 * simElectionTimeout)
		l := s.leader()
		if old.core.Status().Role == replicator.RoleLeader || l == nil || l == old {
			t.Fatalf("the isolated leader still leads")
		}
		term := l.core.Status().Term
		s.healNetwork()
		s.proposeBurst(1)
		s.runFor(500 * time.Millisecond)
		if got := old.core.Status().Term; got != term || s.leader() != l {
			t.Fatalf("term %d became %d when the old leader returned", term, got)
		}
		s.requireRecovery()
	})
}

// Guards against a repair after which the loss of another host loses writes or
// the quorum. The second disk is lost as soon as the first repair is committed,
// before the new voter has received the entry that promotes it.
func TestSecondLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), 3, 3)
		s.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		s.runFor(500 * time.Millisecond)
		s.proposeBurst(rapid.IntRange(1, 30).Draw(t, "writes"))
		s.loseDisk(s.hosts[rapid.IntRange(0, 2).Draw(t, "first")])
		for range 2000 {
			s.runFor(simTick)
			if l := s.leader(); l != nil && voterCount(l.core.Status()) == 3 && s.membersWithDisk(l) == 3 && s.canLoseDisk(l) {
				break
			}
		}
		second := s.hosts[rapid.IntRange(0, 2).Draw(t, "second")]
		if !s.canLoseDisk(second) {
			t.Fatalf("the first repair does not end: %v", s.eventCounts)
		}
		s.loseDisk(second)
		s.requireRecovery()
		if s.eventCounts["make voter"] < 2 {
			t.Fatalf("a lost host was not made a voter again: %v", s.eventCounts)
		}
	})
}

// membersWithDisk returns how many members in the membership of l still have
// their disks.
func (s *sim) membersWithDisk(l *host) int {
	n := 0
	for _, m := range l.core.Status().Members {
		if s.byID(m.ID) != nil {
			n++
		}
	}
	return n
}
