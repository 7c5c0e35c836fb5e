package store

import (
	"errors"
	"fmt"

	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

const (
	// retainedTables is the number of key tables that are kept, with the logs written after the older one, so that the
	// older table can be used if the newer one is damaged.
	retainedTables    = 2
	retainedEstimates = 2
	maxQuarantined    = 8 // files
)

// quarantine moves data that a start does not use to names that no start reads. If only the end of a file is not used,
// it copies that end and leaves the file.
func (w *writer) quarantine(all []recovery.Quarantined) error {
	if len(all) == 0 {
		return nil
	}
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	next, sizes := uint64(1), map[string]int64{}
	for _, e := range entries {
		sizes[e.Name] = e.Size
		if sequence, ok := parseFileName(quarantinePrefix, e.Name); ok {
			next = max(next, sequence+1)
		}
	}
	for _, q := range all {
		to := fmt.Sprintf("%s-%s", fileName(quarantinePrefix, next), q.Name)
		next++
		switch {
		case q.FromByte > 0: // the file stays: its undamaged part is needed until a snapshot contains it
			err = w.copyFrom(q.Name, q.FromByte, to)
		case sizes[q.Name] == 0: // empty: created just before a power loss
			err = w.dir.Remove(q.Name)
		default:
			err = w.dir.Rename(q.Name, to)
		}
		if err != nil {
			return err
		}
	}
	return errors.Join(w.dir.Sync(), w.trimQuarantine())
}

// copyFrom copies the bytes of a file from an offset on to a new file.
func (w *writer) copyFrom(name string, offset int64, to string) error {
	raw, err := w.dir.Read(name, w.maxBytes)
	if err != nil {
		return err
	}
	return w.createFile(to, raw[min(offset, int64(len(raw))):])
}

// trimQuarantine removes the oldest quarantined files while there are more than maxQuarantined, or while they exceed
// one part of the size limit (see sizeParts). The newest one always stays.
func (w *writer) trimQuarantine() error {
	entries, err := w.dir.List()
	if err != nil {
		return err
	}
	var files []datadir.Entry
	sum := int64(0)
	for _, e := range entries {
		if _, ok := parseFileName(quarantinePrefix, e.Name); ok {
			files = append(files, e)
			sum += e.Size
		}
	}
	for len(files) > maxQuarantined || sum > w.maxBytes/sizeParts && len(files) > 1 {
		if err := w.dir.Remove(files[0].Name); err != nil {
			return err
		}
		sum -= files[0].Size
		files = files[1:]
	}
	return nil
}

// keepNewest removes the oldest files with a prefix until keep files are left.
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

// prune removes all key tables except the newest retainedTables, and the logs that the oldest remaining table covers
// completely. While there are fewer than retainedTables, it keeps all logs.
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
		if next, _ := parseFileName(logPrefix, logs[i+1]); next > covered+1 {
			break
		}
		if err := w.dir.Remove(logs[i]); err != nil {
			return err
		}
	}
	return nil
}
