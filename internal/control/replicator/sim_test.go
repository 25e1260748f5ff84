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

// Times of the simulation. They are short to fit many elections into a
// schedule.
const (
	simElection = 100 * time.Millisecond
	simBeat     = 25 * time.Millisecond
	simTick     = 5 * time.Millisecond
	simRepair   = 50 * time.Millisecond
)

// simEntries bounds the entries of a message, so that catching up takes many.
const simEntries = 3

// compactAfter is how many entries a member applies between two snapshots.
const compactAfter = 8

var simLimits = repairer.Limits{ReplaceAfter: 400 * time.Millisecond, HelloMaxAge: 100 * time.Millisecond, LiveSilence: 150 * time.Millisecond}

// failer is the part of testing.T and rapid.T that the simulation uses.
type failer interface {
	Fatalf(format string, args ...any)
}

// disk is what survives a crash of a host.
type disk struct {
	id      uint64
	hard    replicator.HardState
	snap    replicator.Snapshot
	entries []replicator.Entry
}

func (d *disk) last() uint64 {
	if n := len(d.entries); n > 0 {
		return d.entries[n-1].Index
	}
	return d.snap.Index
}

// term returns the term of the entry at index and whether the disk still
// knows it.
func (d *disk) term(index uint64) (uint64, bool) {
	for _, e := range d.entries {
		if e.Index == index {
			return e.Term, true
		}
	}
	return d.snap.Term, index == d.snap.Index
}

func (d *disk) write(e replicator.Entry) {
	d.entries = slices.DeleteFunc(d.entries, func(old replicator.Entry) bool { return old.Index >= e.Index })
	d.entries = append(d.entries, e)
}

// compact saves a snapshot; a journal that was interrupted keeps the
// entries that the snapshot covers.
func (d *disk) compact(s replicator.Snapshot, interrupted bool) {
	d.snap = s
	if !interrupted {
		d.entries = slices.DeleteFunc(d.entries, func(e replicator.Entry) bool { return e.Index <= s.Index })
	}
}

// host is one host with its current folder and process.
type host struct {
	name string
	disk disk
	core *replicator.Core // nil while the process is down
	boot time.Duration
	// frozen is set while the process is stopped; its messages wait.
	frozen bool
	inbox  []replicator.Message
	// writes is how many more writes succeed before a crash, or -1.
	writes  int
	state   uint64 // chained hash of everything applied
	applied uint64
	reads   map[uint64]asked
	// open holds the proposals that are neither applied nor reported as lost.
	open map[position]bool
	// cut counts how often the host was isolated or reconnected.
	cut      int
	isolated bool
}

// asked is what the oracle knows of a read when it is asked.
type asked struct {
	acked uint64 // last write acknowledged to any caller
	stale bool   // a later leader had been elected already
	cut   int
	alone bool // isolated, with other voters in the membership
}

type packet struct {
	at time.Duration
	m  replicator.Message
}

type position = replicator.Proposal

// origin is what an entry at a position must always look like.
type origin struct {
	kind replicator.EntryKind
	data string
	prev uint64
}

// sim runs a group of hosts over a faulty network and checks, as it goes, what
// must hold under every schedule.
type sim struct {
	t      failer
	rng    *rand.Rand
	now    time.Duration
	hosts  []*host
	nextID uint64
	net    []packet
	// blocked holds pairs of hosts of which the first cannot reach the second.
	blocked  map[[2]string]bool
	loss     float64
	dup      float64
	delay    time.Duration
	repaired time.Duration
	contexts uint64
	writes   int
	counts   map[string]int

	leaders   map[uint64]uint64           // term to id
	entries   map[position]origin         // all entries ever written to a disk
	committed map[uint64]replicator.Entry // by index
	states    map[uint64]uint64           // state after each index
	top       uint64                      // last index committed anywhere
	acked     uint64
	topTerm   uint64          // newest term with a leader
	voters    map[uint64]bool // ids that a leader has made voters
}

// newSim starts size hosts, of which the first formed ones are the voters of a
// group and the others have empty folders.
func newSim(t failer, seed uint64, size, formed int) *sim {
	s := &sim{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		nextID:    100,
		blocked:   map[[2]string]bool{},
		delay:     2 * time.Millisecond,
		counts:    map[string]int{},
		leaders:   map[uint64]uint64{},
		entries:   map[position]origin{},
		committed: map[uint64]replicator.Entry{},
		states:    map[uint64]uint64{1: 0},
		voters:    map[uint64]bool{},
	}
	first := replicator.Snapshot{Index: 1, Term: 1, Data: []byte("0")}
	for i := range size {
		h := &host{name: fmt.Sprintf("h%d", i), disk: disk{id: uint64(i + 1)}, writes: -1}
		if i < formed {
			s.voters[h.disk.id] = true
			first.Members = append(first.Members, replicator.Member{ID: h.disk.id, Name: h.name, Voter: true})
		}
		s.hosts = append(s.hosts, h)
	}
	for i, h := range s.hosts {
		if i < formed {
			h.disk.snap = first
		}
		s.start(h)
	}
	return s
}

// start starts the process of a host on its disk.
func (s *sim) start(h *host) {
	core, err := replicator.New(replicator.Config{
		ID:                 h.disk.id,
		HardState:          h.disk.hard,
		Snapshot:           h.disk.snap,
		Entries:            slices.Clone(h.disk.entries),
		ElectionTimeout:    simElection,
		HeartbeatInterval:  simBeat,
		Rand:               rand.New(rand.NewPCG(s.rng.Uint64(), 0)),
		MaxMessageEntries:  simEntries,
		MaxInflightAppends: 2,
		TrailingEntries:    4,
	})
	if err != nil {
		s.t.Fatalf("host %s cannot start: %v", h.name, err)
	}
	h.core = core
	h.boot = s.now
	h.reads = map[uint64]asked{}
	h.open = map[position]bool{}
	s.restore(h, h.disk.snap)
}

// restore sets the state machine to a snapshot and checks that it is the state
// that every member reaches at that index.
func (s *sim) restore(h *host, snap replicator.Snapshot) {
	h.applied = snap.Index
	h.state = 0
	if snap.Index == 0 {
		return
	}
	if _, err := fmt.Sscan(string(snap.Data), &h.state); err != nil {
		s.t.Fatalf("snapshot of %s: %v", h.name, err)
	}
	if want, ok := s.states[snap.Index]; !ok || want != h.state {
		s.t.Fatalf("snapshot of %s at %d differs from what was applied", h.name, snap.Index)
	}
}

func (s *sim) crash(h *host) {
	h.core = nil
	h.frozen = false
	h.inbox = nil
	h.writes = -1
}

// wipe loses the disk of a host, which returns with an empty folder under a
// new id.
func (s *sim) wipe(h *host) {
	s.crash(h)
	s.nextID++
	h.disk = disk{id: s.nextID}
	s.start(h)
}

func (s *sim) local(h *host) time.Duration { return s.now - h.boot }

func (h *host) running() bool { return h.core != nil && !h.frozen }

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		s.deliver()
		for _, h := range s.hosts {
			if h.running() {
				h.core.Tick(s.local(h))
				s.pump(h)
			}
		}
		if s.now >= s.repaired+simRepair {
			s.repaired = s.now
			s.repair()
		}
	}
}

func (s *sim) deliver() {
	var due []packet
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		if p.at > s.now {
			return false
		}
		due = append(due, p)
		return true
	})
	slices.SortStableFunc(due, func(a, b packet) int { return int(a.at - b.at) })
	for _, p := range due {
		from, to := s.byID(p.m.From), s.byID(p.m.To)
		if to == nil || to.core == nil || from != nil && s.blocked[[2]string{from.name, to.name}] {
			continue
		}
		if to.frozen {
			to.inbox = append(to.inbox, p.m)
			continue
		}
		s.step(to, p.m)
	}
}

func (s *sim) step(h *host, m replicator.Message) {
	wire, err := replicator.FromWire(m.From, m.To, replicator.ToWire(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	if err := h.core.Step(s.local(h), wire); err != nil {
		s.t.Fatalf("host %s: %v", h.name, err)
	}
	s.pump(h)
}

func (s *sim) byID(id uint64) *host {
	for _, h := range s.hosts {
		if h.disk.id == id {
			return h
		}
	}
	return nil
}

// pump does everything that the core of h asks for. A host with a write limit
// crashes on the way and loses what it did not get to.
func (s *sim) pump(h *host) {
	for h.core != nil {
		s.checkLeader(h)
		r := h.core.Ready()
		if r.Empty() {
			return
		}
		if !s.persist(h, r) {
			s.counts["crash while writing"]++
			s.crash(h)
			return
		}
		s.checkVotes(h, r.Messages)
		for _, m := range r.Messages {
			s.post(m)
		}
		s.apply(h, r)
		s.answer(h, r)
		h.core.Advance(r)
		s.compact(h)
	}
}

// persist writes r to the disk and reports whether all of it got there.
func (s *sim) persist(h *host, r replicator.Ready) bool {
	if r.Overwrite != 0 && (len(r.Entries) == 0 || r.Overwrite != r.Entries[0].Index || r.Overwrite > h.disk.last()) {
		s.t.Fatalf("host %s: overwrite from %d, log ends at %d", h.name, r.Overwrite, h.disk.last())
	}
	if r.Snapshot == nil && len(r.Entries) > 0 && r.Overwrite == 0 && r.Entries[0].Index != h.disk.last()+1 {
		s.t.Fatalf("host %s: entry %d does not follow %d", h.name, r.Entries[0].Index, h.disk.last())
	}
	if r.Snapshot != nil {
		if !h.write() {
			return false
		}
		s.counts["snapshot installed"]++
		h.disk.snap = *r.Snapshot
		if !h.write() {
			return false
		}
		h.disk.entries = nil
	}
	for _, e := range r.Entries {
		if !h.write() {
			return false
		}
		s.checkEntry(h, e)
		h.disk.write(e)
	}
	if r.HardState == (replicator.HardState{}) || !r.MustSync && s.rng.IntN(2) == 0 {
		return true
	}
	if !h.write() {
		return false
	}
	h.disk.hard = r.HardState
	return true
}

func (h *host) write() bool {
	if h.writes < 0 {
		return true
	}
	h.writes--
	return h.writes >= 0
}

func (s *sim) post(m replicator.Message) {
	if len(m.Entries) > simEntries {
		s.t.Fatalf("member %d sends %d entries at once", m.From, len(m.Entries))
	}
	copies := 1
	if s.rng.Float64() < s.loss {
		copies = 0
	} else if s.rng.Float64() < s.dup {
		copies = 2
	}
	for range copies {
		s.net = append(s.net, packet{at: s.now + time.Duration(s.rng.Int64N(int64(s.delay))), m: m})
	}
}

func (s *sim) apply(h *host, r replicator.Ready) {
	if r.Snapshot != nil {
		s.restore(h, *r.Snapshot)
	}
	for _, e := range r.CommittedEntries {
		if e.Index != h.applied+1 {
			s.t.Fatalf("host %s applies entry %d after %d", h.name, e.Index, h.applied)
		}
		s.checkCommitted(h, e)
		h.applied = e.Index
		h.state = chain(h.state, e)
		if want, ok := s.states[e.Index]; ok && want != h.state {
			s.t.Fatalf("host %s differs from others at %d", h.name, e.Index)
		}
		s.states[e.Index] = h.state
	}
	for _, e := range r.CommittedEntries {
		if at := (position{Index: e.Index, Term: e.Term}); h.open[at] {
			delete(h.open, at)
			s.acked = max(s.acked, e.Index)
			s.counts["write acknowledged"]++
		}
	}
}

func chain(state uint64, e replicator.Entry) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprint(f, state, e.Index, e.Term, e.Kind, string(e.Data))
	return f.Sum64()
}

func (s *sim) answer(h *host, r replicator.Ready) {
	for _, read := range r.ConfirmedReads {
		a, ok := h.reads[read.Context]
		if !ok {
			s.t.Fatalf("host %s confirms a read that nobody waits for", h.name)
		}
		delete(h.reads, read.Context)
		s.counts["read confirmed"]++
		switch {
		case read.Index > h.applied:
			s.t.Fatalf("host %s confirms a read at %d, but has applied %d", h.name, read.Index, h.applied)
		case read.Index < a.acked:
			s.t.Fatalf("host %s confirms a read at %d, but %d was acknowledged before it", h.name, read.Index, a.acked)
		case a.stale:
			s.t.Fatalf("host %s confirms a read that was asked after a later leader was elected", h.name)
		case a.alone && a.cut == h.cut:
			s.t.Fatalf("host %s confirms a read while isolated", h.name)
		}
	}
	for _, context := range r.LostReads {
		if _, ok := h.reads[context]; !ok {
			s.t.Fatalf("host %s loses a read that nobody waits for", h.name)
		}
		delete(h.reads, context)
		s.counts["read lost"]++
	}
	for _, p := range r.LostProposals {
		s.counts["proposal lost"]++
		delete(h.open, p)
	}
	if h.core.State().Role != replicator.RoleLeader && len(h.reads)+len(h.open) > 0 {
		s.t.Fatalf("host %s stopped leading and forgot reads %v or proposals %v", h.name, h.reads, h.open)
	}
}

func (s *sim) compact(h *host) {
	if h.core == nil || h.applied < h.disk.snap.Index+compactAfter {
		return
	}
	snap, err := h.core.Compact(h.applied, fmt.Append(nil, h.state))
	if errors.Is(err, replicator.ErrCompacted) {
		return // an interrupted compaction that never reached the disk
	}
	if err != nil {
		s.t.Fatalf("host %s: %v", h.name, err)
	}
	if s.rng.IntN(4) > 0 {
		h.disk.compact(snap, s.rng.IntN(2) == 0)
	}
}

// checkLeader checks that a term has one leader and that a leader holds
// everything committed.
func (s *sim) checkLeader(h *host) {
	st := h.core.State()
	if st.Role != replicator.RoleLeader {
		return
	}
	if id, ok := s.leaders[st.Term]; ok {
		if id != st.ID {
			s.t.Fatalf("members %d and %d both lead term %d", id, st.ID, st.Term)
		}
		return
	}
	s.leaders[st.Term] = st.ID
	s.topTerm = max(s.topTerm, st.Term)
	s.counts["leader elected"]++
	// A leader of an old term may come to know of its votes late, after a
	// later leader has committed more.
	if st.Term == s.topTerm && !s.holds(&h.disk, s.top) {
		s.t.Fatalf("member %d leads term %d without the committed entry %d", st.ID, st.Term, s.top)
	}
}

// holds reports whether a disk holds the committed entry at index and so, by
// log matching, everything before it.
func (s *sim) holds(d *disk, index uint64) bool {
	if index <= d.snap.Index {
		return true
	}
	term, ok := d.term(index)
	return ok && term == s.committed[index].Term
}

// checkEntry checks log matching: entries of equal index and term are equal
// and follow an entry of equal term.
func (s *sim) checkEntry(h *host, e replicator.Entry) {
	prev, ok := h.disk.term(e.Index - 1)
	if e.Index == 1 {
		ok = true
	}
	if !ok {
		s.t.Fatalf("host %s writes entry %d after a gap", h.name, e.Index)
	}
	got := origin{kind: e.Kind, data: string(e.Data), prev: prev}
	at := position{Index: e.Index, Term: e.Term}
	if want, ok := s.entries[at]; ok && want != got {
		s.t.Fatalf("host %s writes %+v at %+v, but another disk holds %+v", h.name, got, at, want)
	}
	s.entries[at] = got
}

func (s *sim) checkCommitted(h *host, e replicator.Entry) {
	old, ok := s.committed[e.Index]
	if ok && (old.Term != e.Term || old.Kind != e.Kind || string(old.Data) != string(e.Data)) {
		s.t.Fatalf("host %s commits %+v, but %+v was committed", h.name, e, old)
	}
	s.committed[e.Index] = e
	s.top = max(s.top, e.Index)
}

// checkVotes checks that only ids that a leader has made voters grant votes.
func (s *sim) checkVotes(h *host, messages []replicator.Message) {
	for _, m := range messages {
		if m.Kind != replicator.MessageVoteReply || m.Reject {
			continue
		}
		if !s.voters[h.disk.id] {
			s.t.Fatalf("member %d votes without having been made a voter", h.disk.id)
		}
		if h.disk.hard.Term != m.Term || h.disk.hard.Vote != m.To {
			s.t.Fatalf("member %d sends a vote that is not on its disk", h.disk.id)
		}
	}
}

// repair lets every host that takes itself for the leader take the next step
// of a repair.
func (s *sim) repair() {
	var hosts []repairer.Host
	for _, h := range s.hosts {
		hosts = append(hosts, repairer.Host{Name: h.name})
	}
	for _, h := range s.hosts {
		if !h.running() || h.core.State().Role != replicator.RoleLeader {
			continue
		}
		st := h.core.Status()
		ch, ok := repairer.NextChange(simLimits, hosts, st, s.hellos(h)).Change.Get()
		if !ok {
			continue
		}
		err := h.core.ProposeChange(s.local(h), ch)
		if errors.Is(err, replicator.ErrNoCommitInTerm) {
			continue
		}
		if err != nil {
			s.t.Fatalf("host %s: %v", h.name, err)
		}
		s.counts[ch.Kind.String()]++
		if ch.Kind == replicator.MakeVoter {
			s.checkPromotion(ch.Member.ID, st.CommitIndex)
		}
		s.pump(h)
	}
}

func (s *sim) checkPromotion(id, commit uint64) {
	s.voters[id] = true
	if h := s.byID(id); h != nil && !s.holds(&h.disk, commit) {
		s.t.Fatalf("member %d is made a voter without the committed entry %d", id, commit)
	}
}

// hellos returns the ids that reach h.
func (s *sim) hellos(h *host) []repairer.Hello {
	var hellos []repairer.Hello
	for _, other := range s.hosts {
		if other != h && other.running() && !s.blocked[[2]string{other.name, h.name}] {
			hellos = append(hellos, repairer.Hello{Name: other.name, ID: other.disk.id})
		}
	}
	return hellos
}

// propose proposes a new write at h.
func (s *sim) propose(h *host) bool {
	if !h.running() {
		return false
	}
	s.writes++
	index, term, err := h.core.Propose(s.local(h), fmt.Append(nil, "w", s.writes))
	if err != nil {
		return false
	}
	h.open[position{Index: index, Term: term}] = true
	s.pump(h)
	return true
}

// read asks for a read at h.
func (s *sim) read(h *host) {
	if !h.running() {
		return
	}
	s.contexts++
	if h.core.ReadIndex(s.local(h), s.contexts) != nil {
		return
	}
	st := h.core.Status()
	h.reads[s.contexts] = asked{
		acked: s.acked,
		stale: st.Term < s.topTerm,
		cut:   h.cut,
		alone: h.isolated && voterCount(st) > 1,
	}
	s.pump(h)
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

// isolate cuts all links of h.
func (s *sim) isolate(h *host) {
	for _, other := range s.hosts {
		if other != h {
			s.blocked[[2]string{h.name, other.name}] = true
			s.blocked[[2]string{other.name, h.name}] = true
		}
	}
	h.isolated = true
	h.cut++
}

func (s *sim) heal() {
	clear(s.blocked)
	for _, h := range s.hosts {
		h.isolated = false
		h.cut++
	}
}

// thaw continues a frozen process: its clock has jumped and its messages are
// there at once, before or after its first tick.
func (s *sim) thaw(h *host) {
	if !h.frozen {
		return
	}
	h.frozen = false
	if s.rng.IntN(2) == 0 {
		h.core.Tick(s.local(h))
		s.pump(h)
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
		if h.core != nil && s.leaders[s.topTerm] == h.disk.id && h.core.State().Role == replicator.RoleLeader {
			return h
		}
	}
	return nil
}

// canLose reports whether the group survives the loss of the disk of h:
// no change is pending, and a majority of the voters keeps its disks.
func (s *sim) canLose(h *host) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	st := l.core.Status()
	if st.ChangePending || st.CommitIndex < s.top {
		return false
	}
	voters, intact := 0, 0
	for _, m := range st.Members {
		if !m.Voter {
			continue
		}
		voters++
		if s.byID(m.ID) != nil && m.ID != h.disk.id {
			intact++
		}
	}
	return intact > voters/2
}

// calm ends all faults.
func (s *sim) calm() {
	s.heal()
	s.loss, s.dup, s.delay = 0, 0, 2*time.Millisecond
	for _, h := range s.hosts {
		h.writes = -1
	}
	s.thawAll()
	s.startAll()
}

func (s *sim) thawAll() {
	for _, h := range s.hosts {
		s.thaw(h)
	}
}

func (s *sim) startAll() {
	for _, h := range s.hosts {
		if h.core == nil {
			s.start(h)
		}
	}
}

// recover ends all faults and waits until the group consists of the current
// ids of all hosts as voters and commits a new write.
func (s *sim) recover() {
	s.calm()
	for range 100 {
		s.run(100 * time.Millisecond)
		if s.settled() {
			return
		}
	}
	for _, h := range s.hosts {
		s.counts[fmt.Sprintf("%s %+v", h.name, h.core.Status())] = 1
	}
	s.t.Fatalf("the group does not recover: %v", s.counts)
}

func (s *sim) settled() bool {
	l := s.leader()
	if l == nil || !s.propose(l) {
		return false
	}
	want := s.writes
	s.run(200 * time.Millisecond)
	st := l.core.Status()
	if len(st.Members) != len(s.hosts) || voterCount(st) != len(s.hosts) {
		return false
	}
	for _, h := range s.hosts {
		if !slices.ContainsFunc(st.Members, func(m replicator.MemberStatus) bool { return m.ID == h.disk.id }) {
			return false
		}
		if h.applied != s.top || h.state != l.state {
			return false
		}
	}
	return slices.ContainsFunc(l.disk.entries, func(e replicator.Entry) bool { return string(e.Data) == fmt.Sprint("w", want) }) || l.disk.snap.Index == s.top
}
