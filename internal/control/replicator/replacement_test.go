package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/replicator"
)

// withReserve sets the limits of an open group with three voters, and its times.
func withReserve(s *sim) {
	s.limits = repairer.OpenGroupLimits(3)
	s.electionTimeout, s.heartbeatInterval = 300*time.Millisecond, 75*time.Millisecond
}

// Guards against replacements of voters that lose or change committed entries, elect two
// leaders in a term or leave a group that does not recover, under any mix of faults.
func TestFaultsWithReserve(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{4, 5}).Draw(t, "size")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size, 3, func(s *sim) {
			s.limits = simLimits
			s.limits.Voters, s.limits.RemoveVoterAfter = 3, 300*time.Millisecond
		})
		s.runFor(400 * time.Millisecond)
		actions := faultActions(s)
		actions["leave"] = func(t *rapid.T) {
			h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
			h.leaving = !h.leaving
		}
		t.Repeat(actions)
		s.requireRecovery()
		for name, n := range s.eventCounts {
			total[name] += n
		}
	})
	for _, kind := range []replicator.ChangeKind{replicator.ReplaceVoter, replicator.CompleteReplacement, replicator.UndoReplacement} {
		if total[kind.String()] == 0 {
			t.Errorf("no schedule has a change of the kind %q", kind)
		}
	}
	t.Logf("%v", total)
}

// Times of the schedules of TestHostsReplaced.
const (
	// newHostTime is for how long a host that starts without data counts as lost.
	newHostTime = 4 * time.Second
	// stopLimit is how long a planned stop may take.
	stopLimit = 4500 * time.Millisecond
	// departureInterval is how often a host that stops asks whether it may end.
	departureInterval = 50 * time.Millisecond
	// maxScheduleGap is the longest time between two events of a schedule.
	maxScheduleGap = 3 * time.Second
	// maxDownTime is how long a host that lost its disk is down, and how late the
	// successor of one that failed is, at most.
	maxDownTime = 3 * time.Second
)

// hostSchedule lets hosts be replaced, restarted and lose their disks in series, within
// what a group that survives one loss at a time has to bear.
type hostSchedule struct {
	*sim
	t *rapid.T
	// lost are the hosts that count as lost, and leaving those that were replaced.
	lost map[*host]bool
	// created is the number of hosts that were added.
	created int
}

// add starts a host with an empty data folder.
func (s *hostSchedule) add() *host {
	s.created++
	s.nextID++
	h := &host{name: fmt.Sprintf("n%d", s.created), disk: disk{id: s.nextID}, writesBeforeCrash: -1}
	s.hosts = append(s.hosts, h)
	s.startHost(h)
	return h
}

// end removes a host for good.
func (s *hostSchedule) end(h *host) {
	s.crash(h)
	s.hosts = slices.DeleteFunc(s.hosts, func(other *host) bool { return other == h })
}

// pick returns a host that neither stops nor counts as lost: the leader or another voter.
func (s *hostSchedule) pick() *host {
	l := s.leader()
	if l == nil {
		return nil
	}
	wantLeader := rapid.Bool().Draw(s.t, "leader")
	var found []*host
	for _, m := range l.core.Status().Members {
		if h := s.byID(m.ID); m.Voter && h != nil && h.core != nil && !h.leaving && !s.lost[h] && (h == l) == wantLeader {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(s.t, "host")]
}

// stop stops a host as planned and calls ended when its process has ended.
func (s *hostSchedule) stop(h *host, ended func()) {
	h.leaving = true
	stopBy := s.now + stopLimit
	var ask func()
	ask = func() {
		if l := s.leader(); h.core != nil && s.now < stopBy {
			h.core.TransferLeadership(s.localTime(h))
			s.handleReadys(h)
			if l == nil || l == h || repairer.CheckDeparture(s.limits, s.repairerHosts(), l.core.Status(), s.hellos(l), h.disk.id) != repairer.DepartureAllowed {
				s.after(departureInterval, ask)
				return
			}
		}
		if s.now >= stopBy {
			s.eventCounts["stop at the limit"]++
		}
		ended()
	}
	ask()
}

// lose takes the disk of a host away. The host is back with an empty data folder.
func (s *hostSchedule) lose(h *host) {
	s.lost[h] = true
	s.restartEmpty(h, s.draw("down", maxDownTime), h)
}

// restartEmpty crashes a host, which is back with an empty data folder after down. The host
// counted counts as lost until it has been up for newHostTime.
func (s *hostSchedule) restartEmpty(h *host, down time.Duration, counted *host) {
	s.eventCounts["disk lost"]++
	s.crash(h)
	s.nextID++
	h.disk = disk{id: s.nextID}
	s.after(down, func() {
		s.startHost(h)
		s.after(newHostTime, func() { delete(s.lost, counted) })
	})
}

// draw draws a time from 0 to the limit.
func (s *hostSchedule) draw(label string, limit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/simTick)).Draw(s.t, label)) * simTick
}

// events returns what may happen next. The successor of a host that failed may itself be
// lost while that host still counts as lost. Only the planned replacement of a host whose
// successor has been up for newHostTime may meet the loss of another host.
func (s *hostSchedule) events() map[string]func() {
	events := map[string]func(){
		"planned replacement": func() {
			s.add()
			s.runFor(newHostTime)
			if h := s.pick(); h != nil {
				s.eventCounts["planned replacement"]++
				s.stop(h, func() { s.end(h) })
			}
		},
	}
	if len(s.lost) > 0 {
		return events
	}
	events["lost disk"] = func() {
		if h := s.pick(); h != nil {
			s.eventCounts["lost disk"]++
			s.lose(h)
		}
	}
	events["failed host"] = func() {
		if h := s.pick(); h != nil {
			s.eventCounts["failed host"]++
			s.end(h)
			s.lost[h] = true
			again := rapid.Bool().Draw(s.t, "again")
			lifetime := s.draw("lifetime", newHostTime)
			s.after(s.draw("late", maxDownTime), func() {
				successor := s.add()
				if again {
					s.after(lifetime, func() { s.restartEmpty(successor, 0, h) })
					return
				}
				s.after(newHostTime, func() { delete(s.lost, h) })
			})
		}
	}
	events["planned restart"] = func() {
		if h := s.pick(); h != nil {
			s.eventCounts["planned restart"]++
			s.lost[h] = true
			s.stop(h, func() {
				s.crash(h)
				s.after(s.draw("down", maxDownTime), func() {
					h.leaving = false
					s.startHost(h)
					s.after(newHostTime, func() { delete(s.lost, h) })
				})
			})
		}
	}
	return events
}

// Guards against a group that waits for votes that never come after hosts were replaced
// one after the other, although the hosts that are left hold everything: a host ends for
// good, as planned or not, and another one loses its disk as soon as that has to be
// survived. Also guards against acknowledged entries that are lost on the way.
func TestHostsReplaced(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &hostSchedule{t: t, lost: map[*host]bool{}}
		s.sim = newSim(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 4).Draw(t, "size"), 3, withReserve)
		s.maxDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}).Draw(t, "delay")
		s.runFor(2 * time.Second)
		for range rapid.IntRange(2, 6).Draw(t, "events") {
			s.proposeBurst(rapid.IntRange(1, 12).Draw(t, "writes"))
			s.runFor(s.draw("gap", maxScheduleGap))
			events := s.events()
			names := make([]string, 0, len(events))
			for name := range events {
				names = append(names, name)
			}
			slices.Sort(names)
			events[rapid.SampledFrom(names).Draw(t, "event")]()
		}
		s.runFor(stopLimit + maxDownTime + newHostTime)
		s.requireRecovery()
		for name, n := range s.eventCounts {
			total[name] += n
		}
	})
	t.Logf("%v", total)
}
