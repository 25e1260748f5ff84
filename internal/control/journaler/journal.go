package journaler

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

// segmentSizeLimit is the size in bytes from which a segment is continued in a
// new one. It bounds the part of the log that a single damaged file can hold.
const segmentSizeLimit = 4 << 20

// lockFileName is the name of the file in the data folder that Lock takes.
const lockFileName = "lock"

// ErrNoState means that the data folder does not exist or holds no journal.
var ErrNoState = errors.New("data folder holds no state")

// ErrNotEmpty means that Create found files in the data folder.
var ErrNotEmpty = errors.New("data folder is not empty")

// ErrSyncFailed means that a sync failed. It is unknown what reached the disk,
// and a second sync may report success for data that the first one dropped. The
// journal therefore refuses all further calls.
var ErrSyncFailed = errors.New("sync of the data folder failed")

// ErrDiskFull means that the disk has no room. The batch was not stored, and
// everything acknowledged before is intact.
var ErrDiskFull = errors.New("disk is full")

// ErrClosed means that the journal is closed.
var ErrClosed = errors.New("journal is closed")

// Journal is an open data folder. It is not safe for concurrent use.
type Journal struct {
	// fsys is the file system that holds the data folder.
	fsys FileSystem
	// folder is the path of the data folder.
	folder string
	// lock is the lock on the data folder.
	lock io.Closer
	// state is the stored state. It shares its data with the records of the
	// caller.
	state State
	// activeFile is the last segment, to which batches are appended.
	// activeSequence is its number and activeSize its size in bytes.
	activeFile     File
	activeSequence uint64
	activeSize     int64
	// olderSizes holds the size in bytes of each earlier segment that is still
	// needed, by sequence number.
	olderSizes map[uint64]int64
	// lastBatch is the number of the last saved batch.
	lastBatch uint64
	// sizeLimit is segmentSizeLimit; tests use a smaller one.
	sizeLimit int64
	// failure is returned by all further calls once it is set, except that Save accepts
	// unsavedBatch again after ErrDiskFull.
	failure error
	// unsavedBatch is the encoded batch whose write failed.
	unsavedBatch []byte
}

// Create creates the data folder if needed and writes a new identity to it,
// which it returns. It returns ErrNotEmpty if the folder holds any state.
func Create(folder string) (uint64, error) { return CreateOn(OSFileSystem{}, folder) }

// CreateOn is Create on another file system.
func CreateOn(fsys FileSystem, folder string) (uint64, error) {
	return CreateWithIdentity(fsys, folder, newIdentity())
}

// CreateWithIdentity is CreateOn with a given identity, which no other folder
// may ever have used. The hosts of a new group use it to know each other's
// identities.
func CreateWithIdentity(fsys FileSystem, folder string, id uint64) (identity uint64, err error) {
	if err := fsys.MakeFolder(folder); err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	lock, err := fsys.Lock(filepath.Join(folder, lockFileName))
	if err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	names, err := fsys.List(folder)
	if err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	for _, name := range names {
		if name != lockFileName && !strings.HasSuffix(name, temporarySuffix) {
			return 0, errors.Wrapf(ErrNotEmpty, "%s in %s", name, folder)
		}
	}
	// The entry of the folder in its parent must be durable before the journal
	// exists.
	if err := fsys.SyncFolder(filepath.Dir(filepath.Clean(folder))); err != nil {
		return 0, fmt.Errorf("create data folder: %w: %w", ErrSyncFailed, err)
	}
	j := Journal{fsys: fsys, folder: folder, state: State{Identity: id}}
	if err := j.startSegment(1, &j.state); err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	return j.state.Identity, j.activeFile.Close()
}

// newIdentity returns a random number other than 0, which stands for no host.
func newIdentity() uint64 {
	for {
		var raw [8]byte
		// Read never fails. It ends the process if there is no randomness.
		_, _ = rand.Read(raw[:])
		if id := binary.LittleEndian.Uint64(raw[:]); id != 0 {
			return id
		}
	}
}

// Open locks the data folder and reads its state. It removes an unfinished
// write at the end. Errors are ErrNoState, ErrLocked, ErrDamaged, ErrForeign,
// ErrSyncFailed and those of the file system.
func Open(folder string) (*Journal, State, error) { return OpenOn(OSFileSystem{}, folder) }

// OpenOn is Open on another file system.
func OpenOn(fsys FileSystem, folder string) (*Journal, State, error) {
	_, err := fsys.List(folder)
	if errors.Is(err, fs.ErrNotExist) {
		err = fmt.Errorf("%w: %w", ErrNoState, err)
	}
	if err != nil {
		return nil, State{}, errors.Wrap(err, "open data folder")
	}
	lock, err := fsys.Lock(filepath.Join(folder, lockFileName))
	if err != nil {
		return nil, State{}, errors.Wrap(err, "open data folder")
	}
	j := &Journal{fsys: fsys, folder: folder, lock: lock, olderSizes: map[uint64]int64{}, sizeLimit: segmentSizeLimit}
	if err := j.loadSegments(); err != nil {
		return nil, State{}, errors.Wrap(errors.Join(err, j.Close()), "open data folder")
	}
	state := j.state
	state.Records = slices.Clone(state.Records)
	return j, state, nil
}

// segment is a segment file as read by Open.
type segment struct {
	header segmentHeader
	// content is the whole file, its header page included.
	content []byte
}

// loadSegments rebuilds the state from the newest checkpoint segment on. It
// removes older segments and temporary files, which an interrupted compaction
// left behind.
func (j *Journal) loadSegments() error {
	names, err := j.fsys.List(j.folder)
	if err != nil {
		return err
	}
	segments, err := j.readSegments(names)
	if err != nil {
		return err
	}
	first := len(segments) - 1
	for first > 0 && !segments[first].header.checkpoint {
		first--
	}
	if first < 0 {
		return ErrNoState
	}
	if !segments[first].header.checkpoint {
		return errors.Wrap(ErrDamaged, "the first segment is missing")
	}
	if err := j.replay(segments[first:]); err != nil {
		return err
	}
	return j.removeObsolete(names, segments[first].header.sequence)
}

// readSegments reads the segment files among the named files of the data folder
// and returns them in the order of their numbers.
func (j *Journal) readSegments(names []string) ([]segment, error) {
	var segments []segment
	for _, name := range names {
		sequence, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		raw, err := j.readFile(name)
		if err != nil {
			return nil, err
		}
		h, err := decodeSegmentHeader(raw, sequence)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment{header: h, content: raw})
	}
	slices.SortFunc(segments, func(a, b segment) int {
		if a.header.sequence < b.header.sequence {
			return -1
		}
		return 1
	})
	for _, s := range segments {
		if s.header.identity != segments[0].header.identity {
			return nil, errors.Wrap(ErrForeign, segmentName(s.header.sequence))
		}
	}
	return segments, nil
}

// readFile returns the content of a file in the data folder.
func (j *Journal) readFile(name string) ([]byte, error) {
	f, err := j.fsys.Open(filepath.Join(j.folder, name))
	if err != nil {
		return nil, err
	}
	raw, err := f.ReadAll()
	return raw, errors.Join(err, f.Close())
}

// replay rebuilds the state from segments. Only the last one may end in an
// unfinished write. Even there, the first batch of a checkpoint segment must be
// complete, because such a segment gets its name only after its sync.
func (j *Journal) replay(segments []segment) error {
	j.state.Identity = segments[0].header.identity
	j.lastBatch = segments[0].header.previousBatch
	for i, s := range segments {
		if s.header.previousBatch != j.lastBatch || s.header.sequence != segments[0].header.sequence+uint64(i) {
			return errors.Wrapf(ErrDamaged, "%s does not continue the segment before it", segmentName(s.header.sequence))
		}
		last, length, err := scanBatches(s.content, s.header, j.replayFunc(s.header))
		if err != nil {
			return err
		}
		newest := i == len(segments)-1
		if (!newest && length != len(s.content)) || (s.header.checkpoint && last == s.header.previousBatch) {
			return errors.Wrapf(ErrDamaged, "%s ends after byte %d", segmentName(s.header.sequence), length)
		}
		j.lastBatch = last
		if !newest {
			j.olderSizes[s.header.sequence] = int64(length)
			continue
		}
		if err := j.resumeSegment(s, length); err != nil {
			return err
		}
	}
	return nil
}

// replayFunc returns the function that applies each batch of a segment to the
// state. The first batch of a checkpoint segment replaces the whole state.
func (j *Journal) replayFunc(h segmentHeader) func(Batch) error {
	checkpoint := h.checkpoint
	return func(b Batch) error {
		if !checkpoint {
			if err := j.state.checkBatch(b); err != nil {
				return err
			}
			j.state.applyBatch(b)
			return nil
		}
		checkpoint = false
		j.state = State{Identity: j.state.Identity, Records: b.Records}
		if b.HardState != nil {
			j.state.HardState = *b.HardState
		}
		if b.Snapshot != nil {
			j.state.Snapshot = *b.Snapshot
		}
		return nil
	}
}

// resumeSegment opens the last segment for appending after length bytes and
// cuts off an unfinished write behind them.
func (j *Journal) resumeSegment(s segment, length int) error {
	f, err := j.fsys.Open(filepath.Join(j.folder, segmentName(s.header.sequence)))
	if err != nil {
		return err
	}
	j.activeFile, j.activeSequence, j.activeSize = f, s.header.sequence, int64(length)
	if length == len(s.content) {
		return nil
	}
	if err := f.Truncate(j.activeSize); err != nil {
		return errors.Wrap(err, "remove unfinished write")
	}
	// Without the sync, a page of the removed write could reappear after the
	// next crash and mix with the pages of a new batch of the same number.
	return j.syncFile(f)
}

// removeObsolete removes, among the named files of the data folder, temporary
// files and the segments with a number less than first.
func (j *Journal) removeObsolete(names []string, first uint64) error {
	for _, name := range names {
		sequence, ok := parseSegmentName(name)
		if (ok && sequence < first) || strings.HasSuffix(name, temporarySuffix) {
			if err := j.fsys.Remove(filepath.Join(j.folder, name)); err != nil {
				return errors.Wrap(err, "remove old segment")
			}
		}
	}
	return nil
}

// Save stores a batch and returns once it is durable. After ErrOutOfSequence
// the journal remains usable. After ErrDiskFull it accepts only the same batch again,
// which overwrites what the failed write may have left. After any other error it
// accepts nothing more. The next Open may or may not find the failed batch, but never
// a part of it.
func (j *Journal) Save(b Batch) error {
	encoded := appendBatch(nil, b)
	retry := errors.Is(j.failure, ErrDiskFull) && bytes.Equal(encoded, j.unsavedBatch)
	if j.failure != nil && !retry {
		return errors.Wrap(j.failure, "save batch")
	}
	if b.Empty() {
		return nil
	}
	if err := j.state.checkBatch(b); err != nil {
		return errors.Wrap(err, "save batch")
	}
	if err := j.writeBatch(encoded); err != nil {
		j.failure, j.unsavedBatch = err, encoded
		return errors.Wrap(err, "save batch")
	}
	j.failure, j.unsavedBatch = nil, nil
	j.state.applyBatch(b)
	return nil
}

// writeBatch writes and syncs an encoded batch, in a new segment if the last one is
// full.
func (j *Journal) writeBatch(encoded []byte) error {
	if j.activeSize >= j.sizeLimit {
		if err := j.rollSegment(); err != nil {
			return err
		}
	}
	raw := appendPages(nil, j.activeSequence, j.lastBatch+1, encoded)
	if _, err := j.activeFile.WriteAt(raw, j.activeSize); err != nil {
		return wrapWriteError(err)
	}
	if err := j.syncFile(j.activeFile); err != nil {
		return err
	}
	j.lastBatch++
	j.activeSize += int64(len(raw))
	return nil
}

// rollSegment continues the log in a new segment.
func (j *Journal) rollSegment() error {
	old, sequence, size := j.activeFile, j.activeSequence, j.activeSize
	if err := j.startSegment(sequence+1, nil); err != nil {
		return err
	}
	j.olderSizes[sequence] = size
	return old.Close()
}

// startSegment writes a new segment and makes it the active one. If state is
// not nil, the segment is a checkpoint that holds it. The segment is complete
// and durable before it gets its name.
func (j *Journal) startSegment(sequence uint64, state *State) error {
	name := filepath.Join(j.folder, segmentName(sequence))
	f, err := j.fsys.Create(name + temporarySuffix)
	if err != nil {
		return wrapWriteError(err)
	}
	raw := appendSegmentHeader(nil, segmentHeader{identity: j.state.Identity, sequence: sequence, checkpoint: state != nil, previousBatch: j.lastBatch})
	last := j.lastBatch
	if state != nil {
		b := Batch{HardState: &state.HardState, Snapshot: &state.Snapshot, Records: state.Records}
		last++
		raw = appendPages(raw, sequence, last, appendBatch(nil, b))
	}
	if _, err := f.WriteAt(raw, 0); err != nil {
		return errors.Join(wrapWriteError(err), f.Close(), j.fsys.Remove(name+temporarySuffix))
	}
	err = j.renameIntoPlace(f, name)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	j.activeFile, j.activeSequence, j.activeSize, j.lastBatch = f, sequence, int64(len(raw)), last
	return nil
}

// renameIntoPlace makes a temporary file durable under its final name.
func (j *Journal) renameIntoPlace(f File, name string) error {
	if err := j.syncFile(f); err != nil {
		return err
	}
	if err := j.fsys.Rename(name+temporarySuffix, name); err != nil {
		return j.recordSyncFailure(err)
	}
	if err := j.fsys.SyncFolder(j.folder); err != nil {
		return j.recordSyncFailure(err)
	}
	return nil
}

// syncFile makes the data of f durable. After a failure the journal refuses all
// further calls.
func (j *Journal) syncFile(f File) error {
	if err := f.Sync(); err != nil {
		return j.recordSyncFailure(err)
	}
	return nil
}

// recordSyncFailure makes all further calls fail with ErrSyncFailed.
func (j *Journal) recordSyncFailure(err error) error {
	j.failure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
	return j.failure
}

// wrapWriteError turns the errors for a full disk or quota into ErrDiskFull.
func wrapWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return errors.Wrap(err, "write segment")
}

// Compact stores s as the snapshot, drops the records that it covers and frees
// their disk space. It writes s only once. If there is no room, it returns
// ErrDiskFull and the journal remains usable as before. ErrOutOfSequence means
// that s is older than the stored snapshot.
func (j *Journal) Compact(s Snapshot) error {
	if j.failure != nil {
		return errors.Wrap(j.failure, "compact journal")
	}
	b := Batch{Snapshot: &s}
	if err := j.state.checkBatch(b); err != nil {
		return errors.Wrap(err, "compact journal")
	}
	state := j.state
	state.applyBatch(b)
	state.dropCoveredRecords()
	old, sequence := j.activeFile, j.activeSequence
	if err := j.startSegment(sequence+1, &state); err != nil {
		return errors.Wrap(err, "compact journal")
	}
	j.state = state
	j.olderSizes[sequence] = 0
	err := old.Close()
	for sequence := range j.olderSizes {
		err = errors.Join(err, j.fsys.Remove(filepath.Join(j.folder, segmentName(sequence))))
	}
	clear(j.olderSizes)
	if err != nil {
		return errors.Wrap(err, "compact journal: remove old segments")
	}
	return nil
}

// Identity returns the number that identifies the data folder.
func (j *Journal) Identity() uint64 { return j.state.Identity }

// Size returns the size in bytes of all segments in use.
func (j *Journal) Size() int64 {
	size := j.activeSize
	for _, n := range j.olderSizes {
		size += n
	}
	return size
}

// Close closes the journal and releases the lock on the data folder.
func (j *Journal) Close() error {
	if errors.Is(j.failure, ErrClosed) {
		return nil
	}
	j.failure = ErrClosed
	var err error
	if j.activeFile != nil {
		err = j.activeFile.Close()
	}
	if j.lock != nil {
		err = errors.Join(err, j.lock.Close())
	}
	return err
}
