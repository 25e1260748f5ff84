package server

import (
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/replicator"
)

// journalBatch returns what the journal has to store of r.
func journalBatch(r replicator.Ready) (journaler.Batch, error) {
	var b journaler.Batch
	if r.HardState != (replicator.HardState{}) {
		h := journaler.HardState(r.HardState)
		b.HardState = &h
	}
	if r.Snapshot != nil {
		s, err := encodeSnapshot(*r.Snapshot)
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

// encodeSnapshot puts the membership in front of the snapshot's data, because the
// journal stores only one block of data with a snapshot.
func encodeSnapshot(s replicator.Snapshot) (journaler.Snapshot, error) {
	members, err := json.Marshal(s.Members)
	if err != nil {
		return journaler.Snapshot{}, errors.Wrap(err, "encode membership")
	}
	data := binary.AppendUvarint(nil, uint64(len(members)))
	data = append(data, members...)
	data = append(data, s.Data...)
	return journaler.Snapshot{Index: s.Index, Term: s.Term, Data: data}, nil
}

// decodeSnapshot is the inverse of encodeSnapshot.
func decodeSnapshot(s journaler.Snapshot) (replicator.Snapshot, error) {
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
		return out, errors.Wrapf(journaler.ErrDamaged, "decode membership of the snapshot: %v", err)
	}
	out.Data = rest[length:]
	return out, nil
}

// entriesFromRecords converts the journal's records to entries of the log core.
func entriesFromRecords(records []journaler.Record) []replicator.Entry {
	var entries []replicator.Entry
	for _, r := range records {
		entries = append(entries, replicator.Entry{Term: r.Term, Index: r.Index, Kind: replicator.EntryKind(r.Kind), Data: r.Data})
	}
	return entries
}

// smallSnapshotBytes is the size up to which a snapshot blocks the loop for no more
// than a few milliseconds.
const smallSnapshotBytes = 1 << 20

// longLogBytes is the size of the entries since the last snapshot from which another
// one is due whatever their number. It keeps a disk of 128 MB from filling up with
// large documents.
const longLogBytes = 8 << 20

// snapshotProgress describes the last snapshot and the growth of the log since. It
// decides when the next snapshot is due.
type snapshotProgress struct {
	// index is that of the last entry in the snapshot.
	index uint64
	// snapshotBytes is the size of the snapshot's data.
	snapshotBytes int
	// logBytes is the size of the entries that were applied since the snapshot.
	logBytes int
}

// due reports whether to make a snapshot, which is after minEntries entries unless the
// last one was large. A snapshot of a full order ledger blocks the loop for a quarter
// of a second, so a large one waits until the log has grown by as many bytes as the
// snapshot has.
func (p snapshotProgress) due(applied, minEntries uint64) bool {
	if p.logBytes >= longLogBytes && p.logBytes >= 2*p.snapshotBytes {
		return true
	}
	return applied >= p.index+minEntries && (p.snapshotBytes <= smallSnapshotBytes || p.logBytes >= p.snapshotBytes)
}
