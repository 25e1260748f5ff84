package quarantiner

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet simulates entry hosts, a control leader and services whose servers end under a
// certain request or for other reasons. Hosts do what the relayer does.
type fleet struct {
	rand  *rand.Rand
	now   time.Time
	queue events
	// guarded is false for hosts that do not look at what a request did before.
	guarded  bool
	hosts    []*fleetHost
	services [][]*fleetServer
	restart  time.Duration
	leader   *Table
	// leaderless is true while no control host leads or hosts cannot reach it.
	leaderless bool
	pending    []Observation
	// heard is the latest revision that was sent to the hosts.
	heard      uint64
	lastReport int
	// reported is when the last report arrives at the leader.
	reported time.Time
	// ends holds the times at which servers ended under the crashing request, and sends
	// those of its sends.
	ends, sends []time.Time
	// refused and run count copies of the harmless request.
	refused, run int
}

type fleetHost struct {
	guard Guard
	// ended is set once the host has been restarted; another one is in its place.
	ended bool
	// kept holds observations that are not reported yet, by fingerprint.
	kept map[uint64][]Observation
}

type fleetServer struct {
	name        string
	incarnation uint64
	upAt        time.Time
}

// The fingerprints of the request that ends servers and of one that does not.
const (
	crashing uint64 = 1
	harmless uint64 = 2
)

type event struct {
	at time.Time
	n  int
	do func()
}

type events struct {
	list []event
	n    int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].n < e.list[j].n
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	x := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return x
}

const fleetReplicas = 3

func newFleet(r *rand.Rand, hosts, services int) *fleet {
	f := &fleet{rand: r, now: start, guarded: true, restart: 2 * time.Second, leader: NewForRoutes(Limits{})}
	for range hosts {
		f.hosts = append(f.hosts, &fleetHost{})
	}
	for i := range services {
		var list []*fleetServer
		for j := range fleetReplicas {
			list = append(list, &fleetServer{name: fmt.Sprintf("%d-%d", i, j), incarnation: 1})
		}
		f.services = append(f.services, list)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.queue.n++
	heap.Push(&f.queue, event{at: f.now.Add(d), n: f.queue.n, do: do})
}

// upTo returns a random time up to a limit.
func (f *fleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit) + 1))
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for f.queue.Len() > 0 && !f.queue.list[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// every does something again and again after random pauses of the given mean.
func (f *fleet) every(mean time.Duration, do func()) {
	f.after(f.upTo(2*mean), func() {
		do()
		f.every(mean, do)
	})
}

func (f *fleet) up(service int) (list []*fleetServer) {
	for _, s := range f.services[service] {
		if !s.upAt.After(f.now) {
			list = append(list, s)
		}
	}
	return list
}

func (f *fleet) canSpare(service string) bool {
	var i int
	_, _ = fmt.Sscan(service, &i)
	return len(f.up(i)) != 1
}

func (f *fleet) endServer(s *fleetServer) {
	s.incarnation++
	s.upAt = f.now.Add(f.restart)
}

// attempt is one attempt of a client.
type attempt struct {
	fingerprint uint64
	host        *fleetHost
	begun       bool
	arrived     time.Time
	// held holds the services that wait for the outcome of a trial.
	held []int
	// retries is the number of sends after the first that a service may get.
	retries int
}

// arrive handles a request to the first services at a random host.
func (f *fleet) arrive(fingerprint uint64, services int) {
	a := &attempt{fingerprint: fingerprint, host: f.hosts[f.rand.IntN(len(f.hosts))], arrived: f.now, retries: 1}
	for i := range services {
		a.held = append(a.held, i)
	}
	f.decide(a)
}

// decide goes on with the services that are held.
func (f *fleet) decide(a *attempt) {
	if a.host.ended {
		return
	}
	step, s := StepRun, Suspicion{}
	if f.guarded {
		step, s = a.host.guard.Next(f.now, a.fingerprint, f.canSpare)
	}
	if step == StepWait {
		if f.now.Sub(a.arrived) < 500*time.Millisecond {
			f.after(10*time.Millisecond, func() { f.decide(a) })
			return
		}
		step = StepRefuse
		if s.Rounds == 0 {
			step = StepTry
		}
	}
	held := a.held
	switch step {
	case StepRun:
		a.held = nil
		for _, service := range held {
			f.send(a, service, false, 0)
		}
	case StepTry:
		i := 0
		for j, service := range held {
			if fmt.Sprint(service) == s.Archive {
				i = j
			}
		}
		a.begun = true
		a.host.guard.Begin(a.fingerprint)
		a.held = append(append([]int(nil), held[:i]...), held[i+1:]...)
		f.send(a, held[i], true, s.Rounds)
	case StepRefuse:
		if a.fingerprint == harmless {
			f.refused++
		}
		a.held = nil
	}
}

func (f *fleet) endTrial(a *attempt) {
	if a.begun {
		a.begun = false
		a.host.guard.End(a.fingerprint)
	}
}

func (f *fleet) send(a *attempt, service int, alone bool, round int) {
	list := f.up(service)
	if len(list) == 0 {
		f.endTrial(a)
		return
	}
	s := list[f.rand.IntN(len(list))]
	incarnation := s.incarnation
	o := Observation{Fingerprint: a.fingerprint, Archive: fmt.Sprint(service), Server: s.name, Incarnation: incarnation, Alone: alone, Round: round}
	length := time.Millisecond + f.upTo(30*time.Millisecond)
	if a.fingerprint == crashing {
		f.sends = append(f.sends, f.now)
		f.ends = append(f.ends, f.now)
		f.endServer(s)
		length = time.Millisecond
	}
	f.after(length, func() {
		if a.host.ended {
			return
		}
		if alone {
			f.endTrial(a)
		}
		if s.incarnation == incarnation {
			f.run++
			if o, cleared := a.host.guard.Completed(f.now, o); cleared {
				delete(a.host.kept, o.Fingerprint)
				if a.host.guard.Shared(o.Fingerprint) {
					f.report(o)
				}
			}
			if alone && len(a.held) > 0 {
				for _, rest := range a.held {
					f.send(a, rest, false, 0)
				}
				a.held = nil
			}
			return
		}
		o = a.host.guard.Crashed(f.now, o)
		if alone {
			f.reportKept(a.host, o.Fingerprint)
			f.report(o)
		} else {
			f.keep(a.host, o)
		}
		if alone {
			a.held = nil
		} else if a.retries > 0 {
			a.retries--
			a.held = append(a.held, service)
			f.decide(a)
		}
	})
}

// keep keeps the first observation of an end, as the relayer does.
func (f *fleet) keep(h *fleetHost, o Observation) {
	if h.kept == nil {
		h.kept = map[uint64][]Observation{}
	}
	h.kept[o.Fingerprint] = append(h.kept[o.Fingerprint], o)
	f.after(100*time.Millisecond, func() {
		if !h.ended {
			f.reportKept(h, o.Fingerprint)
		}
	})
}

func (f *fleet) reportKept(h *fleetHost, fingerprint uint64) {
	for _, o := range h.kept[fingerprint] {
		f.report(o)
	}
	delete(h.kept, fingerprint)
}

// report sends an observation to the leader, and what changes to all hosts.
func (f *fleet) report(o Observation) {
	f.lastReport++
	o.ID = fmt.Sprint(f.lastReport)
	if f.leaderless {
		f.pending = append(f.pending, o)
		return
	}
	// Reports arrive in order.
	f.reported = f.latest(f.reported, f.now.Add(f.upTo(20*time.Millisecond)))
	f.after(f.reported.Sub(f.now), func() { f.leader.Observe(f.now, o) })
	// Watch requests are answered together, less often in large fleets.
	f.after(20*time.Millisecond+max(40*time.Millisecond, time.Duration(len(f.hosts))*time.Millisecond), f.spread)
}

func (f *fleet) latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *fleet) spread() {
	if f.leaderless || f.leader.Revision() == f.heard {
		return
	}
	f.heard = f.leader.Revision()
	list := f.leader.Suspicions()
	for _, h := range f.hosts {
		f.after(f.upTo(20*time.Millisecond), func() { f.learn(h, list) })
	}
}

func (f *fleet) learn(h *fleetHost, list []Suspicion) {
	for fingerprint := range h.guard.shared {
		if f.leader.suspicions[fingerprint] == nil {
			h.guard.Learn(f.now, []Suspicion{{Fingerprint: fingerprint}}, false)
		}
	}
	for _, o := range h.guard.Learn(f.now, list, false) {
		f.report(o)
	}
}

// setLeaderless begins or ends a time without a leader.
func (f *fleet) setLeaderless(on bool) {
	f.leaderless = on
	if on {
		return
	}
	list := f.pending
	f.pending = nil
	for _, o := range list {
		f.report(o)
	}
}

// restartHost starts a host anew. It hears of the shared suspicions before it serves, if
// there is a leader.
func (f *fleet) restartHost() {
	i := f.rand.IntN(len(f.hosts))
	f.hosts[i].ended = true
	h := &fleetHost{}
	f.hosts[i] = h
	if !f.leaderless {
		h.guard.Learn(f.now, f.leader.Suspicions(), true)
	}
}

// later counts the sends later than a time after the third end.
func (f *fleet) later(d time.Duration) int {
	n := 0
	for _, at := range f.sends {
		if len(f.ends) >= 3 && at.Sub(f.ends[2]) > d {
			n++
		}
	}
	return n
}

// fleetSeeds is the number of schedules of each test with a fleet.
var fleetSeeds = flag.Uint64("fleets", 100, "schedules of each test with a fleet")

// forEachFleet runs a test with random fleets of up to maxHosts hosts.
func forEachFleet(t *testing.T, maxHosts int, services []int, test func(t *testing.T, f *fleet, services int)) {
	sizes := []int{1, 3, 9, 54, 191}
	for seed := range *fleetSeeds {
		r := rand.New(rand.NewPCG(seed, 1))
		hosts := sizes[r.IntN(len(sizes))]
		for hosts > maxHosts {
			hosts = sizes[r.IntN(len(sizes))]
		}
		width := services[r.IntN(len(services))]
		t.Run(fmt.Sprintf("seed %d, %d hosts, %d shards", seed, hosts, width), func(t *testing.T) { test(t, newFleet(r, hosts, width), width) })
	}
}

// TestFleetStopsCrashingRequest guards against a request that ends one server after the
// other because hosts do not share what it did: at most three of its sends reach servers
// later than 4 s after the third end, with few and many hosts, with one service and many
// shards, slow and fast clients, while hosts restart.
func TestFleetStopsCrashingRequest(t *testing.T) {
	forEachFleet(t, 191, []int{1, 4, 42}, func(t *testing.T, f *fleet, services int) {
		f.every(5*time.Millisecond+f.upTo(2*time.Second), func() { f.arrive(crashing, services) })
		if f.rand.IntN(2) == 0 {
			f.every(200*time.Millisecond, f.restartHost)
		}
		f.runFor(20 * time.Second)
		require.LessOrEqual(t, f.later(4*time.Second), 3)
	})
}

// TestUnguardedFleet shows that TestFleetStopsCrashingRequest fails for hosts that do not
// look at what a request did before.
func TestUnguardedFleet(t *testing.T) {
	for _, hosts := range []int{1, 3, 9, 54, 191} {
		f := newFleet(rand.New(rand.NewPCG(1, 1)), hosts, 1)
		f.guarded = false
		f.every(300*time.Millisecond, func() { f.arrive(crashing, 1) })
		f.runFor(20 * time.Second)
		require.Greater(t, f.later(4*time.Second), 3)
	}
}

// TestFewServersEnd guards against more ends than the copies of a request cost that come one
// after the other: one for each shard in the first attempt, one in its retry and one in the
// trial that follows.
func TestFewServersEnd(t *testing.T) {
	for _, hosts := range []int{3, 9, 54, 191} {
		for _, services := range []int{1, 4, 42} {
			for seed := range *fleetSeeds {
				f := newFleet(rand.New(rand.NewPCG(seed, 1)), hosts, services)
				for i := range 20 {
					f.after(time.Duration(i)*time.Second, func() { f.arrive(crashing, services) })
				}
				f.runFor(20 * time.Second)
				require.LessOrEqual(t, len(f.ends), services+2, "%d hosts, %d shards, seed %d", hosts, services, seed)
			}
		}
	}
}

// TestEndsBySize guards against more late sends in some size of the fleet; with -v it prints
// how many servers end for each size, with a copy of the request every 300 ms on average.
func TestEndsBySize(t *testing.T) {
	for _, hosts := range []int{3, 9, 54, 191} {
		for _, services := range []int{1, 4, 42} {
			var sum, most, soon, late int
			for seed := range *fleetSeeds {
				f := newFleet(rand.New(rand.NewPCG(seed, 2)), hosts, services)
				f.every(300*time.Millisecond, func() { f.arrive(crashing, services) })
				f.runFor(20 * time.Second)
				sum += len(f.ends)
				most, soon, late = max(most, len(f.ends)), max(soon, f.later(time.Second)), max(late, f.later(4*time.Second))
			}
			t.Logf("%3d hosts, %2d shards: %.1f servers ended on average, %d at most; sends later than 1 s after the third end: at most %d, than 4 s: %d",
				hosts, services, float64(sum)/float64(*fleetSeeds), most, soon, late)
			require.LessOrEqual(t, late, 3)
		}
	}
}

// TestWithoutLeader guards against ends without bound while hosts cannot share what they
// observe: each start of a host costs at most one end of each shard and two more.
func TestWithoutLeader(t *testing.T) {
	forEachFleet(t, 54, []int{1, 4}, func(t *testing.T, f *fleet, services int) {
		f.setLeaderless(true)
		// One copy at a time: of copies at the same moment each may end servers.
		for i := range 120 {
			f.after(time.Duration(i)*time.Second, func() { f.arrive(crashing, services) })
		}
		starts := len(f.hosts)
		if f.rand.IntN(2) == 0 {
			f.every(5*time.Second, func() { f.restartHost(); starts++ })
		}
		f.runFor(time.Minute)
		require.LessOrEqual(t, len(f.ends), starts*(services+2))
		f.setLeaderless(false)
		f.runFor(time.Second)
		ended := len(f.ends)
		f.runFor(time.Minute)
		require.LessOrEqual(t, len(f.ends)-ended, 3, "after a leader was found")
	})
}

// ownEnds are the ways in which servers end for other reasons than a request.
var ownEnds = map[string]func(f *fleet){
	"one": func(f *fleet) {
		f.every(2*time.Second, func() {
			service := f.services[f.rand.IntN(len(f.services))]
			f.endServer(service[f.rand.IntN(len(service))])
		})
	},
	"service": func(f *fleet) {
		f.every(5*time.Second, func() {
			for _, s := range f.services[f.rand.IntN(len(f.services))] {
				f.endServer(s)
			}
		})
	},
	"service in a row": func(f *fleet) {
		f.every(5*time.Second, func() {
			var at time.Duration
			gap := f.upTo(20 * time.Millisecond)
			for _, s := range f.services[f.rand.IntN(len(f.services))] {
				f.after(at, func() { f.endServer(s) })
				at += gap
			}
		})
	},
	"many shards": func(f *fleet) {
		f.every(5*time.Second, func() {
			for _, service := range f.services {
				f.endServer(service[f.rand.IntN(len(service))])
			}
		})
	},
	"in series": func(f *fleet) {
		f.every(300*time.Millisecond, func() {
			service := f.services[f.rand.IntN(len(f.services))]
			f.endServer(service[f.rand.IntN(len(service))])
		})
	},
}

// TestHarmlessRequestIsNotRefused guards against the refusal of a popular request that is
// in flight whenever a server ends for another reason.
func TestHarmlessRequestIsNotRefused(t *testing.T) {
	for name, own := range ownEnds {
		t.Run(name, func(t *testing.T) {
			forEachFleet(t, 54, []int{1, 4}, func(t *testing.T, f *fleet, services int) {
				own(f)
				f.every(5*time.Millisecond, func() { f.arrive(harmless, services) })
				f.runFor(20 * time.Second)
				require.Positive(t, f.run)
				require.Zero(t, f.refused)
			})
		})
	}
}

// TestRequestThatBecomesDeadly guards against a request that is held for harmless for good
// because it completed before servers were replaced by ones that it crashes.
func TestRequestThatBecomesDeadly(t *testing.T) {
	forEachFleet(t, 191, []int{1}, func(t *testing.T, f *fleet, services int) {
		for _, h := range f.hosts {
			h.guard.Completed(f.now, Observation{Fingerprint: crashing, Archive: "0"})
		}
		f.every(300*time.Millisecond, func() { f.arrive(crashing, services) })
		f.runFor(20 * time.Second)
		require.LessOrEqual(t, f.later(4*time.Second), 3)
	})
}
