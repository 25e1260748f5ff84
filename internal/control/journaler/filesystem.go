package journaler

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrLocked means that another process uses the data folder.
var ErrLocked = errors.New("data folder is in use by another process")

// FileSystem is the part of a file system that the journal uses.
type FileSystem interface {
	// MakeFolder creates a folder and its parents unless they exist.
	MakeFolder(path string) error
	// List returns the names of the files in a folder.
	List(folder string) ([]string, error)
	// Create creates an empty file, replacing an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder
	// durable.
	SyncFolder(path string) error
	// Lock takes the lock on the file at path, or returns ErrLocked. Closing
	// the result releases the lock.
	Lock(path string) (io.Closer, error)
}

// File is an open file. Written data is durable only after Sync.
type File interface {
	io.WriterAt
	io.Closer
	// ReadAll returns the content of the whole file.
	ReadAll() ([]byte, error)
	Truncate(size int64) error
	Sync() error
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// systemFile is the File of OSFileSystem.
type systemFile struct{ *os.File }

// ReadAll reads the whole file.
func (f systemFile) ReadAll() ([]byte, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	data := make([]byte, info.Size())
	n, err := f.ReadAt(data, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return data[:n], err
}

// MakeFolder creates a folder and its parents unless they exist.
func (OSFileSystem) MakeFolder(path string) error { return os.MkdirAll(path, 0o755) }

// List returns the names of the files in a folder.
func (OSFileSystem) List(folder string) ([]string, error) {
	items, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, item.Name())
	}
	return names, nil
}

// Create creates an empty file, replacing an existing one.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	return systemFile{f}, nil
}

// Open opens an existing file for reading and writing.
func (OSFileSystem) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return systemFile{f}, nil
}

// Rename moves the file from to the path to, replacing an existing file.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the creation, renaming and removal of files in a folder
// durable.
func (OSFileSystem) SyncFolder(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock takes an exclusive flock on the file at path. The operating system
// releases it when the process ends.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%w: %s", ErrLocked, path)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
