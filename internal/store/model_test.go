package store

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

const window = time.Hour

var testSchema = estimate.Schema{
	SettingsDigest: 7, Origin: 99, Routes: []string{"browse", "pay"}, Deadlines: []time.Duration{2 * time.Second, 4 * time.Second},
}

// numberedSnapshot encodes n in its means, so that a test can tell which snapshot was recovered.
func numberedSnapshot(n int) estimate.Snapshot {
	e := estimate.Estimate{Mean: 0.1 + float64(n)/1e4, Spread: 0.05, Samples: 20}
	return estimate.Snapshot{Origin: 5, SettingsDigest: 7, Routes: []estimate.RouteEstimates{
		{Name: "browse", Core: e, Run: e}, {Name: "pay", Core: e, Run: e},
	}}
}

// testWriter is a writer with a clock that the test sets.
type testWriter struct {
	writer
	now recovery.Timestamp
	ids uint64
}

// newTestWriter draws file ids above ids. Its clock is a millisecond later for each of them.
func newTestWriter(dir datadir.Dir, ids uint64) *testWriter {
	later := time.Duration(ids) * time.Millisecond
	w := &testWriter{now: recovery.Timestamp{Wall: 1e18 + later, SinceBoot: 1e12 + later, BootID: "boot", MachineID: 3}, ids: ids}
	w.writer = writer{
		dir: dir, clock: func() recovery.Timestamp { return w.now }, site: "s", maxBytes: 1 << 20, persistKeys: true,
		newID: func() uint64 { w.ids++; return w.ids },
	}
	return w
}

func (w *testWriter) environment() recovery.Environment {
	return recovery.Environment{Now: w.now, Site: "s", Schema: testSchema}
}

// restart reads what is there, and starts behind it.
func (w *testWriter) restart() (recovery.Plan, error) {
	plan, err := w.plan(w.environment())
	if err != nil {
		return plan, err
	}
	return plan, w.apply(plan, plan.Keys)
}

// keyHistory is what was recorded for one key, in order.
type keyHistory struct {
	states  []recovery.KeyEntry
	durable int // how many of the states were reported durable
}

// model is the reference in memory that a recovery is compared with.
type model struct {
	keys            map[string]*keyHistory
	durableSnapshot int // the newest that was reported durable; 0 for none
	lastSnapshot    int // the newest that was written
}

func newModel() *model { return &model{keys: map[string]*keyHistory{}} }

func (m *model) add(entry recovery.KeyEntry) {
	if m.keys[entry.Key] == nil {
		m.keys[entry.Key] = &keyHistory{}
	}
	m.keys[entry.Key].states = append(m.keys[entry.Key].states, entry)
}

func (m *model) setAllDurable() {
	for _, history := range m.keys {
		history.durable = len(history.states)
	}
}

// check compares a recovery with the model. What was reported durable must be there as it was. What was not may be there,
// as it was or as started. Nothing else may be there.
func (m *model) check(plan recovery.Plan) error {
	for key, history := range m.keys {
		entry, known := plan.Keys.Get(key)
		if !known {
			if history.durable > 0 {
				return fmt.Errorf("%q was durable and is lost", key)
			}
			continue
		}
		fits := false
		for i, state := range history.states {
			same := state.Served == entry.Served && string(state.Result) == string(entry.Result) && state.Fingerprint == entry.Fingerprint
			fits = fits || same && i+1 >= history.durable
		}
		if onlyStarted := !entry.Served && entry.Result == nil; !fits && (!onlyStarted || history.durable >= len(history.states)) {
			return fmt.Errorf("%q is recovered with served=%v result %q, after %d states, %d durable", key, entry.Served, entry.Result, len(history.states), history.durable)
		}
	}
	for _, entry := range plan.Keys.Entries() {
		if m.keys[entry.Key] == nil {
			return fmt.Errorf("%q was never recorded", entry.Key)
		}
	}
	if m.durableSnapshot > 0 && !plan.Estimates.HasFresh() {
		return errors.New("a snapshot was durable and is lost")
	}
	if plan.Estimates.HasFresh() {
		number := int((plan.Estimates.Routes[0].Core.Mean-0.1)*1e4 + 0.5)
		if number < m.durableSnapshot || number > m.lastSnapshot {
			return fmt.Errorf("snapshot %d is recovered, and %d was durable, %d written", number, m.durableSnapshot, m.lastSnapshot)
		}
	}
	return nil
}

// runScript runs a random script of so many steps until it ends or the disk fails.
func runScript(w *testWriter, m *model, seed int64, steps int) error {
	rng := rand.New(rand.NewSource(seed))
	if _, err := w.restart(); err != nil {
		return err
	}
	var unfinished []recovery.KeyEntry
	for i := range steps {
		w.now.SinceBoot += time.Millisecond
		w.now.Wall += time.Millisecond
		switch step := rng.Intn(10); {
		case step < 4:
			entry := recovery.KeyEntry{Key: fmt.Sprintf("pay\x00%d\xff-%d", seed, i), Fingerprint: uint64(i), ExpiresAt: w.now.SinceBoot + window}
			m.add(entry)
			unfinished = append(unfinished, entry)
			w.appendRecord(entry, false, w.now.SinceBoot)
		case step < 7 && len(unfinished) > 0:
			at := rng.Intn(len(unfinished))
			entry := unfinished[at]
			unfinished = slices.Delete(unfinished, at, at+1)
			if entry.Served = rng.Intn(3) > 0; entry.Served {
				entry.Result = make([]byte, rng.Intn(700))
				rng.Read(entry.Result)
			}
			m.add(entry)
			w.appendRecord(entry, true, w.now.SinceBoot)
		case step < 8:
			if err := w.commit(); err != nil {
				return err
			}
			m.setAllDurable()
		case step < 9:
			m.lastSnapshot++
			if err := w.estimatesJob(numberedSnapshot(m.lastSnapshot))(); err != nil {
				return err
			}
			m.durableSnapshot = m.lastSnapshot
		default:
			if err := w.commit(); err != nil {
				return err
			}
			m.setAllDurable()
			job := w.keyTableJob()
			if rng.Intn(2) == 0 {
				job = w.rotateLog
			}
			if err := job(); err != nil {
				return err
			}
		}
	}
	return nil
}
