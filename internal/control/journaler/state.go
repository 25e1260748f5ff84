// Package journaler keeps the replicated log and its snapshots on disk.
//
// A data folder holds a lock file and numbered segment files. A segment is a
// sequence of pages of the size that a disk writes atomically, each with its
// own checksum. Every saved batch starts on a page of its own, so that after
// a crash a page is either complete, absent or damaged, and damage is never
// mistaken for an unfinished write.
package journaler

import (
	"slices"

	"github.com/go-faster/errors"
)

// Record is one entry of the replicated log.
type Record struct {
	Term  uint64
	Index uint64
	Kind  uint32
	Data  []byte
}

// HardState is what a host must not forget about elections and commitment.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot replaces the log up to and including Index. Index 0 means none.
type Snapshot struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// State is all that a data folder holds. Records are contiguous; they end at
// or after the snapshot's index and may start before it.
type State struct {
	// Identity is the random number made with the folder.
	Identity  uint64
	HardState HardState
	Snapshot  Snapshot
	Records   []Record
}

// Batch is one atomic step of the state. The snapshot takes effect first,
// then the records.
type Batch struct {
	// HardState replaces the hard state unless nil.
	HardState *HardState
	// Snapshot replaces the snapshot unless nil. Records are kept if the one
	// at the snapshot's index has the snapshot's term, else all are dropped.
	Snapshot *Snapshot
	// Records are contiguous and replace everything from the first one's index.
	Records []Record
}

// ErrSequence reports a batch that does not continue the stored log. Nothing
// was written.
var ErrSequence = errors.New("records do not continue the log")

// Empty reports whether the batch changes nothing.
func (b Batch) Empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Records) == 0
}

// LastIndex returns the index of the last record, or of the snapshot.
func (s *State) LastIndex() uint64 {
	if n := len(s.Records); n > 0 {
		return s.Records[n-1].Index
	}
	return s.Snapshot.Index
}

// check reports whether b can be applied. A snapshot may not go back: the
// records before the present one may be gone.
func (s *State) check(b Batch) error {
	t := State{Snapshot: s.Snapshot, Records: s.Records}
	if b.Snapshot != nil {
		if b.Snapshot.Index < s.Snapshot.Index {
			return errors.Wrapf(ErrSequence, "snapshot at %d after one at %d", b.Snapshot.Index, s.Snapshot.Index)
		}
		t.restore(*b.Snapshot)
	}
	if len(b.Records) == 0 {
		return nil
	}
	first, least := b.Records[0].Index, t.Snapshot.Index+1
	if len(t.Records) > 0 {
		least = t.Records[0].Index
	}
	if first < least || first > t.LastIndex()+1 {
		return errors.Wrapf(ErrSequence, "record %d outside %d to %d", first, least, t.LastIndex()+1)
	}
	for i, r := range b.Records {
		if r.Index != first+uint64(i) {
			return errors.Wrapf(ErrSequence, "record %d in place of %d", r.Index, first+uint64(i))
		}
	}
	if end := b.Records[len(b.Records)-1].Index; end < t.Snapshot.Index {
		return errors.Wrapf(ErrSequence, "records end at %d before the snapshot at %d", end, t.Snapshot.Index)
	}
	return nil
}

// apply performs a batch that check accepts.
func (s *State) apply(b Batch) {
	if b.HardState != nil {
		s.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		s.restore(*b.Snapshot)
	}
	if len(b.Records) == 0 {
		return
	}
	if len(s.Records) > 0 {
		s.Records = s.Records[:b.Records[0].Index-s.Records[0].Index]
	}
	s.Records = append(s.Records, b.Records...)
}

func (s *State) restore(snapshot Snapshot) {
	if !s.holds(snapshot.Index, snapshot.Term) {
		s.Records = nil
	}
	s.Snapshot = snapshot
}

func (s *State) holds(index, term uint64) bool {
	if len(s.Records) == 0 || index < s.Records[0].Index || index > s.LastIndex() {
		return false
	}
	return s.Records[index-s.Records[0].Index].Term == term
}

// compact drops the records that the snapshot covers.
func (s *State) compact() {
	drop := 0
	for drop < len(s.Records) && s.Records[drop].Index <= s.Snapshot.Index {
		drop++
	}
	s.Records = slices.Clone(s.Records[drop:])
}
