package replicator

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/seeder"
)

// TestMain fixes the seed so that runs are repeatable; rapid otherwise draws a
// new seed for each run.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 20260112, Checks: 1000, Steps: 50})
	os.Exit(m.Run())
}

func newMember(id uint64, voter bool) Member {
	return Member{ID: id, Name: string(rune('a' + id)), Zone: "z1", Voter: voter}
}

func newCore(t *testing.T, id uint64, snap Snapshot) *Core {
	t.Helper()
	c, err := New(Config{ID: id, Snapshot: snap, Rand: rand.New(rand.NewPCG(id, 1))})
	require.NoError(t, err)
	return c
}

// deliverAll handles Readys and delivers messages until no core has work left.
// It adds the data of the entries that each member applies to applied.
func deliverAll(t *testing.T, now time.Duration, cores map[uint64]*Core, applied map[uint64][]string) {
	t.Helper()
	for busy := true; busy; {
		busy = false
		for _, c := range cores {
			r := c.Ready()
			if r.Empty() {
				continue
			}
			busy = true
			for _, e := range r.CommittedEntries {
				if e.Kind == EntryNormal {
					applied[c.id] = append(applied[c.id], string(e.Data))
				}
			}
			c.Advance(r)
			for _, m := range r.Messages {
				wire, err := FromWire(m.From, m.To, ToWire(m))
				require.NoError(t, err)
				if to, ok := cores[m.To]; ok {
					require.NoError(t, to.Step(now, wire))
				}
			}
		}
	}
}

// Guards against a core that cannot elect a leader, add members or replicate
// entries.
func TestBasic(t *testing.T) {
	first := newCore(t, 1, Bootstrap([]byte("state"), newMember(1, true)))
	cores := map[uint64]*Core{1: first}
	applied := map[uint64][]string{}
	now := 2 * defaultElectionTimeout
	first.Tick(now)
	deliverAll(t, now, cores, applied)
	require.Equal(t, RoleLeader, first.Status().Role)

	for id := uint64(2); id <= 3; id++ {
		cores[id] = newCore(t, id, Snapshot{})
		require.NoError(t, first.ProposeChange(now, Change{Kind: AddLearner, Member: newMember(id, false)}))
		deliverAll(t, now, cores, applied)
		require.NoError(t, first.ProposeChange(now, Change{Kind: MakeVoter, Member: Member{ID: id}}))
		deliverAll(t, now, cores, applied)
	}
	for _, data := range []string{"x", "y"} {
		_, _, err := first.Propose(now, []byte(data))
		require.NoError(t, err)
	}
	deliverAll(t, now, cores, applied)
	now += defaultHeartbeatInterval
	first.Tick(now)
	deliverAll(t, now, cores, applied)
	for id, c := range cores {
		require.Equal(t, []string{"x", "y"}, applied[id])
		require.Equal(t, first.Status().CommitIndex, c.Status().CommitIndex)
		require.Len(t, c.Status().Members, 3)
	}
}

// newThreeVoterCore returns member 1 of a group of three voters, with the given
// state on disk.
// startThree returns three voters of one group that have just started.
func startThree(t *testing.T) map[uint64]*Core {
	snap := Bootstrap([]byte("state"), newMember(1, true), newMember(2, true), newMember(3, true))
	return map[uint64]*Core{1: newCore(t, 1, snap), 2: newCore(t, 2, snap), 3: newCore(t, 3, snap)}
}

// TestStartTogether guards against a group without a leader for a whole election timeout after
// all of its members have started again.
func TestStartTogether(t *testing.T) {
	cores := startThree(t)
	leaders := 0
	for now := time.Duration(0); now < defaultElectionTimeout; now += 10 * time.Millisecond {
		for _, c := range cores {
			c.Tick(now)
		}
		deliverAll(t, now, cores, map[uint64][]string{})
	}
	for _, c := range cores {
		if c.Status().Role == RoleLeader {
			leaders++
		}
	}
	require.Equal(t, 1, leaders)
}

// TestStartBesideLeader guards against a member that disturbs the leader when it starts.
func TestStartBesideLeader(t *testing.T) {
	cores := startThree(t)
	late := cores[3]
	delete(cores, 3)
	now := 2 * defaultElectionTimeout
	cores[1].Tick(now)
	deliverAll(t, now, cores, map[uint64][]string{})
	require.Equal(t, RoleLeader, cores[1].Status().Role)
	term := cores[1].Status().Term
	cores[3] = late
	for end := now + 2*defaultElectionTimeout; now < end; now += 10 * time.Millisecond {
		for _, c := range cores {
			c.Tick(now)
		}
		deliverAll(t, now, cores, map[uint64][]string{})
		require.Equal(t, RoleLeader, cores[1].Status().Role)
	}
	require.Equal(t, term, cores[1].Status().Term)
}

func newThreeVoterCore(t *testing.T, hs HardState, entries ...Entry) *Core {
	t.Helper()
	snap := Bootstrap(nil, newMember(1, true))
	snap.Members = append(snap.Members, newMember(2, true), newMember(3, true))
	c, err := New(Config{
		ID:                  1,
		HardState:           hs,
		Snapshot:            snap,
		Entries:             entries,
		Rand:                rand.New(rand.NewPCG(1, 1)),
		MaxMessageBytes:     100,
		MaxUncommittedBytes: 250,
	})
	require.NoError(t, err)
	return c
}

// handleReady handles one Ready and returns it.
func handleReady(c *Core) Ready {
	r := c.Ready()
	c.Advance(r)
	return r
}

// electLeader makes c the leader of the next term with the vote of member 2.
func electLeader(t *testing.T, c *Core) {
	t.Helper()
	now := c.now + 2*defaultElectionTimeout
	c.Tick(now)
	term := c.State().Term + 1
	require.NoError(t, c.Step(now, Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: term}))
	require.NoError(t, c.Step(now, Message{Kind: MessageVoteReply, From: 2, To: 1, Term: term}))
	require.Equal(t, RoleLeader, c.State().Role)
	handleReady(c)
}

// ackAppend acknowledges the entries up to index in the name of member 2.
func ackAppend(t *testing.T, c *Core, index uint64) {
	t.Helper()
	m := Message{Kind: MessageAppendReply, From: 2, To: 1, Term: c.State().Term, Index: index}
	require.NoError(t, c.Step(c.now, m))
	handleReady(c)
}

// Guards against committing entries of earlier terms by counting copies: a
// member with a later term could still overwrite them.
func TestOlderTerm(t *testing.T) {
	c := newThreeVoterCore(t, HardState{Term: 3}, Entry{Term: 2, Index: 2, Kind: EntryNormal})
	electLeader(t, c)
	ackAppend(t, c, 2)
	require.EqualValues(t, 1, c.State().CommitIndex)
	ackAppend(t, c, 3)
	require.EqualValues(t, 3, c.State().CommitIndex)
}

// Guards against a membership that stays in force after its entry is
// overwritten, and against writing into entries that a Ready has handed out.
func TestRollback(t *testing.T) {
	c := newThreeVoterCore(t, HardState{Term: 2})
	grown := append(c.memberships.latest().withChange(Change{Kind: AddLearner, Member: newMember(4, false)}), newMember(5, true))
	m := Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{
		{Term: 2, Index: 2, Kind: EntryMembers, Data: encodeMembers(grown)},
		{Term: 2, Index: 3, Kind: EntryNormal, Data: []byte("old")},
	}}
	require.NoError(t, c.Step(0, m))
	require.Len(t, c.Status().Members, 5)
	before := handleReady(c).Entries

	m = Message{Kind: MessageAppend, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{
		{Term: 3, Index: 2, Kind: EntryNoop},
	}}
	require.NoError(t, c.Step(0, m))
	r := handleReady(c)
	require.EqualValues(t, 2, r.OverwriteFrom)
	require.Len(t, c.Status().Members, 3)
	require.Equal(t, EntryMembers, before[0].Kind)
}

// Guards against committing entries beyond those that the leader's message
// confirms: what follows them in the log may be left from an earlier term.
func TestCommitBound(t *testing.T) {
	entries := []Entry{{Term: 2, Index: 2, Kind: EntryNormal}, {Term: 2, Index: 3, Kind: EntryNormal}}
	c := newThreeVoterCore(t, HardState{Term: 3}, entries...)
	m := Message{Kind: MessageAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 3, Entries: entries[:1]}
	require.NoError(t, c.Step(0, m))
	require.EqualValues(t, 2, c.State().CommitIndex)
}

// Guards against a delayed snapshot that drops acknowledged entries after its
// index.
func TestLateSnapshot(t *testing.T) {
	c := newThreeVoterCore(t, HardState{Term: 2}, Entry{Term: 2, Index: 2}, Entry{Term: 2, Index: 3})
	m := Message{Kind: MessageSnapshot, From: 2, To: 1, Term: 2, Snapshot: &Snapshot{Index: 2, Term: 2}}
	require.NoError(t, c.Step(0, m))
	require.Nil(t, c.Ready().Snapshot)
	require.EqualValues(t, 2, c.State().CommitIndex)
	require.EqualValues(t, 3, c.State().LastIndex)
}

// Guards against a member with a newer term that can never rejoin because the
// leader does not learn that term from it.
func TestNewerTerm(t *testing.T) {
	c := newThreeVoterCore(t, HardState{Term: 9})
	require.NoError(t, c.Step(0, Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 4}))
	reply := c.Ready().Messages[0]
	require.Equal(t, Message{Kind: MessageAppendReply, From: 1, To: 2, Term: 9, Reject: true}, reply)

	leader := newThreeVoterCore(t, HardState{Term: 3})
	electLeader(t, leader)
	reply.From, reply.To = 3, 1
	require.NoError(t, leader.Step(leader.now, reply))
	require.Equal(t, RoleFollower, leader.State().Role)
	require.EqualValues(t, 9, leader.State().Term)
}

// Guards against accepting invalid proposals, membership changes, reads,
// compactions and messages.
func TestRefusals(t *testing.T) {
	c := newThreeVoterCore(t, HardState{})
	propose := func(size int) error {
		_, _, err := c.Propose(c.now, make([]byte, size))
		return err
	}
	change := func(kind ChangeKind, id uint64) error {
		return c.ProposeChange(c.now, Change{Kind: kind, Member: newMember(id, false)})
	}
	compact := func(index uint64) error {
		_, err := c.Compact(index, nil)
		return err
	}
	require.ErrorIs(t, propose(1), ErrNotLeader)
	require.ErrorIs(t, change(AddLearner, 4), ErrNotLeader)
	require.ErrorIs(t, c.ReadIndex(0, 1), ErrNotLeader)

	electLeader(t, c)
	require.ErrorIs(t, change(AddLearner, 4), ErrNoCommitInTerm)
	ackAppend(t, c, 2)
	require.ErrorIs(t, change(AddLearner, 3), ErrMemberExists)
	require.ErrorIs(t, change(MakeVoter, 3), ErrMemberExists)
	require.ErrorIs(t, change(MakeVoter, 4), ErrUnknownMember)
	require.ErrorIs(t, change(RemoveMember, 4), ErrUnknownMember)
	require.ErrorIs(t, change(RemoveMember, 1), ErrRemoveLeader)
	require.ErrorIs(t, change(0, 1), ErrConfig)
	require.NoError(t, change(AddLearner, 4))
	require.ErrorIs(t, change(RemoveMember, 3), ErrPendingChange)
	handleReady(c)
	ackAppend(t, c, 3)
	require.ErrorIs(t, change(MakeVoter, 4), ErrNotCaughtUp)

	require.ErrorIs(t, propose(101), ErrTooLarge)
	require.NoError(t, propose(100))
	require.NoError(t, propose(50))
	require.ErrorIs(t, propose(100), ErrBusy)
	for _, m := range handleReady(c).Messages {
		require.LessOrEqual(t, len(m.Entries), 1, "both entries together exceed MaxMessageBytes")
	}
	ackAppend(t, c, 5)
	require.NoError(t, propose(100))

	require.ErrorIs(t, compact(1), ErrCompacted)
	require.ErrorIs(t, compact(6), ErrNotApplied)
	require.ErrorIs(t, c.Step(c.now, Message{Kind: MessageVote, From: 2, To: 7}), ErrMisdirected)
	require.ErrorIs(t, c.Step(c.now, Message{From: 2, To: 1, Term: 99}), ErrMalformed)
	require.Equal(t, RoleLeader, c.State().Role)
}

// Guards against starting with an invalid configuration or on durable state
// that contradicts itself.
func TestStart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	snap := Snapshot{Index: 5, Term: 2}
	for name, tt := range map[string]struct {
		cfg  Config
		want error
	}{
		"no id":            {Config{Rand: random}, ErrConfig},
		"no random source": {Config{ID: 1}, ErrConfig},
		"slow heartbeat":   {Config{ID: 1, Rand: random, HeartbeatInterval: time.Hour}, ErrConfig},
		"gap":              {Config{ID: 1, Rand: random, Snapshot: snap, Entries: []Entry{{Index: 7, Term: 2}}}, ErrCorrupt},
		"falling term":     {Config{ID: 1, Rand: random, Snapshot: snap, Entries: []Entry{{Index: 6, Term: 1}}}, ErrCorrupt},
		"lost entries":     {Config{ID: 1, Rand: random, Snapshot: snap, HardState: HardState{Commit: 6}}, ErrCorrupt},
		"bad membership":   {Config{ID: 1, Rand: random, Entries: []Entry{{Index: 1, Kind: EntryMembers}}}, ErrCorrupt},
		"empty folder":     {Config{ID: 1, Rand: random}, nil},
	} {
		_, err := New(tt.cfg)
		require.ErrorIs(t, err, tt.want, name)
	}
}

// Guards against extending a log that a snapshot was about to replace when the
// process stopped.
func TestInterruptedInstall(t *testing.T) {
	snap := Snapshot{Index: 5, Term: 2}
	for name, tt := range map[string]struct {
		entries []Entry
		again   bool
	}{
		"no log":         {nil, false},
		"short log":      {[]Entry{{Index: 4, Term: 1}}, true},
		"other log":      {[]Entry{{Index: 5, Term: 1}, {Index: 6, Term: 1}}, true},
		"compacted log":  {[]Entry{{Index: 4, Term: 1}, {Index: 5, Term: 2}}, false},
		"continuing log": {[]Entry{{Index: 5, Term: 2}, {Index: 6, Term: 2}}, false},
	} {
		c, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1)), Snapshot: snap, Entries: tt.entries})
		require.NoError(t, err, name)
		require.Equal(t, tt.again, handleReady(c).Snapshot != nil, name)
		require.Nil(t, c.Ready().Snapshot, name)
	}
}
