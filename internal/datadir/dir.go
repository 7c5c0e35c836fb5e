// Package datadir provides access to a directory of files through the interface Dir, which defines what survives a power
// loss. Tests use another implementation of Dir, which simulates power losses and failures.
package datadir

import (
	"errors"
	"io"
)

// Dir is a directory of files. Names are single path elements. Changes may be lost in a power loss until they are
// synced: the contents of a file with File.Sync, names with Dir.Sync.
type Dir interface {
	// List returns all entries, sorted by name.
	List() ([]Entry, error)
	// Read returns the contents of a file, or ErrTooLarge if it is larger than maxBytes.
	Read(name string, maxBytes int64) ([]byte, error)
	// Create creates a file for writing. It fails if the name exists.
	Create(name string) (File, error)
	// Rename renames a file, and replaces any other that has the new name.
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes all earlier changes of names durable.
	Sync() error
	// FreeBytes returns the free space of the disk.
	FreeBytes() (int64, error)
	Close() error
}

// Entry is a name in a directory.
type Entry struct {
	Name    string
	Size    int64 // bytes
	Regular bool  // a regular file, not a link, directory or device
}

// File is a file that is being written.
type File interface {
	io.Writer
	// Sync makes all earlier writes durable.
	Sync() error
	Close() error
}

var (
	// ErrInUse reports that another process has the lock of the directory.
	ErrInUse = errors.New("in use by another process")
	// ErrTooLarge reports that a file is larger than the limit passed to Read.
	ErrTooLarge = errors.New("larger than such a file gets")
	// errNotDir reports that a path is not a directory, or is a symbolic link to one.
	errNotDir = errors.New("not a directory; a symbolic link is not followed")
)
