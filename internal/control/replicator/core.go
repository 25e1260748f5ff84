// Package replicator implements the Raft consensus algorithm for the replicated
// log, as a state machine without I/O, goroutines or a clock. It has pre-vote,
// leader stickiness, check-quorum, leadership transfer, learners, membership
// changes of one member at a time, replacement of a voter by joint consensus,
// snapshots, and linearizable reads that a heartbeat round confirms.
//
// A member of the group is one data folder with its id. Voters elect the leader
// and count for the majority that commits an entry; learners only receive the
// log. A core that leads sends its entries to all other members.
//
// The caller drives a Core with Tick, Step, Propose, ProposeChange, ReadIndex,
// TransferLeadership and Compact. After each batch of calls it handles one
// Ready and returns it with Advance. Times are durations since the start of the
// process.
//
// Source: Ongaro, Consensus: Bridging Theory and Practice (2014), chapters 3,
// 4 (4.3 for joint consensus), 6.4 and 9.6.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Sentinel errors of the core.
var (
	// ErrConfig means that Config, or the kind of a proposed Change, is
	// invalid.
	ErrConfig = errors.New("invalid replicator configuration")
	// ErrCorrupt means that the durable state contradicts itself or what the
	// leader knows this member to hold. The process must stop, and its data
	// folder must be treated as lost.
	ErrCorrupt = errors.New("replicated log is corrupt")
	// ErrMalformed means that a message was dropped because its content is
	// invalid.
	ErrMalformed = errors.New("malformed log message")
	// ErrMisdirected means that a message was dropped because it is addressed
	// to another member or has no sender.
	ErrMisdirected = errors.New("misdirected log message")
	// ErrNotLeader means that this member does not lead; nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrNoCommitInTerm means that the leader cannot change the membership yet,
	// because it has not committed an entry of its own term.
	ErrNoCommitInTerm = errors.New("leader has not committed an entry of its term")
	// ErrPendingChange means that an earlier membership change is not
	// committed yet.
	ErrPendingChange = errors.New("membership change pending")
	// ErrBusy means that a proposal would exceed Config.MaxUncommittedBytes.
	ErrBusy = errors.New("too many uncommitted proposals")
	// ErrTooLarge means that a proposal exceeds Config.MaxMessageBytes.
	ErrTooLarge = errors.New("proposal too large")
	// ErrUnknownMember means that a change names an id outside the membership.
	ErrUnknownMember = errors.New("unknown member")
	// ErrMemberExists means that the id to add is a member already, or that the
	// member to promote is a voter already.
	ErrMemberExists = errors.New("member exists")
	// ErrNotCaughtUp means that the learner to promote does not hold every
	// committed entry.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrRemoveLeader means that the leader was asked to remove itself, which
	// could leave the only holder of the change unable to campaign.
	ErrRemoveLeader = errors.New("leader cannot remove itself")
	// ErrNoReplacement means that there is no replacement of a voter to end.
	ErrNoReplacement = errors.New("no voter is being replaced")
	// ErrCompacted means that the current snapshot already covers the index.
	ErrCompacted = errors.New("index is compacted")
	// ErrNotApplied means that the entry at the index has not been applied yet.
	ErrNotApplied = errors.New("index is not applied")
)

// Defaults of Config.
const (
	defaultElectionTimeout     = 500 * time.Millisecond
	defaultHeartbeatInterval   = 100 * time.Millisecond
	defaultMaxMessageEntries   = 256
	defaultMaxMessageBytes     = 1 << 20
	defaultMaxInflightAppends  = 8
	defaultMaxUncommittedBytes = 16 << 20
	defaultTrailingEntries     = 1024
	defaultTrailingBytes       = 4 << 20
)

// minHeartbeatsPerTimeout is the least number of heartbeat intervals in an
// election timeout. With fewer, one lost heartbeat starts an election.
const minHeartbeatsPerTimeout = 2

// Config holds the settings of a core and its durable state at start. Durations
// and limits that are zero or negative take their defaults.
type Config struct {
	// ID identifies the member's data folder. It must not be 0.
	ID uint64
	// HardState, Snapshot and Entries are the durable state read from the
	// journal.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// ElectionTimeout is the least time without contact to a leader after which
	// a member starts an election. Each timeout is drawn at random from
	// [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// Rand draws the election timeouts. It is required.
	Rand *rand.Rand
	// MaxMessageEntries and MaxMessageBytes bound the entries of one append
	// message. MaxMessageBytes also bounds the data of one proposal.
	MaxMessageEntries int
	MaxMessageBytes   int
	// MaxInflightAppends bounds the unacknowledged append messages to one
	// member.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds the entries that a leader has appended and not
	// yet committed.
	MaxUncommittedBytes int
	// TrailingEntries and TrailingBytes bound the entries that stay in memory
	// after a snapshot covers them, so that members that are slightly behind
	// need no snapshot.
	TrailingEntries int
	TrailingBytes   int
}

// Role is the part that a member has in its current term.
type Role uint8

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Role,MessageKind,EntryKind,ChangeKind,replicationState -linecomment -output=kinds_string.go

// Roles.
const (
	// RoleFollower accepts entries from the leader, if one is known.
	RoleFollower Role = iota // follower
	// RolePreCandidate asks the voters whether it could win an election.
	RolePreCandidate // pre-candidate
	// RoleCandidate asks the voters for their votes in its term.
	RoleCandidate // candidate
	// RoleLeader appends entries and sends them to the other members.
	RoleLeader // leader
)

// Core is the Raft state of one member. It is not safe for concurrent use.
type Core struct {
	cfg Config
	// id is the member's own id.
	id uint64
	// now is the latest time passed to the core.
	now time.Duration

	// role is the part that this member has in term.
	role Role
	// term is the newest term that this member has entered.
	term uint64
	// votedFor is the id voted for in term, leaderID that of its leader; 0
	// means none.
	votedFor uint64
	leaderID uint64
	// lastLeaderContact is when the leader's last message arrived.
	lastLeaderContact time.Duration
	// electionDeadline is when a member without a leader starts an election.
	electionDeadline time.Duration
	// startVoteAt is when a member that has just started asks for votes for the first time,
	// 0 after that. See resetStartVote.
	startVoteAt time.Duration
	// votesGranted holds the ids that granted this member their vote or
	// pre-vote.
	votesGranted map[uint64]bool

	// log holds the entries that are in memory.
	log entryLog
	// snapshot is the newest one: from Config, made by Compact or sent by a leader.
	snapshot Snapshot
	// memberships holds the membership of snapshot and those in log.
	memberships membershipHistory
	// commitIndex is the last index known to be committed, appliedIndex the last
	// one that the caller has applied to the state machine.
	commitIndex  uint64
	appliedIndex uint64

	// The fields from here to pendingReads are used by a leader only. progress
	// is keyed by member id and includes the leader itself.
	progress map[uint64]*progress
	// termStartIndex is the index of the no-op entry that starts the leader's
	// term.
	termStartIndex uint64
	// uncommittedBytes is the size of the uncommitted entries of the leader's
	// term.
	uncommittedBytes int
	// nextHeartbeat is when the next heartbeat round is due, heartbeatRound the
	// number of the last one started.
	nextHeartbeat  time.Duration
	heartbeatRound uint64
	// pendingReads are the reads not yet confirmed, oldest first.
	pendingReads []pendingRead

	// savedHardState is the hard state that the caller was last given to save.
	savedHardState HardState
	// The following fields are the output of the next Ready, under the name that
	// it has in Ready; installingSnapshot becomes Ready.Snapshot.
	installingSnapshot *Snapshot
	messages           []Message
	confirmedReads     []ConfirmedRead
	lostProposals      []Proposal
	lostReads          []uint64
}

// New returns a core that resumes from the durable state in cfg. It returns
// ErrConfig or ErrCorrupt.
func New(cfg Config) (*Core, error) {
	if err := cfg.setDefaultsAndCheck(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:            cfg,
		id:             cfg.ID,
		savedHardState: cfg.HardState,
		term:           cfg.HardState.Term,
		votedFor:       cfg.HardState.Vote,
		commitIndex:    max(cfg.HardState.Commit, cfg.Snapshot.Index),
		appliedIndex:   cfg.Snapshot.Index,
		snapshot:       cfg.Snapshot,
	}
	if err := c.loadLog(cfg.Entries); err != nil {
		return nil, err
	}
	if c.commitIndex > c.log.lastIndex() {
		return nil, errors.Wrapf(ErrCorrupt, "committed up to %d, but the log ends at %d", c.commitIndex, c.log.lastIndex())
	}
	// A crash may have made a snapshot durable without the hard state that
	// belongs to it. This member cannot have voted in a term that it never
	// recorded.
	if last, _ := c.log.termAt(c.log.lastIndex()); last > c.term {
		c.term = last
		c.votedFor = 0
	}
	c.resetElectionDeadline()
	c.resetStartVote()
	return c, nil
}

// setDefaultsAndCheck replaces unset limits by their defaults and returns
// ErrConfig if the result is unusable.
func (cfg *Config) setDefaultsAndCheck() error {
	if cfg.ID == 0 {
		return errors.Wrap(ErrConfig, "member id is 0")
	}
	if cfg.Rand == nil {
		return errors.Wrap(ErrConfig, "no random source")
	}
	setDefault(&cfg.ElectionTimeout, defaultElectionTimeout)
	setDefault(&cfg.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&cfg.MaxMessageEntries, defaultMaxMessageEntries)
	setDefault(&cfg.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&cfg.MaxInflightAppends, defaultMaxInflightAppends)
	setDefault(&cfg.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&cfg.TrailingEntries, defaultTrailingEntries)
	setDefault(&cfg.TrailingBytes, defaultTrailingBytes)
	if cfg.ElectionTimeout < minHeartbeatsPerTimeout*cfg.HeartbeatInterval {
		return errors.Wrapf(ErrConfig, "election timeout %s is shorter than %d heartbeats of %s",
			cfg.ElectionTimeout, minHeartbeatsPerTimeout, cfg.HeartbeatInterval)
	}
	return nil
}

// setDefault sets v to def unless it is positive.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// loadLog builds the log in memory from the snapshot and the journal's entries.
func (c *Core) loadLog(entries []Entry) error {
	snap := c.snapshot
	c.log = entryLog{baseIndex: snap.Index, baseTerm: snap.Term, durableIndex: snap.Index, writtenIndex: snap.Index}
	c.memberships.reset(snap.Index, snap.Members)
	rest := entriesAfterSnapshot(entries, snap)
	if len(rest) == 0 {
		c.resumeSnapshotInstall(entries)
		return nil
	}
	if err := checkContinuity(rest, snap.Index, snap.Term); err != nil {
		return errors.Wrapf(ErrCorrupt, "load log: %v", err)
	}
	memberships, err := decodeMemberships(rest)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "load log: %v", err)
	}
	c.appendEntries(rest, memberships)
	c.log.markDurable(c.log.lastIndex())
	return nil
}

// resumeSnapshotInstall makes the first Ready install the snapshot again if the
// entry after it cannot extend the log on disk. This happens when the process
// stopped before it dropped the log that the snapshot replaces.
func (c *Core) resumeSnapshotInstall(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if last.Index != c.snapshot.Index || last.Term != c.snapshot.Term {
		snap := c.snapshot
		c.installingSnapshot = &snap
	}
}

// entriesAfterSnapshot returns the entries that snap does not cover, or none if
// the entries belong to a log that the snapshot replaced.
func entriesAfterSnapshot(entries []Entry, snap Snapshot) []Entry {
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

// Tick advances the time to now. It starts elections and heartbeat rounds that
// are due, and makes a leader step down that has lost contact to a quorum.
func (c *Core) Tick(now time.Duration) {
	c.advanceTime(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.startVoteAt > 0 && c.now >= c.startVoteAt {
		c.startVoteAt = 0
		if c.leaderID == 0 && c.role == RoleFollower {
			c.preCampaign()
		}
	}
	if c.now >= c.electionDeadline {
		c.leaderID = 0
		c.resetElectionDeadline()
		c.preCampaign()
	}
}

// tickLeader steps down if no quorum has replied within the election timeout
// (check-quorum), and otherwise starts a heartbeat round that is due.
func (c *Core) tickLeader() {
	quorumReplyAt := quorumValue(c, func(p *progress) time.Duration { return p.lastReplyAt })
	if c.now-quorumReplyAt >= c.cfg.ElectionTimeout {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.now >= c.nextHeartbeat {
		c.startHeartbeatRound()
	}
}

// advanceTime moves the time forward to now, never back. A leader counts as in
// contact with itself.
func (c *Core) advanceTime(now time.Duration) {
	c.now = max(c.now, now)
	if p, ok := c.progress[c.id]; ok {
		p.lastReplyAt = c.now
	}
}

// resetElectionDeadline draws a new random election timeout that starts now.
func (c *Core) resetElectionDeadline() {
	spread := c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout))
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + time.Duration(spread)
}

// resetStartVote draws the time of the first vote that a member asks for after its start:
// from a quarter to three quarters of the election timeout. When all members have started
// again there is no leader to wait for, and a pre-vote does not disturb one that there is:
// members that hear from it ignore the request. If the others do not run yet, the election
// follows at its usual time.
func (c *Core) resetStartVote() {
	c.startVoteAt = c.now + c.cfg.ElectionTimeout/4 + time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout/2)))
}

// becomeFollower enters term as a follower of leader, which is 0 if unknown.
func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == RoleLeader {
		c.reportUnfinished()
	}
	if term != c.term {
		c.term = term
		c.votedFor = 0
	}
	if c.role != RoleFollower {
		c.resetElectionDeadline()
	}
	c.role = RoleFollower
	c.leaderID = leader
	c.votesGranted = nil
}

// reportUnfinished adds the uncommitted proposals and unconfirmed reads of a
// leader that steps down to the next Ready, and clears the state of a leader.
func (c *Core) reportUnfinished() {
	for _, e := range c.log.slice(c.commitIndex+1, c.log.lastIndex()) {
		if e.Term == c.term && e.Kind != EntryNoop {
			c.lostProposals = append(c.lostProposals, Proposal{Index: e.Index, Term: e.Term})
		}
	}
	for _, r := range c.pendingReads {
		c.lostReads = append(c.lostReads, r.context)
	}
	c.pendingReads = nil
	c.progress = nil
	c.uncommittedBytes = 0
}

// becomeLeader starts the leadership of the current term with a no-op entry.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leaderID = c.id
	c.votesGranted = nil
	c.heartbeatRound = 0
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	c.progress = map[uint64]*progress{}
	// A leader commits entries of earlier terms only together with one of its
	// own.
	c.termStartIndex = c.appendInTerm(EntryNoop, nil)
	c.trackMembers()
}

// appendInTerm appends one entry of the leader's term and returns its index.
// memberships holds the new membership if the entry changes it.
func (c *Core) appendInTerm(kind EntryKind, data []byte, memberships ...membership) uint64 {
	e := Entry{Term: c.term, Index: c.log.lastIndex() + 1, Kind: kind, Data: data}
	c.uncommittedBytes += e.size()
	c.appendEntries([]Entry{e}, memberships)
	return e.Index
}

// appendEntries adds entries to the log, replacing those from the first one's index
// on. memberships are the ones decoded from entries; they are in force at once.
func (c *Core) appendEntries(entries []Entry, memberships []membership) {
	c.memberships.truncate(entries[0].Index)
	c.log.append(entries)
	for _, s := range memberships {
		c.memberships.add(s)
	}
}

// enqueue adds m to the messages of the next Ready. An unset Term becomes the
// current one.
func (c *Core) enqueue(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
