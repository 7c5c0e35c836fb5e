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
	estimatesPrefix  = "view-"
	tablePrefix      = "table-"
	logPrefix        = "log-"
	quarantinePrefix = "aside-"
	temporaryPrefix  = "temp-"
)

const (
	maxFiles          = 256 // of ours in a folder; past it something is wrong with it
	maxQuarantined    = 8   // files that are kept aside; past it the oldest go
	retainedTables    = 2   // and the records behind the older one: a snapshot that rots is not the only one
	retainedEstimates = 2
	minFreeBytes      = 4 << 20 // bytes left on the disk, beside what is to be written
	sizeParts         = 8       // of the folder's bound: a table, and the records since the last, take one each
	segmentsPerTable  = 4       // that the records since the last table are in
)

var (
	errDiskFull     = errors.New("no space left on the disk, or too little")
	errWriterBehind = errors.New("more to be written than the disk takes")
)

// writer is what is being written to a folder. Its methods are for one goroutine; the jobs that it gives may run beside
// them, one at a time.
type writer struct {
	dir         datadir.Dir
	clock       func() recovery.Timestamp
	newID       func() uint64 // draws one for a file
	site        string
	maxBytes    int64 // bytes of all
	persistKeys bool

	keys            *recovery.KeyTable
	log             datadir.File
	logHeader       recovery.Header
	nextSequence    uint64 // sequence of the next record
	nextEstimates   uint64
	pending         []byte // frames to be written
	segmentBytes    int64  // bytes of the log
	bytesSinceTable int64  // bytes of all logs since the last table
}

func fileName(prefix string, place uint64) string { return fmt.Sprintf("%s%016x", prefix, place) }

// parseFileName tells a name's place; false for what is not of that content.
func parseFileName(prefix, name string) (place uint64, is bool) {
	rest, is := strings.CutPrefix(name, prefix)
	if !is || len(rest) < 16 {
		return 0, false
	}
	n, err := fmt.Sscanf(rest[:16], "%x", &place)
	return place, n == 1 && err == nil && (prefix == quarantinePrefix || len(rest) == 16)
}

// readFiles reads all files of a folder that can hold state.
func readFiles(in datadir.Dir, most int64, numbers bool) (found []recovery.File, err error) {
	entries, err := in.List()
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		_, view := parseFileName(estimatesPrefix, e.Name)
		_, table := parseFileName(tablePrefix, e.Name)
		_, log := parseFileName(logPrefix, e.Name)
		if !view && !(numbers && (table || log)) {
			continue
		}
		if len(found) == maxFiles {
			return nil, fmt.Errorf("over %d files of state", maxFiles)
		}
		if !e.Regular {
			found = append(found, recovery.File{Name: e.Name, Why: "no regular file"})
			continue
		}
		raw, err := in.Read(e.Name, most)
		if errors.Is(err, datadir.ErrTooLarge) {
			found = append(found, recovery.File{Name: e.Name, Why: err.Error()})
			continue
		}
		if err != nil {
			return nil, err
		}
		found = append(found, parseFile(e.Name, raw))
	}
	return found, nil
}

// plan decides what of a folder is used. It changes nothing.
func (w *writer) plan(here recovery.Environment) (recovery.Plan, error) {
	found, err := readFiles(w.dir, w.maxBytes, w.persistKeys)
	if err != nil {
		return recovery.Plan{Keys: recovery.NewKeyTable()}, err
	}
	return recovery.NewPlan(found, here), nil
}

// apply carries out a plan: what is not used is put aside, the table stands in a fresh snapshot, and a log begins behind
// it. Nothing is removed before that is safe.
func (w *writer) apply(plan recovery.Plan, table *recovery.KeyTable) error {
	w.keys, w.nextSequence, w.nextEstimates = table, plan.NextSequence, plan.NextEstimates
	if err := w.quarantine(plan.Quarantine); err != nil {
		return err
	}
	if err := w.removeTemporary(); err != nil || !w.persistKeys {
		return err
	}
	if err := w.keyTableJob()(); err != nil {
		return err
	}
	return w.rotateLog()
}

// removeTemporary removes what a crash left half made.
func (w *writer) removeTemporary() error {
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name, temporaryPrefix) && e.Regular {
			if err := w.dir.Remove(e.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// quarantine keeps what was not used under a name that nothing reads.
func (w *writer) quarantine(all []recovery.Quarantined) error {
	if len(all) == 0 {
		return nil
	}
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	next, size := uint64(1), map[string]int64{}
	for _, e := range entries {
		size[e.Name] = e.Size
		if place, is := parseFileName(quarantinePrefix, e.Name); is {
			next = max(next, place+1)
		}
	}
	for _, a := range all {
		to := fmt.Sprintf("%s-%s", fileName(quarantinePrefix, next), a.Name)
		next++
		switch {
		case a.FromByte > 0: // the whole part is still needed until it stands in a snapshot
			raw, err := w.dir.Read(a.Name, w.maxBytes)
			if err != nil {
				return err
			}
			if err := w.createFile(to, raw[min(a.FromByte, int64(len(raw))):]); err != nil {
				return err
			}
		case size[a.Name] == 0:
			if err := w.dir.Remove(a.Name); err != nil { // made, and then the power went
				return err
			}
		default:
			if err := w.dir.Rename(a.Name, to); err != nil {
				return err
			}
		}
	}
	return errors.Join(w.dir.Sync(), w.trimQuarantine())
}

// trimQuarantine keeps what is aside within a bound.
func (w *writer) trimQuarantine() error {
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	var aside []datadir.Entry
	bytes := int64(0)
	for _, e := range entries {
		if _, is := parseFileName(quarantinePrefix, e.Name); is {
			aside = append(aside, e)
			bytes += e.Size
		}
	}
	for len(aside) > maxQuarantined || bytes > w.maxBytes/sizeParts && len(aside) > 1 {
		if err := w.dir.Remove(aside[0].Name); err != nil {
			return err
		}
		bytes -= aside[0].Size
		aside = aside[1:]
	}
	return nil
}

// createFile makes a file whole, and durable but for its name.
func (w *writer) createFile(name string, raw []byte) error {
	free, err := w.dir.FreeBytes()
	if err != nil {
		return err
	}
	if free < int64(len(raw))+minFreeBytes {
		return errDiskFull
	}
	file, err := w.dir.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// replaceFile has a file stand under its name, whole, or not at all.
func (w *writer) replaceFile(name string, raw []byte) error {
	temp := temporaryPrefix + name
	if err := w.createFile(temp, raw); err != nil {
		_ = w.dir.Remove(temp) // the disk may be full of it
		return err
	}
	if err := w.dir.Rename(temp, name); err != nil {
		return err
	}
	return w.dir.Sync()
}

func (w *writer) header(content recovery.ContentType, place uint64) recovery.Header {
	return recovery.Header{
		Version: recovery.FormatVersion, Content: content, Site: w.site, CreatedAt: w.clock(), ID: w.newID(), Sequence: place,
	}
}

// estimatesJob is the job of writing a snapshot of what was learned.
func (w *writer) estimatesJob(snapshot estimate.Snapshot) func() error {
	h := w.header(recovery.EstimatesFile, w.nextEstimates)
	h.SettingsDigest = snapshot.SettingsDigest
	w.nextEstimates++
	return func() error {
		raw := appendFrame(nil, 0, 0, h)
		raw = appendFrame(raw, h.ID, 1, snapshot.Published())
		raw = appendFrame(raw, h.ID, 2, trailer{1})
		if err := w.replaceFile(fileName(estimatesPrefix, h.Sequence), raw); err != nil {
			return err
		}
		return w.keepNewest(estimatesPrefix, retainedEstimates)
	}
}

// keyTableJob is the job of writing a snapshot of the table. What was written before it is then no longer needed, but for
// one generation.
func (w *writer) keyTableJob() func() error {
	h := w.header(recovery.KeyTableFile, w.nextSequence-1)
	w.keys.Expire(h.CreatedAt.SinceBoot)
	all := w.keys.Entries()
	w.bytesSinceTable = w.segmentBytes
	return func() error {
		raw := appendFrame(nil, 0, 0, h)
		for i, n := range all {
			raw = appendFrame(raw, h.ID, uint64(i)+1, newRecord(n, h.CreatedAt.SinceBoot, h.CreatedAt.SinceBoot))
		}
		raw = appendFrame(raw, h.ID, uint64(len(all))+1, trailer{uint64(len(all))})
		if err := w.replaceFile(fileName(tablePrefix, h.Sequence), raw); err != nil {
			return err
		}
		return w.prune()
	}
}

func newRecord(n recovery.KeyEntry, now, began time.Duration) recovery.Record {
	r := recovery.Record{Kind: recovery.KeyStarted, Key: n.Key, Shape: n.Shape, Elapsed: now - began, Remaining: max(n.ExpiresAt-now, 0)}
	if n.Served {
		r.Kind, r.Served, r.Result = recovery.KeyFinished, true, n.Result
	}
	return r
}

func (w *writer) keepNewest(prefix string, keep int) error {
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	names := sortedFiles(entries, prefix)
	for len(names) > keep {
		if err := w.dir.Remove(names[0]); err != nil {
			return err
		}
		names = names[1:]
	}
	return nil
}

// sortedFiles are the names of one content, in order of place.
func sortedFiles(entries []datadir.Entry, prefix string) (names []string) {
	for _, e := range entries {
		if _, is := parseFileName(prefix, e.Name); is && e.Regular {
			names = append(names, e.Name)
		}
	}
	slices.Sort(names)
	return names
}

// prune removes the tables but the newest, and the logs of which all records are in the oldest that is left.
func (w *writer) prune() error {
	if err := w.keepNewest(tablePrefix, retainedTables); err != nil {
		return err
	}
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	tables, logs := sortedFiles(entries, tablePrefix), sortedFiles(entries, logPrefix)
	if len(tables) < retainedTables {
		return nil
	}
	covered, _ := parseFileName(tablePrefix, tables[0])
	for i := 0; i+1 < len(logs); i++ {
		if behind, _ := parseFileName(logPrefix, logs[i+1]); behind > covered+1 {
			break
		}
		if err := w.dir.Remove(logs[i]); err != nil {
			return err
		}
	}
	return nil
}

// rotateLog begins a new log. Its name is durable before a record of it counts as kept.
func (w *writer) rotateLog() error {
	if w.log != nil {
		if err := w.log.Close(); err != nil {
			return err
		}
		w.log = nil
	}
	name := fileName(logPrefix, w.nextSequence)
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	if slices.Contains(sortedFiles(entries, logPrefix), name) {
		if err := w.dir.Remove(name); err != nil { // no record of it is whole, else the next would be another
			return err
		}
	}
	free, err := w.dir.FreeBytes()
	if err != nil {
		return err
	}
	if free < w.maxBytes/sizeParts/segmentsPerTable+minFreeBytes {
		return errDiskFull
	}
	w.logHeader = w.header(recovery.KeyLogFile, w.nextSequence)
	if w.log, err = w.dir.Create(name); err != nil {
		return err
	}
	raw := appendFrame(nil, 0, 0, w.logHeader)
	if _, err := w.log.Write(raw); err != nil {
		return err
	}
	if err := w.log.Sync(); err != nil {
		return err
	}
	w.segmentBytes = int64(len(raw))
	w.bytesSinceTable += w.segmentBytes
	return w.dir.Sync()
}

// appendRecord adds a record to the table, and to what the next commit writes.
func (w *writer) appendRecord(n recovery.KeyEntry, ended bool, now time.Duration) {
	w.keys.Put(n)
	r := newRecord(n, now, w.logHeader.CreatedAt.SinceBoot)
	if ended {
		r.Kind = recovery.KeyFinished
	}
	w.pending = appendFrame(w.pending, w.logHeader.ID, w.nextSequence, r)
	w.nextSequence++
}

// commit makes what was put durable.
func (w *writer) commit() error {
	raw := w.pending
	w.pending = w.pending[:0]
	if len(raw) == 0 {
		return nil
	}
	if w.bytesSinceTable+int64(len(raw)) > 2*w.maxBytes/sizeParts {
		return errWriterBehind
	}
	if _, err := w.log.Write(raw); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if err := w.log.Sync(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	w.segmentBytes += int64(len(raw))
	w.bytesSinceTable += int64(len(raw))
	if cap(w.pending) > 1<<20 {
		w.pending = nil // a burst's
	}
	if w.segmentBytes > w.maxBytes/sizeParts/segmentsPerTable {
		return w.rotateLog()
	}
	return nil
}

// needsKeyTable tells that the records since the last table have become many.
func (w *writer) needsKeyTable() bool { return w.bytesSinceTable > w.maxBytes/sizeParts }

// close lets the folder go.
func (w *writer) close() error {
	var err error
	if w.log != nil {
		err = w.log.Close()
		w.log = nil
	}
	return errors.Join(err, w.dir.Close())
}
