// Package faultdisk provides a directory in memory that fails as disks do: power is lost with any part of what was not
// synced, space runs out, operations fail, or the file system becomes read-only. It is for tests only.
//
// It guarantees no more than POSIX does. A write to a file may be lost or torn until the file is synced, and a later
// write may survive even if an earlier one is lost. After a crash, a name that was added, changed or removed may be as
// before unless the directory was synced since.
package faultdisk

import (
	"errors"
	"maps"
	"slices"
	"sync"
)

// Errors of a disk.
var (
	ErrPowerLost = errors.New("power lost")
	ErrFull      = errors.New("no space left on device")
	ErrReadOnly  = errors.New("read-only file system")
	ErrIO        = errors.New("input/output error")
)

const sectorSize = 512 // bytes

// inode is the content of a file, independent of its name.
type inode struct {
	data   []byte // as the running system sees it
	synced []byte
	writes []write // since the last sync
}

// write is a write that was not synced.
type write struct {
	at    int
	bytes []byte
}

// nameChange is a change of names that was not synced. A rename removes one name and adds another; an empty name means
// none.
type nameChange struct {
	removed string
	added   string
	inode   *inode
}

// Disk is a directory that fails on demand. It implements datadir.Dir. The exported fields must be set before the disk is
// used, or with Set.
type Disk struct {
	mu          sync.Mutex
	names       map[string]*inode // as the running system sees them
	durable     map[string]*inode // as of the last sync of the directory
	nameChanges []nameChange      // since the last sync of the directory
	operations  int

	// PowerLossAt is the number of the operation, counted from 1, from which on all operations fail with ErrPowerLost;
	// 0 for never.
	PowerLossAt int
	// Space is the free space in bytes. A negative value means no limit.
	Space int64
	// ReadOnly makes all changes fail with ErrReadOnly.
	ReadOnly bool
	// Fail, if not nil, returns the error of an operation that changes something, or nil for success. kind is write,
	// sync, create, rename, remove or folder (a sync of the directory).
	Fail func(kind string) error
}

// New returns an empty disk without a space limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, Space: -1}
}

// Set calls change under the disk's lock, so that change may set the disk's fields while it is in use.
func (d *Disk) Set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// Operations returns the number of operations so far that change something, including failed ones.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// beginOperation counts an operation that changes something, and returns the error with which it fails, or nil.
func (d *Disk) beginOperation(kind string) error {
	d.operations++
	switch {
	case d.PowerLossAt > 0 && d.operations >= d.PowerLossAt:
		return ErrPowerLost
	case d.ReadOnly:
		return ErrReadOnly
	case d.Fail != nil:
		return d.Fail(kind)
	}
	return nil
}

// Put stores a file durably, without counting an operation.
func (d *Disk) Put(name string, raw []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(raw), synced: slices.Clone(raw)}
	d.names[name], d.durable[name] = n, n
}

// Get returns the content of a file, or nil if there is none.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Names returns the names of all files, sorted.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names))
}

// TotalBytes returns the total size of all files.
func (d *Disk) TotalBytes() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.names {
		sum += int64(len(n.data))
	}
	return sum
}
