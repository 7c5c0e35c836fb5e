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

const (
	lockName         = "lock"
	dirMode          = 0o700
	fileMode         = 0o600
	writableByOthers = 0o022 // mode bits that let users other than the owner write
)

// OSDir is a directory of the operating system, locked against other processes until it is closed. All access goes
// through its descriptor and follows no symbolic links, so that a user with write access to the parent directory cannot
// redirect the server to other files.
type OSDir struct {
	path   string
	fd     int
	lockFD int // -1 if read-only
}

// Opener returns a function that opens the directory at path.
func Opener(path string) func(readOnly bool) (Dir, error) {
	return func(readOnly bool) (Dir, error) {
		d, err := Open(path, readOnly)
		if err != nil {
			return nil, err // not d: a nil *OSDir would make a Dir that is not nil
		}
		return d, nil
	}
}

// Open opens a directory. Unless readOnly is set, Open creates the directory with mode 0700 if only the last element of
// its path is missing, fails if users other than the owner may write to it, and takes its lock or fails with ErrInUse.
func Open(path string, readOnly bool) (*OSDir, error) {
	path = filepath.Clean(path)
	d, err := open(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("directory %s: %w", path, err)
	}
	return d, nil
}

func open(path string, readOnly bool) (*OSDir, error) {
	if !readOnly {
		if err := unix.Mkdir(path, dirMode); err != nil && !errors.Is(err, unix.EEXIST) {
			return nil, err
		}
	}
	fd, err := unix.Open(path, unix.O_RDONLY|unix.O_DIRECTORY|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0)
	if errors.Is(err, unix.ELOOP) || errors.Is(err, unix.ENOTDIR) {
		return nil, errNotDir
	}
	if err != nil {
		return nil, err
	}
	d := &OSDir{path: path, fd: fd, lockFD: -1}
	if readOnly {
		return d, nil
	}
	if err := d.secure(); err != nil {
		_ = d.Close() // err is the cause
		return nil, err
	}
	return d, nil
}

// secure checks the directory's mode and takes its lock.
func (d *OSDir) secure() error {
	var stat unix.Stat_t
	if err := unix.Fstat(d.fd, &stat); err != nil {
		return err
	}
	if stat.Mode&writableByOthers != 0 {
		return fmt.Errorf("mode %04o lets others write to it; remove the write permission of group and others", stat.Mode&0o777)
	}
	lockFD, err := unix.Openat(d.fd, lockName, unix.O_RDWR|unix.O_CREAT|unix.O_NOFOLLOW|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return err
	}
	d.lockFD = lockFD
	err = unix.Flock(lockFD, unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return ErrInUse
	}
	return err
}

// List implements Dir.
func (d *OSDir) List() ([]Entry, error) {
	names, err := d.readNames()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var entries []Entry
	for _, name := range names {
		var stat unix.Stat_t
		if err := unix.Fstatat(d.fd, name, &stat, unix.AT_SYMLINK_NOFOLLOW); err != nil {
			return nil, d.pathError(name, err)
		}
		entries = append(entries, Entry{Name: name, Size: stat.Size, Regular: stat.Mode&unix.S_IFMT == unix.S_IFREG})
	}
	return entries, nil
}

func (d *OSDir) readNames() ([]string, error) {
	fd, err := unix.Openat(d.fd, ".", unix.O_RDONLY|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("directory %s: %w", d.path, err)
	}
	listing := os.NewFile(uintptr(fd), d.path)
	names, err := listing.Readdirnames(-1)
	if err = errors.Join(err, listing.Close()); err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	return names, nil
}

func (d *OSDir) pathError(name string, err error) error {
	return &fs.PathError{Op: "state", Path: filepath.Join(d.path, name), Err: err}
}

func (d *OSDir) openFile(name string, flags int) (*os.File, error) {
	fd, err := unix.Openat(d.fd, name, flags|unix.O_NOFOLLOW|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return nil, d.pathError(name, err)
	}
	return os.NewFile(uintptr(fd), filepath.Join(d.path, name)), nil
}

// Read implements Dir. It does not block if a pipe is in the place of the file.
func (d *OSDir) Read(name string, maxBytes int64) ([]byte, error) {
	file, err := d.openFile(name, unix.O_RDONLY|unix.O_NONBLOCK)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if int64(len(raw)) > maxBytes {
		return nil, d.pathError(name, ErrTooLarge)
	}
	return raw, nil
}

// Create implements Dir.
func (d *OSDir) Create(name string) (File, error) {
	file, err := d.openFile(name, unix.O_WRONLY|unix.O_CREAT|unix.O_EXCL)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements Dir.
func (d *OSDir) Rename(from, to string) error {
	if err := unix.Renameat(d.fd, from, d.fd, to); err != nil {
		return d.pathError(from, err)
	}
	return nil
}

// Remove implements Dir.
func (d *OSDir) Remove(name string) error {
	if err := unix.Unlinkat(d.fd, name, 0); err != nil {
		return d.pathError(name, err)
	}
	return nil
}

// Sync implements Dir.
func (d *OSDir) Sync() error {
	if err := unix.Fsync(d.fd); err != nil {
		return d.pathError("", err)
	}
	return nil
}

// FreeBytes implements Dir. It returns the space that is available to unprivileged users.
func (d *OSDir) FreeBytes() (int64, error) {
	var stat unix.Statfs_t
	if err := unix.Fstatfs(d.fd, &stat); err != nil {
		return 0, d.pathError("", err)
	}
	return int64(stat.Bavail) * stat.Bsize, nil
}

// Close releases the lock and the directory.
func (d *OSDir) Close() error {
	if d.lockFD >= 0 {
		_ = unix.Close(d.lockFD) // the lock is released even if Close fails
	}
	return unix.Close(d.fd)
}
