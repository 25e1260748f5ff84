package replicator

import (
	"slices"

	"github.com/go-faster/errors"
)

// Ready is the work that the core hands to its caller. The caller, in this
// order:
//
//  1. writes Snapshot, if any, dropping its whole log; then writes Entries,
//     replacing any from the first one's index on; then writes HardState;
//     syncs if MustSync is set;
//  2. sends Messages, any of which may get lost;
//  3. restores the state machine from Snapshot, if any, and applies
//     CommittedEntries;
//  4. answers ConfirmedReads from the state reached, and fails LostProposals
//     and LostReads;
//  5. calls Advance.
//
// No other method may be called between Ready and Advance.
type Ready struct {
	// HardState is zero when unchanged.
	HardState HardState
	// MustSync is set when the snapshot, the entries or the hard state must be
	// durable before Messages are sent. A hard state in which only Commit has
	// changed need not be.
	MustSync bool
	// Snapshot is the snapshot to install, or nil. It comes from the leader, or
	// from Config if its installation was interrupted.
	Snapshot *Snapshot
	// Entries are to be appended to the log on disk.
	Entries []Entry
	// OverwriteFrom is the index from which Entries replace entries on disk, or
	// 0 if they only extend the log.
	OverwriteFrom uint64
	// Messages are to be sent once HardState, Snapshot and Entries are durable.
	Messages []Message
	// CommittedEntries are the next entries to apply, of all kinds.
	CommittedEntries []Entry
	// ConfirmedReads are the reads to answer. Their indexes are committed, in
	// this or an earlier Ready.
	ConfirmedReads []ConfirmedRead
	// LostProposals are the proposals of this member that were not committed
	// when it stopped leading. A later leader may still commit them.
	LostProposals []Proposal
	// LostReads are the contexts of reads that will not be confirmed.
	LostReads []uint64
}

// Empty reports whether r holds no work.
func (r Ready) Empty() bool {
	return r.HardState == (HardState{}) && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.CommittedEntries) == 0 && len(r.ConfirmedReads) == 0 && len(r.LostProposals) == 0 && len(r.LostReads) == 0
}

// Ready returns the work that has accumulated since the last Advance.
func (c *Core) Ready() Ready {
	if c.role == RoleLeader {
		c.startReadRound()
		c.replicateAll()
	}
	r := Ready{
		Snapshot:         c.installingSnapshot,
		Entries:          c.log.slice(c.log.durableIndex+1, c.log.lastIndex()),
		Messages:         slices.Clip(c.messages),
		CommittedEntries: c.log.slice(c.appliedIndex+1, c.commitIndex),
		ConfirmedReads:   slices.Clip(c.confirmedReads),
		LostProposals:    slices.Clip(c.lostProposals),
		LostReads:        slices.Clip(c.lostReads),
	}
	if hs := c.hardState(); hs != c.savedHardState {
		r.HardState = hs
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || c.term != c.savedHardState.Term || c.votedFor != c.savedHardState.Vote
	if len(r.Entries) > 0 && c.log.writtenIndex > c.log.durableIndex {
		r.OverwriteFrom = r.Entries[0].Index
	}
	return r
}

// hardState returns the current term, vote and commit index in the form to be saved.
func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.votedFor, Commit: c.commitIndex}
}

// Advance reports that all work in r, the result of the last Ready, is done.
func (c *Core) Advance(r Ready) {
	if r.HardState != (HardState{}) {
		c.savedHardState = r.HardState
	}
	c.installingSnapshot = nil
	if len(r.Entries) > 0 {
		c.log.markDurable(r.Entries[len(r.Entries)-1].Index)
	}
	if len(r.CommittedEntries) > 0 {
		c.appliedIndex = r.CommittedEntries[len(r.CommittedEntries)-1].Index
	}
	c.messages = nil
	c.confirmedReads = nil
	c.lostProposals = nil
	c.lostReads = nil
	if c.role == RoleLeader {
		c.updateOwnProgress()
		c.advanceCommit()
	}
}

// Compact replaces the log up to index by a snapshot. data is the state of the
// state machine after the entry at index, which must have been applied. The
// caller makes the returned snapshot durable and may then drop its log up to
// index. Compact returns ErrCompacted or ErrNotApplied.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= c.snapshot.Index {
		return Snapshot{}, errors.Wrapf(ErrCompacted, "compact up to index %d", index)
	}
	if index > c.appliedIndex {
		return Snapshot{}, errors.Wrapf(ErrNotApplied, "compact up to index %d, applied up to %d", index, c.appliedIndex)
	}
	term, _ := c.log.termAt(index)
	c.snapshot = Snapshot{Index: index, Term: term, Members: slices.Clone(c.memberships.at(index).members), Data: data}
	c.memberships.compact(index)
	if trailing := c.log.trailingCount(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes); index > trailing {
		c.log.compact(index - trailing)
	}
	return c.snapshot, nil
}
