package server

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

const (
	// tick is how often time moves on without events. It is a fifth of the
	// log core's heartbeat.
	tick = 20 * time.Millisecond
	// maxEvents is the number of events taken before the core is asked what to
	// save, so that they share one sync.
	maxEvents = 256
	// duty is how often the leader looks after the view and the membership.
	duty = 100 * time.Millisecond
	// greeting is how often a host without a leader announces itself.
	greeting = 500 * time.Millisecond
	// pauseLimit is the time between two rounds of the loop after which this
	// host counts as having been stopped.
	pauseLimit = time.Second
	// fullPause is the time between two attempts to write to a full disk.
	fullPause = 100 * time.Millisecond
)

// roleWaiting is the role of a host whose log holds no membership.
const roleWaiting = "waiting"

// event is one piece of work for the loop.
type event func(*loop)

// waiter is told what became of a proposal.
type waiter struct {
	term uint64
	done func(keeper.Result, error)
}

// loop owns the log core, the journal and the state machine. Only its own
// goroutine uses it.
type loop struct {
	settings Settings
	log      *log.Logger
	scope    tally.Scope
	start    time.Time

	core    *replicator.Core
	journal *journaler.Journal
	keeper  *keeper.Keeper
	senders *senders
	// status is that of the core after the last save, seen the one that was
	// last looked at for changes of leadership.
	status replicator.Status
	seen   replicator.Status

	waiters map[uint64]waiter
	// reads holds what to do once a read is confirmed (true) or lost.
	reads map[uint64]func(confirmed bool)
	read  uint64
	// answers run after the core has advanced, when it may be called again.
	answers []func()

	roster *roster
	hellos hellos
	// named holds control hosts that another host named.
	named []netip.AddrPort
	// publishKnown passes on the addresses of the members.
	publishKnown func([]string)

	attendance *attendance
	enrolments []enrolment
	// silencing is set while a change to silent is not applied.
	silencing bool
	audience  *audience
	watchers  []watcher
	watchAt   time.Duration
	// viewing is set while a change of the view is not applied.
	viewing bool
	// repair is why the membership is or is not changed now.
	repair string
	// members is the membership that was logged last.
	members string
	// snapshot is the last snapshot or the last attempt at one.
	snapshot snapshotMark
	round    time.Duration
	dutyAt   time.Duration
	greetAt  time.Duration
	failure  error
	// stopping ends when the host has to stop.
	stopping context.Context
}

// newLoop resumes from the state that the journal holds.
func newLoop(settings Settings, journal *journaler.Journal, state journaler.State, logger *log.Logger, scope tally.Scope) (*loop, error) {
	snapshot, err := loadedSnapshot(state.Snapshot)
	if err != nil {
		return nil, err
	}
	l := &loop{
		settings: settings,
		log:      logger,
		scope:    scope,
		start:    time.Now(),
		journal:  journal,
		keeper:   keeper.New(settings.Check),
		waiters:  map[uint64]waiter{},
		reads:    map[uint64]func(bool){},
		roster:   newRoster(0),

		attendance: newAttendance(0),
		audience:   newAudience(0),
		hellos:     hellos{},
		snapshot:   snapshotMark{index: snapshot.Index, size: len(snapshot.Data)},
	}
	if snapshot.Index > 0 {
		if err := l.keeper.Restore(snapshot.Data); err != nil {
			return nil, err
		}
	}
	l.core, err = replicator.New(coreConfig(settings, state, snapshot))
	if err != nil {
		return nil, err
	}
	l.status = l.core.Status()
	l.seen = l.status
	return l, l.checkOwner()
}

// checkOwner refuses a folder that the membership gives to another host.
func (l *loop) checkOwner() error {
	for _, m := range l.status.Members {
		if m.ID == l.status.ID && m.Name != l.settings.Name {
			return errors.Wrapf(journaler.ErrForeign, "id %d belongs to host %s", m.ID, m.Name)
		}
	}
	return nil
}

func (l *loop) now() time.Duration { return time.Since(l.start) }

// run handles events until ctx ends. It returns an error when the durable
// state can no longer be trusted or extended.
func (l *loop) run(ctx context.Context, queue <-chan event) error {
	l.stopping = ctx
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-queue:
			e(l)
			l.drain(queue)
		case <-ticker.C:
		}
		if err := l.turn(); err != nil {
			l.log.Error("stopping", "err", err)
			return err
		}
	}
}

// drain handles the events that wait already.
func (l *loop) drain(queue <-chan event) {
	for range maxEvents - 1 {
		select {
		case e := <-queue:
			e(l)
		default:
			return
		}
	}
}

// turn moves time on and does all work that the core has.
func (l *loop) turn() error {
	now := l.now()
	if now-l.round > pauseLimit {
		l.roster.pause(now)
		l.attendance.pause(now)
	}
	l.round = now
	l.enrol()
	l.core.Tick(now)
	if err := l.settle(); err != nil {
		return err
	}
	l.duties(now)
	return l.settle()
}

// settle handles Readys until the core has nothing more to do.
func (l *loop) settle() error {
	for l.failure == nil {
		r := l.core.Ready()
		if r.Empty() {
			break
		}
		if err := l.handle(r); err != nil {
			return err
		}
		answers := l.answers
		l.answers = nil
		for _, answer := range answers {
			answer()
		}
	}
	l.observe()
	return l.failure
}

// handle does the work of one Ready in the order that the core asks for.
func (l *loop) handle(r replicator.Ready) error {
	if err := l.save(r); err != nil {
		return err
	}
	l.status = l.core.Status()
	for _, m := range r.Messages {
		l.send(m)
	}
	if err := l.apply(r); err != nil {
		return err
	}
	for _, read := range r.ConfirmedReads {
		l.finishRead(read.Context, true)
	}
	for _, context := range r.LostReads {
		l.finishRead(context, false)
	}
	for _, p := range r.LostProposals {
		l.finishProposal(p.Index, p.Term, keeper.Result{}, errLost)
	}
	l.core.Advance(r)
	return l.compact()
}

func (l *loop) save(r replicator.Ready) error {
	if !r.MustSync {
		return nil
	}
	b, err := batchOf(r)
	if err != nil {
		return err
	}
	defer l.scope.Timer("save").Start().Stop()
	err = l.journal.Save(b)
	if errors.Is(err, journaler.ErrDiskFull) {
		l.log.Error("disk is full, waiting for room", "err", err)
	}
	// Nothing was stored and nothing may be sent. While this host waits the
	// others elect another leader.
	for errors.Is(err, journaler.ErrDiskFull) && l.stopping.Err() == nil {
		time.Sleep(fullPause)
		err = l.journal.Save(b)
	}
	return err
}

func (l *loop) apply(r replicator.Ready) error {
	if r.Snapshot != nil {
		if err := l.keeper.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot from the leader")
		}
		l.snapshot = snapshotMark{index: r.Snapshot.Index, size: len(r.Snapshot.Data)}
		l.log.Info("restored a snapshot from the leader", "index", r.Snapshot.Index, "bytes", len(r.Snapshot.Data))
	}
	for _, e := range r.CommittedEntries {
		if err := l.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (l *loop) applyEntry(e replicator.Entry) error {
	l.snapshot.grown += len(e.Data)
	var result keeper.Result
	if e.Kind == replicator.EntryNormal {
		result = l.keeper.Apply(e.Index, e.Data)
	}
	if errors.Is(result.Err, keeper.ErrCommand) {
		return errors.Wrapf(result.Err, "apply entry %d", e.Index)
	}
	if result.Viewed {
		v := l.keeper.View()
		l.log.Info("new view", "view", v.GetNumber(), "hosts", len(v.GetMembers()))
	}
	if e.Kind == replicator.EntryMembers {
		l.logMembers()
	}
	l.finishProposal(e.Index, e.Term, result, nil)
	return nil
}

// finishProposal tells the proposer at index what became of it. Another term
// means that another entry took the place.
func (l *loop) finishProposal(index, term uint64, result keeper.Result, err error) {
	w, ok := l.waiters[index]
	if !ok {
		return
	}
	delete(l.waiters, index)
	if w.term != term {
		result, err = keeper.Result{}, errLost
	}
	l.answers = append(l.answers, func() { w.done(result, err) })
}

func (l *loop) finishRead(context uint64, confirmed bool) {
	if f, ok := l.reads[context]; ok {
		delete(l.reads, context)
		l.answers = append(l.answers, func() { f(confirmed) })
	}
}

// compact makes a snapshot when one is due. On a full disk the log is
// kept and the next attempt is made when another snapshot would be due.
func (l *loop) compact() error {
	applied := l.core.State().AppliedIndex
	if !l.snapshot.due(applied, l.settings.SnapshotEvery) {
		return nil
	}
	data, err := l.keeper.Snapshot()
	if err != nil {
		return err
	}
	l.snapshot = snapshotMark{index: applied, size: len(data)}
	snapshot, err := l.core.Compact(applied, data)
	if err != nil {
		return errors.Wrap(err, "compact log")
	}
	stored, err := storedSnapshot(snapshot)
	if err != nil {
		return err
	}
	err = l.journal.Compact(stored)
	if errors.Is(err, journaler.ErrDiskFull) {
		l.log.Error("no room for a snapshot", "index", applied, "err", err)
		return nil
	}
	l.log.Debug("wrote a snapshot", "index", applied, "bytes", len(data))
	return err
}

// send passes a message to its receiver's goroutine. Messages to ids without
// a known address are dropped.
func (l *loop) send(m replicator.Message) {
	name, addr, ok := l.addressOf(m.To)
	if !ok {
		l.scope.Counter("messages_dropped").Inc(1)
		return
	}
	l.senders.send(addr, outgoing{name: name, message: m})
}

// addressOf returns where the host with an id is. The settings take precedence
// over the membership, so that a host can move to another address.
func (l *loop) addressOf(id uint64) (string, netip.AddrPort, bool) {
	name, addr := l.hellos.nameOf(id), netip.AddrPort{}
	for _, m := range l.status.Members {
		if m.ID == id {
			name, addr = m.Name, m.Address
		}
	}
	if sign, ok := l.hellos[name]; ok && !addr.IsValid() {
		addr = sign.address
	}
	if h, ok := l.settings.host(name); ok {
		addr = h.Address
	}
	return name, addr, addr.IsValid()
}

// leads reports whether this host is the leader, as far as it knows.
func (l *loop) leads() bool { return l.core.State().Role == replicator.RoleLeader }

// leader returns the address of the leader, or nothing if it is unknown or
// this host itself.
func (l *loop) leader() string {
	status := l.core.State()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	_, addr, ok := l.addressOf(status.Leader)
	if !ok {
		return ""
	}
	return addr.String()
}

// confirm calls f once this host is known to have led after now, or with false
// if it does not lead.
func (l *loop) confirm(f func(confirmed bool)) {
	l.read++
	if err := l.core.ReadIndex(l.now(), l.read); err != nil {
		f(false)
		return
	}
	l.reads[l.read] = f
}

// propose appends a command to the log. After an error from the core nothing
// was appended.
func (l *loop) propose(c *messenger.Command, done func(keeper.Result, error)) {
	data, err := encode(c)
	if err != nil {
		done(keeper.Result{}, err)
		return
	}
	index, term, err := l.core.Propose(l.now(), data)
	if err != nil {
		done(keeper.Result{}, err)
		return
	}
	l.scope.Counter("proposals").Inc(1)
	l.waiters[index] = waiter{term: term, done: done}
}

// observe notes changes of leadership.
func (l *loop) observe() {
	last := l.seen
	l.status = l.core.Status()
	l.seen = l.status
	s := l.seen
	l.scope.Gauge("term").Update(float64(s.Term))
	l.scope.Gauge("applied").Update(float64(s.AppliedIndex))
	if l.publishKnown != nil && (s.Leader != last.Leader || len(s.Members) != len(last.Members) || s.Term != last.Term) {
		l.publishKnown(addresses(s))
	}
	if s.Role == last.Role && s.Term == last.Term && s.Leader == last.Leader {
		return
	}
	if s.Role == replicator.RoleLeader {
		l.roster = newRoster(l.now())
		l.attendance = newAttendance(l.now())
		l.audience = newAudience(l.now())
		l.repair = ""
	}
	l.logRole(last, s)
}

func (l *loop) logRole(last, s replicator.Status) {
	switch {
	case s.Role == replicator.RoleLeader:
		l.log.Info("elected leader", "term", s.Term)
	case last.Role == replicator.RoleLeader:
		l.log.Warn("no longer the leader", "term", s.Term)
	case s.Leader != 0:
		name, _, _ := l.addressOf(s.Leader)
		l.log.Info("following the leader", "host", name, "term", s.Term)
	case last.Leader != 0:
		l.log.Warn("lost contact with the leader", "term", s.Term)
	}
}

// encode stamps a command with this host's time.
func encode(c *messenger.Command) ([]byte, error) {
	c.Time = timestamp()
	data, err := keeper.Encode(c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return data, nil
}
