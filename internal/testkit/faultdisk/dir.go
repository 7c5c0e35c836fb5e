package faultdisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"quartzpoint/internal/datadir"
)

var _ datadir.Dir = (*Disk)(nil)

func pathError(op, name string, err error) error { return &fs.PathError{Op: op, Path: name, Err: err} }

// List implements datadir.Dir.
func (d *Disk) List() (entries []datadir.Entry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.PowerLossAt > 0 && d.operations >= d.PowerLossAt {
		return nil, ErrPowerLost
	}
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		entries = append(entries, datadir.Entry{Name: name, Size: int64(len(d.names[name].data)), Regular: true})
	}
	return entries, nil
}

// Read implements datadir.Dir.
func (d *Disk) Read(name string, limit int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	switch {
	case d.PowerLossAt > 0 && d.operations >= d.PowerLossAt:
		return nil, ErrPowerLost
	case n == nil:
		return nil, pathError("read", name, fs.ErrNotExist)
	case int64(len(n.data)) > limit:
		return nil, pathError("read", name, datadir.ErrTooLarge)
	}
	return slices.Clone(n.data), nil
}

// Create implements datadir.Dir.
func (d *Disk) Create(name string) (datadir.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("create"); err != nil {
		return nil, pathError("create", name, err)
	}
	if d.names[name] != nil {
		return nil, pathError("create", name, fs.ErrExist)
	}
	n := &inode{}
	d.names[name] = n
	d.nameChanges = append(d.nameChanges, nameChange{added: name, inode: n})
	return &file{d, n}, nil
}

// Rename implements datadir.Dir.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("rename"); err != nil {
		return pathError("rename", from, err)
	}
	n := d.names[from]
	if n == nil {
		return pathError("rename", from, fs.ErrNotExist)
	}
	delete(d.names, from)
	d.names[to] = n
	d.nameChanges = append(d.nameChanges, nameChange{removed: from, added: to, inode: n})
	return nil
}

// Remove implements datadir.Dir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("remove"); err != nil {
		return pathError("remove", name, err)
	}
	n := d.names[name]
	if n == nil {
		return pathError("remove", name, fs.ErrNotExist)
	}
	delete(d.names, name)
	d.nameChanges = append(d.nameChanges, nameChange{removed: name})
	if d.Space >= 0 {
		d.Space += int64(len(n.data))
	}
	return nil
}

// Sync implements datadir.Dir.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("folder"); err != nil {
		return pathError("sync", ".", err)
	}
	d.durable, d.nameChanges = maps.Clone(d.names), nil
	return nil
}

// FreeBytes implements datadir.Dir.
func (d *Disk) FreeBytes() (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Space < 0 {
		return 1 << 40, nil
	}
	return d.Space, nil
}

// Close implements datadir.Dir. The disk may be used again afterwards.
func (d *Disk) Close() error { return nil }

type file struct {
	disk  *Disk
	inode *inode
}

func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	err := f.disk.beginOperation("write")
	n := len(p)
	if err == nil && f.disk.Space >= 0 && int64(n) > f.disk.Space { // only as much as fits is written
		n, err = int(f.disk.Space), ErrFull
	}
	if err != nil && !errors.Is(err, ErrFull) && !errors.Is(err, ErrPowerLost) {
		return 0, err
	}
	f.inode.writes = append(f.inode.writes, write{len(f.inode.data), slices.Clone(p[:n])}) // any part of a write that the full disk or the power loss cut off may survive a crash
	f.inode.data = append(f.inode.data, p[:n]...)
	if f.disk.Space >= 0 {
		f.disk.Space -= int64(n)
	}
	return n, err
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.beginOperation("sync"); err != nil {
		if !errors.Is(err, ErrPowerLost) {
			f.inode.writes = nil // a failed sync may drop its writes, and a later sync then succeeds without them
		}
		return err
	}
	f.inode.synced, f.inode.writes = slices.Clone(f.inode.data), nil
	return nil
}

func (f *file) Close() error { return nil }
