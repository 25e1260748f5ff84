package assigner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	stepTime = 100 * time.Millisecond
	// leaseTime and removalDelay are those of the control hosts: a host that is
	// silent for the lease plus 1 s is removed from the view.
	leaseTime    = 4 * time.Second
	removalDelay = 5 * time.Second
)

// process is one incarnation of an entry host.
type process struct {
	rules    DispatchRules
	leaseEnd time.Time
	// inFlight holds the work in flight, by server.
	inFlight map[string]work
	// The process doesn't run until frozenUntil, and exchanges no messages with
	// the leader until cutOffUntil.
	frozenUntil time.Time
	cutOffUntil time.Time
	dead        bool
	// leaving is true once the process takes no new work, left once it has
	// asked to be removed.
	leaving bool
	left    bool
}

// work is in flight until end. It also ends with the lease under which it was
// started; unleased work was started without a lease and goes on.
type work struct {
	end      time.Time
	unleased bool
}

// syncRequest is a sync request in transit to the leader.
type syncRequest struct {
	arrivesAt, sentAt time.Time
	from              *process
	released          uint64
	leaving           bool
}

// syncReply is a reply in transit to a process.
type syncReply struct {
	arrivesAt, sentAt time.Time
	to                *process
	view              View
	settled           bool
}

// leader keeps the view as the control quorum does.
type leader struct {
	view View
	// lastHeard holds when a sync of each member last arrived, releasedViews the
	// newest view that each member released. Both are lost when the leader
	// changes.
	lastHeard     map[string]time.Time
	releasedViews map[string]uint64
}

// simulation runs entry hosts and a leader under faults that rapid draws.
type simulation struct {
	t         *rapid.T
	now       time.Time
	steps     int
	faultsOff bool
	leader    leader
	// processes holds the newest process of each host, replaced the earlier
	// ones, which may still run.
	processes         map[string]*process
	hostNames         []string
	replaced          []*process
	requestsInTransit []syncRequest
	repliesInTransit  []syncReply
	servers           []string
}

var zones = []string{"x", "y"}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: epoch, processes: map[string]*process{}}
	sim.changeLeader()
	for i := range rapid.IntRange(2, 4).Draw(t, "hosts") {
		name := fmt.Sprintf("entry-%d", i)
		sim.hostNames = append(sim.hostNames, name)
		sim.startProcess(name, zones[i%2], 1)
	}
	for i := range 4 {
		sim.servers = append(sim.servers, fmt.Sprintf("server-%d", i))
	}
	return sim
}

func (sim *simulation) zoneOf(server string) string { return zones[int(server[len(server)-1]-'0')%2] }

func (sim *simulation) startProcess(name, zone string, incarnation uint64) {
	self := member(name, zone)
	self.Incarnation = incarnation
	sim.processes[name] = &process{rules: DispatchRules{Self: self}, inFlight: map[string]work{}}
}

// changeLeader starts a new leader, which gives every member a full removal delay
// and doesn't know what it released.
func (sim *simulation) changeLeader() {
	sim.leader.lastHeard = map[string]time.Time{}
	sim.leader.releasedViews = map[string]uint64{}
	for _, m := range sim.leader.view.Members {
		sim.leader.lastHeard[m.Name] = sim.now
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.steps++ {
		sim.now = sim.now.Add(stepTime)
		if !sim.faultsOff {
			sim.injectFault()
		}
		for i, p := range append(sim.currentProcesses(), sim.replaced...) {
			sim.runProcess(i, p)
		}
		sim.runLeader()
		sim.deliverReplies()
		sim.checkOneDispatcher()
	}
}

// injectFault draws at most one fault or change of a host or the leader.
func (sim *simulation) injectFault() {
	name := rapid.SampledFrom(sim.hostNames).Draw(sim.t, "host")
	p := sim.processes[name]
	until := func() time.Time {
		return sim.now.Add(time.Duration(rapid.Int64Range(1, int64(12*time.Second)).Draw(sim.t, "duration")))
	}
	switch rapid.IntRange(0, 150).Draw(sim.t, "event") {
	case 0, 1:
		p.frozenUntil = until()
	case 2, 3, 4, 5:
		p.cutOffUntil = until()
	case 8:
		p.dead = true
	case 9, 10:
		// A replacement may start while the old process is only frozen.
		if p.dead || p.left || sim.now.Before(p.frozenUntil) {
			sim.replaced = append(sim.replaced, p)
			sim.startProcess(name, p.rules.Self.Zone, p.rules.Self.Incarnation+1)
		}
	case 11:
		p.leaving = true
	case 12:
		sim.changeLeader()
	}
}

// runProcess runs one step of a process, which drops ended work, dispatches and
// syncs. The index i spreads the syncs of the processes over the steps.
func (sim *simulation) runProcess(i int, p *process) {
	if p.dead || p.left || sim.now.Before(p.frozenUntil) {
		return
	}
	for server, k := range p.inFlight {
		if !sim.isInFlight(p, k) {
			delete(p.inFlight, server)
		}
	}
	for _, server := range sim.servers {
		if _, busy := p.inFlight[server]; busy || p.leaving {
			continue
		}
		if !p.rules.MayDispatch(sim.now, server, sim.zoneOf(server), p.leaseEnd) {
			continue
		}
		length := stepTime
		if !sim.faultsOff {
			length = time.Duration(rapid.Int64Range(int64(stepTime), int64(8*time.Second)).Draw(sim.t, "length"))
		}
		p.inFlight[server] = work{sim.now.Add(length), !sim.now.Before(p.leaseEnd)}
	}
	if (sim.steps+i)%5 == 0 {
		sim.sendSync(p)
	}
}

func (sim *simulation) isInFlight(p *process, k work) bool {
	return !p.dead && sim.now.Before(k.end) && (k.unleased || sim.now.Before(p.leaseEnd))
}

// sendSync sends a sync request. A leaving process without work in flight asks to
// be removed and takes itself as removed, even if the request is lost.
func (sim *simulation) sendSync(p *process) {
	released := p.rules.ReleasedView(func(server string) bool {
		_, busy := p.inFlight[server]
		return busy
	})
	s := syncRequest{arrivesAt: sim.now, sentAt: sim.now, from: p, released: released}
	if p.leaving && len(p.inFlight) == 0 {
		s.leaving = true
		p.left = true
	}
	if sim.now.Before(p.cutOffUntil) {
		return
	}
	s.arrivesAt = sim.arrivalTime()
	sim.requestsInTransit = append(sim.requestsInTransit, s)
}

// arrivalTime draws when a message sent now arrives.
func (sim *simulation) arrivalTime() time.Time {
	if sim.faultsOff || rapid.IntRange(0, 4).Draw(sim.t, "late") > 0 {
		return sim.now
	}
	return sim.now.Add(time.Duration(rapid.Int64Range(1, int64(7*time.Second)).Draw(sim.t, "delay")))
}

// runLeader removes silent members and handles the requests that have arrived.
func (sim *simulation) runLeader() {
	for _, m := range sim.leader.view.Members {
		if sim.now.Sub(sim.leader.lastHeard[m.Name]) >= removalDelay {
			sim.removeMember(m.Name)
		}
	}
	syncs := sim.requestsInTransit
	sim.requestsInTransit = nil
	for _, s := range syncs {
		if s.arrivesAt.After(sim.now) {
			sim.requestsInTransit = append(sim.requestsInTransit, s)
			continue
		}
		sim.handleSync(s)
	}
}

// handleSync handles one sync request. A new process whose name is still that of
// a member waits until the old process has been removed, because the old one may
// still hold its lease.
func (sim *simulation) handleSync(s syncRequest) {
	self := s.from.rules.Self
	m, ok := sim.leader.view.Find(self.Name)
	if ok && m.Incarnation != self.Incarnation {
		sim.sendReply(s)
		return
	}
	if s.leaving {
		if ok {
			sim.removeMember(self.Name)
		}
		return
	}
	// A late request of a process that has left does not bring it back.
	if !ok && (s.from.left || s.from.dead) {
		return
	}
	if !ok {
		sim.changeView(append(append([]Member(nil), sim.leader.view.Members...), self))
	}
	sim.leader.lastHeard[self.Name] = sim.now
	sim.leader.releasedViews[self.Name] = max(sim.leader.releasedViews[self.Name], s.released)
	sim.sendReply(s)
}

// sendReply sends the view in reply to a sync request, which grants the lease.
func (sim *simulation) sendReply(s syncRequest) {
	if sim.now.Before(s.from.cutOffUntil) {
		return
	}
	sim.repliesInTransit = append(sim.repliesInTransit, syncReply{
		arrivesAt: sim.arrivalTime(),
		sentAt:    s.sentAt,
		to:        s.from,
		view:      sim.leader.view,
		settled:   sim.viewSettled(),
	})
}

func (sim *simulation) removeMember(name string) {
	var members []Member
	for _, m := range sim.leader.view.Members {
		if m.Name != name {
			members = append(members, m)
		}
	}
	delete(sim.leader.lastHeard, name)
	delete(sim.leader.releasedViews, name)
	sim.changeView(members)
}

func (sim *simulation) changeView(members []Member) {
	sim.leader.view = View{Number: sim.leader.view.Number + 1, Members: members}
}

func (sim *simulation) viewSettled() bool {
	for _, m := range sim.leader.view.Members {
		if sim.leader.releasedViews[m.Name] < sim.leader.view.Number {
			return false
		}
	}
	return true
}

// deliverReplies hands the replies that have arrived to their processes.
func (sim *simulation) deliverReplies() {
	replies := sim.repliesInTransit
	sim.repliesInTransit = nil
	for _, reply := range replies {
		if reply.arrivesAt.After(sim.now) || sim.now.Before(reply.to.frozenUntil) {
			sim.repliesInTransit = append(sim.repliesInTransit, reply)
			continue
		}
		if reply.to.dead {
			continue
		}
		// Work in flight at the end of the lease has been cancelled, even if the
		// process did not run in between.
		if !sim.now.Before(reply.to.leaseEnd) {
			clear(reply.to.inFlight)
		}
		if end := reply.sentAt.Add(leaseTime); end.After(reply.to.leaseEnd) {
			reply.to.leaseEnd = end
		}
		reply.to.rules.Adopt(reply.view, reply.settled)
	}
}

// checkOneDispatcher fails the test if two processes dispatch to one server. Work
// in flight counts until it or the lease ends.
func (sim *simulation) checkOneDispatcher() {
	for _, server := range sim.servers {
		var dispatchers []string
		for _, p := range append(sim.currentProcesses(), sim.replaced...) {
			if k, busy := p.inFlight[server]; busy && sim.isInFlight(p, k) {
				dispatchers = append(dispatchers, fmt.Sprintf("%s/%d in view %d", p.rules.Self.Name,
					p.rules.Self.Incarnation, p.rules.AdoptedView().Number))
			}
		}
		if len(dispatchers) > 1 {
			sim.t.Fatalf("%s: %s is dispatched to by %v", sim.now.Sub(epoch), server, dispatchers)
		}
	}
}

func (sim *simulation) currentProcesses() []*process {
	var list []*process
	for _, name := range sim.hostNames {
		list = append(list, sim.processes[name])
	}
	return list
}

// TestOneDispatcher guards against two hosts that dispatch to one backend
// server at the same moment while hosts join, leave, freeze, crash or are cut
// off and requests and replies are late. It also guards against a server that
// no host may dispatch to once the faults end.
func TestOneDispatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.run(time.Duration(rapid.IntRange(5, 40).Draw(t, "seconds")) * time.Second)
		sim.faultsOff = true
		for _, name := range sim.hostNames {
			p := sim.processes[name]
			p.cutOffUntil = time.Time{}
			p.frozenUntil = time.Time{}
			p.leaving = false
			if p.dead || p.left {
				sim.replaced = append(sim.replaced, p)
				sim.startProcess(name, p.rules.Self.Zone, p.rules.Self.Incarnation+1)
			}
		}
		// A replaced process that still runs would keep its successor out.
		for _, p := range sim.replaced {
			p.dead = true
		}
		sim.run(16 * time.Second)
		for _, server := range sim.servers {
			n := 0
			for _, p := range sim.currentProcesses() {
				if p.rules.MayDispatch(sim.now, server, sim.zoneOf(server), p.leaseEnd) {
					n++
				}
			}
			if n != 1 {
				t.Fatalf("%s may be dispatched to by %d hosts, want 1", server, n)
			}
		}
	})
}
