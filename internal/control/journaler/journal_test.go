package journaler

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/test/seeder"
)

// TestMain fixes the seed so that runs are repeatable.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 3000})
	os.Exit(m.Run())
}

const testFolder = "/parent/data"

// model holds the state that the journal must hold, and the state that it may
// hold instead after an interrupted call.
type model struct {
	t            *rapid.T
	fsys         *fakeFileSystem
	journal      *Journal
	ackedState   State
	unackedState *State
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, fsys: newFakeFileSystem()}
	identity, err := CreateOn(m.fsys, testFolder)
	require.NoError(t, err)
	m.ackedState.Identity = identity
	m.open()
	return m
}

// open opens the folder and checks that it holds one of the allowed states.
func (m *model) open() {
	j, state, err := OpenOn(m.fsys, testFolder)
	require.NoError(m.t, err)
	if m.unackedState != nil && equalStates(state, *m.unackedState) {
		m.ackedState = *m.unackedState
	}
	m.unackedState = nil
	require.True(m.t, equalStates(state, m.ackedState), "read %+v, acknowledged %+v", state, m.ackedState)
	j.sizeLimit = 4 * pageSize // many segments
	m.journal = j
}

// crash restarts the file system and opens the journal again.
func (m *model) crash() {
	seed := rapid.Uint64().Draw(m.t, "crash")
	m.fsys.restart(rand.New(rand.NewPCG(seed, 0)))
	m.open()
}

// recordResult records the result of a call that leads to the state next. The
// only allowed error is that of a crash.
func (m *model) recordResult(next State, err error) {
	if err == nil {
		m.ackedState = next
		return
	}
	require.ErrorIs(m.t, err, errCrash)
	m.unackedState = &next
	m.crash()
}

// randomBatch returns a batch that the journal must accept.
func (m *model) randomBatch() Batch {
	t := m.t
	var b Batch
	if rapid.Bool().Draw(t, "hard") {
		b.HardState = &HardState{Term: rapid.Uint64().Draw(t, "term"), Vote: rapid.Uint64().Draw(t, "vote"), Commit: rapid.Uint64().Draw(t, "commit")}
	}
	next := cloneState(m.ackedState)
	if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
		snapshot := m.randomSnapshot()
		b.Snapshot = &snapshot
		next.applyBatch(Batch{Snapshot: b.Snapshot})
	}
	first := next.Snapshot.Index + 1
	if next.LastIndex() >= first {
		first = rapid.Uint64Range(first, next.LastIndex()+1).Draw(t, "first")
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "records") {
		b.Records = append(b.Records, Record{
			Term:  rapid.Uint64Range(1, 2).Draw(t, "record term"),
			Index: first + uint64(i),
			Kind:  rapid.Uint32Range(0, 3).Draw(t, "kind"),
			Data:  randomPayload(t),
		})
	}
	return b
}

// randomPayload returns data whose length is between 0 and a few pages. It may
// contain whole pages of zeros, which must not be mistaken for absent pages.
func randomPayload(t *rapid.T) []byte {
	n := rapid.SampledFrom([]int{0, 1, 100, maxPagePayload, pageSize, 700, 3 * pageSize}).Draw(t, "length")
	return bytes.Repeat([]byte{rapid.SampledFrom([]byte{0, 7, 255}).Draw(t, "fill")}, n)
}

func cloneState(s State) State {
	s.Records = append([]Record(nil), s.Records...)
	return s
}

func equalStates(a, b State) bool {
	equal := a.Identity == b.Identity && a.HardState == b.HardState && len(a.Records) == len(b.Records) &&
		a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data)
	for i := 0; equal && i < len(a.Records); i++ {
		x, y := a.Records[i], b.Records[i]
		equal = x.Term == y.Term && x.Index == y.Index && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
	}
	return equal
}

func (m *model) save() {
	b := m.randomBatch()
	next := cloneState(m.ackedState)
	next.applyBatch(b)
	m.recordResult(next, m.journal.Save(b))
}

func (m *model) compact() {
	snapshot := m.randomSnapshot()
	next := cloneState(m.ackedState)
	next.applyBatch(Batch{Snapshot: &snapshot})
	next.dropCoveredRecords()
	m.recordResult(next, m.journal.Compact(snapshot))
}

func (m *model) randomSnapshot() Snapshot {
	return Snapshot{
		Index: rapid.Uint64Range(m.ackedState.Snapshot.Index, m.ackedState.LastIndex()+3).Draw(m.t, "index"),
		Term:  rapid.Uint64Range(1, 2).Draw(m.t, "snapshot term"),
		Data:  randomPayload(m.t),
	}
}

// randomAction saves, compacts or crashes, and may be interrupted by a crash.
func (m *model) randomAction() {
	if rapid.IntRange(0, 3).Draw(m.t, "interrupt") == 0 {
		m.fsys.stepsToCrash = rapid.IntRange(1, 8).Draw(m.t, "steps")
	}
	switch rapid.IntRange(0, 9).Draw(m.t, "action") {
	case 0:
		m.crash()
	case 1, 2:
		m.compact()
	default:
		m.save()
	}
	m.fsys.stepsToCrash = 0
}

// Guards against losing or changing acknowledged state, and against states that
// were never saved or hold a part of a batch, after a crash at any step.
func TestAcknowledgedSurvivesCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(5, 25).Draw(t, "actions") {
			m.randomAction()
		}
		m.crash()
	})
}

// Guards against reading damaged data as valid, and against mistaking damage to
// an acknowledged batch for an unfinished write.
func TestFlippedByteIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(2, 10).Draw(t, "actions") {
			m.randomAction()
		}
		interrupted := rapid.Bool().Draw(t, "torn")
		if interrupted {
			m.fsys.stepsToCrash = rapid.IntRange(1, 2).Draw(t, "steps")
			b := m.randomBatch()
			next := cloneState(m.ackedState)
			next.applyBatch(b)
			if m.journal.Save(b) == nil {
				m.ackedState = next
			} else {
				m.unackedState = &next
			}
		}
		seed := rapid.Uint64().Draw(t, "crash")
		m.fsys.restart(rand.New(rand.NewPCG(seed, 0)))
		used := flipByte(t, m.fsys)
		_, state, err := OpenOn(m.fsys, testFolder)
		if err == nil {
			ok := equalStates(state, m.ackedState) || (m.unackedState != nil && equalStates(state, *m.unackedState))
			require.True(t, ok && (interrupted || !used), "a flipped byte was not noticed")
			return
		}
		require.ErrorIs(t, err, ErrDamaged)
	})
}

// flipByte changes one byte of one segment and reports whether that segment is
// in use. An interrupted compaction leaves segments that are not.
func flipByte(t *rapid.T, d *fakeFileSystem) (used bool) {
	names, _ := d.List(testFolder)
	var segments []*fakeFile
	firstInUse := 0
	for _, name := range names {
		sequence, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		f := d.files[filepath.Join(testFolder, name)]
		h, err := decodeSegmentHeader(f.data, sequence)
		require.NoError(t, err)
		if h.checkpoint {
			firstInUse = len(segments)
		}
		segments = append(segments, f)
	}
	n := rapid.IntRange(0, len(segments)-1).Draw(t, "segment")
	at := rapid.IntRange(0, len(segments[n].data)-1).Draw(t, "byte")
	segments[n].data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
	return n >= firstInUse
}

// makeRecords returns n records with consecutive indexes from first on.
func makeRecords(first, n uint64) []Record {
	var list []Record
	for i := range n {
		list = append(list, Record{Term: 1, Index: first + i, Data: make([]byte, 100)})
	}
	return list
}

func openOnFake(t *testing.T) (*fakeFileSystem, *Journal) {
	d := newFakeFileSystem()
	_, err := CreateOn(d, testFolder)
	require.NoError(t, err)
	j, _, err := OpenOn(d, testFolder)
	require.NoError(t, err)
	return d, j
}

// Guards against mistaking the loss of an acknowledged batch for an unfinished
// write while a later batch is still there.
func TestLostPageIsDamage(t *testing.T) {
	for _, at := range []int{2, 3} {
		d, j := openOnFake(t)
		require.NoError(t, j.Save(Batch{Records: makeRecords(1, 1)}))
		require.NoError(t, j.Save(Batch{Records: makeRecords(2, 1)}))
		require.NoError(t, j.Save(Batch{Records: makeRecords(3, 1)}))
		require.NoError(t, j.Close())
		f := d.files[filepath.Join(testFolder, segmentName(1))]
		clear(f.data[at*pageSize : (at+1)*pageSize])
		_, _, err := OpenOn(d, testFolder)
		require.ErrorIs(t, err, ErrDamaged)
	}
}

// Guards against more than one sync for each batch, which halves the
// throughput.
func TestSaveSyncsOnce(t *testing.T) {
	d, j := openOnFake(t)
	before := d.syncs
	require.NoError(t, j.Save(Batch{HardState: &HardState{Term: 1}, Snapshot: &Snapshot{Index: 9, Term: 1}, Records: makeRecords(10, 64)}))
	require.Equal(t, 1, d.syncs-before)
}

// Guards against trusting a second sync after one has failed.
func TestFailedSyncIsFinal(t *testing.T) {
	d, j := openOnFake(t)
	d.failNextSync = true
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(1, 1)}), ErrSyncFailed)
	syncs := d.syncs
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(1, 1)}), ErrSyncFailed)
	require.ErrorIs(t, j.Compact(Snapshot{}), ErrSyncFailed)
	require.Equal(t, syncs, d.syncs, "the sync was retried")
}

// Guards against losing acknowledged records, or storing a part of a batch,
// when the disk is full.
func TestFullDisk(t *testing.T) {
	d, j := openOnFake(t)
	require.NoError(t, j.Save(Batch{Records: makeRecords(1, 3)}))
	d.freeBytes = 700
	require.ErrorIs(t, j.Compact(Snapshot{Index: 1, Term: 1, Data: make([]byte, 1000)}), ErrDiskFull)
	d.freeBytes = 700
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(4, 30)}), ErrDiskFull)
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(4, 1)}), ErrDiskFull)
	require.NoError(t, j.Close())
	d.freeBytes = -1
	j, state, err := OpenOn(d, testFolder)
	require.NoError(t, err)
	require.Len(t, state.Records, 3)
	require.NoError(t, j.Save(Batch{Records: makeRecords(4, 1)}))
}

// Guards against a journal that refuses the batch for good that found the disk full,
// although there is room again.
func TestFullDiskRetry(t *testing.T) {
	d, j := openOnFake(t)
	require.NoError(t, j.Save(Batch{Records: makeRecords(1, 3)}))
	d.freeBytes = 700
	batch := Batch{Records: makeRecords(4, 30)}
	require.ErrorIs(t, j.Save(batch), ErrDiskFull)
	require.ErrorIs(t, j.Save(batch), ErrDiskFull)
	d.freeBytes = -1
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(4, 1)}), ErrDiskFull, "another batch may leave a part of the first behind")
	require.NoError(t, j.Save(batch))
	require.NoError(t, j.Save(Batch{Records: makeRecords(34, 1)}))
	require.NoError(t, j.Close())
	_, state, err := OpenOn(d, testFolder)
	require.NoError(t, err)
	require.Len(t, state.Records, 34)
}

// Guards against accepting a gap in the log or an older snapshot from a faulty
// caller.
func TestSaveRefusesGap(t *testing.T) {
	_, j := openOnFake(t)
	require.NoError(t, j.Save(Batch{Records: makeRecords(1, 3)}))
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(5, 1)}), ErrOutOfSequence)
	require.ErrorIs(t, j.Save(Batch{Records: makeRecords(0, 1)}), ErrOutOfSequence)
	require.NoError(t, j.Save(Batch{Records: makeRecords(4, 1)}))
	require.NoError(t, j.Compact(Snapshot{Index: 2, Term: 1}))
	require.ErrorIs(t, j.Compact(Snapshot{Index: 1, Term: 1}), ErrOutOfSequence)
}

// Guards against two processes that write to one folder, a second identity for
// a folder in use, and segments copied from another host. It uses real files.
func TestFolder(t *testing.T) {
	root := t.TempDir()
	a, b := filepath.Join(root, "a"), filepath.Join(root, "b")
	_, _, err := Open(a)
	require.ErrorIs(t, err, ErrNoState)
	identity, err := Create(a)
	require.NoError(t, err)
	j, state, err := Open(a)
	require.NoError(t, err)
	require.Equal(t, identity, state.Identity)
	_, _, err = Open(a)
	require.ErrorIs(t, err, ErrLocked)
	_, err = Create(a)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, j.Save(Batch{HardState: &HardState{Term: 1, Vote: 2, Commit: 3}, Records: makeRecords(1, 3)}))
	require.NoError(t, j.Close())
	_, err = Create(a)
	require.ErrorIs(t, err, ErrNotEmpty)

	other, err := Create(b)
	require.NoError(t, err)
	require.NotEqual(t, identity, other)
	foreign, err := os.ReadFile(filepath.Join(b, segmentName(1)))
	require.NoError(t, err)
	j, state, err = Open(a)
	require.NoError(t, err)
	require.Len(t, state.Records, 3)
	require.Equal(t, HardState{Term: 1, Vote: 2, Commit: 3}, state.HardState)
	require.NoError(t, j.Compact(Snapshot{}))
	require.Positive(t, j.Size())
	require.NoError(t, j.Close())
	require.NoError(t, os.WriteFile(filepath.Join(a, segmentName(1)), foreign, 0o600))
	_, _, err = Open(a)
	require.ErrorIs(t, err, ErrForeign)
}
