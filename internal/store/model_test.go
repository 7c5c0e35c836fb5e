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
	now    recovery.Timestamp
	lastID uint64 // of the files
}

// newTestWriter returns a writer whose first file id is lastID+1. Its clock is lastID milliseconds ahead of that of a
// writer with lastID 0: a test passes a higher lastID for each restart, which thus gets unused ids and a later time.
func newTestWriter(dir datadir.Dir, lastID uint64) *testWriter {
	later := time.Duration(lastID) * time.Millisecond
	w := &testWriter{now: recovery.Timestamp{Wall: 1e18 + later, SinceBoot: 1e12 + later, BootID: "boot", MachineID: 3}, lastID: lastID}
	w.writer = writer{
		dir: dir, clock: func() recovery.Timestamp { return w.now }, site: "s", maxBytes: 1 << 20, persistKeys: true,
		newID: func() uint64 { w.lastID++; return w.lastID },
	}
	return w
}

func (w *testWriter) environment() recovery.Environment {
	return recovery.Environment{Now: w.now, Site: "s", Schema: testSchema}
}

// restart recovers the state in the directory, and prepares the writer to append to it.
func (w *testWriter) restart() (recovery.Plan, error) {
	plan, err := w.plan(w.environment())
	if err != nil {
		return plan, err
	}
	return plan, w.apply(plan, plan.Keys)
}

// keyHistory holds the states that were recorded for one key, in order.
type keyHistory struct {
	states  []recovery.KeyEntry
	durable int // number of states that were reported durable
}

// model is the in-memory reference that recovered state is compared with.
type model struct {
	keys            map[string]*keyHistory
	durableSnapshot int // number of the newest snapshot that was reported durable; 0 for none
	lastSnapshot    int // number of the newest snapshot that was written
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

// check compares recovered state with the model. A key with durable states must be recovered, in its last durable state
// or a later one. If it has states that are not durable, it may also be recovered as started, without a result. Keys
// that were never recorded must not be recovered.
func (m *model) check(plan recovery.Plan) error {
	for key, history := range m.keys {
		entry, known := plan.Keys.Get(key)
		if !known {
			if history.durable > 0 {
				return fmt.Errorf("durable key %q is not recovered", key)
			}
			continue
		}
		fits := false
		for i, state := range history.states {
			same := state.Served == entry.Served && string(state.Result) == string(entry.Result) && state.Fingerprint == entry.Fingerprint
			fits = fits || same && i+1 >= history.durable
		}
		if onlyStarted := !entry.Served && entry.Result == nil; !fits && (!onlyStarted || history.durable >= len(history.states)) {
			return fmt.Errorf("key %q is recovered with served=%v, result %q after %d recorded states, %d of them durable", key, entry.Served, entry.Result, len(history.states), history.durable)
		}
	}
	for _, entry := range plan.Keys.Entries() {
		if m.keys[entry.Key] == nil {
			return fmt.Errorf("key %q is recovered but was never recorded", entry.Key)
		}
	}
	if m.durableSnapshot > 0 && !plan.Estimates.HasFresh() {
		return errors.New("no snapshot is recovered although one was durable")
	}
	if plan.Estimates.HasFresh() {
		number := int((plan.Estimates.Routes[0].Core.Mean-0.1)*1e4 + 0.5)
		if number < m.durableSnapshot || number > m.lastSnapshot {
			return fmt.Errorf("snapshot %d is recovered; the last durable one is %d, the last written one %d", number, m.durableSnapshot, m.lastSnapshot)
		}
	}
	return nil
}

// runScript executes a random script with the given number of steps. It stops at the first error of the disk and
// returns it.
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
