// Package journaler stores the replicated log and its snapshots on disk.
//
// A data folder holds a lock file and numbered segment files. A segment is a
// sequence of pages, each with its own checksum and of the size that a disk
// writes atomically. Every saved batch starts on a new page. After a crash, a
// page is therefore complete, absent or damaged, and damage is never mistaken
// for an unfinished write.
package journaler

import (
	"slices"

	"github.com/go-faster/errors"
)

// Record is the stored form of one entry of the replicated log. Its fields are
// those of replicator.Entry; Kind is stored without being interpreted.
type Record struct {
	// Term is that of the leader that appended the entry.
	Term uint64
	// Index is the position in the log.
	Index uint64
	Kind  uint32
	Data  []byte
}

// HardState is the state of a member that must survive a restart, besides the
// log. Its fields must match replicator.HardState, to which it is converted.
type HardState struct {
	// Term is the newest term that the member has entered.
	Term uint64
	// Vote is the id voted for in Term, or 0.
	Vote uint64
	// Commit is the last index known to be committed.
	Commit uint64
}

// Snapshot replaces the log up to and including Index. Index 0 means that there
// is no snapshot.
type Snapshot struct {
	// Index is that of the last entry that the snapshot covers.
	Index uint64
	// Term is that of the entry at Index.
	Term uint64
	// Data is stored without being interpreted.
	Data []byte
}

// State is everything that a data folder holds. Records are contiguous. They
// may start before the snapshot's index and never end before it.
type State struct {
	// Identity is the number that identifies the data folder. It is chosen when
	// the folder is created.
	Identity  uint64
	HardState HardState
	Snapshot  Snapshot
	// Records are the stored entries of the log, in the order of their indexes.
	Records []Record
}

// Batch is one atomic change of the state. The snapshot takes effect before the
// records.
type Batch struct {
	// HardState replaces the stored hard state unless it is nil.
	HardState *HardState
	// Snapshot replaces the stored snapshot unless it is nil. The stored
	// records are kept if the one at the snapshot's index has the snapshot's
	// term; otherwise all of them are dropped.
	Snapshot *Snapshot
	// Records are contiguous and replace all stored records from the first
	// one's index on.
	Records []Record
}

// ErrOutOfSequence means that a batch does not continue the stored log or that
// a snapshot is older than the stored one. Nothing was written.
var ErrOutOfSequence = errors.New("records do not continue the log")

// Empty reports whether b changes nothing.
func (b Batch) Empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Records) == 0
}

// LastIndex returns the index of the last record, or of the snapshot if there
// are no records.
func (s *State) LastIndex() uint64 {
	if n := len(s.Records); n > 0 {
		return s.Records[n-1].Index
	}
	return s.Snapshot.Index
}

// checkBatch returns ErrOutOfSequence if b cannot be applied. A snapshot must not
// be older than the stored one, because the records before that one may be gone.
func (s *State) checkBatch(b Batch) error {
	t := State{Snapshot: s.Snapshot, Records: s.Records}
	if b.Snapshot != nil {
		if b.Snapshot.Index < s.Snapshot.Index {
			return errors.Wrapf(ErrOutOfSequence, "snapshot at index %d is older than the stored one at %d", b.Snapshot.Index, s.Snapshot.Index)
		}
		t.setSnapshot(*b.Snapshot)
	}
	if len(b.Records) == 0 {
		return nil
	}
	first, least := b.Records[0].Index, t.Snapshot.Index+1
	if len(t.Records) > 0 {
		least = t.Records[0].Index
	}
	if first < least || first > t.LastIndex()+1 {
		return errors.Wrapf(ErrOutOfSequence, "first record %d is outside %d to %d", first, least, t.LastIndex()+1)
	}
	for i, r := range b.Records {
		if r.Index != first+uint64(i) {
			return errors.Wrapf(ErrOutOfSequence, "record %d instead of %d", r.Index, first+uint64(i))
		}
	}
	if end := b.Records[len(b.Records)-1].Index; end < t.Snapshot.Index {
		return errors.Wrapf(ErrOutOfSequence, "records end at %d before the snapshot at %d", end, t.Snapshot.Index)
	}
	return nil
}

// applyBatch applies a batch that checkBatch accepts.
func (s *State) applyBatch(b Batch) {
	if b.HardState != nil {
		s.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		s.setSnapshot(*b.Snapshot)
	}
	if len(b.Records) == 0 {
		return
	}
	if len(s.Records) > 0 {
		s.Records = s.Records[:b.Records[0].Index-s.Records[0].Index]
	}
	s.Records = append(s.Records, b.Records...)
}

// setSnapshot replaces the snapshot, and drops all records unless the log
// continues it.
func (s *State) setSnapshot(snapshot Snapshot) {
	if !s.holds(snapshot.Index, snapshot.Term) {
		s.Records = nil
	}
	s.Snapshot = snapshot
}

// holds reports whether the record at index is stored and has the given term.
func (s *State) holds(index, term uint64) bool {
	if len(s.Records) == 0 || index < s.Records[0].Index || index > s.LastIndex() {
		return false
	}
	return s.Records[index-s.Records[0].Index].Term == term
}

// dropCoveredRecords drops the records that the snapshot covers.
func (s *State) dropCoveredRecords() {
	drop := 0
	for drop < len(s.Records) && s.Records[drop].Index <= s.Snapshot.Index {
		drop++
	}
	s.Records = slices.Clone(s.Records[drop:])
}
