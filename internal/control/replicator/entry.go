package replicator

import (
	"slices"

	"github.com/go-faster/errors"
)

// EntryKind says what an entry holds.
type EntryKind uint8

// Entry kinds.
const (
	EntryNoop    EntryKind = iota // noop
	EntryNormal                   // normal
	EntryMembers                  // members
)

// entryOverhead is the size in bytes accounted for an entry besides its data.
const entryOverhead = 32

// Entry is one record of the log. The data of EntryNoop is empty, that of
// EntryMembers is the membership from this entry on.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) size() int { return entryOverhead + len(e.Data) }

// HardState is the state that must be durable before any message is sent.
type HardState struct {
	Term uint64
	// Vote is the id voted for in Term, or 0.
	Vote uint64
	// Commit is the last index known to be committed.
	Commit uint64
}

// Snapshot is the state machine's state after Index, with the membership at
// that index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// Bootstrap returns the first state of a new group: its state machine holds
// data and its members are voters. A group with several voters needs the same
// first state on each of them.
func Bootstrap(data []byte, voters ...Member) Snapshot {
	members := slices.Clone(voters)
	for i := range members {
		members[i].Voter = true
	}
	return Snapshot{Index: 1, Term: 1, Members: sorted(members), Data: data}
}

// checkEntries reports entries that do not continue a log that ends at index
// with term.
func checkEntries(entries []Entry, index, term uint64) error {
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

// entryLog holds the entries after base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// stable is the last index that is durable and not to be overwritten.
	stable uint64
	// written is the last index on disk, including entries that the next
	// write overwrites.
	written uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index, if it is still known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.base-1, last-l.base
	return l.entries[from:to:to]
}

// append replaces everything from the first entry's index on. It never writes
// into entries handed out before.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.base - 1
	if keep < uint64(len(l.entries)) {
		l.entries = l.entries[:keep:keep]
		l.stable = min(l.stable, entries[0].Index-1)
	}
	l.entries = append(l.entries, entries...)
}

// persisted records that everything up to index is durable.
func (l *entryLog) persisted(index uint64) {
	l.stable = index
	l.written = index
}

// trailing returns how many entries up to index to keep: at most count, of at
// most size bytes together.
func (l *entryLog) trailing(index uint64, count, size int) uint64 {
	kept := uint64(0)
	for kept < uint64(count) && index-kept > l.base {
		size -= l.entries[index-kept-l.base-1].size()
		if size < 0 {
			break
		}
		kept++
	}
	return kept
}

// compact forgets the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base = index
	l.baseTerm = term
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, written: index}
}

// floor returns the last index up to limit whose term is at most term, and
// that term. The search ends at the last index whose term is known.
func (l *entryLog) floor(limit, term uint64) (uint64, uint64) {
	for limit > l.base {
		t, ok := l.term(limit)
		if ok && t <= term {
			return limit, t
		}
		limit--
	}
	if limit == l.base {
		return limit, l.baseTerm
	}
	return limit, 0
}
