package server

import (
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/replicator"
)

// batchOf returns what the journal has to store of r.
func batchOf(r replicator.Ready) (journaler.Batch, error) {
	var b journaler.Batch
	if r.HardState != (replicator.HardState{}) {
		h := journaler.HardState(r.HardState)
		b.HardState = &h
	}
	if r.Snapshot != nil {
		s, err := storedSnapshot(*r.Snapshot)
		if err != nil {
			return b, err
		}
		b.Snapshot = &s
	}
	for _, e := range r.Entries {
		b.Records = append(b.Records, journaler.Record{Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data})
	}
	return b, nil
}

// storedSnapshot puts the membership in front of the snapshot's data.
func storedSnapshot(s replicator.Snapshot) (journaler.Snapshot, error) {
	members, err := json.Marshal(s.Members)
	if err != nil {
		return journaler.Snapshot{}, errors.Wrap(err, "encode membership")
	}
	data := binary.AppendUvarint(nil, uint64(len(members)))
	data = append(data, members...)
	data = append(data, s.Data...)
	return journaler.Snapshot{Index: s.Index, Term: s.Term, Data: data}, nil
}

// loadedSnapshot is the inverse of storedSnapshot.
func loadedSnapshot(s journaler.Snapshot) (replicator.Snapshot, error) {
	out := replicator.Snapshot{Index: s.Index, Term: s.Term}
	if s.Index == 0 {
		return out, nil
	}
	length, n := binary.Uvarint(s.Data)
	if n <= 0 || length > uint64(len(s.Data)-n) {
		return out, errors.Wrap(journaler.ErrDamaged, "snapshot without membership")
	}
	rest := s.Data[n:]
	if err := json.Unmarshal(rest[:length], &out.Members); err != nil {
		return out, errors.Wrapf(journaler.ErrDamaged, "membership of the snapshot: %v", err)
	}
	out.Data = rest[length:]
	return out, nil
}

// loadedEntries returns the records as entries.
func loadedEntries(records []journaler.Record) []replicator.Entry {
	var entries []replicator.Entry
	for _, r := range records {
		entries = append(entries, replicator.Entry{Term: r.Term, Index: r.Index, Kind: replicator.EntryKind(r.Kind), Data: r.Data})
	}
	return entries
}

// smallSnapshot is the size in bytes up to which a snapshot takes the loop a
// few milliseconds only.
const smallSnapshot = 1 << 20

// longLog is the size in bytes of entries since the last snapshot from which
// another one is due whatever their number. It keeps a disk of 128 MB from
// filling up with large documents.
const longLog = 8 << 20

// snapshotMark is where the last snapshot was made.
type snapshotMark struct {
	index uint64
	// size is that of the snapshot and grown that of the entries applied since,
	// in bytes.
	size  int
	grown int
}

// due reports whether every entries were applied since the last snapshot. A
// snapshot of a full order ledger takes the loop a quarter of a second, so a
// large one waits until the log has grown as much as the snapshot holds.
func (m snapshotMark) due(applied, every uint64) bool {
	if m.grown >= longLog && m.grown >= 2*m.size {
		return true
	}
	return applied >= m.index+every && (m.size <= smallSnapshot || m.grown >= m.size)
}
