package assigner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step = 100 * time.Millisecond
	// lease and removal are those of the design: a host that is silent for
	// the lease plus 1 s is removed.
	lease   = 4 * time.Second
	removal = 5 * time.Second
)

// process is one run of an entry host.
type process struct {
	rules    Rules
	leaseEnd time.Time
	// work is what is in flight, per server.
	work map[string]work
	// frozen and cut are the ends of being frozen and cut off.
	frozen time.Time
	cut    time.Time
	dead   bool
	// leaving is true once the process takes no new work, left once it has
	// asked to be removed.
	leaving bool
	left    bool
}

// work is in flight until end. It also ends with the lease under which it was
// started; unleased work has none and does not.
type work struct {
	end      time.Time
	unleased bool
}

// sync is a request on its way to the leader.
type sync struct {
	at, sentAt time.Time
	from       *process
	released   uint64
	leaving    bool
}

// answer is a reply on its way to a process.
type answer struct {
	at, sentAt time.Time
	to         *process
	view       View
	settled    bool
}

// leader keeps the view as the control quorum does.
type leader struct {
	view View
	// heard and released are lost when the leader changes.
	heard    map[string]time.Time
	released map[string]uint64
}

type world struct {
	t         *rapid.T
	now       time.Time
	steps     int
	calm      bool
	leader    leader
	processes map[string]*process
	names     []string
	old       []*process
	syncs     []sync
	answers   []answer
	servers   []string
}

var zones = []string{"x", "y"}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, processes: map[string]*process{}}
	w.elect()
	for i := range rapid.IntRange(2, 4).Draw(t, "hosts") {
		name := fmt.Sprintf("entry-%d", i)
		w.names = append(w.names, name)
		w.start(name, zones[i%2], 1)
	}
	for i := range 4 {
		w.servers = append(w.servers, fmt.Sprintf("server-%d", i))
	}
	return w
}

func (w *world) zoneOf(server string) string { return zones[int(server[len(server)-1]-'0')%2] }

func (w *world) start(name, zone string, incarnation uint64) {
	self := member(name, zone)
	self.Incarnation = incarnation
	w.processes[name] = &process{rules: Rules{Self: self}, work: map[string]work{}}
}

// elect gives every member a full removal delay; what it released is not
// known to the new leader.
func (w *world) elect() {
	w.leader.heard = map[string]time.Time{}
	w.leader.released = map[string]uint64{}
	for _, m := range w.leader.view.Members {
		w.leader.heard[m.Name] = w.now
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.steps++ {
		w.now = w.now.Add(step)
		if !w.calm {
			w.event()
		}
		for i, p := range append(w.current(), w.old...) {
			w.act(i, p)
		}
		w.lead()
		w.reply()
		w.check()
	}
}

// event draws one disturbance.
func (w *world) event() {
	name := rapid.SampledFrom(w.names).Draw(w.t, "host")
	p := w.processes[name]
	until := func() time.Time {
		return w.now.Add(time.Duration(rapid.Int64Range(1, int64(12*time.Second)).Draw(w.t, "duration")))
	}
	switch rapid.IntRange(0, 150).Draw(w.t, "event") {
	case 0, 1:
		p.frozen = until()
	case 2, 3, 4, 5:
		p.cut = until()
	case 8:
		p.dead = true
	case 9, 10:
		// A replacement may start while the old process is only frozen.
		if p.dead || p.left || w.now.Before(p.frozen) {
			w.old = append(w.old, p)
			w.start(name, p.rules.Self.Zone, p.rules.Self.Incarnation+1)
		}
	case 11:
		p.leaving = true
	case 12:
		w.elect()
	}
}

// act lets one process cancel, dispatch and sync.
func (w *world) act(i int, p *process) {
	if p.dead || p.left || w.now.Before(p.frozen) {
		return
	}
	for server, k := range p.work {
		if !w.active(p, k) {
			delete(p.work, server)
		}
	}
	for _, server := range w.servers {
		if _, busy := p.work[server]; busy || p.leaving {
			continue
		}
		if !p.rules.MayDispatch(w.now, server, w.zoneOf(server), p.leaseEnd) {
			continue
		}
		length := step
		if !w.calm {
			length = time.Duration(rapid.Int64Range(int64(step), int64(8*time.Second)).Draw(w.t, "length"))
		}
		p.work[server] = work{w.now.Add(length), !w.now.Before(p.leaseEnd)}
	}
	if (w.steps+i)%5 == 0 {
		w.sync(p)
	}
}

func (w *world) active(p *process, k work) bool {
	return !p.dead && w.now.Before(k.end) && (k.unleased || w.now.Before(p.leaseEnd))
}

func (w *world) sync(p *process) {
	released := p.rules.Released(func(server string) bool {
		_, busy := p.work[server]
		return busy
	})
	s := sync{at: w.now, sentAt: w.now, from: p, released: released}
	if p.leaving && len(p.work) == 0 {
		s.leaving = true
		p.left = true
	}
	if w.now.Before(p.cut) {
		return
	}
	s.at = w.delayed()
	w.syncs = append(w.syncs, s)
}

// delayed returns when a message sent now arrives.
func (w *world) delayed() time.Time {
	if w.calm || rapid.IntRange(0, 4).Draw(w.t, "late") > 0 {
		return w.now
	}
	return w.now.Add(time.Duration(rapid.Int64Range(1, int64(7*time.Second)).Draw(w.t, "delay")))
}

// lead removes silent members and answers the requests that arrived.
func (w *world) lead() {
	for _, m := range w.leader.view.Members {
		if w.now.Sub(w.leader.heard[m.Name]) >= removal {
			w.remove(m.Name)
		}
	}
	syncs := w.syncs
	w.syncs = nil
	for _, s := range syncs {
		if s.at.After(w.now) {
			w.syncs = append(w.syncs, s)
			continue
		}
		w.take(s)
	}
}

// take handles one request. A new process of a name that is still a member
// waits until the old one has been removed, because the old one may hold its
// lease.
func (w *world) take(s sync) {
	self := s.from.rules.Self
	m, ok := w.leader.view.Find(self.Name)
	if ok && m.Incarnation != self.Incarnation {
		w.answer(s)
		return
	}
	if s.leaving {
		if ok {
			w.remove(self.Name)
		}
		return
	}
	// A late request of a process that has left does not bring it back.
	if !ok && (s.from.left || s.from.dead) {
		return
	}
	if !ok {
		w.change(append(append([]Member(nil), w.leader.view.Members...), self))
	}
	w.leader.heard[self.Name] = w.now
	w.leader.released[self.Name] = max(w.leader.released[self.Name], s.released)
	w.answer(s)
}

// answer grants the lease and sends the view.
func (w *world) answer(s sync) {
	if w.now.Before(s.from.cut) {
		return
	}
	w.answers = append(w.answers, answer{
		at:      w.delayed(),
		sentAt:  s.sentAt,
		to:      s.from,
		view:    w.leader.view,
		settled: w.settled(),
	})
}

func (w *world) remove(name string) {
	var members []Member
	for _, m := range w.leader.view.Members {
		if m.Name != name {
			members = append(members, m)
		}
	}
	delete(w.leader.heard, name)
	delete(w.leader.released, name)
	w.change(members)
}

func (w *world) change(members []Member) {
	w.leader.view = View{Number: w.leader.view.Number + 1, Members: members}
}

func (w *world) settled() bool {
	for _, m := range w.leader.view.Members {
		if w.leader.released[m.Name] < w.leader.view.Number {
			return false
		}
	}
	return true
}

// reply delivers the answers that arrived.
func (w *world) reply() {
	answers := w.answers
	w.answers = nil
	for _, a := range answers {
		if a.at.After(w.now) || w.now.Before(a.to.frozen) {
			w.answers = append(w.answers, a)
			continue
		}
		if a.to.dead {
			continue
		}
		// What was in flight when the lease ended has been cancelled, also if
		// the process did not run in between.
		if !w.now.Before(a.to.leaseEnd) {
			clear(a.to.work)
		}
		if end := a.sentAt.Add(lease); end.After(a.to.leaseEnd) {
			a.to.leaseEnd = end
		}
		a.to.rules.Adopt(a.view, a.settled)
	}
}

// check tests that no two processes dispatch to one server. Work in flight
// counts until it ends or the lease ends.
func (w *world) check() {
	for _, server := range w.servers {
		var by []string
		for _, p := range append(w.current(), w.old...) {
			if k, busy := p.work[server]; busy && w.active(p, k) {
				by = append(by, fmt.Sprintf("%s/%d in view %d", p.rules.Self.Name,
					p.rules.Self.Incarnation, p.rules.Adopted().Number))
			}
		}
		if len(by) > 1 {
			w.t.Fatalf("%s: %s is dispatched to by %v", w.now.Sub(epoch), server, by)
		}
	}
}

func (w *world) current() []*process {
	var list []*process
	for _, name := range w.names {
		list = append(list, w.processes[name])
	}
	return list
}

// TestOneDispatcher guards against two hosts that dispatch to one backend
// server at the same moment, whatever joins, leaves, freezes, crashes or is
// cut off and however late requests and replies are; and against a server
// that nobody owns once the disturbances end.
func TestOneDispatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.run(time.Duration(rapid.IntRange(5, 40).Draw(t, "seconds")) * time.Second)
		w.calm = true
		for _, name := range w.names {
			p := w.processes[name]
			p.cut = time.Time{}
			p.frozen = time.Time{}
			p.leaving = false
			if p.dead || p.left {
				w.old = append(w.old, p)
				w.start(name, p.rules.Self.Zone, p.rules.Self.Incarnation+1)
			}
		}
		// A replaced process that still runs would keep its successor out.
		for _, p := range w.old {
			p.dead = true
		}
		w.run(16 * time.Second)
		for _, server := range w.servers {
			n := 0
			for _, p := range w.current() {
				if p.rules.MayDispatch(w.now, server, w.zoneOf(server), p.leaseEnd) {
					n++
				}
			}
			if n != 1 {
				t.Fatalf("%s may be dispatched to by %d hosts, want 1", server, n)
			}
		}
	})
}
