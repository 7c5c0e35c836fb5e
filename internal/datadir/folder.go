// Package datadir is a folder of files that is written so that it can be told what survives a loss of power, and that a
// test can have fail. It follows no symbolic links and lets one process in at a time.
package datadir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// Dir is a folder of files. Names are single parts of a path. What a method says was done may be lost with the
// power until Sync, of the file for what is in it and of the folder for names.
type Dir interface {
	List() ([]Entry, error)
	Read(name string, most int64) ([]byte, error)
	Create(name string) (File, error) // that is not there yet
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
	FreeBytes() (bytes int64, err error)
	Close() error
}

// Entry is a name in a folder.
type Entry struct {
	Name    string
	Size    int64
	Regular bool
}

// File is one that is being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrInUse tells that another process has the folder.
var ErrInUse = errors.New("in use by another process")

// ErrTooLarge tells that a file is larger than was to be read.
var ErrTooLarge = errors.New("larger than such a file gets")

const lockName = "lock"

// OSDir is a folder of the system's, locked against other processes until it is closed. All goes by its descriptor and
// follows no symbolic link: whoever may write beside the folder can't lead the server elsewhere.
type OSDir struct {
	path string
	fd   int
	lock int
}

// Opener opens a folder of the system's, to write in it or only to read.
func Opener(path string) func(readOnly bool) (Dir, error) {
	return func(readOnly bool) (Dir, error) {
		d, err := Open(path, readOnly)
		if err != nil {
			return nil, err // and no nil Disk in an interface
		}
		return d, nil
	}
}

// Open opens a folder, and makes it, with mode 0700, where only its last part is missing. It is locked unless the
// caller only reads.
func Open(path string, readOnly bool) (*OSDir, error) {
	fail := func(err error) (*OSDir, error) { return nil, fmt.Errorf("folder %s: %w", path, err) }
	if path = filepath.Clean(path); !readOnly {
		if err := unix.Mkdir(path, 0o700); err != nil && err != unix.EEXIST {
			return fail(err)
		}
	}
	fd, err := unix.Open(path, unix.O_RDONLY|unix.O_DIRECTORY|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0)
	if err != nil {
		if err == unix.ELOOP || err == unix.ENOTDIR {
			return fail(errors.New("no folder; a symbolic link is not followed"))
		}
		return fail(err)
	}
	d := &OSDir{path: path, fd: fd, lock: -1}
	var about unix.Stat_t
	if err := unix.Fstat(fd, &about); err != nil {
		d.Close()
		return fail(err)
	}
	if about.Mode&0o022 != 0 && !readOnly {
		d.Close()
		return fail(fmt.Errorf("mode %04o lets others write to it; 0700 is needed", about.Mode&0o777))
	}
	if readOnly {
		return d, nil
	}
	d.lock, err = unix.Openat(fd, lockName, unix.O_RDWR|unix.O_CREAT|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err == nil {
		if err = unix.Flock(d.lock, unix.LOCK_EX|unix.LOCK_NB); err == unix.EWOULDBLOCK {
			err = ErrInUse
		}
	}
	if err != nil {
		d.Close()
		return fail(err)
	}
	return d, nil
}

// List implements Folder, as do the methods below it.
func (d *OSDir) List() ([]Entry, error) {
	fd, err := unix.Openat(d.fd, ".", unix.O_RDONLY|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("folder %s: %w", d.path, err)
	}
	listing := os.NewFile(uintptr(fd), d.path)
	defer listing.Close()
	names, err := listing.Readdirnames(-1)
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	slices.Sort(names)
	var all []Entry
	for _, name := range names {
		var about unix.Stat_t
		if err := unix.Fstatat(d.fd, name, &about, unix.AT_SYMLINK_NOFOLLOW); err != nil {
			return nil, d.pathError(name, err)
		}
		all = append(all, Entry{name, about.Size, about.Mode&unix.S_IFMT == unix.S_IFREG})
	}
	return all, nil
}

func (d *OSDir) pathError(name string, err error) error {
	return &fs.PathError{Op: "state", Path: filepath.Join(d.path, name), Err: err}
}

func (d *OSDir) open(name string, flags int) (*os.File, error) {
	fd, err := unix.Openat(d.fd, name, flags|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, d.pathError(name, err)
	}
	return os.NewFile(uintptr(fd), filepath.Join(d.path, name)), nil
}

func (d *OSDir) Read(name string, maxBytes int64) ([]byte, error) {
	file, err := d.open(name, unix.O_RDONLY|unix.O_NONBLOCK) // a pipe in its place must not hold up the start
	if err != nil {
		return nil, err
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if int64(len(raw)) > maxBytes {
		return nil, d.pathError(name, ErrTooLarge)
	}
	return raw, nil
}

func (d *OSDir) Create(name string) (File, error) {
	return d.open(name, unix.O_WRONLY|unix.O_CREAT|unix.O_EXCL)
}

func (d *OSDir) Rename(from, to string) error {
	if err := unix.Renameat(d.fd, from, d.fd, to); err != nil {
		return d.pathError(from, err)
	}
	return nil
}

func (d *OSDir) Remove(name string) error {
	if err := unix.Unlinkat(d.fd, name, 0); err != nil {
		return d.pathError(name, err)
	}
	return nil
}

func (d *OSDir) Sync() error {
	if err := unix.Fsync(d.fd); err != nil {
		return d.pathError("", err)
	}
	return nil
}

func (d *OSDir) FreeBytes() (int64, error) {
	var about unix.Statfs_t
	if err := unix.Fstatfs(d.fd, &about); err != nil {
		return 0, d.pathError("", err)
	}
	return int64(about.Bavail) * about.Bsize, nil
}

// Close lets the lock go.
func (d *OSDir) Close() error {
	if d.lock >= 0 {
		_ = unix.Close(d.lock)
	}
	return unix.Close(d.fd)
}
