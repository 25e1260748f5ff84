package journaler

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
)

// errCrash is returned by every call on a fakeFileSystem between a crash and
// the restart.
var errCrash = errors.New("crashed")

// errSync is returned by a sync that failNextSync makes fail.
var errSync = errors.New("input/output error")

// fakeFileSystem is a file system in memory. A crash loses what was not synced.
type fakeFileSystem struct {
	files        map[string]*fakeFile // as seen by the process
	durableFiles map[string]*fakeFile // as found after a crash
	locked       bool
	// stepsToCrash counts down the writes, syncs, renames and removals to a
	// crash at the last of them; 0 means no crash.
	stepsToCrash int
	crashed      bool
	failNextSync bool
	// freeBytes is the number of bytes that can still be written; a negative
	// number means no limit.
	freeBytes int
	syncs     int
}

// fakeFile is a file of a fakeFileSystem, with its data as seen by the process
// and as durable since the last sync.
type fakeFile struct {
	fsys        *fakeFileSystem
	data        []byte
	durableData []byte
}

func newFakeFileSystem() *fakeFileSystem {
	return &fakeFileSystem{files: map[string]*fakeFile{}, durableFiles: map[string]*fakeFile{}, freeBytes: -1}
}

// countStep is called before each change. It returns errCrash at the crash and
// after it.
func (s *fakeFileSystem) countStep() error {
	if s.stepsToCrash > 0 {
		s.stepsToCrash--
		s.crashed = s.crashed || s.stepsToCrash == 0
	}
	if s.crashed {
		return errCrash
	}
	return nil
}

// restart loses unsynced names and data. Any sectors of the unsynced data may
// have been written, and the file may end anywhere within it.
func (s *fakeFileSystem) restart(r *rand.Rand) {
	for name, f := range s.files {
		if s.durableFiles[name] == nil && r.IntN(2) == 0 {
			s.durableFiles[name] = f
		}
	}
	for name := range s.durableFiles {
		if s.files[name] == nil && r.IntN(2) == 0 {
			delete(s.durableFiles, name)
		}
	}
	s.files = map[string]*fakeFile{}
	for name, f := range s.durableFiles {
		f.loseUnsynced(r)
		s.files[name] = f
	}
	s.locked, s.crashed, s.stepsToCrash, s.failNextSync, s.freeBytes = false, false, 0, false, -1
}

// loseUnsynced replaces the data by one of the results that a crash can leave.
func (f *fakeFile) loseUnsynced(r *rand.Rand) {
	if len(f.data) < len(f.durableData) && r.IntN(2) == 0 {
		f.data = slices.Clone(f.durableData) // the truncation is lost
	}
	kept := min(len(f.data), len(f.durableData))
	switch end := kept + r.IntN(len(f.data)-kept+1); r.IntN(4) {
	case 0:
		f.data = f.data[:kept]
	case 1:
		f.data = f.data[:end]
	case 2:
		f.loseSectors(r, kept)
		f.data = f.data[:end]
	case 3:
		f.loseSectors(r, kept)
	}
	f.durableData = slices.Clone(f.data)
}

// loseSectors sets random sectors after byte from to zero.
func (f *fakeFile) loseSectors(r *rand.Rand, from int) {
	for at := from / 512 * 512; at < len(f.data); at += 512 {
		if r.IntN(2) == 0 {
			clear(f.data[max(at, from):min(at+512, len(f.data))])
		}
	}
}

func (s *fakeFileSystem) MakeFolder(string) error { return s.countStep() }

func (s *fakeFileSystem) List(string) ([]string, error) {
	var names []string
	for name := range s.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (s *fakeFileSystem) Create(path string) (File, error) {
	if err := s.countStep(); err != nil {
		return nil, err
	}
	s.files[path] = &fakeFile{fsys: s}
	return s.files[path], nil
}

func (s *fakeFileSystem) Open(path string) (File, error) {
	if s.files[path] == nil {
		return nil, fs.ErrNotExist
	}
	return s.files[path], nil
}

func (s *fakeFileSystem) Rename(from, to string) error {
	if err := s.countStep(); err != nil {
		return err
	}
	s.files[to] = s.files[from]
	delete(s.files, from)
	return nil
}

func (s *fakeFileSystem) Remove(path string) error {
	if err := s.countStep(); err != nil {
		return err
	}
	delete(s.files, path)
	return nil
}

func (s *fakeFileSystem) SyncFolder(string) error {
	if err := s.sync(); err != nil {
		return err
	}
	s.durableFiles = map[string]*fakeFile{}
	for name, f := range s.files {
		s.durableFiles[name] = f
	}
	return nil
}

func (s *fakeFileSystem) sync() error {
	s.syncs++
	if s.failNextSync {
		s.failNextSync = false
		return errSync
	}
	return s.countStep()
}

func (s *fakeFileSystem) Lock(string) (io.Closer, error) {
	if s.locked {
		return nil, ErrLocked
	}
	s.locked = true
	return fakeLock{s}, nil
}

type fakeLock struct{ fsys *fakeFileSystem }

func (l fakeLock) Close() error {
	l.fsys.locked = false
	return nil
}

func (f *fakeFile) ReadAll() ([]byte, error) { return slices.Clone(f.data), nil }

func (f *fakeFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.fsys.countStep(); err != nil {
		// A crash during the write leaves a part of it, which loseUnsynced
		// chooses.
		f.write(p, off)
		return 0, err
	}
	if f.fsys.freeBytes >= 0 && f.fsys.freeBytes < len(p) {
		n := f.fsys.freeBytes
		f.write(p[:n], off)
		f.fsys.freeBytes = 0
		return n, syscall.ENOSPC
	}
	if f.fsys.freeBytes >= 0 {
		f.fsys.freeBytes -= len(p)
	}
	f.write(p, off)
	return len(p), nil
}

func (f *fakeFile) write(p []byte, off int64) {
	if end := int(off) + len(p); end > len(f.data) {
		f.data = append(f.data, make([]byte, end-len(f.data))...)
	}
	copy(f.data[off:], p)
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.fsys.countStep(); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *fakeFile) Sync() error {
	if err := f.fsys.sync(); err != nil {
		return err
	}
	f.durableData = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
