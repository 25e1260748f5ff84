// Package dispatcher sends requests to the backend servers that this entry host
// owns. It keeps the ownership rules, the slots and lanes of each server and its
// connections under one lock, so that a server's limits hold at every moment.
//
// The control hosts divide the backend servers among the entry hosts by a view, a
// numbered list of the entry hosts. The entry host to which a view assigns a server
// is its owner. A host may use its servers only while its lease, a permission of
// limited duration from the control hosts, has not ended. A view is settled once
// every host has nothing in flight to the servers that the view took from it.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/limiter"
)

// removalMargin is the shortest time between the end of a host's lease and the
// takeover of its servers by another host. Requests get deadlines before its end.
const removalMargin = time.Second

// The errors of requests that were refused before anything was sent, and the
// cause of cancellations at the end of the lease.
var (
	ErrNotOwner   = errors.New("this host may not use the backend server now")
	ErrRefused    = errors.New("the backend server's queue refused the request")
	errLeaseEnded = errors.New("the lease of this host ended")
)

// Request is one request for a backend server.
type Request struct {
	// Server is the name of the backend server, Incarnation that of the process that
	// is to run the request.
	Server      string
	Incarnation uint64
	// Path is caller.SearchPath or caller.OrderPath.
	Path string
	// Lane is the class of the request, interactive or bulk.
	Lane limiter.Lane
	// Alone asks for the server with no other request in flight.
	Alone bool
	// Deadline is when the request must have finished. The end of the lease can make it
	// earlier.
	Deadline time.Time
	// Fingerprint identifies the archive and the body in observations.
	Fingerprint uint64
	// Message is the body; Do sets its Deadline.
	Message caller.Message
}

// Observation reports that the connection to a server broke while a request
// held one of its slots, or that a request completed with no other request in
// flight on the server.
type Observation struct {
	// Fingerprint identifies the archive and the body of the request.
	Fingerprint uint64
	Archive     string
	// Server is the name of the backend server.
	Server string
	// Incarnation identifies the server's process.
	Incarnation uint64
	// Attempt is that of the request's Message.
	Attempt string
	// Crashed is true when the connection broke.
	Crashed bool
	// Alone is true when no other request was in flight on the server.
	Alone bool
}

// Dispatcher sends requests to the backend servers that this entry host owns,
// on behalf of itself and the other entry hosts. Use New.
type Dispatcher struct {
	// onObservation is called for each observation. It must not block.
	onObservation func(Observation)
	// leaseEnd returns the end of this host's lease.
	leaseEnd func() time.Time

	// answers is the memory for the answers of all servers, nil for the defaults of callers.
	// answerBytes bounds that of one answer.
	answers     *connector.Allowance
	answerBytes int64

	// mu guards the fields below and those of the servers.
	mu sync.Mutex
	// rules decide which servers this host may use.
	rules assigner.DispatchRules
	// adoptions counts the calls of Adopt, which alone change what rules permit
	// under a lease.
	adoptions uint64
	// servers holds the usable backend servers by name, whoever owns them.
	servers map[string]*server
	// slotsInUse counts the requests that hold a slot, by server name. It
	// includes those to servers that were removed meanwhile.
	slotsInUse map[string]int
	// cancels holds the functions that cancel the requests in flight, by ticket.
	cancels map[uint64]context.CancelCauseFunc
	// lastTicket is the ID of the ticket that was given out last.
	lastTicket uint64
	// closed is true once Close was called.
	closed bool
}

// server is one incarnation of one backend server.
type server struct {
	tracker.Server
	// caller holds the connections to the server.
	caller *caller.Caller
	// limiter decides which requests the server gets and which ones wait or are
	// refused.
	limiter *limiter.Limiter
	// waiters holds the channels of the queued requests, by ticket.
	waiters map[uint64]chan limiter.Event
	// preconnected is true when connections were opened ahead of requests since
	// this host became the owner.
	preconnected bool
	// owned is the answer of the rules as of ownedAdoption, a value of adoptions.
	owned         bool
	ownedAdoption uint64
}

// New returns a dispatcher for the entry host self. The function leaseEnd
// returns the end of the host's lease. The function onObservation is called for
// each observation and must not block.
func New(self assigner.Member, leaseEnd func() time.Time, onObservation func(Observation)) *Dispatcher {
	return &Dispatcher{
		onObservation: onObservation,
		leaseEnd:      leaseEnd,
		rules:         assigner.DispatchRules{Self: self},
		servers:       map[string]*server{},
		slotsInUse:    map[string]int{},
		cancels:       map[uint64]context.CancelCauseFunc{},
	}
}

// LimitAnswers sets the memory that the answers of all servers may hold, and the memory in
// bytes that each of them may hold. It is called before UpdateServers.
func (d *Dispatcher) LimitAnswers(all *connector.Allowance, each int64) {
	d.answers, d.answerBytes = all, each
}

// newCaller returns the caller for a server.
func (d *Dispatcher) newCaller(s tracker.Server) *caller.Caller {
	connections := max(1, min(s.Slots, s.ConnectionLimit))
	if d.answers == nil {
		return caller.New(s.Address, connections)
	}
	return caller.NewWithin(s.Address, connections, d.answers, d.answerBytes)
}

// Adopt puts a view in use unless it is older than the adopted one; settled tells
// whether the view is known to be settled.
func (d *Dispatcher) Adopt(v assigner.View, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules.Adopt(v, settled)
	d.adoptions++
}

// AdoptedView returns the view in use.
func (d *Dispatcher) AdoptedView() assigner.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.AdoptedView()
}

// ViewNumbers returns the number of the adopted view and that of the newest view
// for which nothing is in flight to servers that it took from this host.
func (d *Dispatcher) ViewNumbers() (adopted, released uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.AdoptedView().Number, d.rules.ReleasedView(func(name string) bool { return d.slotsInUse[name] > 0 })
}

// InFlight returns the number of requests that hold a slot of any server.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, n := range d.slotsInUse {
		total += n
	}
	return total
}

// Close refuses all further requests and the queued ones. Requests in flight
// continue.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, s := range d.servers {
		s.deliver(s.limiter.Suspend())
	}
}

// UpdateServers replaces the set of usable backend servers. Servers that are no
// longer usable get no new requests; requests in flight to them continue.
func (d *Dispatcher) UpdateServers(now time.Time, usable []tracker.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := make(map[string]bool, len(usable))
	for _, s := range usable {
		current[s.ServerName] = true
		d.updateServer(now, s)
	}
	for name, s := range d.servers {
		if !current[name] {
			d.removeServer(name, s)
		}
	}
}

// updateServer adds a server, changes its slots, or replaces it by its next
// incarnation. The caller holds mu.
func (d *Dispatcher) updateServer(now time.Time, s tracker.Server) {
	old, ok := d.servers[s.ServerName]
	if ok && old.Incarnation == s.Incarnation {
		old.Server = s
		old.deliver(old.limiter.Resize(now, s.Slots))
		return
	}
	if ok {
		d.removeServer(s.ServerName, old)
	}
	d.servers[s.ServerName] = &server{
		Server:  s,
		caller:  d.newCaller(s),
		limiter: limiter.New(limiter.Config{}, s.Slots),
		waiters: map[uint64]chan limiter.Event{},
	}
}

// removeServer refuses the server's queued requests, closes its idle connections
// and forgets it. The caller holds mu.
func (d *Dispatcher) removeServer(name string, s *server) {
	s.deliver(s.limiter.Suspend())
	s.caller.CloseIdle()
	delete(d.servers, name)
}

// Tick refuses queued requests that can't meet their deadline, opens connections
// to servers that this host now owns, closes the idle ones to servers that it no
// longer owns, and cancels all requests in flight once the lease has ended.
func (d *Dispatcher) Tick(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.leaseEnd()) {
		for _, cancel := range d.cancels {
			cancel(errLeaseEnded)
		}
	}
	for _, s := range d.servers {
		if len(s.waiters) > 0 {
			s.deliver(s.limiter.Expire(now))
		}
		d.updateConnections(ctx, now, s)
	}
}

// updateConnections opens connections to a server when this host has become its
// owner, and closes the idle ones when it no longer is. The caller holds mu.
func (d *Dispatcher) updateConnections(ctx context.Context, now time.Time, s *server) {
	owned := d.mayDispatch(now, s)
	if owned && !s.preconnected {
		go s.caller.Preconnect(ctx, s.Slots)
	}
	if !owned && s.preconnected {
		s.caller.CloseIdle()
	}
	s.preconnected = owned
}

// mayDispatch reports whether this host may send requests to the server. The
// rules are asked once per adoption and server, as Tick calls mayDispatch for
// every server, owned or not, every few milliseconds. The caller holds mu.
func (d *Dispatcher) mayDispatch(now time.Time, s *server) bool {
	end := d.leaseEnd()
	if !now.Before(end) {
		return false
	}
	if s.ownedAdoption != d.adoptions {
		s.owned = d.rules.MayDispatch(now, s.ServerName, s.Zone, end)
		s.ownedAdoption = d.adoptions
	}
	return s.owned
}

// Do waits for a slot of the server, sends the request once and returns its
// result, which has to be released.
func (d *Dispatcher) Do(ctx context.Context, r Request) caller.Result {
	s, ticket, wait, err := d.requestSlot(r)
	if err == nil && wait != nil {
		err = d.awaitSlot(ctx, s, ticket, wait)
	}
	if err != nil {
		return refusalResult(err)
	}
	return d.send(ctx, s, ticket, r)
}

// refusalResult returns the result of a request that was not sent. Unsent means
// that this host may not use the server: another host may run the request at
// once. Refused means that the queue refused it: sending it again adds load.
func refusalResult(err error) caller.Result {
	if errors.Is(err, ErrNotOwner) {
		return caller.Result{Status: caller.Unsent, Err: err}
	}
	return caller.Result{Status: caller.Refused, Err: err}
}

// requestSlot asks the server's limiter for a slot and returns the ticket. A nil
// channel means that the ticket holds a slot; otherwise the decision arrives on
// the channel.
func (d *Dispatcher) requestSlot(r Request) (*server, uint64, chan limiter.Event, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s, ok := d.servers[r.Server]
	if !ok || d.closed || s.Incarnation != r.Incarnation || !d.mayDispatch(now, s) {
		return nil, 0, nil, ErrNotOwner
	}
	d.lastTicket++
	ticket := d.lastTicket
	decision := s.limiter.Submit(now, limiter.Ticket{ID: ticket, Lane: r.Lane, Alone: r.Alone, Deadline: r.Deadline})
	s.deliver(decision.Events)
	switch decision.Verdict {
	case limiter.Started:
		d.slotsInUse[r.Server]++
		return s, ticket, nil, nil
	case limiter.Queued:
		wait := make(chan limiter.Event, 1)
		s.waiters[ticket] = wait
		return s, ticket, wait, nil
	default:
		return nil, 0, nil, errors.Wrap(ErrRefused, decision.Reason.String())
	}
}

// awaitSlot waits until the limiter decides on a queued ticket. Without an error
// the ticket holds a slot and this host may still use the server.
func (d *Dispatcher) awaitSlot(ctx context.Context, s *server, ticket uint64, wait chan limiter.Event) error {
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
	if ctx.Err() != nil || !d.mayDispatch(time.Now(), s) {
		s.deliver(s.limiter.Done(time.Now(), ticket))
		return ErrNotOwner
	}
	d.slotsInUse[s.ServerName]++
	return nil
}

// deliver passes the limiter's decisions to the requests that wait for them. The
// caller holds the dispatcher's mu.
func (s *server) deliver(events []limiter.Event) {
	for _, e := range events {
		if wait, ok := s.waiters[e.ID]; ok {
			delete(s.waiters, e.ID)
			wait <- e
		}
	}
}

// send sends the request in the slot that the ticket holds, and releases the
// slot once the call has returned.
func (d *Dispatcher) send(ctx context.Context, s *server, ticket uint64, r Request) caller.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	d.cancels[ticket] = cancel
	deadline := earlier(r.Deadline, d.leaseEnd().Add(removalMargin))
	d.mu.Unlock()
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	r.Message.Deadline = time.Until(deadline).String()
	result := s.caller.Call(ctx, r.Path, r.Message)
	d.mu.Lock()
	delete(d.cancels, ticket)
	d.slotsInUse[r.Server]--
	if d.slotsInUse[r.Server] == 0 {
		delete(d.slotsInUse, r.Server)
	}
	s.deliver(s.limiter.Done(time.Now(), ticket))
	d.mu.Unlock()
	d.reportObservation(r, result)
	return result
}

// reportObservation reports what the result tells about the request: it was in
// flight when a server may have crashed, or it is harmless because it completed
// alone.
func (d *Dispatcher) reportObservation(r Request, result caller.Result) {
	crashed := result.Status == caller.Broken
	if !crashed && (!r.Alone || result.Status != caller.Answered) {
		return
	}
	d.onObservation(Observation{
		Fingerprint: r.Fingerprint, Archive: r.Message.Archive, Server: r.Server, Incarnation: r.Incarnation,
		Attempt: r.Message.Attempt, Crashed: crashed, Alone: r.Alone,
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
