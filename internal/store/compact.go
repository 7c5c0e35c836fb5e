package store

import (
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// Compact reduces a directory that no server uses to one key table, one log and the newest estimates. If site is empty,
// it uses the site of the files. It returns the size of the directory before and after.
func Compact(dir datadir.Dir, site string, maxBytes int64, clock func() recovery.Timestamp) (bytesBefore, bytesAfter int64, err error) {
	environment := recovery.Environment{Now: clock(), Site: site}
	files, err := readFiles(dir, maxBytes, true)
	if err != nil {
		return 0, 0, err
	}
	environment.Site = resolveSite(files, site)
	before, err := Inspect(dir, environment, maxBytes)
	if err != nil {
		return 0, 0, err
	}
	w := &writer{dir: dir, clock: clock, newID: RandomID, site: environment.Site, maxBytes: maxBytes, persistKeys: true}
	for range retainedTables { // each pass writes a table; after the last pass, no older table remains
		plan, err := w.plan(environment)
		if err == nil {
			err = w.apply(plan, plan.Keys)
		}
		if err != nil {
			return 0, 0, err
		}
		if err := w.closeLog(); err != nil {
			return 0, 0, err
		}
	}
	after, err := Inspect(dir, environment, maxBytes)
	return before.Bytes, after.Bytes, err
}
