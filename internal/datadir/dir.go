// Package datadir gives access to a directory of files in a way that says what survives a loss of power, and that tests
// can make fail.
package datadir

import (
	"errors"
	"io"
)

// Dir is a directory of files. Names are single path elements. Changes may be lost with the power until they are synced:
// a file's contents with File.Sync, names with Dir.Sync.
type Dir interface {
	// List returns all entries, sorted by name.
	List() ([]Entry, error)
	// Read returns a file's contents, or ErrTooLarge if it has over maxBytes.
	Read(name string, maxBytes int64) ([]byte, error)
	// Create makes a file to be written. It fails if the name exists.
	Create(name string) (File, error)
	// Rename replaces a file that has the new name.
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes all earlier changes of names durable.
	Sync() error
	// FreeBytes returns how much can still be written to the disk.
	FreeBytes() (int64, error)
	Close() error
}

// Entry is a name in a directory.
type Entry struct {
	Name    string
	Size    int64 // bytes
	Regular bool  // a regular file, and no link, directory or device
}

// File is a file that is being written.
type File interface {
	io.Writer
	// Sync makes all earlier writes durable.
	Sync() error
	Close() error
}

var (
	// ErrInUse says that another process has the directory's lock.
	ErrInUse = errors.New("in use by another process")
	// ErrTooLarge says that a file has more bytes than were to be read.
	ErrTooLarge = errors.New("larger than such a file gets")
	// errNotDir says that a path is no directory, or a symbolic link to one.
	errNotDir = errors.New("no folder; a symbolic link is not followed")
)
