package journaler

import (
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

// segmentSize is the length in bytes after which a new segment is started.
// It bounds how much of the log a single damaged file can hold.
const segmentSize = 4 << 20

const lockName = "lock"

// ErrNoState reports a folder that does not exist or holds no journal.
var ErrNoState = errors.New("data folder holds no state")

// ErrNotEmpty reports that Create found files in the folder.
var ErrNotEmpty = errors.New("data folder is not empty")

// ErrSyncFailed reports a failed sync. What reached the disk is unknown, and a
// second sync may report success for data that the first one dropped, so the
// journal refuses everything from then on.
var ErrSyncFailed = errors.New("sync of the data folder failed")

// ErrDiskFull reports that the disk has no room. The batch was not stored;
// everything acknowledged before is intact.
var ErrDiskFull = errors.New("disk is full")

// ErrClosed reports a call on a closed journal.
var ErrClosed = errors.New("journal is closed")

// Journal is an open data folder. It is not safe for concurrent use.
type Journal struct {
	disk   FileSystem
	folder string
	lock   io.Closer
	// state shares its data with the caller's records.
	state State
	// file is the last segment, size its length in bytes.
	file     File
	sequence uint64
	size     int64
	// older is the length in bytes of each earlier segment still needed.
	older map[uint64]int64
	// last is the number of the last saved batch.
	last  uint64
	limit int64
	// failure is returned by every call once set.
	failure error
}

// Create makes the folder if needed and writes a new identity to it, which is
// returned. It fails with ErrExists when the folder holds any state.
func Create(folder string) (uint64, error) { return CreateOn(OSFileSystem{}, folder) }

// CreateOn is Create on another disk.
func CreateOn(disk FileSystem, folder string) (uint64, error) {
	return CreateWithIdentity(disk, folder, newIdentity())
}

// CreateWithIdentity is CreateOn with a given identity, which must never have been used by
// another folder. Hosts of a new group use it to know each other's.
func CreateWithIdentity(disk FileSystem, folder string, id uint64) (identity uint64, err error) {
	if err := disk.MakeFolder(folder); err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	lock, err := disk.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	names, err := disk.List(folder)
	if err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	for _, name := range names {
		if name != lockName && !strings.HasSuffix(name, temporarySuffix) {
			return 0, errors.Wrapf(ErrNotEmpty, "%s in %s", name, folder)
		}
	}
	// The parent comes first: once the journal exists, its folder does too.
	if err := disk.SyncFolder(filepath.Dir(filepath.Clean(folder))); err != nil {
		return 0, fmt.Errorf("create data folder: %w: %w", ErrSyncFailed, err)
	}
	j := Journal{disk: disk, folder: folder, state: State{Identity: id}}
	if err := j.start(1, &j.state); err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	return j.state.Identity, j.file.Close()
}

// newIdentity returns a random number other than 0, which means no host.
func newIdentity() uint64 {
	for {
		var raw [8]byte
		// Read never fails; it ends the process when there is no randomness.
		_, _ = rand.Read(raw[:])
		if id := binary.LittleEndian.Uint64(raw[:]); id != 0 {
			return id
		}
	}
}

// Open takes the folder's lock and reads its state. An unfinished write at
// the end is removed. Errors are ErrMissing, ErrLocked, ErrDamaged,
// ErrForeign, ErrFailed and those of the disk.
func Open(folder string) (*Journal, State, error) { return OpenOn(OSFileSystem{}, folder) }

// OpenOn is Open on another disk.
func OpenOn(disk FileSystem, folder string) (*Journal, State, error) {
	_, err := disk.List(folder)
	if errors.Is(err, fs.ErrNotExist) {
		err = fmt.Errorf("%w: %w", ErrNoState, err)
	}
	if err != nil {
		return nil, State{}, errors.Wrap(err, "open data folder")
	}
	lock, err := disk.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, State{}, errors.Wrap(err, "open data folder")
	}
	j := &Journal{disk: disk, folder: folder, lock: lock, older: map[uint64]int64{}, limit: segmentSize}
	if err := j.load(); err != nil {
		return nil, State{}, errors.Wrap(errors.Join(err, j.Close()), "open data folder")
	}
	state := j.state
	state.Records = slices.Clone(state.Records)
	return j, state, nil
}

// segment is a segment file as read by Open.
type segment struct {
	head head
	raw  []byte
}

// load reads the segments from the newest one that holds the whole state.
// Older ones and temporary files are what an interrupted compaction left.
func (j *Journal) load() error {
	names, err := j.disk.List(j.folder)
	if err != nil {
		return err
	}
	segments, err := j.read(names)
	if err != nil {
		return err
	}
	first := len(segments) - 1
	for first > 0 && !segments[first].head.base {
		first--
	}
	if first < 0 {
		return ErrNoState
	}
	if !segments[first].head.base {
		return errors.Wrap(ErrDamaged, "the first segment is missing")
	}
	if err := j.replay(segments[first:]); err != nil {
		return err
	}
	return j.clean(names, segments[first].head.sequence)
}

// read reads all segment files in the order of their numbers.
func (j *Journal) read(names []string) ([]segment, error) {
	var segments []segment
	for _, name := range names {
		sequence, ok := segmentSequence(name)
		if !ok {
			continue
		}
		raw, err := j.readFile(name)
		if err != nil {
			return nil, err
		}
		h, err := readHead(raw, sequence)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment{head: h, raw: raw})
	}
	slices.SortFunc(segments, func(a, b segment) int {
		if a.head.sequence < b.head.sequence {
			return -1
		}
		return 1
	})
	for _, s := range segments {
		if s.head.identity != segments[0].head.identity {
			return nil, errors.Wrap(ErrForeign, segmentName(s.head.sequence))
		}
	}
	return segments, nil
}

func (j *Journal) readFile(name string) ([]byte, error) {
	f, err := j.disk.Open(filepath.Join(j.folder, name))
	if err != nil {
		return nil, err
	}
	raw, err := f.ReadAll()
	return raw, errors.Join(err, f.Close())
}

// replay rebuilds the state. Only the last segment may end in an unfinished
// write, and not in its first batch if that holds the whole state: such a
// segment is renamed into place after its sync.
func (j *Journal) replay(segments []segment) error {
	j.state.Identity = segments[0].head.identity
	j.last = segments[0].head.last
	for i, s := range segments {
		if s.head.last != j.last || s.head.sequence != segments[0].head.sequence+uint64(i) {
			return errors.Wrapf(ErrDamaged, "%s does not follow the one before", segmentName(s.head.sequence))
		}
		last, length, err := scan(s.raw, s.head, j.replayBatch(s.head))
		if err != nil {
			return err
		}
		newest := i == len(segments)-1
		if (!newest && length != len(s.raw)) || (s.head.base && last == s.head.last) {
			return errors.Wrapf(ErrDamaged, "%s ends after byte %d", segmentName(s.head.sequence), length)
		}
		j.last = last
		if !newest {
			j.older[s.head.sequence] = int64(length)
			continue
		}
		if err := j.resume(s, length); err != nil {
			return err
		}
	}
	return nil
}

// replayBatch returns what applies each batch of a segment. The first batch
// of a base segment is the state itself.
func (j *Journal) replayBatch(h head) func(Batch) error {
	base := h.base
	return func(b Batch) error {
		if !base {
			if err := j.state.check(b); err != nil {
				return err
			}
			j.state.apply(b)
			return nil
		}
		base = false
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

// resume opens the last segment for appending after length bytes.
func (j *Journal) resume(s segment, length int) error {
	f, err := j.disk.Open(filepath.Join(j.folder, segmentName(s.head.sequence)))
	if err != nil {
		return err
	}
	j.file, j.sequence, j.size = f, s.head.sequence, int64(length)
	if length == len(s.raw) {
		return nil
	}
	if err := f.Truncate(j.size); err != nil {
		return errors.Wrap(err, "remove unfinished write")
	}
	// Without the sync a page of the removed write could come back after the
	// next crash and mix with a new one of the same number.
	return j.sync(f)
}

// clean removes the files that the journal does not need.
func (j *Journal) clean(names []string, first uint64) error {
	for _, name := range names {
		sequence, ok := segmentSequence(name)
		if (ok && sequence < first) || strings.HasSuffix(name, temporarySuffix) {
			if err := j.disk.Remove(filepath.Join(j.folder, name)); err != nil {
				return errors.Wrap(err, "remove old segment")
			}
		}
	}
	return nil
}

// Save stores a batch and returns once it is durable. After any error but
// ErrSequence the journal accepts nothing more; the batch may or may not be
// found by the next Open, never a part of it.
func (j *Journal) Save(b Batch) error {
	if j.failure != nil {
		return errors.Wrap(j.failure, "save")
	}
	if b.Empty() {
		return nil
	}
	if err := j.state.check(b); err != nil {
		return errors.Wrap(err, "save")
	}
	if err := j.append(b); err != nil {
		j.failure = err
		return errors.Wrap(err, "save")
	}
	j.state.apply(b)
	return nil
}

func (j *Journal) append(b Batch) error {
	if j.size >= j.limit {
		if err := j.roll(); err != nil {
			return err
		}
	}
	raw := appendPages(nil, j.sequence, j.last+1, appendBatch(nil, b))
	if _, err := j.file.WriteAt(raw, j.size); err != nil {
		return writeError(err)
	}
	if err := j.sync(j.file); err != nil {
		return err
	}
	j.last++
	j.size += int64(len(raw))
	return nil
}

// roll continues the log in a new segment.
func (j *Journal) roll() error {
	old, sequence, size := j.file, j.sequence, j.size
	if err := j.start(sequence+1, nil); err != nil {
		return err
	}
	j.older[sequence] = size
	return old.Close()
}

// start writes a new segment and makes it the last one. With a state the
// segment is a base. The segment is complete before it gets its name.
func (j *Journal) start(sequence uint64, state *State) error {
	name := filepath.Join(j.folder, segmentName(sequence))
	f, err := j.disk.Create(name + temporarySuffix)
	if err != nil {
		return writeError(err)
	}
	raw := appendHead(nil, head{identity: j.state.Identity, sequence: sequence, base: state != nil, last: j.last})
	last := j.last
	if state != nil {
		b := Batch{HardState: &state.HardState, Snapshot: &state.Snapshot, Records: state.Records}
		last++
		raw = appendPages(raw, sequence, last, appendBatch(nil, b))
	}
	if _, err := f.WriteAt(raw, 0); err != nil {
		return errors.Join(writeError(err), f.Close(), j.disk.Remove(name+temporarySuffix))
	}
	err = j.publish(f, name)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	j.file, j.sequence, j.size, j.last = f, sequence, int64(len(raw)), last
	return nil
}

// publish makes a temporary file durable under its name.
func (j *Journal) publish(f File, name string) error {
	if err := j.sync(f); err != nil {
		return err
	}
	if err := j.disk.Rename(name+temporarySuffix, name); err != nil {
		return j.fail(err)
	}
	if err := j.disk.SyncFolder(j.folder); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) sync(f File) error {
	if err := f.Sync(); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) fail(err error) error {
	j.failure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
	return j.failure
}

func writeError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return errors.Wrap(err, "write")
}

// Compact makes s the snapshot, drops the records that it covers and frees
// their room on disk; it writes s only once. When there is no room it fails
// with ErrFull and the journal goes on as before. ErrSequence means that s is
// older than the present snapshot.
func (j *Journal) Compact(s Snapshot) error {
	if j.failure != nil {
		return errors.Wrap(j.failure, "compact")
	}
	b := Batch{Snapshot: &s}
	if err := j.state.check(b); err != nil {
		return errors.Wrap(err, "compact")
	}
	state := j.state
	state.apply(b)
	state.compact()
	old, sequence := j.file, j.sequence
	if err := j.start(sequence+1, &state); err != nil {
		return errors.Wrap(err, "compact")
	}
	j.state = state
	j.older[sequence] = 0
	err := old.Close()
	for sequence := range j.older {
		err = errors.Join(err, j.disk.Remove(filepath.Join(j.folder, segmentName(sequence))))
	}
	clear(j.older)
	if err != nil {
		return errors.Wrap(err, "compact: remove old segments")
	}
	return nil
}

// Identity returns the random number made with the folder.
func (j *Journal) Identity() uint64 { return j.state.Identity }

// Size returns the length in bytes of all segments in use.
func (j *Journal) Size() int64 {
	size := j.size
	for _, n := range j.older {
		size += n
	}
	return size
}

// Close gives up the folder's lock.
func (j *Journal) Close() error {
	if errors.Is(j.failure, ErrClosed) {
		return nil
	}
	j.failure = ErrClosed
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	if j.lock != nil {
		err = errors.Join(err, j.lock.Close())
	}
	return err
}
