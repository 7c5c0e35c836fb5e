package faultdisk

import (
	"maps"
	"math/rand"
	"slices"
)

// Loss decides which changes that were not synced survive a crash.
type Loss interface {
	// KeepName reports whether a change of names survives.
	KeepName() bool
	// KeepWrite returns how many bytes of a write survive, and whether these are its last bytes instead of its first.
	KeepWrite(size int) (n int, tail bool)
}

// The implementations of Loss.
type (
	// KeepAll loses nothing.
	KeepAll struct{}
	// LoseAll loses everything that was not synced.
	LoseAll struct{}
	// TornHalf keeps the first half of every write, and all changes of names.
	TornHalf struct{}
	// RandomLoss draws which changes of names and which writes are lost, and after how many bytes or sectors a write is
	// torn.
	RandomLoss struct{ *rand.Rand }
)

// KeepName implements Loss.
func (KeepAll) KeepName() bool { return true }

// KeepWrite implements Loss.
func (KeepAll) KeepWrite(size int) (int, bool) { return size, false }

// KeepName implements Loss.
func (LoseAll) KeepName() bool { return false }

// KeepWrite implements Loss.
func (LoseAll) KeepWrite(int) (int, bool) { return 0, false }

// KeepName implements Loss.
func (TornHalf) KeepName() bool { return true }

// KeepWrite implements Loss.
func (TornHalf) KeepWrite(size int) (n int, tail bool) { return size / 2, false }

// KeepName implements Loss.
func (l RandomLoss) KeepName() bool { return l.Intn(2) == 0 }

// KeepWrite implements Loss.
func (l RandomLoss) KeepWrite(size int) (n int, tail bool) {
	switch l.Intn(4) {
	case 0:
		return 0, false
	case 1:
		return size, false
	case 2:
		return l.Intn(size + 1), false
	}
	return min(l.Intn(size/sectorSize+1)*sectorSize, size), l.Intn(2) == 0
}

// Crash returns the disk after a loss of power. The original disk must not be used afterwards.
func (d *Disk) Crash(loss Loss) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := maps.Clone(d.durable)
	for _, c := range d.nameChanges {
		if !loss.KeepName() {
			continue
		}
		if c.removed != "" {
			delete(names, c.removed)
		}
		if c.added != "" {
			names[c.added] = c.inode
		}
	}
	after := New()
	copies := map[*inode]*inode{}
	for _, name := range slices.Sorted(maps.Keys(names)) { // in a fixed order, because losses are drawn from a seed
		n := names[name]
		if copies[n] == nil {
			copies[n] = n.afterCrash(loss)
		}
		after.names[name], after.durable[name] = copies[n], copies[n]
	}
	return after
}

func (n *inode) afterCrash(loss Loss) *inode {
	raw := slices.Clone(n.synced)
	for _, w := range n.writes {
		kept, tail := loss.KeepWrite(len(w.bytes))
		at, part := w.at, w.bytes[:kept]
		if tail {
			at, part = w.at+len(w.bytes)-kept, w.bytes[len(w.bytes)-kept:]
		}
		if len(part) == 0 {
			continue
		}
		if more := at + len(part) - len(raw); more > 0 { // a gap reads as zeros
			raw = append(raw, make([]byte, more)...)
		}
		copy(raw[at:], part)
	}
	return &inode{data: raw, synced: slices.Clone(raw)}
}
