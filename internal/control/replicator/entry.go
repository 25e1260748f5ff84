package replicator

import (
	"slices"

	"github.com/go-faster/errors"
)

// EntryKind tells what the data of an entry holds.
type EntryKind uint8

// Entry kinds.
const (
	// EntryNoop has no data. A new leader starts its term with one.
	EntryNoop EntryKind = iota // noop
	// EntryNormal holds a proposal, that is a command for the state machine.
	EntryNormal // normal
	// EntryMembers holds the membership that applies from this entry on.
	EntryMembers // members
)

// entryOverheadBytes is the size that an entry counts for besides its data.
const entryOverheadBytes = 32

// Entry is one entry of the log.
type Entry struct {
	// Term is that of the leader that appended the entry.
	Term uint64
	// Index is the position in the log.
	Index uint64
	// Kind says what Data holds.
	Kind EntryKind
	// Data is what Kind says.
	Data []byte
}

// size returns the bytes that e counts for in the limits of Config.
func (e Entry) size() int { return entryOverheadBytes + len(e.Data) }

// HardState holds Term and Vote, which must be durable before any message is
// sent, and Commit, which may be stored later.
type HardState struct {
	// Term is the newest term that the member has entered.
	Term uint64
	// Vote is the id voted for in Term, or 0.
	Vote uint64
	// Commit is the last index known to be committed.
	Commit uint64
}

// Snapshot is the state of the state machine after the entry at Index, which it
// replaces together with all earlier entries.
type Snapshot struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Members is the membership in force at Index.
	Members []Member
	// Data is the encoded state of the state machine.
	Data []byte
}

// Bootstrap returns the initial state of a new group whose state machine holds
// data and whose members are all voters. In a group with several voters, each
// one needs the same initial state.
func Bootstrap(data []byte, voters ...Member) Snapshot {
	members := slices.Clone(voters)
	for i := range members {
		members[i].Voter = true
	}
	return Snapshot{Index: 1, Term: 1, Members: sortByID(members), Data: data}
}

// checkContinuity returns an error if entries do not continue a log that ends
// at index with the given term.
func checkContinuity(entries []Entry, index, term uint64) error {
	for _, e := range entries {
		if e.Index != index+1 {
			return errors.Errorf("entry %d follows entry %d", e.Index, index)
		}
		if e.Term < term {
			return errors.Errorf("entry %d of term %d follows term %d", e.Index, e.Term, term)
		}
		if e.Kind > EntryMembers {
			return errors.Errorf("entry %d has unknown kind %d", e.Index, e.Kind)
		}
		index = e.Index
		term = e.Term
	}
	return nil
}

// entryLog holds the entries after baseIndex in memory.
type entryLog struct {
	// baseIndex and baseTerm are those of the last entry dropped from memory.
	baseIndex uint64
	baseTerm  uint64
	// entries is contiguous; the first one is at baseIndex+1.
	entries []Entry
	// durableIndex is the last index that is durable and not to be overwritten.
	durableIndex uint64
	// writtenIndex is the last index in the log on disk, including entries that
	// the next write overwrites.
	writtenIndex uint64
}

// lastIndex returns the index of the last entry, or baseIndex if none is in memory.
func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// termAt returns the term of the entry at index, and whether it is still known.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the log is known to hold an entry at index with the
// given term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.termAt(index)
	return ok && t == term
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.baseIndex-1, last-l.baseIndex
	return l.entries[from:to:to]
}

// append replaces all entries from the first new one's index on. It allocates a
// new array instead of overwriting entries, which may have been handed out in a
// Ready or a message.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.baseIndex - 1
	if keep < uint64(len(l.entries)) {
		l.entries = l.entries[:keep:keep]
		l.durableIndex = min(l.durableIndex, entries[0].Index-1)
	}
	l.entries = append(l.entries, entries...)
}

// markDurable records that all entries up to index are durable.
func (l *entryLog) markDurable(index uint64) {
	l.durableIndex = index
	l.writtenIndex = index
}

// trailingCount returns how many of the last entries up to index to keep: at
// most count, of at most size bytes in total.
func (l *entryLog) trailingCount(index uint64, count, size int) uint64 {
	kept := uint64(0)
	for kept < uint64(count) && index-kept > l.baseIndex {
		size -= l.entries[index-kept-l.baseIndex-1].size()
		if size < 0 {
			break
		}
		kept++
	}
	return kept
}

// compact drops the entries up to index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.termAt(index)
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex = index
	l.baseTerm = term
}

// resetToSnapshot replaces the whole log by a snapshot at index.
func (l *entryLog) resetToSnapshot(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, durableIndex: index, writtenIndex: index}
}

// lastWithTermAtMost returns the last index up to limit whose term is at most
// term, and the term of that index. It looks back no further than baseIndex,
// and returns term 0 if the term at the result is unknown.
func (l *entryLog) lastWithTermAtMost(limit, term uint64) (uint64, uint64) {
	for limit > l.baseIndex {
		t, ok := l.termAt(limit)
		if ok && t <= term {
			return limit, t
		}
		limit--
	}
	if limit == l.baseIndex {
		return limit, l.baseTerm
	}
	return limit, 0
}
