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

// errCrash is the result of every call on a fakeDisk between the moment of a
// crash and the restart.
var errCrash = errors.New("crashed")

var errSync = errors.New("input/output error")

// fakeDisk is a file system in memory that loses what was not synced.
type fakeDisk struct {
	names   map[string]*fakeFile // as seen by the process
	durable map[string]*fakeFile // as found after a crash
	locked  bool
	// steps counts down to a crash at a write, sync, rename or removal; 0 is off.
	steps   int
	crashed bool
	// failSync makes the next sync fail.
	failSync bool
	// room is the number of bytes that can still be written; negative is no limit.
	room  int
	syncs int
}

type fakeFile struct {
	disk    *fakeDisk
	data    []byte
	durable []byte
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{names: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, room: -1}
}

// step is called before each change and reports whether the crash is now.
func (d *fakeDisk) step() error {
	if d.steps > 0 {
		d.steps--
		d.crashed = d.crashed || d.steps == 0
	}
	if d.crashed {
		return errCrash
	}
	return nil
}

// restart loses unsynced names and data. Of unsynced data any sectors may
// have been written, and the file may end anywhere inside it.
func (d *fakeDisk) restart(r *rand.Rand) {
	for name, f := range d.names {
		if d.durable[name] == nil && r.IntN(2) == 0 {
			d.durable[name] = f
		}
	}
	for name := range d.durable {
		if d.names[name] == nil && r.IntN(2) == 0 {
			delete(d.durable, name)
		}
	}
	d.names = map[string]*fakeFile{}
	for name, f := range d.durable {
		f.tear(r)
		d.names[name] = f
	}
	d.locked, d.crashed, d.steps, d.failSync, d.room = false, false, 0, false, -1
}

func (f *fakeFile) tear(r *rand.Rand) {
	if len(f.data) < len(f.durable) && r.IntN(2) == 0 {
		f.data = slices.Clone(f.durable) // the truncation is lost
	}
	kept := min(len(f.data), len(f.durable))
	switch end := kept + r.IntN(len(f.data)-kept+1); r.IntN(4) {
	case 0:
		f.data = f.data[:kept]
	case 1:
		f.data = f.data[:end]
	case 2:
		f.dropSectors(r, kept)
		f.data = f.data[:end]
	case 3:
		f.dropSectors(r, kept)
	}
	f.durable = slices.Clone(f.data)
}

func (f *fakeFile) dropSectors(r *rand.Rand, from int) {
	for at := from / 512 * 512; at < len(f.data); at += 512 {
		if r.IntN(2) == 0 {
			clear(f.data[max(at, from):min(at+512, len(f.data))])
		}
	}
}

func (d *fakeDisk) MakeFolder(string) error { return d.step() }

func (d *fakeDisk) List(string) ([]string, error) {
	var names []string
	for name := range d.names {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (d *fakeDisk) Create(path string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.names[path] = &fakeFile{disk: d}
	return d.names[path], nil
}

func (d *fakeDisk) Open(path string) (File, error) {
	if d.names[path] == nil {
		return nil, fs.ErrNotExist
	}
	return d.names[path], nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *fakeDisk) Remove(path string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, path)
	return nil
}

func (d *fakeDisk) SyncFolder(string) error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durable = map[string]*fakeFile{}
	for name, f := range d.names {
		d.durable[name] = f
	}
	return nil
}

func (d *fakeDisk) sync() error {
	d.syncs++
	if d.failSync {
		d.failSync = false
		return errSync
	}
	return d.step()
}

func (d *fakeDisk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	return fakeLock{d}, nil
}

type fakeLock struct{ disk *fakeDisk }

func (l fakeLock) Close() error {
	l.disk.locked = false
	return nil
}

func (f *fakeFile) ReadAll() ([]byte, error) { return slices.Clone(f.data), nil }

func (f *fakeFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.disk.step(); err != nil {
		// A crash during the write leaves some of it, subject to tear.
		f.write(p, off)
		return 0, err
	}
	if f.disk.room >= 0 && f.disk.room < len(p) {
		n := f.disk.room
		f.write(p[:n], off)
		f.disk.room = 0
		return n, syscall.ENOSPC
	}
	if f.disk.room >= 0 {
		f.disk.room -= len(p)
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
	if err := f.disk.step(); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *fakeFile) Sync() error {
	if err := f.disk.sync(); err != nil {
		return err
	}
	f.durable = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
