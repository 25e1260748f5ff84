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

func TestMain(m *testing.M) {
	seeder.Fix(seeder.Values{Seed: 1, Checks: 3000})
	os.Exit(m.Run())
}

const folder = "/parent/data"

// model is the state that the journal must hold, and the one that it may hold
// after an interrupted call.
type model struct {
	t        *rapid.T
	disk     *fakeDisk
	journal  *Journal
	acked    State
	inflight *State
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, disk: newFakeDisk()}
	identity, err := CreateOn(m.disk, folder)
	require.NoError(t, err)
	m.acked.Identity = identity
	m.open()
	return m
}

// open opens the folder and compares what it holds.
func (m *model) open() {
	j, state, err := OpenOn(m.disk, folder)
	require.NoError(m.t, err)
	if m.inflight != nil && same(state, *m.inflight) {
		m.acked = *m.inflight
	}
	m.inflight = nil
	require.True(m.t, same(state, m.acked), "read %+v, acknowledged %+v", state, m.acked)
	j.limit = 4 * pageSize // many segments
	m.journal = j
}

func (m *model) crash() {
	seed := rapid.Uint64().Draw(m.t, "crash")
	m.disk.restart(rand.New(rand.NewPCG(seed, 0)))
	m.open()
}

// done records the result of a call that leads to next.
func (m *model) done(next State, err error) {
	if err == nil {
		m.acked = next
		return
	}
	require.ErrorIs(m.t, err, errCrash)
	m.inflight = &next
	m.crash()
}

func (m *model) batch() Batch {
	t := m.t
	var b Batch
	if rapid.Bool().Draw(t, "hard") {
		b.HardState = &HardState{Term: rapid.Uint64().Draw(t, "term"), Vote: rapid.Uint64().Draw(t, "vote"), Commit: rapid.Uint64().Draw(t, "commit")}
	}
	next := copyOf(m.acked)
	if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
		snapshot := m.snapshot()
		b.Snapshot = &snapshot
		next.apply(Batch{Snapshot: b.Snapshot})
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
			Data:  payload(t),
		})
	}
	return b
}

// payload returns data of zero up to a few pages. It may hold zero pages,
// which must not be mistaken for absent ones.
func payload(t *rapid.T) []byte {
	n := rapid.SampledFrom([]int{0, 1, 100, pageRoom, pageSize, 700, 3 * pageSize}).Draw(t, "length")
	return bytes.Repeat([]byte{rapid.SampledFrom([]byte{0, 7, 255}).Draw(t, "fill")}, n)
}

func copyOf(s State) State {
	s.Records = append([]Record(nil), s.Records...)
	return s
}

func same(a, b State) bool {
	equal := a.Identity == b.Identity && a.HardState == b.HardState && len(a.Records) == len(b.Records) &&
		a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data)
	for i := 0; equal && i < len(a.Records); i++ {
		x, y := a.Records[i], b.Records[i]
		equal = x.Term == y.Term && x.Index == y.Index && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
	}
	return equal
}

func (m *model) save() {
	b := m.batch()
	next := copyOf(m.acked)
	next.apply(b)
	m.done(next, m.journal.Save(b))
}

func (m *model) compact() {
	snapshot := m.snapshot()
	next := copyOf(m.acked)
	next.apply(Batch{Snapshot: &snapshot})
	next.compact()
	m.done(next, m.journal.Compact(snapshot))
}

func (m *model) snapshot() Snapshot {
	return Snapshot{
		Index: rapid.Uint64Range(m.acked.Snapshot.Index, m.acked.LastIndex()+3).Draw(m.t, "index"),
		Term:  rapid.Uint64Range(1, 2).Draw(m.t, "snapshot term"),
		Data:  payload(m.t),
	}
}

// act performs one random action.
func (m *model) act() {
	if rapid.IntRange(0, 3).Draw(m.t, "interrupt") == 0 {
		m.disk.steps = rapid.IntRange(1, 8).Draw(m.t, "steps")
	}
	switch rapid.IntRange(0, 9).Draw(m.t, "action") {
	case 0:
		m.crash()
	case 1, 2:
		m.compact()
	default:
		m.save()
	}
	m.disk.steps = 0
}

// Guards against losing, changing or inventing state that was acknowledged,
// and against half a batch, after a crash at any step.
func TestAcknowledgedSurvivesCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(5, 25).Draw(t, "actions") {
			m.act()
		}
		m.crash()
	})
}

// Guards against reading damaged data as sound, and against mistaking damage
// to an acknowledged batch for an unfinished write.
func TestFlippedByteIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(2, 10).Draw(t, "actions") {
			m.act()
		}
		torn := rapid.Bool().Draw(t, "torn")
		if torn {
			m.disk.steps = rapid.IntRange(1, 2).Draw(t, "steps")
			b := m.batch()
			next := copyOf(m.acked)
			next.apply(b)
			if m.journal.Save(b) == nil {
				m.acked = next
			} else {
				m.inflight = &next
			}
		}
		seed := rapid.Uint64().Draw(t, "crash")
		m.disk.restart(rand.New(rand.NewPCG(seed, 0)))
		used := flipByte(t, m.disk)
		_, state, err := OpenOn(m.disk, folder)
		if err == nil {
			ok := same(state, m.acked) || (m.inflight != nil && same(state, *m.inflight))
			require.True(t, ok && (torn || !used), "a flipped byte was not noticed")
			return
		}
		require.ErrorIs(t, err, ErrDamaged)
	})
}

// flipByte changes one byte of one segment and reports whether the segment
// is in use; an interrupted compaction leaves some that are not.
func flipByte(t *rapid.T, d *fakeDisk) (used bool) {
	names, _ := d.List(folder)
	var segments []*fakeFile
	base := 0
	for _, name := range names {
		sequence, ok := segmentSequence(name)
		if !ok {
			continue
		}
		f := d.names[filepath.Join(folder, name)]
		h, err := readHead(f.data, sequence)
		require.NoError(t, err)
		if h.base {
			base = len(segments)
		}
		segments = append(segments, f)
	}
	n := rapid.IntRange(0, len(segments)-1).Draw(t, "segment")
	at := rapid.IntRange(0, len(segments[n].data)-1).Draw(t, "byte")
	segments[n].data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
	return n >= base
}

func records(first, n uint64) []Record {
	var list []Record
	for i := range n {
		list = append(list, Record{Term: 1, Index: first + i, Data: make([]byte, 100)})
	}
	return list
}

func openFake(t *testing.T) (*fakeDisk, *Journal) {
	d := newFakeDisk()
	_, err := CreateOn(d, folder)
	require.NoError(t, err)
	j, _, err := OpenOn(d, folder)
	require.NoError(t, err)
	return d, j
}

// Guards against taking the loss of an acknowledged batch for an unfinished
// write when a later batch is still there.
func TestLostPageIsDamage(t *testing.T) {
	for _, at := range []int{2, 3} {
		d, j := openFake(t)
		require.NoError(t, j.Save(Batch{Records: records(1, 1)}))
		require.NoError(t, j.Save(Batch{Records: records(2, 1)}))
		require.NoError(t, j.Save(Batch{Records: records(3, 1)}))
		require.NoError(t, j.Close())
		f := d.names[filepath.Join(folder, segmentName(1))]
		clear(f.data[at*pageSize : (at+1)*pageSize])
		_, _, err := OpenOn(d, folder)
		require.ErrorIs(t, err, ErrDamaged)
	}
}

// Guards against more than one sync for a batch, which halves throughput.
func TestSaveSyncsOnce(t *testing.T) {
	d, j := openFake(t)
	before := d.syncs
	require.NoError(t, j.Save(Batch{HardState: &HardState{Term: 1}, Snapshot: &Snapshot{Index: 9, Term: 1}, Records: records(10, 64)}))
	require.Equal(t, 1, d.syncs-before)
}

// Guards against trusting a second sync after a failed one.
func TestFailedSyncIsFinal(t *testing.T) {
	d, j := openFake(t)
	d.failSync = true
	require.ErrorIs(t, j.Save(Batch{Records: records(1, 1)}), ErrSyncFailed)
	syncs := d.syncs
	require.ErrorIs(t, j.Save(Batch{Records: records(1, 1)}), ErrSyncFailed)
	require.ErrorIs(t, j.Compact(Snapshot{}), ErrSyncFailed)
	require.Equal(t, syncs, d.syncs, "the sync was retried")
}

// Guards against losing acknowledged records, or half a batch, on a full disk.
func TestFullDisk(t *testing.T) {
	d, j := openFake(t)
	require.NoError(t, j.Save(Batch{Records: records(1, 3)}))
	d.room = 700
	require.ErrorIs(t, j.Compact(Snapshot{Index: 1, Term: 1, Data: make([]byte, 1000)}), ErrDiskFull)
	d.room = 700
	require.ErrorIs(t, j.Save(Batch{Records: records(4, 30)}), ErrDiskFull)
	require.ErrorIs(t, j.Save(Batch{Records: records(4, 1)}), ErrDiskFull)
	require.NoError(t, j.Close())
	d.room = -1
	j, state, err := OpenOn(d, folder)
	require.NoError(t, err)
	require.Len(t, state.Records, 3)
	require.NoError(t, j.Save(Batch{Records: records(4, 1)}))
}

// Guards against taking a gap in the log from a faulty caller.
func TestSaveRefusesGap(t *testing.T) {
	_, j := openFake(t)
	require.NoError(t, j.Save(Batch{Records: records(1, 3)}))
	require.ErrorIs(t, j.Save(Batch{Records: records(5, 1)}), ErrSequence)
	require.ErrorIs(t, j.Save(Batch{Records: records(0, 1)}), ErrSequence)
	require.NoError(t, j.Save(Batch{Records: records(4, 1)}))
	require.NoError(t, j.Compact(Snapshot{Index: 2, Term: 1}))
	require.ErrorIs(t, j.Compact(Snapshot{Index: 1, Term: 1}), ErrSequence)
}

// Guards against two processes writing one folder, a second identity for a
// folder in use, and segments copied from another host. It uses real files.
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
	require.NoError(t, j.Save(Batch{HardState: &HardState{Term: 1, Vote: 2, Commit: 3}, Records: records(1, 3)}))
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
