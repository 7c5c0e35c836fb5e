package store

import (
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// Compact rewrites a directory that no server uses: as a start would, it quarantines data that is not used, writes a
// snapshot of the key table, starts a new log, and removes the tables and logs that are no longer needed. If site is
// empty, it uses the site of the files. It returns the size of the directory before and after.
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
	for range retainedTables { // later passes replace the table of the first, because no records are added in between
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
