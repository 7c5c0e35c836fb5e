package store

import (
	"errors"
	"fmt"

	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

const (
	// retainedTables key tables are kept, and the logs behind the older one, so that there is another if one is damaged.
	retainedTables    = 2
	retainedEstimates = 2
	maxQuarantined    = 8 // files
)

// quarantine keeps what a start did not use, under names that no start reads.
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
		case q.FromByte > 0: // the file stays: its complete part is needed until a snapshot holds it
			err = w.copyFrom(q.Name, q.FromByte, to)
		case sizes[q.Name] == 0: // created just before a power loss
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

// copyFrom copies the bytes of a file from an offset on.
func (w *writer) copyFrom(name string, offset int64, to string) error {
	raw, err := w.dir.Read(name, w.maxBytes)
	if err != nil {
		return err
	}
	return w.createFile(to, raw[min(offset, int64(len(raw))):])
}

// trimQuarantine removes the oldest quarantined files over maxQuarantined, or over one part of the size limit.
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

// keepNewest removes all files with a prefix but the newest few.
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

// prune removes all key tables but the newest retainedTables, and the logs that the oldest remaining table covers completely.
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
