// Package faultdisk is a folder in memory that fails as disks do: power goes and takes what was not synced, or any part
// of it; space runs out; writes fail; all becomes read-only. For tests only.
//
// It promises no more than POSIX does. What is written to a file may be lost until the file is synced, and any of the
// writes before that may be there while earlier ones are not, whole or torn; a name that was made, changed or removed may
// be as before until the folder is synced.
package faultdisk

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand"
	"slices"
	"sync"

	"quartzpoint/internal/datadir"
)

// Errors of a disk.
var (
	ErrPower    = errors.New("the power is gone")
	ErrFull     = errors.New("no space left on device")
	ErrReadOnly = errors.New("read-only file system")
	ErrIO       = errors.New("input/output error")
)

const sector = 512

type inode struct {
	data   []byte // as the running system sees it
	synced []byte
	writes []write // since the last sync
}

type write struct {
	at    int
	bytes []byte
}

// change is one of names that was not synced: to stands for of afterwards; nil where the name is removed.
type change struct {
	removes string
	makes   string
	of      *inode
}

// Disk is such a folder.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	changes []change
	ops     int

	// PowerAt is the operation at which the power goes, counted from 1; 0 for never.
	PowerAt int
	// Space is what is left in bytes; below 0 there is no bound.
	Space int64
	// ReadOnly has all changes fail.
	ReadOnly bool
	// Fails, where it is not nil, has an operation fail. It gets its kind: write, sync, create, rename, remove, folder.
	Fails func(kind string) error
}

// New makes an empty one.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, Space: -1}
}

// Set has the disk's fields, or others that its user reads, changed while it is in use.
func (d *Disk) Set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// Ops is the number of operations so far.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// op counts an operation that changes something, and tells whether it fails.
func (d *Disk) op(kind string) error {
	d.ops++
	switch {
	case d.PowerAt > 0 && d.ops >= d.PowerAt:
		return ErrPower
	case d.ReadOnly:
		return ErrReadOnly
	case d.Fails != nil:
		return d.Fails(kind)
	}
	return nil
}

// Put has a file stand as given, durably.
func (d *Disk) Put(name string, raw []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(raw), synced: slices.Clone(raw)}
	d.names[name], d.durable[name] = n, n
}

// Get gives a file's bytes, nil where there is none.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Names are those of all files.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names))
}

// Bytes are those of all files.
func (d *Disk) Bytes() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.names {
		sum += int64(len(n.data))
	}
	return sum
}

// Loss decides what becomes of something that was not synced.
type Loss interface {
	// Name tells whether a change of names holds.
	Name() (holds bool)
	// Write tells how many bytes of a write of size are there, and whether from its beginning or from its end.
	Write(size int) (n int, tail bool)
}

// None loses nothing that was not synced; All loses all of it.
type (
	None struct{}
	All  struct{}
	// Half keeps the first half of every write, and all names.
	Half struct{}
	// Drawn loses by a seed: any names, any writes, torn at any byte or sector.
	Drawn struct{ *rand.Rand }
)

// Name implements Loss, as do the methods below it.
func (None) Name() bool                        { return true }
func (None) Write(size int) (int, bool)        { return size, false }
func (All) Name() bool                         { return false }
func (All) Write(int) (int, bool)              { return 0, false }
func (Half) Name() bool                        { return true }
func (Half) Write(size int) (n int, tail bool) { return size / 2, false }

func (l Drawn) Name() bool { return l.Intn(2) == 0 }

func (l Drawn) Write(size int) (n int, tail bool) {
	switch l.Intn(4) {
	case 0:
		return 0, false
	case 1:
		return size, false
	case 2:
		return l.Intn(size + 1), false
	}
	return min(l.Intn(size/sector+1)*sector, size), l.Intn(2) == 0
}

// Crash gives the folder as it is after the power went and came back. The disk itself is of no use any more.
func (d *Disk) Crash(loss Loss) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := maps.Clone(d.durable)
	for _, c := range d.changes {
		if !loss.Name() {
			continue
		}
		if c.removes != "" {
			delete(names, c.removes)
		}
		if c.makes != "" {
			names[c.makes] = c.of
		}
	}
	after := New()
	made := map[*inode]*inode{}
	for _, name := range slices.Sorted(maps.Keys(names)) { // losses are drawn in this order
		n := names[name]
		if made[n] == nil {
			made[n] = n.after(loss)
		}
		after.names[name], after.durable[name] = made[n], made[n]
	}
	return after
}

func (n *inode) after(loss Loss) *inode {
	raw := slices.Clone(n.synced)
	for _, w := range n.writes {
		kept, tail := loss.Write(len(w.bytes))
		at, part := w.at, w.bytes[:kept]
		if tail {
			at, part = w.at+len(w.bytes)-kept, w.bytes[len(w.bytes)-kept:]
		}
		if len(part) == 0 {
			continue
		}
		if more := at + len(part) - len(raw); more > 0 { // what was not written between reads as nothing
			raw = append(raw, make([]byte, more)...)
		}
		copy(raw[at:], part)
	}
	return &inode{data: raw, synced: slices.Clone(raw)}
}

func wrong(op, name string, err error) error { return &fs.PathError{Op: op, Path: name, Err: err} }

// List implements datadir.Folder, as do the methods below it.
func (d *Disk) List() (all []datadir.Entry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.PowerAt > 0 && d.ops >= d.PowerAt {
		return nil, ErrPower
	}
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		all = append(all, datadir.Entry{Name: name, Size: int64(len(d.names[name].data)), Regular: true})
	}
	return all, nil
}

func (d *Disk) Read(name string, most int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	switch {
	case d.PowerAt > 0 && d.ops >= d.PowerAt:
		return nil, ErrPower
	case n == nil:
		return nil, wrong("read", name, fs.ErrNotExist)
	case int64(len(n.data)) > most:
		return nil, wrong("read", name, datadir.ErrTooLarge)
	}
	return slices.Clone(n.data), nil
}

func (d *Disk) Create(name string) (datadir.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("create"); err != nil {
		return nil, wrong("create", name, err)
	}
	if d.names[name] != nil {
		return nil, wrong("create", name, fs.ErrExist)
	}
	n := &inode{}
	d.names[name] = n
	d.changes = append(d.changes, change{makes: name, of: n})
	return &file{d, n}, nil
}

func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("rename"); err != nil {
		return wrong("rename", from, err)
	}
	n := d.names[from]
	if n == nil {
		return wrong("rename", from, fs.ErrNotExist)
	}
	delete(d.names, from)
	d.names[to] = n
	d.changes = append(d.changes, change{removes: from, makes: to, of: n})
	return nil
}

func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("remove"); err != nil {
		return wrong("remove", name, err)
	}
	n := d.names[name]
	if n == nil {
		return wrong("remove", name, fs.ErrNotExist)
	}
	delete(d.names, name)
	d.changes = append(d.changes, change{removes: name})
	if d.Space >= 0 {
		d.Space += int64(len(n.data))
	}
	return nil
}

func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("folder"); err != nil {
		return wrong("sync", ".", err)
	}
	d.durable, d.changes = maps.Clone(d.names), nil
	return nil
}

func (d *Disk) FreeBytes() (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Space < 0 {
		return 1 << 40, nil
	}
	return d.Space, nil
}

// Close leaves the folder as it is, to be opened again.
func (d *Disk) Close() error { return nil }

type file struct {
	disk *Disk
	of   *inode
}

func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	err := f.disk.op("write")
	n := len(p)
	if err == nil && f.disk.Space >= 0 && int64(n) > f.disk.Space { // what fits is written
		n, err = int(f.disk.Space), ErrFull
	}
	if err != nil && !errors.Is(err, ErrFull) && !errors.Is(err, ErrPower) {
		return 0, err
	}
	f.of.writes = append(f.of.writes, write{len(f.of.data), slices.Clone(p[:n])}) // of one that was cut off any part
	f.of.data = append(f.of.data, p[:n]...)
	if f.disk.Space >= 0 {
		f.disk.Space -= int64(n)
	}
	return n, err
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.op("sync"); err != nil {
		if !errors.Is(err, ErrPower) {
			f.of.writes = nil // a failed sync may drop what it was to write, and a second one then tells nothing of it
		}
		return err
	}
	f.of.synced, f.of.writes = slices.Clone(f.of.data), nil
	return nil
}

func (f *file) Close() error { return nil }
