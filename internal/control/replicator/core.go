// Package replicator is the consensus core of the replicated log: a Raft-style
// state machine without I/O, goroutines or a clock. It has pre-vote, leader
// stickiness, check-quorum, learners, membership changes of one member at a
// time, snapshots and read confirmation by heartbeat rounds.
//
// The caller feeds it with Tick, Step, Propose, ProposeMembers, Read and
// Compact, and after each batch of calls handles one Ready and returns it with
// Advance. Time is a duration since the start of the process.
//
// Source: Ongaro, Consensus: Bridging Theory and Practice (2014), chapters 3,
// 4, 6.4 and 9.6.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Sentinel errors of the core.
var (
	// ErrConfig means that the configuration of the core is unusable.
	ErrConfig = errors.New("invalid replicator configuration")
	// ErrCorrupt means that the durable state contradicts itself or what the
	// leader knows this member to hold. The process must stop; the data
	// folder counts as lost.
	ErrCorrupt = errors.New("replicated log is corrupt")
	// ErrMalformed means that a message was dropped because it is invalid.
	ErrMalformed = errors.New("malformed log message")
	// ErrMisdirected means that a message was dropped because it is addressed
	// to another member or has no sender.
	ErrMisdirected = errors.New("misdirected log message")
	// ErrNotLeader means that this member does not lead; nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrNoCommitInTerm means that the leader has not yet committed an entry of its
	// own term and so cannot change the membership.
	ErrNoCommitInTerm = errors.New("leader has not committed an entry of its term")
	// ErrPendingChange means that an earlier membership change is not
	// committed yet.
	ErrPendingChange = errors.New("membership change pending")
	// ErrBusy means that too much is appended and not yet committed.
	ErrBusy = errors.New("too many uncommitted proposals")
	// ErrTooLarge means that a proposal does not fit into one message.
	ErrTooLarge = errors.New("proposal too large")
	// ErrUnknownMember means that a change names an id outside the membership.
	ErrUnknownMember = errors.New("unknown member")
	// ErrMemberExists means that an id to add is a member already.
	ErrMemberExists = errors.New("member exists")
	// ErrNotCaughtUp means that a learner does not hold everything committed.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrRemoveLeader means that the leader was asked to remove itself, which
	// could leave the only holder of the change unable to campaign.
	ErrRemoveLeader = errors.New("leader cannot remove itself")
	// ErrCompacted means that an index is covered by the snapshot already.
	ErrCompacted = errors.New("index is compacted")
	// ErrNotApplied means that an index has not been applied yet.
	ErrNotApplied = errors.New("index is not applied")
)

// Defaults of Config.
const (
	defaultElectionTimeout = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
	defaultMaxEntries      = 256
	defaultMaxBytes        = 1 << 20
	defaultMaxInflight     = 8
	defaultMaxPending      = 16 << 20
	defaultTrailing        = 1024
	defaultTrailingBytes   = 4 << 20
)

// minHeartbeats is the least number of heartbeats in an election timeout; with
// fewer, one lost heartbeat starts an election.
const minHeartbeats = 2

// Config holds the settings of a core and its durable state at start. Zero
// limits and times take the defaults.
type Config struct {
	// ID identifies the member's data folder; it is never 0.
	ID uint64
	// HardState, Snapshot and Entries are what the journal holds.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// ElectionTimeout is the least time without a leader before a member
	// campaigns. The actual timeout is drawn anew from
	// [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// Rand draws election timeouts. It is required.
	Rand *rand.Rand
	// MaxMessageEntries and MaxBytes bound the entries of one message. MaxBytes also
	// bounds the data of one proposal.
	MaxMessageEntries int
	MaxMessageBytes   int
	// MaxInflightAppends bounds the unacknowledged append messages to one member.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds the bytes that a leader has appended and not
	// committed.
	MaxUncommittedBytes int
	// TrailingEntries is how many entries stay in memory behind a snapshot, for
	// members that are slightly behind, TrailingBytes how many bytes of them.
	TrailingEntries int
	TrailingBytes   int
}

// Role is what a member currently does in its term.
type Role uint8

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Role,MessageKind,EntryKind,ChangeKind,replication -linecomment -output=kinds_string.go

// Roles.
const (
	RoleFollower     Role = iota // follower
	RolePreCandidate             // pre-candidate
	RoleCandidate                // candidate
	RoleLeader                   // leader
)

// Core is one member's state of the replicated log. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
	id  uint64
	now time.Duration

	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// contact is when the current leader was last heard from.
	contact time.Duration
	// deadline is when a member without a leader campaigns next.
	deadline time.Duration
	votes    map[uint64]bool

	log      entryLog
	snapshot Snapshot
	members  history
	commit   uint64
	applied  uint64

	// State of a leader.
	progress map[uint64]*progress
	// start is the index of the first entry of the leader's term.
	start uint64
	// pending is the size of the entries appended and not committed.
	pending   int
	heartbeat time.Duration
	round     uint64
	reads     []pendingRead

	// Output of the next Ready.
	saved      HardState
	installing *Snapshot
	messages   []Message
	confirmed  []ConfirmedRead
	lost       []Proposal
	lostReads  []uint64
}

// New returns a core that resumes from the durable state in cfg. It returns
// ErrConfig or ErrCorrupt.
func New(cfg Config) (*Core, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:      cfg,
		id:       cfg.ID,
		saved:    cfg.HardState,
		term:     cfg.HardState.Term,
		vote:     cfg.HardState.Vote,
		commit:   max(cfg.HardState.Commit, cfg.Snapshot.Index),
		applied:  cfg.Snapshot.Index,
		snapshot: cfg.Snapshot,
	}
	if err := c.load(cfg.Entries); err != nil {
		return nil, err
	}
	if c.commit > c.log.last() {
		return nil, errors.Wrapf(ErrCorrupt, "committed up to %d, but the log ends at %d", c.commit, c.log.last())
	}
	// A snapshot may have become durable without the hard state that came
	// with it. No vote was cast in a term that was never recorded.
	if last, _ := c.log.term(c.log.last()); last > c.term {
		c.term = last
		c.vote = 0
	}
	c.resetDeadline()
	return c, nil
}

func (cfg *Config) complete() error {
	if cfg.ID == 0 {
		return errors.Wrap(ErrConfig, "id is 0")
	}
	if cfg.Rand == nil {
		return errors.Wrap(ErrConfig, "no random source")
	}
	setDefault(&cfg.ElectionTimeout, defaultElectionTimeout)
	setDefault(&cfg.HeartbeatInterval, defaultHeartbeat)
	setDefault(&cfg.MaxMessageEntries, defaultMaxEntries)
	setDefault(&cfg.MaxMessageBytes, defaultMaxBytes)
	setDefault(&cfg.MaxInflightAppends, defaultMaxInflight)
	setDefault(&cfg.MaxUncommittedBytes, defaultMaxPending)
	setDefault(&cfg.TrailingEntries, defaultTrailing)
	setDefault(&cfg.TrailingBytes, defaultTrailingBytes)
	if cfg.ElectionTimeout < minHeartbeats*cfg.HeartbeatInterval {
		return errors.Wrapf(ErrConfig, "election timeout %s is shorter than %d heartbeats of %s",
			cfg.ElectionTimeout, minHeartbeats, cfg.HeartbeatInterval)
	}
	return nil
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// load builds the log from the snapshot and the entries of the journal.
func (c *Core) load(entries []Entry) error {
	snap := c.snapshot
	c.log = entryLog{base: snap.Index, baseTerm: snap.Term, stable: snap.Index, written: snap.Index}
	c.members.reset(snap.Index, snap.Members)
	rest := afterSnapshot(entries, snap)
	if len(rest) == 0 {
		c.resumeInstall(entries)
		return nil
	}
	if err := checkEntries(rest, snap.Index, snap.Term); err != nil {
		return errors.Wrapf(ErrCorrupt, "load: %v", err)
	}
	sets, err := memberEntries(rest)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "load: %v", err)
	}
	c.append(rest, sets)
	c.log.persisted(c.log.last())
	return nil
}

// resumeInstall repeats the installation of the snapshot in the first Ready if
// the log on disk cannot be extended by the entry after the snapshot: the
// process stopped before it dropped the log that the snapshot replaces.
func (c *Core) resumeInstall(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if last.Index != c.snapshot.Index || last.Term != c.snapshot.Term {
		snap := c.snapshot
		c.installing = &snap
	}
}

// afterSnapshot drops the entries that the snapshot covers, and all of them if
// they belong to a log that the snapshot replaced.
func afterSnapshot(entries []Entry, snap Snapshot) []Entry {
	for i, e := range entries {
		if e.Index > snap.Index {
			return entries[i:]
		}
		if e.Index == snap.Index && e.Term != snap.Term {
			return nil
		}
	}
	return nil
}

// Tick moves time forward to now: it starts elections and heartbeats, and ends
// the leadership of a leader without a quorum.
func (c *Core) Tick(now time.Duration) {
	c.setTime(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.deadline {
		c.leader = 0
		c.resetDeadline()
		c.preCampaign()
	}
}

func (c *Core) tickLeader() {
	heard := quorumOf(c, func(p *progress) time.Duration { return p.heard })
	if c.now-heard >= c.cfg.ElectionTimeout {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.now >= c.heartbeat {
		c.startRound()
	}
}

func (c *Core) setTime(now time.Duration) {
	c.now = max(c.now, now)
	if p, ok := c.progress[c.id]; ok {
		p.heard = c.now
	}
}

func (c *Core) resetDeadline() {
	spread := c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout))
	c.deadline = c.now + c.cfg.ElectionTimeout + time.Duration(spread)
}

func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == RoleLeader {
		c.abandon()
	}
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role != RoleFollower {
		c.resetDeadline()
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
}

// abandon reports everything that a leader that steps down has not finished.
func (c *Core) abandon() {
	for _, e := range c.log.slice(c.commit+1, c.log.last()) {
		if e.Term == c.term && e.Kind != EntryNoop {
			c.lost = append(c.lost, Proposal{Index: e.Index, Term: e.Term})
		}
	}
	for _, r := range c.reads {
		c.lostReads = append(c.lostReads, r.context)
	}
	c.reads = nil
	c.progress = nil
	c.pending = 0
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.votes = nil
	c.round = 0
	c.heartbeat = c.now + c.cfg.HeartbeatInterval
	c.progress = map[uint64]*progress{}
	// An entry of the own term is needed to commit those of earlier terms.
	c.start = c.appendOwn(EntryNoop, nil)
	c.syncProgress()
}

// appendOwn appends one entry of the leader's term and returns its index. sets
// holds the membership if the entry changes it.
func (c *Core) appendOwn(kind EntryKind, data []byte, sets ...memberSet) uint64 {
	e := Entry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.pending += e.size()
	c.append([]Entry{e}, sets)
	return e.Index
}

// append writes entries into the log, replacing any from the same index on,
// and adopts the memberships in sets, which are those among entries.
func (c *Core) append(entries []Entry, sets []memberSet) {
	c.members.truncate(entries[0].Index)
	c.log.append(entries)
	for _, s := range sets {
		c.members.add(s)
	}
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
