package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// The names of files are their content and their place, so that their order is known before they are read.
const (
	viewName  = "view-"
	tableName = "table-"
	logName   = "log-"
	asideName = "aside-"
	tempName  = "temp-"
)

const (
	mostFiles  = 256 // of ours in a folder; past it something is wrong with it
	mostAside  = 8   // files that are kept aside; past it the oldest go
	keepTables = 2   // and the records behind the older one: a snapshot that rots is not the only one
	keepViews  = 2
	leastFree  = 4 << 20 // bytes left on the disk, beside what is to be written
	parts      = 8       // of the folder's bound: a table, and the records since the last, take one each
	segments   = 4       // that the records since the last table are in
)

var (
	errFull   = errors.New("no space left on the disk, or too little")
	errBehind = errors.New("more to be written than the disk takes")
)

// book is what is being written to a folder. Its methods are for one goroutine; the jobs that it gives may run beside
// them, one at a time.
type book struct {
	folder  datadir.Folder
	clock   func() recovery.Moment
	id      func() uint64 // draws one for a file
	site    string
	most    int64 // bytes of all
	numbers bool

	table    *recovery.Table
	log      datadir.File
	head     recovery.Header
	next     uint64 // sequence of the next record
	nextView uint64
	pending  []byte // frames to be written
	segment  int64  // bytes of the log
	since    int64  // bytes of all logs since the last table
}

func nameOf(prefix string, place uint64) string { return fmt.Sprintf("%s%016x", prefix, place) }

// placeOf tells a name's place; false for what is not of that content.
func placeOf(prefix, name string) (place uint64, is bool) {
	rest, is := strings.CutPrefix(name, prefix)
	if !is || len(rest) < 16 {
		return 0, false
	}
	n, err := fmt.Sscanf(rest[:16], "%x", &place)
	return place, n == 1 && err == nil && (prefix == asideName || len(rest) == 16)
}

// look reads all files of a folder that can hold state.
func look(in datadir.Folder, most int64, numbers bool) (found []recovery.Found, err error) {
	entries, err := in.List()
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		_, view := placeOf(viewName, e.Name)
		_, table := placeOf(tableName, e.Name)
		_, log := placeOf(logName, e.Name)
		if !view && !(numbers && (table || log)) {
			continue
		}
		if len(found) == mostFiles {
			return nil, fmt.Errorf("over %d files of state", mostFiles)
		}
		if !e.Regular {
			found = append(found, recovery.Found{Name: e.Name, Why: "no regular file"})
			continue
		}
		raw, err := in.Read(e.Name, most)
		if errors.Is(err, datadir.ErrTooLarge) {
			found = append(found, recovery.Found{Name: e.Name, Why: err.Error()})
			continue
		}
		if err != nil {
			return nil, err
		}
		found = append(found, read(e.Name, raw))
	}
	return found, nil
}

// read decides what of a folder is used. It changes nothing.
func (b *book) read(here recovery.Here) (recovery.Plan, error) {
	found, err := look(b.folder, b.most, b.numbers)
	if err != nil {
		return recovery.Plan{Table: recovery.NewTable()}, err
	}
	return recovery.Decide(found, here), nil
}

// begin carries out a plan: what is not used is put aside, the table stands in a fresh snapshot, and a log begins behind
// it. Nothing is removed before that is safe.
func (b *book) begin(plan recovery.Plan, table *recovery.Table) error {
	b.table, b.next, b.nextView = table, plan.Next, plan.NextView
	if err := b.putAside(plan.Aside); err != nil {
		return err
	}
	if err := b.clean(); err != nil || !b.numbers {
		return err
	}
	if err := b.newTable()(); err != nil {
		return err
	}
	return b.rotate()
}

// clean removes what a crash left half made.
func (b *book) clean() error {
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name, tempName) && e.Regular {
			if err := b.folder.Remove(e.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// putAside keeps what was not used under a name that nothing reads.
func (b *book) putAside(all []recovery.Aside) error {
	if len(all) == 0 {
		return nil
	}
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	next, size := uint64(1), map[string]int64{}
	for _, e := range entries {
		size[e.Name] = e.Size
		if place, is := placeOf(asideName, e.Name); is {
			next = max(next, place+1)
		}
	}
	for _, a := range all {
		to := fmt.Sprintf("%s-%s", nameOf(asideName, next), a.Name)
		next++
		switch {
		case a.From > 0: // the whole part is still needed until it stands in a snapshot
			raw, err := b.folder.Read(a.Name, b.most)
			if err != nil {
				return err
			}
			if err := b.write(to, raw[min(a.From, int64(len(raw))):]); err != nil {
				return err
			}
		case size[a.Name] == 0:
			if err := b.folder.Remove(a.Name); err != nil { // made, and then the power went
				return err
			}
		default:
			if err := b.folder.Rename(a.Name, to); err != nil {
				return err
			}
		}
	}
	return errors.Join(b.folder.Sync(), b.trimAside())
}

// trimAside keeps what is aside within a bound.
func (b *book) trimAside() error {
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	var aside []datadir.Entry
	bytes := int64(0)
	for _, e := range entries {
		if _, is := placeOf(asideName, e.Name); is {
			aside = append(aside, e)
			bytes += e.Size
		}
	}
	for len(aside) > mostAside || bytes > b.most/parts && len(aside) > 1 {
		if err := b.folder.Remove(aside[0].Name); err != nil {
			return err
		}
		bytes -= aside[0].Size
		aside = aside[1:]
	}
	return nil
}

// write makes a file whole, and durable but for its name.
func (b *book) write(name string, raw []byte) error {
	free, err := b.folder.Free()
	if err != nil {
		return err
	}
	if free < int64(len(raw))+leastFree {
		return errFull
	}
	file, err := b.folder.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// place has a file stand under its name, whole, or not at all.
func (b *book) place(name string, raw []byte) error {
	temp := tempName + name
	if err := b.write(temp, raw); err != nil {
		_ = b.folder.Remove(temp) // the disk may be full of it
		return err
	}
	if err := b.folder.Rename(temp, name); err != nil {
		return err
	}
	return b.folder.Sync()
}

func (b *book) header(content recovery.Content, place uint64) recovery.Header {
	return recovery.Header{
		Version: recovery.Version, Content: content, Site: b.site, At: b.clock(), ID: b.id(), Place: place,
	}
}

// newView is the job of writing a snapshot of what was learned.
func (b *book) newView(snapshot estimate.Snapshot) func() error {
	h := b.header(recovery.ViewFile, b.nextView)
	h.Terms = snapshot.SettingsDigest
	b.nextView++
	return func() error {
		raw := appendFrame(nil, 0, 0, h)
		raw = appendFrame(raw, h.ID, 1, snapshot.Published())
		raw = appendFrame(raw, h.ID, 2, end{1})
		if err := b.place(nameOf(viewName, h.Place), raw); err != nil {
			return err
		}
		return b.keepNewest(viewName, keepViews)
	}
}

// newTable is the job of writing a snapshot of the table. What was written before it is then no longer needed, but for
// one generation.
func (b *book) newTable() func() error {
	h := b.header(recovery.TableFile, b.next-1)
	b.table.Expire(h.At.Up)
	all := b.table.All()
	b.since = b.segment
	return func() error {
		raw := appendFrame(nil, 0, 0, h)
		for i, n := range all {
			raw = appendFrame(raw, h.ID, uint64(i)+1, recordOf(n, h.At.Up, h.At.Up))
		}
		raw = appendFrame(raw, h.ID, uint64(len(all))+1, end{uint64(len(all))})
		if err := b.place(nameOf(tableName, h.Place), raw); err != nil {
			return err
		}
		return b.prune()
	}
}

func recordOf(n recovery.Number, now, began time.Duration) recovery.Record {
	r := recovery.Record{Kind: recovery.Begun, Key: n.Key, Shape: n.Shape, At: now - began, Left: max(n.Until-now, 0)}
	if n.Honoured {
		r.Kind, r.Honoured, r.Result = recovery.Ended, true, n.Result
	}
	return r
}

func (b *book) keepNewest(prefix string, keep int) error {
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	names := ours(entries, prefix)
	for len(names) > keep {
		if err := b.folder.Remove(names[0]); err != nil {
			return err
		}
		names = names[1:]
	}
	return nil
}

// ours are the names of one content, in order of place.
func ours(entries []datadir.Entry, prefix string) (names []string) {
	for _, e := range entries {
		if _, is := placeOf(prefix, e.Name); is && e.Regular {
			names = append(names, e.Name)
		}
	}
	slices.Sort(names)
	return names
}

// prune removes the tables but the newest, and the logs of which all records are in the oldest that is left.
func (b *book) prune() error {
	if err := b.keepNewest(tableName, keepTables); err != nil {
		return err
	}
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	tables, logs := ours(entries, tableName), ours(entries, logName)
	if len(tables) < keepTables {
		return nil
	}
	covered, _ := placeOf(tableName, tables[0])
	for i := 0; i+1 < len(logs); i++ {
		if behind, _ := placeOf(logName, logs[i+1]); behind > covered+1 {
			break
		}
		if err := b.folder.Remove(logs[i]); err != nil {
			return err
		}
	}
	return nil
}

// rotate begins a new log. Its name is durable before a record of it counts as kept.
func (b *book) rotate() error {
	if b.log != nil {
		if err := b.log.Close(); err != nil {
			return err
		}
		b.log = nil
	}
	name := nameOf(logName, b.next)
	entries, err := b.folder.List()
	if err != nil {
		return err
	}
	if slices.Contains(ours(entries, logName), name) {
		if err := b.folder.Remove(name); err != nil { // no record of it is whole, else the next would be another
			return err
		}
	}
	free, err := b.folder.Free()
	if err != nil {
		return err
	}
	if free < b.most/parts/segments+leastFree {
		return errFull
	}
	b.head = b.header(recovery.LogFile, b.next)
	if b.log, err = b.folder.Create(name); err != nil {
		return err
	}
	raw := appendFrame(nil, 0, 0, b.head)
	if _, err := b.log.Write(raw); err != nil {
		return err
	}
	if err := b.log.Sync(); err != nil {
		return err
	}
	b.segment = int64(len(raw))
	b.since += b.segment
	return b.folder.Sync()
}

// put adds a record to the table, and to what the next commit writes.
func (b *book) put(n recovery.Number, ended bool, now time.Duration) {
	b.table.Put(n)
	r := recordOf(n, now, b.head.At.Up)
	if ended {
		r.Kind = recovery.Ended
	}
	b.pending = appendFrame(b.pending, b.head.ID, b.next, r)
	b.next++
}

// commit makes what was put durable.
func (b *book) commit() error {
	raw := b.pending
	b.pending = b.pending[:0]
	if len(raw) == 0 {
		return nil
	}
	if b.since+int64(len(raw)) > 2*b.most/parts {
		return errBehind
	}
	if _, err := b.log.Write(raw); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if err := b.log.Sync(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	b.segment += int64(len(raw))
	b.since += int64(len(raw))
	if cap(b.pending) > 1<<20 {
		b.pending = nil // a burst's
	}
	if b.segment > b.most/parts/segments {
		return b.rotate()
	}
	return nil
}

// wantsTable tells that the records since the last table have become many.
func (b *book) wantsTable() bool { return b.since > b.most/parts }

// close lets the folder go.
func (b *book) close() error {
	var err error
	if b.log != nil {
		err = b.log.Close()
		b.log = nil
	}
	return errors.Join(err, b.folder.Close())
}
