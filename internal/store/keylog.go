package store

import (
	"fmt"
	"slices"
	"time"

	"quartzpoint/recovery"
)

// rotateLog starts a new log file. The name of the file is made durable before any of its records counts as durable.
func (w *writer) rotateLog() error {
	if err := w.closeLog(); err != nil {
		return err
	}
	name := fileName(logPrefix, w.nextSequence)
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	if slices.Contains(sortedFiles(entries, logPrefix), name) {
		// The file was left by a crash and has no complete record: otherwise nextSequence would be higher.
		if err := w.dir.Remove(name); err != nil {
			return err
		}
	}
	if err := w.requireFree(w.maxSegmentBytes()); err != nil {
		return err
	}
	w.logHeader = w.newHeader(recovery.KeyLogFile, w.nextSequence)
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

func (w *writer) maxSegmentBytes() int64 { return w.maxBytes / sizeParts / segmentsPerTable }

// appendRecord stores an entry in the key table and adds its record to the next commit. finished states that the
// outcome of the request is known, whether it was served or not. now is a reading of the boot clock.
func (w *writer) appendRecord(entry recovery.KeyEntry, finished bool, now time.Duration) {
	w.keys.Put(entry)
	record := newRecord(entry, now, w.logHeader.CreatedAt.SinceBoot)
	if finished {
		record.Kind = recovery.KeyFinished
	}
	w.pending = appendFrame(w.pending, w.logHeader.ID, w.nextSequence, record)
	w.nextSequence++
}

// commit writes and syncs the appended records. It returns errTableOverdue if the records since the last key table would
// then take more than two parts of the size limit (see sizeParts).
func (w *writer) commit() error {
	raw := w.pending
	w.pending = w.pending[:0]
	if len(raw) == 0 {
		return nil
	}
	if w.bytesSinceTable+int64(len(raw)) > 2*w.maxBytes/sizeParts {
		return errTableOverdue
	}
	if _, err := w.log.Write(raw); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if err := w.log.Sync(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	w.segmentBytes += int64(len(raw))
	w.bytesSinceTable += int64(len(raw))
	if cap(w.pending) > maxIdleBuffer {
		w.pending = nil
	}
	if w.segmentBytes > w.maxSegmentBytes() {
		return w.rotateLog()
	}
	return nil
}

// needsKeyTable reports whether enough records were written since the last key table for a new one to replace them.
func (w *writer) needsKeyTable() bool { return w.bytesSinceTable > w.maxBytes/sizeParts }
