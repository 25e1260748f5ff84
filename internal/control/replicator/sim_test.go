package replicator_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/replicator"
)

// Times of the simulation. They are short, so that a schedule covers many
// elections.
const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 25 * time.Millisecond
	simTick              = 5 * time.Millisecond
	simRepairInterval    = 50 * time.Millisecond
)

// simMaxMessageEntries bounds the entries of a message, so that a member that
// is behind needs many messages.
const simMaxMessageEntries = 3

// entriesPerSnapshot is how many entries a member applies between two
// snapshots.
const entriesPerSnapshot = 8

// simLimits are short for the same reason as the times of the simulation.
var simLimits = repairer.Limits{ReplaceAfter: 400 * time.Millisecond, HelloMaxAge: 100 * time.Millisecond, MaxLiveSilence: 150 * time.Millisecond}

// failer is the part of testing.T and rapid.T that the simulation uses.
type failer interface {
	Fatalf(format string, args ...any)
}

// disk is the durable state of a host, which survives a crash.
type disk struct {
	id        uint64
	hardState replicator.HardState
	snapshot  replicator.Snapshot
	entries   []replicator.Entry
}

// last returns the index of the last entry, or of the snapshot if there is
// none.
func (d *disk) last() uint64 {
	if n := len(d.entries); n > 0 {
		return d.entries[n-1].Index
	}
	return d.snapshot.Index
}

// term returns the term of the entry at index, and whether it is still on the
// disk.
func (d *disk) term(index uint64) (uint64, bool) {
	for _, e := range d.entries {
		if e.Index == index {
			return e.Term, true
		}
	}
	return d.snapshot.Term, index == d.snapshot.Index
}

// write replaces all entries from the index of e on by e.
func (d *disk) write(e replicator.Entry) {
	d.entries = slices.DeleteFunc(d.entries, func(old replicator.Entry) bool { return old.Index >= e.Index })
	d.entries = append(d.entries, e)
}

// compact saves a snapshot. An interrupted compaction keeps the entries that
// the snapshot covers.
func (d *disk) compact(s replicator.Snapshot, interrupted bool) {
	d.snapshot = s
	if !interrupted {
		d.entries = slices.DeleteFunc(d.entries, func(e replicator.Entry) bool { return e.Index <= s.Index })
	}
}

// host is one host with its current data folder and process.
type host struct {
	name      string
	disk      disk
	core      *replicator.Core // nil while the process is down
	startedAt time.Duration
	// suspended is set while the process is stopped. Its messages wait in
	// inbox.
	suspended bool
	inbox     []replicator.Message
	// writesBeforeCrash is how many more writes succeed before a crash, or -1
	// if none is planned.
	writesBeforeCrash int
	stateHash         uint64 // chained hash of everything applied
	applied           uint64
	pendingReads      map[uint64]readRequest
	// openProposals holds the proposals that are neither applied nor reported
	// as lost.
	openProposals map[entryID]bool
	// linkChanges counts how often the host was isolated or reconnected.
	linkChanges int
	isolated    bool
	// leaving is set once a planned stop of the host has begun.
	leaving bool
}

// timer is an action of a schedule at a set time.
type timer struct {
	at  time.Duration
	run func()
}

// readRequest is what the simulation knows when a read is requested, to check
// its confirmation later.
type readRequest struct {
	ackedIndex  uint64 // last write acknowledged by any host
	superseded  bool   // a later leader has already been elected
	linkChanges int
	isolated    bool // isolated, with other voters in the membership
}

// scheduledMessage is a message on its way through the network.
type scheduledMessage struct {
	deliverAt time.Duration
	message   replicator.Message
}

// entryID identifies an entry by index and term.
type entryID = replicator.Proposal

// entryContent is what log matching requires of every entry with the same
// entryID.
type entryContent struct {
	kind     replicator.EntryKind
	data     string
	prevTerm uint64
}

// sim runs a group of hosts over a faulty network. While it runs, it checks the
// properties that must hold under every schedule of faults.
type sim struct {
	t      failer
	rng    *rand.Rand
	now    time.Duration
	timers []timer
	hosts  []*host
	// limits are those of the repairs, electionTimeout and heartbeatInterval those of
	// the cores.
	limits            repairer.Limits
	electionTimeout   time.Duration
	heartbeatInterval time.Duration

	nextID   uint64
	inFlight []scheduledMessage
	// blockedLinks holds pairs of host names of which the first cannot reach
	// the second.
	blockedLinks  map[[2]string]bool
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	lastRepair    time.Duration
	lastContext   uint64
	writeCount    int
	eventCounts   map[string]int

	leaderByTerm     map[uint64]uint64           // id by term
	contentByID      map[entryID]entryContent    // all entries ever written to a disk
	committedByIndex map[uint64]replicator.Entry // by index
	stateByIndex     map[uint64]uint64           // hash of the state after each index
	topCommitted     uint64                      // last index committed anywhere
	ackedIndex       uint64
	newestLedTerm    uint64          // newest term with a leader
	madeVoters       map[uint64]bool // ids that a leader has made voters
}

// newSim starts size hosts. The first initialVoters of them form a group, the
// others have empty data folders.
func newSim(t failer, seed uint64, size, initialVoters int, options ...func(*sim)) *sim {
	s := &sim{
		t:      t,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		nextID: 100,
		limits: simLimits,

		electionTimeout:   simElectionTimeout,
		heartbeatInterval: simHeartbeatInterval,

		blockedLinks:     map[[2]string]bool{},
		maxDelay:         2 * time.Millisecond,
		eventCounts:      map[string]int{},
		leaderByTerm:     map[uint64]uint64{},
		contentByID:      map[entryID]entryContent{},
		committedByIndex: map[uint64]replicator.Entry{},
		stateByIndex:     map[uint64]uint64{1: 0},
		madeVoters:       map[uint64]bool{},
	}
	for _, o := range options {
		o(s)
	}
	first := replicator.Snapshot{Index: 1, Term: 1, Data: []byte("0")}
	for i := range size {
		h := &host{name: fmt.Sprintf("h%d", i), disk: disk{id: uint64(i + 1)}, writesBeforeCrash: -1}
		if i < initialVoters {
			s.madeVoters[h.disk.id] = true
			first.Members = append(first.Members, replicator.Member{ID: h.disk.id, Name: h.name, Voter: true})
		}
		s.hosts = append(s.hosts, h)
	}
	for i, h := range s.hosts {
		if i < initialVoters {
			h.disk.snapshot = first
		}
		s.startHost(h)
	}
	return s
}

// startHost starts the process of a host on its disk.
func (s *sim) startHost(h *host) {
	core, err := replicator.New(replicator.Config{
		ID:                 h.disk.id,
		HardState:          h.disk.hardState,
		Snapshot:           h.disk.snapshot,
		Entries:            slices.Clone(h.disk.entries),
		ElectionTimeout:    s.electionTimeout,
		HeartbeatInterval:  s.heartbeatInterval,
		Rand:               rand.New(rand.NewPCG(s.rng.Uint64(), 0)),
		MaxMessageEntries:  simMaxMessageEntries,
		MaxInflightAppends: 2,
		TrailingEntries:    4,
	})
	if err != nil {
		s.t.Fatalf("host %s cannot start: %v", h.name, err)
	}
	h.core = core
	h.startedAt = s.now
	h.pendingReads = map[uint64]readRequest{}
	h.openProposals = map[entryID]bool{}
	s.restoreSnapshot(h, h.disk.snapshot)
}

// restoreSnapshot sets the state machine to a snapshot and checks that every
// member has the same state at that index.
func (s *sim) restoreSnapshot(h *host, snap replicator.Snapshot) {
	h.applied = snap.Index
	h.stateHash = 0
	if snap.Index == 0 {
		return
	}
	if _, err := fmt.Sscan(string(snap.Data), &h.stateHash); err != nil {
		s.t.Fatalf("snapshot of %s: %v", h.name, err)
	}
	if want, ok := s.stateByIndex[snap.Index]; !ok || want != h.stateHash {
		s.t.Fatalf("snapshot of %s at %d differs from what was applied", h.name, snap.Index)
	}
}

// crash ends the process of a host without losing its disk.
func (s *sim) crash(h *host) {
	h.core = nil
	h.suspended = false
	h.inbox = nil
	h.writesBeforeCrash = -1
}

// loseDisk crashes a host and restarts it with an empty data folder under a new
// id.
func (s *sim) loseDisk(h *host) {
	s.crash(h)
	s.nextID++
	h.disk = disk{id: s.nextID}
	s.startHost(h)
}

// localTime returns the time since the process of h started.
func (s *sim) localTime(h *host) time.Duration { return s.now - h.startedAt }

func (h *host) running() bool { return h.core != nil && !h.suspended }

// runFor advances the simulated time by d.
func (s *sim) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		s.runTimers()
		s.deliver()
		for _, h := range s.hosts {
			if h.running() {
				h.core.Tick(s.localTime(h))
				s.handleReadys(h)
			}
		}
		if s.now >= s.lastRepair+simRepairInterval {
			s.lastRepair = s.now
			s.runRepairs()
		}
	}
}

// after schedules an action.
func (s *sim) after(d time.Duration, run func()) {
	s.timers = append(s.timers, timer{at: s.now + d, run: run})
}

// runTimers runs the actions that are due.
func (s *sim) runTimers() {
	for i := 0; i < len(s.timers); i++ {
		if due := s.timers[i]; due.at <= s.now {
			s.timers = slices.Delete(s.timers, i, i+1)
			due.run()
			i = -1
		}
	}
}

// deliver hands all messages that are due to their receivers.
func (s *sim) deliver() {
	var due []scheduledMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(p scheduledMessage) bool {
		if p.deliverAt > s.now {
			return false
		}
		due = append(due, p)
		return true
	})
	slices.SortStableFunc(due, func(a, b scheduledMessage) int { return int(a.deliverAt - b.deliverAt) })
	for _, p := range due {
		from, to := s.byID(p.message.From), s.byID(p.message.To)
		if to == nil || to.core == nil || from != nil && s.blockedLinks[[2]string{from.name, to.name}] {
			continue
		}
		if to.suspended {
			to.inbox = append(to.inbox, p.message)
			continue
		}
		s.step(to, p.message)
	}
}

// step hands a message in its wire form to the core of h.
func (s *sim) step(h *host, m replicator.Message) {
	wire, err := replicator.FromWire(m.From, m.To, replicator.ToWire(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	if err := h.core.Step(s.localTime(h), wire); err != nil {
		s.t.Fatalf("host %s: %v", h.name, err)
	}
	s.handleReadys(h)
}

func (s *sim) byID(id uint64) *host {
	for _, h := range s.hosts {
		if h.disk.id == id {
			return h
		}
	}
	return nil
}

// handleReadys handles Readys until the core of h has no work left. A host with
// a limit on its writes crashes when it reaches the limit, and loses the rest.
func (s *sim) handleReadys(h *host) {
	for h.core != nil {
		s.checkLeader(h)
		r := h.core.Ready()
		if r.Empty() {
			return
		}
		if !s.persist(h, r) {
			s.eventCounts["crash while writing"]++
			s.crash(h)
			return
		}
		s.checkVotes(h, r.Messages)
		for _, m := range r.Messages {
			s.sendMessage(m)
		}
		s.apply(h, r)
		s.checkReads(h, r)
		h.core.Advance(r)
		s.compact(h)
	}
}

// persist writes r to the disk and reports whether all of it was written.
func (s *sim) persist(h *host, r replicator.Ready) bool {
	if r.OverwriteFrom != 0 && (len(r.Entries) == 0 || r.OverwriteFrom != r.Entries[0].Index || r.OverwriteFrom > h.disk.last()) {
		s.t.Fatalf("host %s: overwrite from %d, log ends at %d", h.name, r.OverwriteFrom, h.disk.last())
	}
	if r.Snapshot == nil && len(r.Entries) > 0 && r.OverwriteFrom == 0 && r.Entries[0].Index != h.disk.last()+1 {
		s.t.Fatalf("host %s: entry %d does not follow %d", h.name, r.Entries[0].Index, h.disk.last())
	}
	if r.Snapshot != nil {
		if !h.allowWrite() {
			return false
		}
		s.eventCounts["snapshot installed"]++
		h.disk.snapshot = *r.Snapshot
		if !h.allowWrite() {
			return false
		}
		h.disk.entries = nil
	}
	for _, e := range r.Entries {
		if !h.allowWrite() {
			return false
		}
		s.checkEntry(h, e)
		h.disk.write(e)
	}
	if r.HardState == (replicator.HardState{}) || !r.MustSync && s.rng.IntN(2) == 0 {
		return true
	}
	if !h.allowWrite() {
		return false
	}
	h.disk.hardState = r.HardState
	return true
}

// allowWrite counts one write and reports whether it succeeds.
func (h *host) allowWrite() bool {
	if h.writesBeforeCrash < 0 {
		return true
	}
	h.writesBeforeCrash--
	return h.writesBeforeCrash >= 0
}

// sendMessage schedules the delivery of m, which may be lost, duplicated or
// delayed.
func (s *sim) sendMessage(m replicator.Message) {
	if len(m.Entries) > simMaxMessageEntries {
		s.t.Fatalf("member %d sends %d entries at once", m.From, len(m.Entries))
	}
	copies := 1
	if s.rng.Float64() < s.lossRate {
		copies = 0
	} else if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		s.inFlight = append(s.inFlight, scheduledMessage{deliverAt: s.now + time.Duration(s.rng.Int64N(int64(s.maxDelay))), message: m})
	}
}

// apply applies the committed entries and checks that every host reaches the
// same state at each index.
func (s *sim) apply(h *host, r replicator.Ready) {
	if r.Snapshot != nil {
		s.restoreSnapshot(h, *r.Snapshot)
	}
	for _, e := range r.CommittedEntries {
		if e.Index != h.applied+1 {
			s.t.Fatalf("host %s applies entry %d after %d", h.name, e.Index, h.applied)
		}
		s.checkCommitted(h, e)
		h.applied = e.Index
		h.stateHash = chainHash(h.stateHash, e)
		if want, ok := s.stateByIndex[e.Index]; ok && want != h.stateHash {
			s.t.Fatalf("host %s differs from others at %d", h.name, e.Index)
		}
		s.stateByIndex[e.Index] = h.stateHash
	}
	for _, e := range r.CommittedEntries {
		if at := (entryID{Index: e.Index, Term: e.Term}); h.openProposals[at] {
			delete(h.openProposals, at)
			s.ackedIndex = max(s.ackedIndex, e.Index)
			s.eventCounts["write acknowledged"]++
		}
	}
}

// chainHash returns the state after e: a hash of the state before and the
// entry.
func chainHash(state uint64, e replicator.Entry) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprint(f, state, e.Index, e.Term, e.Kind, string(e.Data))
	return f.Sum64()
}

// checkReads checks the confirmed reads of r against what was known when they
// were requested, and drops the reads and proposals that r reports as lost.
func (s *sim) checkReads(h *host, r replicator.Ready) {
	for _, read := range r.ConfirmedReads {
		a, ok := h.pendingReads[read.Context]
		if !ok {
			s.t.Fatalf("host %s confirms a read that nobody waits for", h.name)
		}
		delete(h.pendingReads, read.Context)
		s.eventCounts["read confirmed"]++
		switch {
		case read.Index > h.applied:
			s.t.Fatalf("host %s confirms a read at %d, but has applied %d", h.name, read.Index, h.applied)
		case read.Index < a.ackedIndex:
			s.t.Fatalf("host %s confirms a read at %d, but %d was acknowledged before it", h.name, read.Index, a.ackedIndex)
		case a.superseded:
			s.t.Fatalf("host %s confirms a read that was requested after a later leader was elected", h.name)
		case a.isolated && a.linkChanges == h.linkChanges:
			s.t.Fatalf("host %s confirms a read while isolated", h.name)
		}
	}
	for _, context := range r.LostReads {
		if _, ok := h.pendingReads[context]; !ok {
			s.t.Fatalf("host %s loses a read that nobody waits for", h.name)
		}
		delete(h.pendingReads, context)
		s.eventCounts["read lost"]++
	}
	for _, p := range r.LostProposals {
		s.eventCounts["proposal lost"]++
		delete(h.openProposals, p)
	}
	if h.core.State().Role != replicator.RoleLeader && len(h.pendingReads)+len(h.openProposals) > 0 {
		s.t.Fatalf("host %s stopped leading and forgot reads %v or proposals %v", h.name, h.pendingReads, h.openProposals)
	}
}

// compact makes a snapshot when one is due. It may not reach the disk.
func (s *sim) compact(h *host) {
	if h.core == nil || h.applied < h.disk.snapshot.Index+entriesPerSnapshot {
		return
	}
	snap, err := h.core.Compact(h.applied, fmt.Append(nil, h.stateHash))
	if errors.Is(err, replicator.ErrCompacted) {
		return // an earlier snapshot at this index never reached the disk
	}
	if err != nil {
		s.t.Fatalf("host %s: %v", h.name, err)
	}
	if s.rng.IntN(4) > 0 {
		h.disk.compact(snap, s.rng.IntN(2) == 0)
	}
}

// checkLeader checks that no other member leads the same term and that the
// leader holds every committed entry.
func (s *sim) checkLeader(h *host) {
	st := h.core.State()
	if st.Role != replicator.RoleLeader {
		return
	}
	if id, ok := s.leaderByTerm[st.Term]; ok {
		if id != st.ID {
			s.t.Fatalf("members %d and %d both lead term %d", id, st.ID, st.Term)
		}
		return
	}
	s.leaderByTerm[st.Term] = st.ID
	s.newestLedTerm = max(s.newestLedTerm, st.Term)
	s.eventCounts["leader elected"]++
	// A leader of an earlier term may receive its votes only after a later
	// leader has committed more entries, so it need not hold them.
	if st.Term == s.newestLedTerm && !s.holdsCommitted(&h.disk, s.topCommitted) {
		s.t.Fatalf("member %d leads term %d without the committed entry %d", st.ID, st.Term, s.topCommitted)
	}
}

// holdsCommitted reports whether a disk holds the committed entry at index and
// therefore, by log matching, all entries before it.
func (s *sim) holdsCommitted(d *disk, index uint64) bool {
	if index <= d.snapshot.Index {
		return true
	}
	term, ok := d.term(index)
	return ok && term == s.committedByIndex[index].Term
}

// checkEntry checks log matching: two entries with the same index and term are
// equal and follow entries of the same term.
func (s *sim) checkEntry(h *host, e replicator.Entry) {
	prev, ok := h.disk.term(e.Index - 1)
	if e.Index == 1 {
		ok = true
	}
	if !ok {
		s.t.Fatalf("host %s writes entry %d after a gap", h.name, e.Index)
	}
	got := entryContent{kind: e.Kind, data: string(e.Data), prevTerm: prev}
	at := entryID{Index: e.Index, Term: e.Term}
	if want, ok := s.contentByID[at]; ok && want != got {
		s.t.Fatalf("host %s writes %+v at %+v, but another disk holds %+v", h.name, got, at, want)
	}
	s.contentByID[at] = got
}

// checkCommitted checks that no other entry was committed at the index of e.
func (s *sim) checkCommitted(h *host, e replicator.Entry) {
	old, ok := s.committedByIndex[e.Index]
	if ok && (old.Term != e.Term || old.Kind != e.Kind || string(old.Data) != string(e.Data)) {
		s.t.Fatalf("host %s commits %+v, but %+v was committed", h.name, e, old)
	}
	s.committedByIndex[e.Index] = e
	s.topCommitted = max(s.topCommitted, e.Index)
}

// checkVotes checks that only members that a leader has made voters grant
// votes, and that a vote is on disk before it is sent.
func (s *sim) checkVotes(h *host, messages []replicator.Message) {
	for _, m := range messages {
		if m.Kind != replicator.MessageVoteReply || m.Reject {
			continue
		}
		if !s.madeVoters[h.disk.id] {
			s.t.Fatalf("member %d votes without having been made a voter", h.disk.id)
		}
		if h.disk.hardState.Term != m.Term || h.disk.hardState.Vote != m.To {
			s.t.Fatalf("member %d sends a vote that is not on its disk", h.disk.id)
		}
	}
}

// runRepairs lets every host that believes it is the leader propose the next
// membership change of a repair.
func (s *sim) runRepairs() {
	hosts := s.repairerHosts()
	for _, h := range s.hosts {
		if !h.running() || h.core.State().Role != replicator.RoleLeader {
			continue
		}
		st := h.core.Status()
		ch, ok := repairer.NextChange(s.limits, hosts, st, s.hellos(h)).Change.Get()
		if !ok {
			continue
		}
		err := h.core.ProposeChange(s.localTime(h), ch)
		if errors.Is(err, replicator.ErrNoCommitInTerm) {
			continue
		}
		if err != nil {
			s.t.Fatalf("host %s: %v", h.name, err)
		}
		s.eventCounts[ch.Kind.String()]++
		if ch.Kind == replicator.MakeVoter || ch.Kind == replicator.ReplaceVoter {
			s.checkPromotion(ch.Member.ID, st.CommitIndex)
		}
		s.handleReadys(h)
	}
}

// repairerHosts returns the hosts that may join the group.
func (s *sim) repairerHosts() []repairer.Host {
	var hosts []repairer.Host
	for _, h := range s.hosts {
		hosts = append(hosts, repairer.Host{Name: h.name})
	}
	return hosts
}

// checkPromotion records that a member was made a voter, and checks that it
// holds all entries committed at that time.
func (s *sim) checkPromotion(id, commit uint64) {
	s.madeVoters[id] = true
	if h := s.byID(id); h != nil && !s.holdsCommitted(&h.disk, commit) {
		s.t.Fatalf("member %d is made a voter without the committed entry %d", id, commit)
	}
}

// hellos returns the hellos of the hosts that can reach h, and of h itself.
func (s *sim) hellos(h *host) []repairer.Hello {
	hellos := []repairer.Hello{{Name: h.name, ID: h.disk.id, Leaving: h.leaving}}
	for _, other := range s.hosts {
		if other != h && other.running() && !s.blockedLinks[[2]string{other.name, h.name}] {
			hellos = append(hellos, repairer.Hello{Name: other.name, ID: other.disk.id, Leaving: other.leaving})
		}
	}
	return hellos
}

// propose proposes a new write at h and reports whether h accepted it.
func (s *sim) propose(h *host) bool {
	if !h.running() {
		return false
	}
	s.writeCount++
	index, term, err := h.core.Propose(s.localTime(h), fmt.Append(nil, "w", s.writeCount))
	if err != nil {
		return false
	}
	h.openProposals[entryID{Index: index, Term: term}] = true
	s.handleReadys(h)
	return true
}

// requestRead requests a read at h, unless h does not lead.
func (s *sim) requestRead(h *host) {
	if !h.running() {
		return
	}
	s.lastContext++
	if h.core.ReadIndex(s.localTime(h), s.lastContext) != nil {
		return
	}
	st := h.core.Status()
	h.pendingReads[s.lastContext] = readRequest{
		ackedIndex:  s.ackedIndex,
		superseded:  st.Term < s.newestLedTerm,
		linkChanges: h.linkChanges,
		isolated:    h.isolated && voterCount(st) > 1,
	}
	s.handleReadys(h)
}

func voterCount(st replicator.Status) int {
	n := 0
	for _, m := range st.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// isolate blocks all links of h.
func (s *sim) isolate(h *host) {
	for _, other := range s.hosts {
		if other != h {
			s.blockedLinks[[2]string{h.name, other.name}] = true
			s.blockedLinks[[2]string{other.name, h.name}] = true
		}
	}
	h.isolated = true
	h.linkChanges++
}

// healNetwork unblocks all links.
func (s *sim) healNetwork() {
	clear(s.blockedLinks)
	for _, h := range s.hosts {
		h.isolated = false
		h.linkChanges++
	}
}

// resume continues a suspended process. Its clock has jumped, and the messages
// that waited arrive at once, either before or after its first tick.
func (s *sim) resume(h *host) {
	if !h.suspended {
		return
	}
	h.suspended = false
	if s.rng.IntN(2) == 0 {
		h.core.Tick(s.localTime(h))
		s.handleReadys(h)
	}
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		if h.core != nil {
			s.step(h, m)
		}
	}
}

// leader returns the running leader of the newest term, or nil.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.core != nil && s.leaderByTerm[s.newestLedTerm] == h.disk.id && h.core.State().Role == replicator.RoleLeader {
			return h
		}
	}
	return nil
}

// canLoseDisk reports whether the group survives the loss of the disk of h: no
// membership change is pending, and a majority of the voters keeps its disks. A group
// with a reserve may be about to replace a voter, so that the disks of all its members
// count.
func (s *sim) canLoseDisk(h *host) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	st := l.core.Status()
	if st.ChangePending || st.CommitIndex < s.topCommitted {
		return false
	}
	if s.limits.Voters > 0 && (s.membersWithDisk(l) < len(st.Members) || len(st.Members) < len(s.hosts)) {
		return false
	}
	keepsMajority := func(excluded func(replicator.MemberStatus) bool) bool {
		voters, intact := 0, 0
		for _, m := range st.Members {
			if !m.Voter || excluded(m) {
				continue
			}
			voters++
			if s.byID(m.ID) != nil && m.ID != h.disk.id {
				intact++
			}
		}
		return intact > voters/2
	}
	return keepsMajority(func(m replicator.MemberStatus) bool { return m.Incoming }) && keepsMajority(func(m replicator.MemberStatus) bool { return m.Outgoing })
}

// endFaults heals the network, resumes suspended processes and restarts crashed
// ones.
func (s *sim) endFaults() {
	s.healNetwork()
	s.lossRate, s.duplicateRate, s.maxDelay = 0, 0, 2*time.Millisecond
	for _, h := range s.hosts {
		h.writesBeforeCrash = -1
		h.leaving = false
	}
	s.resumeAll()
	s.startStopped()
}

func (s *sim) resumeAll() {
	for _, h := range s.hosts {
		s.resume(h)
	}
}

func (s *sim) startStopped() {
	for _, h := range s.hosts {
		if h.core == nil {
			s.startHost(h)
		}
	}
}

// requireRecovery ends all faults and waits until all hosts are voters under
// their current ids and a new write is committed. The test fails if this takes
// too long.
func (s *sim) requireRecovery() {
	s.endFaults()
	for range 100 {
		s.runFor(100 * time.Millisecond)
		if s.hasConverged() {
			return
		}
	}
	for _, h := range s.hosts {
		s.eventCounts[fmt.Sprintf("%s %+v", h.name, h.core.Status())] = 1
	}
	s.t.Fatalf("the group does not recover: %v", s.eventCounts)
}

// hasConverged commits a new write and reports whether all hosts are voters
// that have applied it.
func (s *sim) hasConverged() bool {
	l := s.leader()
	if l == nil || !s.propose(l) {
		return false
	}
	want := s.writeCount
	s.runFor(200 * time.Millisecond)
	st := l.core.Status()
	voters := len(s.hosts)
	if s.limits.Voters > 0 {
		voters = min(voters, s.limits.Voters)
	}
	if len(st.Members) != len(s.hosts) || voterCount(st) != voters {
		return false
	}
	for _, h := range s.hosts {
		if !slices.ContainsFunc(st.Members, func(m replicator.MemberStatus) bool { return m.ID == h.disk.id }) {
			return false
		}
		if h.applied != s.topCommitted || h.stateHash != l.stateHash {
			return false
		}
	}
	return slices.ContainsFunc(l.disk.entries, func(e replicator.Entry) bool { return string(e.Data) == fmt.Sprint("w", want) }) || l.disk.snapshot.Index == s.topCommitted
}
