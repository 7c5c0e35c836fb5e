package recovery

import (
	"errors"
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quartzpoint/estimate"
)

// TestMain makes rapid draw the same cases in every run, unless -rapid.seed states a seed.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

var now = Timestamp{Wall: 1000 * time.Hour, SinceBoot: 100 * time.Hour, BootID: "b", MachineID: 7}

func timestampBefore(wall, sinceBoot time.Duration) Timestamp {
	return Timestamp{Wall: now.Wall - wall, SinceBoot: now.SinceBoot - sinceBoot, BootID: "b", MachineID: 7}
}

func TestAge(t *testing.T) {
	other := func(m Timestamp, boot string, machine uint64) Timestamp {
		m.BootID, m.MachineID = boot, machine
		return m
	}
	cases := []struct {
		name           string
		then           Timestamp
		minAge, maxAge time.Duration
	}{
		{"same boot", timestampBefore(time.Minute, time.Minute), time.Minute, time.Minute},
		{"wall clock set forward", timestampBefore(time.Hour, time.Minute), time.Minute, time.Hour},
		{"wall clock set back a little", timestampBefore(time.Second, time.Minute), time.Minute, time.Minute},
		{"timestamp in the future, or wall clock set back before it", timestampBefore(-time.Second, time.Minute), time.Minute, MaxUndatedAge},
		{"boot clock ran backwards", timestampBefore(time.Minute, -time.Second), 0, MaxUndatedAge},
		{"previous boot", other(timestampBefore(time.Minute, 0), "a", 7), now.SinceBoot, now.SinceBoot},
		{"many boots ago", other(timestampBefore(400*time.Hour, 0), "a", 7), now.SinceBoot, 400 * time.Hour},
		{"another machine", other(timestampBefore(time.Minute, time.Minute), "b", 8), 0, time.Minute},
		{"unknown machine", other(timestampBefore(time.Minute, time.Minute), "b", 0), 0, time.Minute},
		{"unknown boot", other(timestampBefore(time.Minute, time.Minute), "", 7), 0, time.Minute},
		{"empty timestamp", Timestamp{}, 0, MaxUndatedAge},
	}
	for _, c := range cases {
		minAge, maxAge := Age(c.then, now)
		assert.Equal(t, c.minAge, minAge, c.name)
		assert.Equal(t, c.maxAge, maxAge, c.name)
	}
}

// Whatever the wall clock is set to, minAge never exceeds the time that has passed. Within one boot, maxAge is never
// less than that time.
func TestAgeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		passed := time.Duration(rapid.Int64Range(0, int64(90*time.Hour)).Draw(t, "passed"))
		// The wall clock is set by this step between the two readings.
		step := time.Duration(rapid.Int64Range(-int64(200*time.Hour), int64(200*time.Hour)).Draw(t, "step"))
		then := timestampBefore(passed+step, passed)
		reboot := rapid.Bool().Draw(t, "reboot")
		later := now
		if reboot { // at any time since then
			later.BootID, later.SinceBoot = "c", time.Duration(rapid.Int64Range(0, int64(passed)).Draw(t, "up"))
		}
		minAge, maxAge := Age(then, later)
		assert.LessOrEqual(t, minAge, passed)
		assert.LessOrEqual(t, minAge, maxAge)
		if !reboot {
			assert.GreaterOrEqual(t, maxAge, passed)
		}
	})
}

var testSchema = estimate.Schema{SettingsDigest: 7, Origin: 99, Routes: []string{"pay"}, Deadlines: []time.Duration{4 * time.Second}}

func snapshotOf(mean float64) *estimate.Snapshot {
	e := estimate.Estimate{Mean: mean, Samples: 20}
	return &estimate.Snapshot{Origin: 1, SettingsDigest: 7, Routes: []estimate.RouteEstimates{{Name: "pay", Core: e, Run: e}}}
}

func estimatesFile(sequence uint64, mean float64, createdAt Timestamp) File {
	return File{
		Name: "view-" + string(rune('a'+sequence)), Complete: true, Estimates: snapshotOf(mean),
		Header: Header{Version: FormatVersion, Content: EstimatesFile, Site: "s", Sequence: sequence, CreatedAt: createdAt},
	}
}

func TestEstimates(t *testing.T) {
	recent, old := timestampBefore(time.Second, time.Second), timestampBefore(time.Hour, time.Hour)
	with := func(f File, change func(*File)) File { change(&f); return f }
	cases := []struct {
		name   string
		files  []File
		mean   float64 // 0 if no estimates are used
		reason string
	}{
		{"no files", nil, 0, ""},
		{"the newest is used", []File{estimatesFile(1, 0.1, recent), estimatesFile(2, 0.2, recent)}, 0.2, ""},
		{"the newest is incomplete", []File{estimatesFile(1, 0.1, recent), with(estimatesFile(2, 0.2, recent), func(f *File) { f.Complete, f.Estimates = false, nil })}, 0.1, "not whole"},
		{"old", []File{estimatesFile(1, 0.1, old)}, 0, "old"},
		{"timestamp in the future", []File{estimatesFile(1, 0.1, timestampBefore(-time.Minute, time.Second))}, 0, "old"},
		{"of another site", []File{with(estimatesFile(1, 0.1, recent), func(f *File) { f.Header.Site = "x" })}, 0, `of site "x", and this is "s"`},
		{"of another machine", []File{with(estimatesFile(1, 0.1, recent), func(f *File) { f.Header.CreatedAt.MachineID = 8 })}, 0, "of another machine"},
		{"made under other settings", []File{with(estimatesFile(1, 0.1, recent), func(f *File) { f.Estimates.SettingsDigest = 8 })}, 0, "other settings: digest"},
		{"of a newer version, with an older supported file", []File{estimatesFile(1, 0.1, recent), with(estimatesFile(2, 0.2, recent), func(f *File) { f.Header.Version = FormatVersion + 1 })}, 0.1, "version 3, and 2 at the most is known here"},
		{"of a version that never existed", []File{with(estimatesFile(1, 0.1, recent), func(f *File) { f.Header.Version = 0 })}, 0, "version 0, from which no step leads here"},
		{"of version 1", []File{with(estimatesFile(1, 0.1, recent), func(f *File) {
			f.Header.Version, f.Header.CreatedAt, f.Header.LegacyWall = 1, Timestamp{}, int64(recent.Wall)
		})}, 0.1, ""},
		{"of version 1 and old", []File{with(estimatesFile(1, 0.1, recent), func(f *File) {
			f.Header.Version, f.Header.CreatedAt, f.Header.LegacyWall = 1, Timestamp{}, int64(old.Wall)
		})}, 0, "old"},
		{"unreadable", []File{{Name: "view-x", Err: errors.New("no whole header")}}, 0, "no whole header"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan := NewPlan(c.files, Environment{Now: now, Site: "s", Schema: testSchema})
			if assert.Equal(t, c.mean > 0, plan.Estimates.HasFresh()); c.mean > 0 {
				assert.Equal(t, c.mean, plan.Estimates.Routes[0].Core.Mean)
				assert.Equal(t, time.Second, plan.Estimates.Routes[0].Core.Age)
			}
			if c.reason == "" {
				assert.Empty(t, plan.Findings)
			} else {
				require.Len(t, plan.Findings, 1)
				assert.Contains(t, plan.Findings[0].Reason, c.reason)
			}
		})
	}
}

func logFile(sequence uint64, complete bool, records ...Record) File {
	for i := range records {
		records[i].Sequence = sequence + uint64(i)
	}
	return File{
		Name: "log-" + string(rune('a'+sequence)), Complete: complete, Records: records,
		Header: Header{Version: FormatVersion, Content: KeyLogFile, Site: "s", Sequence: sequence, CreatedAt: timestampBefore(time.Minute, time.Minute)},
	}
}

func started(key string) Record { return Record{Kind: KeyStarted, Key: key, Remaining: time.Hour} }

func finished(key, result string) Record {
	return Record{Kind: KeyFinished, Key: key, Remaining: time.Hour, Served: true, Result: []byte(result)}
}

func tableFile(sequence uint64, records ...Record) File {
	f := logFile(sequence, true, records...)
	f.Name, f.Header.Content = "table-"+string(rune('a'+sequence)), KeyTableFile
	return f
}

func TestKeyReplay(t *testing.T) {
	damaged := func(f File, salvaged ...Record) File {
		f.Complete, f.CompleteBytes, f.Salvaged = false, 77, salvaged
		return f
	}
	at := func(seq uint64, r Record) Record { r.Sequence = seq; return r }
	damagedTable := tableFile(4)
	damagedTable.Complete, damagedTable.Records = false, nil
	cases := []struct {
		name        string
		files       []File
		want        map[string]string // results by key; "?" if the outcome is unknown
		next        uint64
		quarantined int
	}{
		{"started and finished", []File{logFile(1, true, started("a"), started("b"), finished("a", "1"))}, map[string]string{"a": "1", "b": "?"}, 4, 0},
		{"a snapshot and later records", []File{tableFile(2, finished("a", "1")), logFile(1, true, started("a"), started("x"), started("b"))}, map[string]string{"a": "1", "b": "?"}, 4, 0},
		{"two logs", []File{logFile(3, true, finished("b", "2")), logFile(1, true, started("a"), started("b"))}, map[string]string{"a": "?", "b": "2"}, 4, 0},
		{"a log with a damaged end", []File{damaged(logFile(1, false, started("a")))}, map[string]string{"a": "?"}, 2, 1},
		{"of records after damage only the start is used", []File{damaged(logFile(1, false, started("a")), at(3, finished("a", "no")), at(4, started("c")))}, map[string]string{"a": "?", "c": "?"}, 5, 1},
		{"the same for an undamaged log after a damaged one", []File{damaged(logFile(1, false, started("a"))), logFile(3, true, finished("a", "no"), finished("d", "no"))}, map[string]string{"a": "?", "d": "?"}, 5, 1},
		{"a log in between is missing", []File{logFile(1, true, finished("a", "1")), logFile(5, true, finished("e", "no"))}, map[string]string{"a": "1", "e": "?"}, 6, 0},
		{"the newest snapshot is damaged", []File{damagedTable, tableFile(2, finished("a", "1")), logFile(3, true, started("b"), finished("b", "2")), logFile(5, true, started("c"))}, map[string]string{"a": "1", "b": "2", "c": "?"}, 6, 1},
		{"no snapshot, and the first logs are missing", []File{logFile(9, true, started("a"), finished("a", "1"))}, map[string]string{"a": "1"}, 11, 0},
		{"an empty log", []File{tableFile(3, finished("a", "1")), logFile(4, true)}, map[string]string{"a": "1"}, 4, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rand.New(rand.NewSource(1)).Shuffle(len(c.files), func(i, j int) { c.files[i], c.files[j] = c.files[j], c.files[i] })
			plan := NewPlan(c.files, Environment{Now: now, Site: "s"})
			got, unknown := map[string]string{}, 0
			for _, entry := range plan.Keys.Entries() {
				if got[entry.Key] = string(entry.Result); !entry.Served {
					got[entry.Key] = "?"
					unknown++
				}
			}
			assert.Equal(t, c.want, got)
			assert.Equal(t, unknown, plan.UnservedKeys)
			assert.Equal(t, c.next, plan.NextSequence)
			assert.Len(t, plan.Quarantine, c.quarantined)
		})
	}
}

func TestDeduplicationWindow(t *testing.T) {
	cases := []struct {
		name      string
		then      Timestamp
		elapsed   time.Duration // from the file's creation to the record
		remaining time.Duration // of a window of an hour; 0 if it has ended
	}{
		{"a minute ago", timestampBefore(time.Minute, time.Minute), 0, 59 * time.Minute},
		{"late in its file", timestampBefore(time.Minute, time.Minute), 50 * time.Second, 59*time.Minute + 50*time.Second},
		{"expired", timestampBefore(time.Hour, time.Hour), 0, 0},
		{"expired only by a wall clock that was set forward", timestampBefore(time.Hour, time.Minute), 0, 59 * time.Minute},
		{"a wall clock that was set back", timestampBefore(-time.Hour, time.Minute), 0, 59 * time.Minute},
		{"no time is certain on another machine", Timestamp{Wall: 1, SinceBoot: 1, BootID: "x", MachineID: 9}, 0, time.Hour},
		{"before a reboot long ago", Timestamp{Wall: 1, SinceBoot: 1, BootID: "x", MachineID: 7}, 0, 0},
		{"recorded later in its file than the time that is certain to have passed", Timestamp{Wall: 1, SinceBoot: 1, BootID: "x", MachineID: 9}, time.Hour, time.Hour},
	}
	for _, c := range cases {
		f := logFile(1, true, started("a"))
		f.Header.CreatedAt, f.Records[0].Elapsed = c.then, c.elapsed
		entry, known := NewPlan([]File{f}, Environment{Now: now, Site: "s"}).Keys.Get("a")
		if assert.Equal(t, c.remaining > 0, known, c.name); known {
			assert.Equal(t, c.remaining, entry.ExpiresAt-now.SinceBoot, c.name)
		}
	}
}

func TestShouldPersist(t *testing.T) {
	warm, cold := *snapshotOf(0.1), *snapshotOf(0.1)
	cold.Routes[0].Core.Samples = 2
	assert.True(t, ShouldPersist(warm, estimate.Snapshot{}, 0))
	assert.False(t, ShouldPersist(cold, estimate.Snapshot{}, 0), "a cold server keeps the snapshot of its previous incarnation")
	assert.False(t, ShouldPersist(warm.Aged(time.Second), warm, time.Second), "no newer samples")
	assert.True(t, ShouldPersist(warm.Aged(time.Second/2), warm, time.Second))
}

func TestKeyTableSize(t *testing.T) {
	table := NewKeyTable()
	table.Put(KeyEntry{Key: "a", ExpiresAt: 5, Result: make([]byte, 100)})
	table.Put(KeyEntry{Key: "b", ExpiresAt: 9})
	table.Put(KeyEntry{Key: "a", ExpiresAt: 5, Result: make([]byte, 10)})
	assert.Equal(t, 2*entryOverheadBytes+2+10, table.SizeBytes())
	table.Expire(5)
	assert.Equal(t, 1, table.Len())
	assert.Equal(t, entryOverheadBytes+1, table.SizeBytes())
}
