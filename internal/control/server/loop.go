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
	"gentianpond/internal/value/container"
)

const (
	// tickInterval is how often the loop runs without events. It is a fifth of the log
	// core's heartbeat interval.
	tickInterval = 20 * time.Millisecond
	// maxEventsPerSync is the number of events that are handled before the core is
	// asked what to save, so that they share one sync.
	maxEventsPerSync = 256
	// maintenanceInterval is how often the leader checks the view, the membership and
	// the check-ins of backend servers.
	maintenanceInterval = 100 * time.Millisecond
	// helloInterval is how often a host without a leader sends a hello to the other
	// hosts.
	helloInterval = 500 * time.Millisecond
	// pauseThreshold is the time between two iterations of the loop after which this
	// host counts as having been suspended.
	pauseThreshold = time.Second
	// diskFullRetryDelay is the time between two attempts to write to a full disk.
	diskFullRetryDelay = 100 * time.Millisecond
)

// roleWaiting is the role in the status of a host whose log holds no membership.
const roleWaiting = "waiting"

// event is a piece of work that runs on the loop's goroutine.
type event func(*loop)

// pendingProposal is a proposal of this host that is neither committed nor lost. done
// is called with its outcome; term is that of the proposed entry.
type pendingProposal struct {
	term uint64
	done func(keeper.Result, error)
}

// loop owns the log core, the journal and the state machine. Only its own
// goroutine uses it.
type loop struct {
	settings Settings
	log      *log.Logger
	// scope holds the metrics of the control host.
	scope tally.Scope
	// start is when the loop was created. All times of the loop count from it.
	start time.Time

	// core is this host's Raft state. The loop passes it messages, proposals and the time.
	core *replicator.Core
	// journal keeps the log, the hard state and the snapshot of core on disk.
	journal *journaler.Journal
	// keeper is the replicated state machine.
	keeper *keeper.Keeper
	// senders sends messages to the other control hosts.
	senders *senders

	// status is that of the core after the last save. observedStatus is the one that
	// was last compared for changes of leadership.
	status         replicator.Status
	observedStatus replicator.Status

	// pendingProposals is keyed by the log index of the proposed entry.
	pendingProposals map[uint64]pendingProposal
	// pendingReads holds the callbacks of reads by their id. They are called with true
	// once leadership is confirmed and with false when it is lost.
	pendingReads map[uint64]func(confirmed bool)
	// lastReadID is the id of the last read that was passed to the core.
	lastReadID uint64
	// deferredReplies are callbacks that run after the core has advanced, when it may
	// be called again.
	deferredReplies []func()

	// entryHosts holds what this host has learned from sync requests of entry hosts as the
	// leader. It is replaced when this host is elected.
	entryHosts *entryTracker
	// hellos holds who sent the latest Exchange request under each control host's name.
	hellos hellos
	// formats holds the formats of the replicated state that the control hosts store.
	formats formats
	// zeroRepeated is set while nothing suggests that a member lacks a routing document of
	// version 0 that is in force.
	zeroRepeated bool
	// reportedHosts holds the addresses of control hosts that another host reported.
	reportedHosts []netip.AddrPort
	// departureAllowed is set once the leader has allowed this host to end.
	// lastLeaderKnown is when this host last asked for that and knew a leader.
	departureAllowed bool
	lastLeaderKnown  time.Duration
	// storeMemberAddresses stores the addresses of the members for replies to
	// hellos.
	storeMemberAddresses func([]string)
	// storeKnownHosts stores the addresses of the hosts of the system for the listener,
	// and nextKnownHosts is when they are collected next.
	storeKnownHosts func(container.Set[netip.Addr])
	nextKnownHosts  time.Duration

	// checkIns holds when each backend server last sent its registration, a check-in, to
	// this host as the leader. It is replaced when this host is elected.
	checkIns *checkInTracker
	// pendingCheckIns are the check-ins that change the registry and wait to be proposed.
	pendingCheckIns []pendingCheckIn
	// markingSilent is set while a proposal that marks servers as silent is pending.
	markingSilent bool
	// watchingHosts counts the entry hosts that send watch requests to this leader.
	watchingHosts *watchTracker
	// limits holds the rate limits that entry hosts reported to this leader.
	limits *limitTracker
	// suspects tracks the suspicions against requests on routes.
	suspects *suspectTracker
	// heldWatches are the watch requests without a reply yet, the oldest first.
	heldWatches []heldWatch
	// nextWatchCheck is when the held watch requests are checked next.
	nextWatchCheck time.Duration
	// changingView is set while a proposed change of the view is pending.
	changingView bool
	// repairReason says why the membership is being changed or why a change waits.
	repairReason string
	// loggedMembers is the membership in the last log line about it.
	loggedMembers string
	// lastSnapshot describes the last snapshot or the last attempt to make one.
	lastSnapshot snapshotProgress
	// lastStep is when the last iteration of the loop began.
	lastStep time.Duration
	// nextMaintenance and nextHello are when maintenance on the leader and hellos from
	// a host without a leader are due next.
	nextMaintenance time.Duration
	nextHello       time.Duration
	// fatalErr is set when a message shows that the log on disk is corrupt. It ends
	// the loop.
	fatalErr error
	// runCtx ends when the host has to stop.
	runCtx context.Context
}

// newLoop returns a loop that resumes from the state of the journal.
func newLoop(settings Settings, journal *journaler.Journal, state journaler.State, logger *log.Logger, scope tally.Scope) (*loop, error) {
	snapshot, err := decodeSnapshot(state.Snapshot)
	if err != nil {
		return nil, err
	}
	l := &loop{
		settings:         settings,
		log:              logger,
		scope:            scope,
		start:            time.Now(),
		journal:          journal,
		keeper:           keeper.New(settings.CheckDocument),
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]func(bool){},
		entryHosts:       newEntryTracker(0),

		checkIns:      newCheckInTracker(0),
		watchingHosts: newWatchTracker(0),
		limits:        newLimitTracker(),
		suspects:      newSuspectTracker(),
		hellos:        hellos{},
		formats:       formats{},
		lastSnapshot:  snapshotProgress{index: snapshot.Index, snapshotBytes: len(snapshot.Data)},
	}
	if snapshot.Index > 0 {
		if err := l.restoreKeeper(snapshot.Data); err != nil {
			return nil, err
		}
	}
	l.core, err = replicator.New(coreConfig(settings, state, snapshot))
	if err != nil {
		return nil, err
	}
	l.status = l.core.Status()
	l.observedStatus = l.status
	return l, l.checkFolderOwner()
}

// checkFolderOwner returns an error if the membership assigns the folder's identity to
// another host.
func (l *loop) checkFolderOwner() error {
	for _, m := range l.status.Members {
		if m.ID == l.status.ID && m.Name != l.settings.Name {
			return errors.Wrapf(journaler.ErrForeign, "id %d belongs to host %s", m.ID, m.Name)
		}
	}
	return nil
}

// now returns the time since the loop was created. All times of the loop have this
// base.
func (l *loop) now() time.Duration { return time.Since(l.start) }

// run handles events until ctx ends. It returns an error when the durable state can no
// longer be trusted or extended.
func (l *loop) run(ctx context.Context, queue <-chan event) error {
	l.runCtx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-queue:
			e(l)
			l.handleQueued(queue)
		case <-ticker.C:
		}
		if err := l.step(); err != nil {
			if errors.Is(err, journaler.ErrDiskFull) && ctx.Err() != nil {
				// What has not been stored has not been acknowledged either.
				l.log.Warn("stopping while the disk is full", "err", err)
				return nil
			}
			l.log.Error("control loop failed; stopping", "err", err)
			return err
		}
	}
}

// handleQueued handles the events that are already in the queue.
func (l *loop) handleQueued(queue <-chan event) {
	for range maxEventsPerSync - 1 {
		select {
		case e := <-queue:
			e(l)
		default:
			return
		}
	}
}

// step advances the core's clock, processes the work that the core has ready and runs
// the periodic tasks.
func (l *loop) step() error {
	now := l.now()
	if now-l.lastStep > pauseThreshold {
		l.entryHosts.resetSilence(now)
		l.checkIns.resetSilence(now)
	}
	l.lastStep = now
	l.proposeCheckIns()
	l.core.Tick(now)
	if err := l.processReady(); err != nil {
		return err
	}
	l.runPeriodicTasks(now)
	return l.processReady()
}

// processReady handles Readys until the core has nothing more to do.
func (l *loop) processReady() error {
	for l.fatalErr == nil {
		r := l.core.Ready()
		if r.Empty() {
			break
		}
		if err := l.handleReady(r); err != nil {
			return err
		}
		replies := l.deferredReplies
		l.deferredReplies = nil
		for _, reply := range replies {
			reply()
		}
	}
	l.observeStatus()
	return l.fatalErr
}

// handleReady does the work of one Ready in the order that the core requires.
func (l *loop) handleReady(r replicator.Ready) error {
	if err := l.saveReady(r); err != nil {
		return err
	}
	l.status = l.core.Status()
	for _, m := range r.Messages {
		l.sendMessage(m)
	}
	if err := l.applyReady(r); err != nil {
		return err
	}
	for _, read := range r.ConfirmedReads {
		l.finishRead(read.Context, true)
	}
	for _, context := range r.LostReads {
		l.finishRead(context, false)
	}
	for _, p := range r.LostProposals {
		l.finishProposal(p.Index, p.Term, keeper.Result{}, errLeaderChanged)
	}
	l.core.Advance(r)
	return l.compactIfDue()
}

// saveReady writes what the Ready holds to the journal. While the disk is full it waits
// and retries until the host has to stop.
func (l *loop) saveReady(r replicator.Ready) error {
	if !r.MustSync {
		return nil
	}
	b, err := journalBatch(r)
	if err != nil {
		return err
	}
	defer l.scope.Timer("save").Start().Stop()
	err = l.journal.Save(b)
	if errors.Is(err, journaler.ErrDiskFull) {
		l.log.Error("disk is full; retrying until there is space", "err", err)
	}
	// Nothing was stored, so nothing may be sent. While this host waits, the other
	// hosts elect another leader.
	for errors.Is(err, journaler.ErrDiskFull) && l.runCtx.Err() == nil {
		time.Sleep(diskFullRetryDelay)
		err = l.journal.Save(b)
	}
	return err
}

// restoreKeeper replaces the state machine's state with that of a snapshot.
func (l *loop) restoreKeeper(data []byte) error {
	if err := l.keeper.Restore(data); err != nil {
		return err
	}
	if n := l.keeper.SkippedRegistrations(); n > 0 {
		l.scope.Counter("registrations_skipped").Inc(int64(n))
		l.log.Error("ignored invalid registrations of backend servers in a snapshot", "count", n)
	}
	return nil
}

// applyReady restores the Ready's snapshot and applies its committed entries.
func (l *loop) applyReady(r replicator.Ready) error {
	if r.Snapshot != nil {
		if err := l.restoreKeeper(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot from the leader")
		}
		l.lastSnapshot = snapshotProgress{index: r.Snapshot.Index, snapshotBytes: len(r.Snapshot.Data)}
		l.log.Info("restored a snapshot from the leader", "index", r.Snapshot.Index, "bytes", len(r.Snapshot.Data))
	}
	for _, e := range r.CommittedEntries {
		if err := l.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry applies one committed entry to the state machine and completes the
// proposal that made it, if this host proposed it.
func (l *loop) applyEntry(e replicator.Entry) error {
	l.lastSnapshot.logBytes += len(e.Data)
	var result keeper.Result
	if e.Kind == replicator.EntryNormal {
		result = l.keeper.Apply(e.Index, e.Data)
	}
	if errors.Is(result.Err, keeper.ErrUnknownCommand) {
		return errors.Wrapf(result.Err, "apply entry %d", e.Index)
	}
	if result.ViewChanged {
		v := l.keeper.View()
		l.log.Info("new view of the entry hosts", "view", v.GetNumber(), "hosts", len(v.GetMembers()))
	}
	if e.Kind == replicator.EntryMembers {
		l.logMembers()
	}
	l.finishProposal(e.Index, e.Term, result, nil)
	return nil
}

// finishProposal reports the outcome to the proposer of the entry at index. A
// different term means that another entry has replaced it.
func (l *loop) finishProposal(index, term uint64, result keeper.Result, err error) {
	w, ok := l.pendingProposals[index]
	if !ok {
		return
	}
	delete(l.pendingProposals, index)
	if w.term != term {
		result, err = keeper.Result{}, errLeaderChanged
	}
	l.deferredReplies = append(l.deferredReplies, func() { w.done(result, err) })
}

// finishRead reports to the caller of a read whether leadership was confirmed.
func (l *loop) finishRead(context uint64, confirmed bool) {
	if f, ok := l.pendingReads[context]; ok {
		delete(l.pendingReads, context)
		l.deferredReplies = append(l.deferredReplies, func() { f(confirmed) })
	}
}

// compactIfDue makes a snapshot and drops the log that it covers when that is due. On a
// full disk the log is kept and the next attempt is made when another snapshot would be
// due.
func (l *loop) compactIfDue() error {
	applied := l.core.State().AppliedIndex
	if !l.lastSnapshot.due(applied, l.settings.SnapshotEvery) {
		return nil
	}
	data, err := l.keeper.Snapshot()
	if err != nil {
		return err
	}
	l.lastSnapshot = snapshotProgress{index: applied, snapshotBytes: len(data)}
	snapshot, err := l.core.Compact(applied, data)
	if err != nil {
		return errors.Wrap(err, "compact log")
	}
	stored, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	err = l.journal.Compact(stored)
	if errors.Is(err, journaler.ErrDiskFull) {
		l.log.Error("disk is full; snapshot not stored", "index", applied, "err", err)
		return nil
	}
	l.log.Debug("wrote a snapshot", "index", applied, "bytes", len(data))
	return err
}

// sendMessage queues a message for its receiver. Messages to ids without a known
// address are dropped.
func (l *loop) sendMessage(m replicator.Message) {
	name, addr, ok := l.addressOf(m.To)
	if !ok {
		l.scope.Counter("messages_dropped").Inc(1)
		return
	}
	l.senders.enqueue(addr, outgoingMessage{receiver: name, message: m})
}

// addressOf returns the name and the address of the host with an id. The settings take
// precedence over the membership, so that a host can move to another address.
func (l *loop) addressOf(id uint64) (string, netip.AddrPort, bool) {
	name, addr := l.hellos.hostOfID(id), netip.AddrPort{}
	for _, m := range l.status.Members {
		if m.ID == id {
			name, addr = m.Name, m.Address
		}
	}
	if last, ok := l.hellos[name]; ok && !addr.IsValid() {
		addr = last.address
	}
	if h, ok := l.settings.hostByName(name); ok {
		addr = h.Address
	}
	return name, addr, addr.IsValid()
}

// isLeader reports whether this host is the leader, as far as it knows.
func (l *loop) isLeader() bool { return l.core.State().Role == replicator.RoleLeader }

// leaderAddress returns the address of the leader. It is empty if the leader is
// unknown or is this host.
func (l *loop) leaderAddress() string {
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

// confirmLeadership calls f with true once this host is known to have led after the
// time of the call, or with false if it does not lead. This is the read confirmation
// that a reply from the replicated state needs.
func (l *loop) confirmLeadership(f func(confirmed bool)) {
	l.lastReadID++
	if err := l.core.ReadIndex(l.now(), l.lastReadID); err != nil {
		f(false)
		return
	}
	l.pendingReads[l.lastReadID] = f
}

// propose appends a command to the log and calls done with its outcome. After an error
// from the core nothing was appended.
func (l *loop) propose(c *messenger.Command, done func(keeper.Result, error)) {
	data, err := encodeCommand(c)
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
	l.pendingProposals[index] = pendingProposal{term: term, done: done}
}

// observeStatus updates the metrics and follows changes of leadership. A new leader
// starts without knowledge of entry hosts and backend servers.
func (l *loop) observeStatus() {
	last := l.observedStatus
	l.status = l.core.Status()
	l.observedStatus = l.status
	s := l.observedStatus
	l.scope.Gauge("term").Update(float64(s.Term))
	l.scope.Gauge("applied").Update(float64(s.AppliedIndex))
	if l.storeMemberAddresses != nil && (s.Leader != last.Leader || len(s.Members) != len(last.Members) || s.Term != last.Term) {
		l.storeMemberAddresses(memberAddresses(s))
	}
	if s.Role == last.Role && s.Term == last.Term && s.Leader == last.Leader {
		return
	}
	if s.Role == replicator.RoleLeader {
		l.entryHosts = newEntryTracker(l.now())
		l.checkIns = newCheckInTracker(l.now())
		l.watchingHosts = newWatchTracker(l.now())
		l.limits = newLimitTracker()
		l.suspects = newSuspectTracker()
		l.repairReason = ""
		l.zeroRepeated = false
	}
	l.logRoleChange(last, s)
}

// logRoleChange logs how this host's role and leader in status s differ from last.
func (l *loop) logRoleChange(last, s replicator.Status) {
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

// encodeCommand sets the command's time to this host's and encodes it.
func encodeCommand(c *messenger.Command) ([]byte, error) {
	c.Time = timestamp()
	data, err := keeper.EncodeCommand(c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return data, nil
}
