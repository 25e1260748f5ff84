// Package dispatcher sends work to the backend servers that this entry host
// owns. It joins the ownership rules, the slots and lanes of each server and
// its connections, under one lock, so that a server's limits hold at every
// moment.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/limiter"
)

// removalMargin is how long after the end of a host's lease another host may
// take over its servers at the earliest. Work is given deadlines within it.
const removalMargin = time.Second

// The reasons for a refusal before anything was sent.
var (
	ErrNotOwner = errors.New("this host may not use the backend server now")
	ErrRefused  = errors.New("the backend server's queue refused the request")
	errLeaseEnd = errors.New("the lease of this host ended")
)

// Request is one request for a backend server.
type Request struct {
	Server      string
	Incarnation uint64
	Path        string
	Lane        limiter.Lane
	Alone       bool
	Deadline    time.Time
	Fingerprint uint64
	Message     caller.Message
}

// Observation tells that a request was in a slot of a server when the
// connection broke, or that it completed with no other request in flight.
type Observation struct {
	Fingerprint uint64
	Archive     string
	Server      string
	Incarnation uint64
	Attempt     string
	Crashed     bool
	Alone       bool
}

// Dispatcher is the owner's side of dispatching. Use New.
type Dispatcher struct {
	// observe takes what is learned about requests and crashes. It must not
	// block.
	observe func(Observation)
	// lease returns the end of this host's lease.
	lease func() time.Time

	mu    sync.Mutex
	rules assigner.Rules
	// adoption counts the calls of Adopt, which alone change what rules permit
	// under a lease.
	adoption uint64
	servers  map[string]*server
	running  map[string]int
	cancels  map[uint64]context.CancelCauseFunc
	tickets  uint64
	closed   bool
}

// server is one incarnation of one backend server.
type server struct {
	tracker.Server
	caller  *caller.Caller
	limiter *limiter.Limiter
	waiting map[uint64]chan limiter.Event
	warm    bool
	// owned is what the rules said in the given adoption.
	owned    bool
	adoption uint64
}

// New returns a dispatcher for the entry host self, whose lease ends when
// lease says.
func New(self assigner.Member, lease func() time.Time, observe func(Observation)) *Dispatcher {
	return &Dispatcher{
		observe: observe,
		lease:   lease,
		rules:   assigner.Rules{Self: self},
		servers: map[string]*server{},
		running: map[string]int{},
		cancels: map[uint64]context.CancelCauseFunc{},
	}
}

// Adopt takes the view and whether it is settled.
func (d *Dispatcher) Adopt(v assigner.View, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules.Adopt(v, settled)
	d.adoption++
}

// Adopted returns the view in use.
func (d *Dispatcher) Adopted() assigner.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.Adopted()
}

// View returns the number of the adopted view and the newest one for which
// nothing is in flight to servers that it took from this host.
func (d *Dispatcher) View() (adopted, released uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.Adopted().Number, d.rules.Released(func(name string) bool { return d.running[name] > 0 })
}

// InFlight returns the number of requests that hold a slot of any server.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, n := range d.running {
		total += n
	}
	return total
}

// Close refuses all further requests; what is in flight goes on.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, s := range d.servers {
		s.deliver(s.limiter.Suspend())
	}
}

// Refresh takes the usable backend servers. Servers that are gone get no new
// work; what is in flight to them goes on.
func (d *Dispatcher) Refresh(now time.Time, usable []tracker.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := make(map[string]bool, len(usable))
	for _, s := range usable {
		current[s.Server] = true
		d.update(now, s)
	}
	for name, s := range d.servers {
		if !current[name] {
			d.drop(name, s)
		}
	}
}

func (d *Dispatcher) update(now time.Time, s tracker.Server) {
	old, ok := d.servers[s.Server]
	if ok && old.Incarnation == s.Incarnation {
		old.Server = s
		old.deliver(old.limiter.Resize(now, s.Slots))
		return
	}
	if ok {
		d.drop(s.Server, old)
	}
	d.servers[s.Server] = &server{
		Server:  s,
		caller:  caller.New(s.Address, max(1, min(s.Slots, s.Connections))),
		limiter: limiter.New(limiter.Config{}, s.Slots),
		waiting: map[uint64]chan limiter.Event{},
	}
}

func (d *Dispatcher) drop(name string, s *server) {
	s.deliver(s.limiter.Suspend())
	s.caller.Close()
	delete(d.servers, name)
}

// Tick refuses waiting requests that can't meet their deadline, opens
// connections to servers that this host has come to own, closes those to
// servers that it lost, and calls off everything once the lease has ended.
func (d *Dispatcher) Tick(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.lease()) {
		for _, cancel := range d.cancels {
			cancel(errLeaseEnd)
		}
	}
	for _, s := range d.servers {
		if len(s.waiting) > 0 {
			s.deliver(s.limiter.Expire(now))
		}
		d.keepConnections(ctx, now, s)
	}
}

func (d *Dispatcher) keepConnections(ctx context.Context, now time.Time, s *server) {
	owned := d.permitted(now, s)
	if owned && !s.warm {
		go s.caller.Warm(ctx, s.Slots)
	}
	if !owned && s.warm {
		s.caller.Close()
	}
	s.warm = owned
}

// permitted asks the rules once per adoption and server: Tick asks for every
// server, owned or not, every few milliseconds.
func (d *Dispatcher) permitted(now time.Time, s *server) bool {
	lease := d.lease()
	if !now.Before(lease) {
		return false
	}
	if s.adoption != d.adoption {
		s.owned = d.rules.MayDispatch(now, s.Server.Server, s.Zone, lease)
		s.adoption = d.adoption
	}
	return s.owned
}

// Do waits for a slot of the server, sends the request once and returns what
// became of it.
func (d *Dispatcher) Do(ctx context.Context, r Request) caller.Result {
	s, ticket, wait, err := d.submit(r)
	if err == nil && wait != nil {
		err = d.await(ctx, s, ticket, wait)
	}
	if err != nil {
		return refusal(err)
	}
	return d.send(ctx, s, ticket, r)
}

// refusal tells a host that may not use the server, where another host may
// serve at once, from a queue that refused, where more work would add load.
func refusal(err error) caller.Result {
	if errors.Is(err, ErrNotOwner) {
		return caller.Result{Status: caller.Unsent, Err: err}
	}
	return caller.Result{Status: caller.Refused, Err: err}
}

// submit asks for a slot. A nil channel means that the ticket has one.
func (d *Dispatcher) submit(r Request) (*server, uint64, chan limiter.Event, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s, ok := d.servers[r.Server]
	if !ok || d.closed || s.Incarnation != r.Incarnation || !d.permitted(now, s) {
		return nil, 0, nil, ErrNotOwner
	}
	d.tickets++
	ticket := d.tickets
	decision := s.limiter.Submit(now, limiter.Ticket{ID: ticket, Lane: r.Lane, Alone: r.Alone, Deadline: r.Deadline})
	s.deliver(decision.Events)
	switch decision.Verdict {
	case limiter.Started:
		d.running[r.Server]++
		return s, ticket, nil, nil
	case limiter.Queued:
		wait := make(chan limiter.Event, 1)
		s.waiting[ticket] = wait
		return s, ticket, wait, nil
	default:
		return nil, 0, nil, errors.Wrap(ErrRefused, decision.Reason.String())
	}
}

// await waits until the ticket gets a slot. Without an error the ticket holds
// one and the host may still use the server.
func (d *Dispatcher) await(ctx context.Context, s *server, ticket uint64, wait chan limiter.Event) error {
	var e limiter.Event
	select {
	case e = <-wait:
	case <-ctx.Done():
		d.mu.Lock()
		s.deliver(s.limiter.Cancel(time.Now(), ticket))
		d.mu.Unlock()
		e = <-wait
	}
	if e.Verdict != limiter.Started {
		return errors.Wrap(ErrRefused, e.Reason.String())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil || !d.permitted(time.Now(), s) {
		s.deliver(s.limiter.Done(time.Now(), ticket))
		return ErrNotOwner
	}
	d.running[s.Server.Server]++
	return nil
}

func (s *server) deliver(events []limiter.Event) {
	for _, e := range events {
		if wait, ok := s.waiting[e.ID]; ok {
			delete(s.waiting, e.ID)
			wait <- e
		}
	}
}

// send calls the server with the slot that the ticket holds, and gives the
// slot back.
func (d *Dispatcher) send(ctx context.Context, s *server, ticket uint64, r Request) caller.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	d.cancels[ticket] = cancel
	deadline := earliest(r.Deadline, d.lease().Add(removalMargin))
	d.mu.Unlock()
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	r.Message.Deadline = time.Until(deadline).String()
	result := s.caller.Call(ctx, r.Path, r.Message)
	d.mu.Lock()
	delete(d.cancels, ticket)
	d.running[r.Server]--
	if d.running[r.Server] == 0 {
		delete(d.running, r.Server)
	}
	s.deliver(s.limiter.Done(time.Now(), ticket))
	d.mu.Unlock()
	d.report(r, result)
	return result
}

// report passes on what the result says about the request: it was near a
// crash, or it is harmless because it completed alone.
func (d *Dispatcher) report(r Request, result caller.Result) {
	crashed := result.Status == caller.Broken
	if !crashed && (!r.Alone || result.Status != caller.Answered) {
		return
	}
	d.observe(Observation{
		Fingerprint: r.Fingerprint, Archive: r.Message.Archive, Server: r.Server, Incarnation: r.Incarnation,
		Attempt: r.Message.Attempt, Crashed: crashed, Alone: r.Alone,
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
