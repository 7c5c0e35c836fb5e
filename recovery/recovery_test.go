package recovery

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quartzpoint/estimate"
)

// TestMain draws the same cases every time; another seed is stated with -rapid.seed.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

var now = Moment{Wall: 1000 * time.Hour, Up: 100 * time.Hour, Boot: "b", Machine: 7}

func before(wall, up time.Duration) Moment {
	return Moment{Wall: now.Wall - wall, Up: now.Up - up, Boot: "b", Machine: 7}
}

func TestAge(t *testing.T) {
	other := func(m Moment, boot string, machine uint64) Moment { m.Boot, m.Machine = boot, machine; return m }
	cases := []struct {
		name        string
		then        Moment
		least, most time.Duration
	}{
		{"one boot", before(time.Minute, time.Minute), time.Minute, time.Minute},
		{"wall clock set forward", before(time.Hour, time.Minute), time.Minute, time.Hour},
		{"wall clock set back a little", before(time.Second, time.Minute), time.Minute, time.Minute},
		{"a file from the future, or set back past it", before(-time.Second, time.Minute), time.Minute, Oldest},
		{"the boot's clock ran backwards", before(time.Minute, -time.Second), 0, Oldest},
		{"the boot before", other(before(time.Minute, 0), "a", 7), now.Up, now.Up},
		{"many boots before", other(before(400*time.Hour, 0), "a", 7), now.Up, 400 * time.Hour},
		{"another machine", other(before(time.Minute, time.Minute), "b", 8), 0, time.Minute},
		{"machine not known", other(before(time.Minute, time.Minute), "b", 0), 0, time.Minute},
		{"boot not known", other(before(time.Minute, time.Minute), "", 7), 0, time.Minute},
		{"nothing known", Moment{}, 0, Oldest},
	}
	for _, c := range cases {
		least, most := Age(c.then, now)
		assert.Equal(t, c.least, least, c.name)
		assert.Equal(t, c.most, most, c.name)
	}
}

// However the wall clock stands, least is never more than what has passed, and most never less.
func TestAgeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		passed := time.Duration(rapid.Int64Range(0, int64(90*time.Hour)).Draw(t, "passed"))
		step := time.Duration(rapid.Int64Range(-int64(200*time.Hour), int64(200*time.Hour)).Draw(t, "step"))
		then := before(passed+step, passed)
		reboot := rapid.Bool().Draw(t, "reboot")
		later := now
		if reboot { // the boot came somewhere between
			later.Boot, later.Up = "c", time.Duration(rapid.Int64Range(0, int64(passed)).Draw(t, "up"))
		}
		least, most := Age(then, later)
		assert.LessOrEqual(t, least, passed)
		assert.LessOrEqual(t, least, most)
		if !reboot {
			assert.GreaterOrEqual(t, most, passed)
		}
	})
}

var frame = estimate.Schema{SettingsDigest: 7, Origin: 99, Routes: []string{"pay"}, Deadlines: []time.Duration{4 * time.Second}}

func view(mean float64) *estimate.Snapshot {
	e := estimate.Estimate{Mean: mean, Samples: 20}
	return &estimate.Snapshot{Origin: 1, SettingsDigest: 7, Routes: []estimate.RouteEstimates{{Name: "pay", Core: e, Run: e}}}
}

func viewFile(place uint64, mean float64, at Moment) Found {
	return Found{
		Name: "view-" + string(rune('a'+place)), Whole: true, View: view(mean),
		Header: Header{Version: Version, Content: ViewFile, Site: "s", Place: place, At: at},
	}
}

func TestView(t *testing.T) {
	young, old := before(time.Second, time.Second), before(time.Hour, time.Hour)
	with := func(f Found, change func(*Found)) Found { change(&f); return f }
	cases := []struct {
		name  string
		found []Found
		mean  float64 // 0: none
		why   string
	}{
		{"none", nil, 0, ""},
		{"the newest", []Found{viewFile(1, 0.1, young), viewFile(2, 0.2, young)}, 0.2, ""},
		{"the newest is not whole", []Found{viewFile(1, 0.1, young), with(viewFile(2, 0.2, young), func(f *Found) { f.Whole, f.View = false, nil })}, 0.1, "not whole"},
		{"old", []Found{viewFile(1, 0.1, old)}, 0, "old"},
		{"from the future", []Found{viewFile(1, 0.1, before(-time.Minute, time.Second))}, 0, "old"},
		{"of another site", []Found{with(viewFile(1, 0.1, young), func(f *Found) { f.Header.Site = "x" })}, 0, `of site "x", and this is "s"`},
		{"of another machine", []Found{with(viewFile(1, 0.1, young), func(f *Found) { f.Header.At.Machine = 8 })}, 0, "of another machine"},
		{"of other terms", []Found{with(viewFile(1, 0.1, young), func(f *Found) { f.View.SettingsDigest = 8 })}, 0, "other terms"},
		{"of a newer version, and one known", []Found{viewFile(1, 0.1, young), with(viewFile(2, 0.2, young), func(f *Found) { f.Header.Version = Version + 1 })}, 0.1, "version 3, and 2 at the most is known here"},
		{"of a version that never was", []Found{with(viewFile(1, 0.1, young), func(f *Found) { f.Header.Version = 0 })}, 0, "version 0, from which no step leads here"},
		{"of version 1", []Found{with(viewFile(1, 0.1, young), func(f *Found) {
			f.Header.Version, f.Header.At, f.Header.Wall = 1, Moment{}, int64(young.Wall)
		})}, 0.1, ""},
		{"of version 1 and old", []Found{with(viewFile(1, 0.1, young), func(f *Found) {
			f.Header.Version, f.Header.At, f.Header.Wall = 1, Moment{}, int64(old.Wall)
		})}, 0, "old"},
		{"unreadable", []Found{{Name: "view-x", Why: "no whole header"}}, 0, "no whole header"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := Decide(c.found, Here{Now: now, Site: "s", Frame: frame})
			if assert.Equal(t, c.mean > 0, p.View.HasFresh()); c.mean > 0 {
				assert.Equal(t, c.mean, p.View.Routes[0].Core.Mean)
				assert.Equal(t, time.Second, p.View.Routes[0].Core.Age)
			}
			if c.why == "" {
				assert.Empty(t, p.Notes)
			} else {
				require.Len(t, p.Notes, 1)
				assert.Contains(t, p.Notes[0].Why, c.why)
			}
		})
	}
}

func logFile(place uint64, whole bool, records ...Record) Found {
	for i := range records {
		records[i].Seq = place + uint64(i)
	}
	return Found{
		Name: "log-" + string(rune('a'+place)), Whole: whole, Records: records,
		Header: Header{Version: Version, Content: LogFile, Site: "s", Place: place, At: before(time.Minute, time.Minute)},
	}
}

func begun(key string) Record { return Record{Kind: Begun, Key: key, Left: time.Hour} }

func ended(key, result string) Record {
	return Record{Kind: Ended, Key: key, Left: time.Hour, Honoured: true, Result: []byte(result)}
}

func tableFile(place uint64, records ...Record) Found {
	f := logFile(place, true, records...)
	f.Name, f.Header.Content = "table-"+string(rune('a'+place)), TableFile
	return f
}

func TestTable(t *testing.T) {
	behind := func(f Found, beyond ...Record) Found { f.Whole, f.End, f.Beyond = false, 77, beyond; return f }
	at := func(seq uint64, r Record) Record { r.Seq = seq; return r }
	rotten := tableFile(4)
	rotten.Whole, rotten.Records = false, nil
	cases := []struct {
		name  string
		found []Found
		want  map[string]string // results; "?" where the end is not known
		next  uint64
		aside int
	}{
		{"begun and ended", []Found{logFile(1, true, begun("a"), begun("b"), ended("a", "1"))}, map[string]string{"a": "1", "b": "?"}, 4, 0},
		{"a snapshot and what came after it", []Found{tableFile(2, ended("a", "1")), logFile(1, true, begun("a"), begun("x"), begun("b"))}, map[string]string{"a": "1", "b": "?"}, 4, 0},
		{"two logs", []Found{logFile(3, true, ended("b", "2")), logFile(1, true, begun("a"), begun("b"))}, map[string]string{"a": "?", "b": "2"}, 4, 0},
		{"a torn end", []Found{behind(logFile(1, false, begun("a")))}, map[string]string{"a": "?"}, 2, 1},
		{"behind what is torn only that something began is taken", []Found{behind(logFile(1, false, begun("a")), at(3, ended("a", "no")), at(4, begun("c")))}, map[string]string{"a": "?", "c": "?"}, 5, 1},
		{"so with a whole log behind a torn one", []Found{behind(logFile(1, false, begun("a"))), logFile(3, true, ended("a", "no"), ended("d", "no"))}, map[string]string{"a": "?", "d": "?"}, 5, 1},
		{"a log in between is missing", []Found{logFile(1, true, ended("a", "1")), logFile(5, true, ended("e", "no"))}, map[string]string{"a": "1", "e": "?"}, 6, 0},
		{"the newest snapshot is rotten", []Found{rotten, tableFile(2, ended("a", "1")), logFile(3, true, begun("b"), ended("b", "2")), logFile(5, true, begun("c"))}, map[string]string{"a": "1", "b": "2", "c": "?"}, 6, 1},
		{"no snapshot, and the first logs are gone", []Found{logFile(9, true, begun("a"), ended("a", "1"))}, map[string]string{"a": "1"}, 11, 0},
		{"an empty log", []Found{tableFile(3, ended("a", "1")), logFile(4, true)}, map[string]string{"a": "1"}, 4, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rand.New(rand.NewSource(1)).Shuffle(len(c.found), func(i, j int) { c.found[i], c.found[j] = c.found[j], c.found[i] })
			p := Decide(c.found, Here{Now: now, Site: "s"})
			got, unknown := map[string]string{}, 0
			for _, n := range p.Table.All() {
				if got[n.Key] = string(n.Result); !n.Honoured {
					got[n.Key] = "?"
					unknown++
				}
			}
			assert.Equal(t, c.want, got)
			assert.Equal(t, unknown, p.Unknown)
			assert.Equal(t, c.next, p.Next)
			assert.Len(t, p.Aside, c.aside)
		})
	}
}

func TestWindow(t *testing.T) {
	cases := []struct {
		name string
		then Moment
		at   time.Duration // of the record, in its file
		left time.Duration // of a window of an hour; 0: over
	}{
		{"a minute ago", before(time.Minute, time.Minute), 0, 59 * time.Minute},
		{"late in its file", before(time.Minute, time.Minute), 50 * time.Second, 59*time.Minute + 50*time.Second},
		{"over", before(time.Hour, time.Hour), 0, 0},
		{"over by a wall clock that was set", before(time.Hour, time.Minute), 0, 59 * time.Minute},
		{"a wall clock that was set back", before(-time.Hour, time.Minute), 0, 59 * time.Minute},
		{"on another machine nothing is sure", Moment{Wall: 1, Up: 1, Boot: "x", Machine: 9}, 0, time.Hour},
		{"before a boot long ago", Moment{Wall: 1, Up: 1, Boot: "x", Machine: 7}, 0, 0},
		{"longer in its file than has passed for sure", Moment{Wall: 1, Up: 1, Boot: "x", Machine: 9}, time.Hour, time.Hour},
	}
	for _, c := range cases {
		f := logFile(1, true, begun("a"))
		f.Header.At, f.Records[0].At = c.then, c.at
		n, known := Decide([]Found{f}, Here{Now: now, Site: "s"}).Table.Get("a")
		if assert.Equal(t, c.left > 0, known, c.name); known {
			assert.Equal(t, c.left, n.Until-now.Up, c.name)
		}
	}
}

func TestWorth(t *testing.T) {
	warm, cold := *view(0.1), *view(0.1)
	cold.Routes[0].Core.Samples = 2
	assert.True(t, Worth(warm, estimate.Snapshot{}, 0))
	assert.False(t, Worth(cold, estimate.Snapshot{}, 0), "what the one before left is worth more")
	assert.False(t, Worth(warm.Aged(time.Second), warm, time.Second), "nothing was seen since")
	assert.True(t, Worth(warm.Aged(time.Second/2), warm, time.Second))
}

func TestTableBytes(t *testing.T) {
	table := NewTable()
	table.Put(Number{Key: "a", Until: 5, Result: make([]byte, 100)})
	table.Put(Number{Key: "b", Until: 9})
	table.Put(Number{Key: "a", Until: 5, Result: make([]byte, 10)})
	assert.Equal(t, 2*numberBytes+2+10, table.Bytes())
	table.Expire(5)
	assert.Equal(t, 1, table.Len())
	assert.Equal(t, numberBytes+1, table.Bytes())
}
