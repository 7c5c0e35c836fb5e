package store

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

const (
	minFreeBytes = 4 << 20 // free space that must remain on the disk after a write
	// sizeParts is the number of parts into which the size limit of the directory is divided. The key table takes up to
	// one part, and so do the records after which a new table is written; the other parts are for the previous
	// generation, quarantined files and the table that is being written.
	sizeParts        = 8
	segmentsPerTable = 4       // log files for the records between two key tables
	maxIdleBuffer    = 1 << 20 // bytes; a buffer that has grown larger in a burst is released
)

var (
	errDiskFull     = errors.New("not enough free space on the disk")
	errTableOverdue = errors.New("too many records since the last key table: the disk is too slow")
)

// writer writes the state files of a directory. Its methods are called by one goroutine. The jobs that it returns may
// run concurrently with that goroutine, one at a time.
type writer struct {
	dir         datadir.Dir
	clock       func() recovery.Timestamp
	newID       func() uint64 // of the next file
	site        string
	maxBytes    int64 // limit for all files together
	persistKeys bool

	keys                  *recovery.KeyTable
	log                   datadir.File
	logHeader             recovery.Header
	nextSequence          uint64 // of the next record
	nextEstimatesSequence uint64 // of the next estimates file
	pending               []byte // frames to be written by the next commit
	segmentBytes          int64  // of the current log file
	bytesSinceTable       int64  // of all log files since the last key table
}

// plan decides which state in the directory is used. It changes nothing.
func (w *writer) plan(environment recovery.Environment) (recovery.Plan, error) {
	files, err := readFiles(w.dir, w.maxBytes, w.persistKeys)
	if err != nil {
		return recovery.Plan{Keys: recovery.NewKeyTable()}, err
	}
	return recovery.NewPlan(files, environment), nil
}

// apply carries out a plan: it quarantines data that is not used, writes a snapshot of the key table, and starts a new
// log. Nothing is removed before its replacement is durable.
func (w *writer) apply(plan recovery.Plan, keys *recovery.KeyTable) error {
	w.keys, w.nextSequence, w.nextEstimatesSequence = keys, plan.NextSequence, plan.NextEstimatesSequence
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

// removeTemporary removes incomplete files that a crash left.
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

// createFile writes and syncs a new file. Its name becomes durable only when the directory is synced.
func (w *writer) createFile(name string, raw []byte) error {
	if err := w.requireFree(int64(len(raw))); err != nil {
		return err
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

// requireFree returns errDiskFull if the disk would have less than minFreeBytes free after a write of that many bytes.
func (w *writer) requireFree(bytes int64) error {
	free, err := w.dir.FreeBytes()
	if err != nil {
		return err
	}
	if free < bytes+minFreeBytes {
		return errDiskFull
	}
	return nil
}

// replaceFile writes a file atomically: the name refers either to the complete file or to what it referred to before.
func (w *writer) replaceFile(name string, raw []byte) error {
	temporary := temporaryPrefix + name
	if err := w.createFile(temporary, raw); err != nil {
		_ = w.dir.Remove(temporary) // the disk may be full because of it
		return err
	}
	if err := w.dir.Rename(temporary, name); err != nil {
		return err
	}
	return w.dir.Sync()
}

func (w *writer) newHeader(content recovery.ContentType, sequence uint64) recovery.Header {
	return recovery.Header{
		Version: recovery.FormatVersion, Content: content, Site: w.site, CreatedAt: w.clock(), ID: w.newID(), Sequence: sequence,
	}
}

// estimatesJob returns the job that writes a snapshot of the estimates.
func (w *writer) estimatesJob(snapshot estimate.Snapshot) func() error {
	header := w.newHeader(recovery.EstimatesFile, w.nextEstimatesSequence)
	header.SettingsDigest = snapshot.SettingsDigest
	w.nextEstimatesSequence++
	return func() error {
		raw := appendFrame(nil, 0, 0, header)
		raw = appendFrame(raw, header.ID, 1, snapshot.Published())
		raw = appendFrame(raw, header.ID, 2, trailer{Frames: 1})
		if err := w.replaceFile(fileName(estimatesPrefix, header.Sequence), raw); err != nil {
			return err
		}
		return w.keepNewest(estimatesPrefix, retainedEstimates)
	}
}

// keyTableJob returns the job that writes a snapshot of the key table and then removes the logs and tables that are no
// longer needed.
func (w *writer) keyTableJob() func() error {
	header := w.newHeader(recovery.KeyTableFile, w.nextSequence-1)
	now := header.CreatedAt.SinceBoot
	w.keys.Expire(now)
	entries := w.keys.Entries()
	w.bytesSinceTable = w.segmentBytes
	return func() error {
		raw := appendFrame(nil, 0, 0, header)
		for i, entry := range entries {
			raw = appendFrame(raw, header.ID, uint64(i)+1, newRecord(entry, now, now))
		}
		raw = appendFrame(raw, header.ID, uint64(len(entries))+1, trailer{Frames: uint64(len(entries))})
		if err := w.replaceFile(fileName(tablePrefix, header.Sequence), raw); err != nil {
			return err
		}
		return w.prune()
	}
}

// newRecord returns the record of an entry. now and fileCreated are readings of the boot clock.
func newRecord(entry recovery.KeyEntry, now, fileCreated time.Duration) recovery.Record {
	r := recovery.Record{
		Kind: recovery.KeyStarted, Key: entry.Key, Fingerprint: entry.Fingerprint,
		Elapsed: now - fileCreated, Remaining: max(entry.ExpiresAt-now, 0),
	}
	if entry.Served {
		r.Kind, r.Served, r.Result = recovery.KeyFinished, true, entry.Result
	}
	return r
}

// close closes the log and the directory.
func (w *writer) close() error {
	return errors.Join(w.closeLog(), w.dir.Close())
}

func (w *writer) closeLog() error {
	if w.log == nil {
		return nil
	}
	err := w.log.Close()
	w.log = nil
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}
