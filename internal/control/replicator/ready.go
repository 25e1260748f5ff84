package replicator

import (
	"slices"

	"github.com/go-faster/errors"
)

// Ready is the work that the core asks for. The caller, in this order:
//
//  1. writes Snapshot, if any, dropping its whole log; then writes Entries,
//     replacing any from the first one's index on; then writes HardState;
//     syncs if MustSync is set;
//  2. sends Messages, of which any may get lost;
//  3. restores the state machine from Snapshot, if any, and applies Committed;
//  4. answers Reads from the state reached, and fails Lost and LostReads;
//  5. calls Advance.
//
// No other method is called between Ready and Advance.
type Ready struct {
	// HardState is zero when unchanged.
	HardState HardState
	// MustSync is set when something has to be durable before Messages are
	// sent. A hard state in which only Commit moved need not be.
	MustSync bool
	// Snapshot is a snapshot to install, or nil. It has been received, or it
	// is that of Config when its installation was interrupted.
	Snapshot *Snapshot
	// Entries are to be appended to the log on disk.
	Entries []Entry
	// Overwrite is the index from which Entries replace older entries, or 0
	// if they only extend the log on disk.
	Overwrite uint64
	// Messages may be sent once the above is durable.
	Messages []Message
	// CommittedEntries are the next entries to apply, of all kinds.
	CommittedEntries []Entry
	// ConfirmedReads are confirmed reads. Their indexes are at most the last one
	// committed, in this or an earlier Ready.
	ConfirmedReads []ConfirmedRead
	// LostProposals are proposals of this member that were not committed when it
	// stopped leading. A later leader may still commit them.
	LostProposals []Proposal
	// LostReads are the contexts of reads that will not be confirmed.
	LostReads []uint64
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == (HardState{}) && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.CommittedEntries) == 0 && len(r.ConfirmedReads) == 0 && len(r.LostProposals) == 0 && len(r.LostReads) == 0
}

// Ready returns the work that has come up since the last Advance.
func (c *Core) Ready() Ready {
	if c.role == RoleLeader {
		c.startReadRound()
		c.flush()
	}
	r := Ready{
		Snapshot:         c.installing,
		Entries:          c.log.slice(c.log.stable+1, c.log.last()),
		Messages:         slices.Clip(c.messages),
		CommittedEntries: c.log.slice(c.applied+1, c.commit),
		ConfirmedReads:   slices.Clip(c.confirmed),
		LostProposals:    slices.Clip(c.lost),
		LostReads:        slices.Clip(c.lostReads),
	}
	if hs := c.hardState(); hs != c.saved {
		r.HardState = hs
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || c.term != c.saved.Term || c.vote != c.saved.Vote
	if len(r.Entries) > 0 && c.log.written > c.log.stable {
		r.Overwrite = r.Entries[0].Index
	}
	return r
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

// Advance reports that all of r, which the last Ready returned, is done.
func (c *Core) Advance(r Ready) {
	if r.HardState != (HardState{}) {
		c.saved = r.HardState
	}
	c.installing = nil
	if len(r.Entries) > 0 {
		c.log.persisted(r.Entries[len(r.Entries)-1].Index)
	}
	if len(r.CommittedEntries) > 0 {
		c.applied = r.CommittedEntries[len(r.CommittedEntries)-1].Index
	}
	c.messages = nil
	c.confirmed = nil
	c.lost = nil
	c.lostReads = nil
	if c.role == RoleLeader {
		c.updateSelf()
		c.advanceCommit()
	}
}

// Compact replaces the log up to index, which has been applied, by a snapshot
// whose data is the state machine's state after that entry. The caller makes
// the returned snapshot durable and then may drop its log up to index. Compact
// returns ErrCompacted or ErrNotApplied.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= c.snapshot.Index {
		return Snapshot{}, errors.Wrapf(ErrCompacted, "compact up to %d", index)
	}
	if index > c.applied {
		return Snapshot{}, errors.Wrapf(ErrNotApplied, "compact up to %d of %d", index, c.applied)
	}
	term, _ := c.log.term(index)
	c.snapshot = Snapshot{Index: index, Term: term, Members: slices.Clone(c.members.at(index).members), Data: data}
	c.members.compact(index)
	if trailing := c.log.trailing(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes); index > trailing {
		c.log.compact(index - trailing)
	}
	return c.snapshot, nil
}
