package store

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// operations are the operations of the exhaustive test; the last three are crashes.
var operations = []string{"begin", "end", "commit", "table", "rotate", "lose all", "lose none", "lose half"}

// All sequences of operations of one length are executed and compared with the model.
func TestModelExhaustively(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 4
	}
	sequences := 0
	sequence := make([]int, depth)
	for {
		sequences++
		require.NoError(t, runOperations(sequence), "%v", operationNames(sequence))
		at := depth - 1
		for ; at >= 0; at-- {
			if sequence[at]++; sequence[at] < len(operations) {
				break
			}
			sequence[at] = 0
		}
		if at < 0 {
			break
		}
	}
	t.Logf("%d sequences of %d operations", sequences, depth)
}

func operationNames(sequence []int) (names []string) {
	for _, operation := range sequence {
		names = append(names, operations[operation])
	}
	return names
}

// operationRun is one sequence of operations on one disk.
type operationRun struct {
	disk    *faultdisk.Disk
	writer  *testWriter
	model   *model
	started int // number of keys
}

// runOperations executes one sequence, followed by a crash that loses everything that is not durable.
func runOperations(sequence []int) error {
	disk := faultdisk.New()
	r := &operationRun{disk: disk, writer: newTestWriter(disk, 0), model: newModel()}
	if _, err := r.writer.restart(); err != nil {
		return err
	}
	for i, operation := range sequence {
		if err := r.run(i, operations[operation]); err != nil {
			return err
		}
	}
	return r.crash(faultdisk.LoseAll{}, 5000)
}

func (r *operationRun) run(i int, operation string) error {
	expiresAt := r.writer.now.SinceBoot + window
	switch operation {
	case "begin":
		entry := recovery.KeyEntry{Key: fmt.Sprint("pay\x00", r.started), ExpiresAt: expiresAt}
		r.started++
		r.record(entry, false)
	case "end":
		key := fmt.Sprint("pay\x00", r.started-1)
		if r.model.keys[key] != nil {
			r.record(recovery.KeyEntry{Key: key, ExpiresAt: expiresAt, Served: true, Result: []byte{byte(i)}}, true)
		}
	case "commit":
		return r.commit()
	case "table":
		if err := r.commit(); err != nil {
			return err
		}
		return r.writer.keyTableJob()()
	case "rotate":
		if err := r.commit(); err != nil {
			return err
		}
		return r.writer.rotateLog()
	case "lose all":
		return r.crash(faultdisk.LoseAll{}, uint64(100*i+100))
	case "lose none":
		return r.crash(faultdisk.KeepAll{}, uint64(100*i+100))
	case "lose half":
		return r.crash(faultdisk.TornHalf{}, uint64(100*i+100))
	}
	return nil
}

func (r *operationRun) record(entry recovery.KeyEntry, finished bool) {
	r.model.add(entry)
	r.writer.appendRecord(entry, finished, r.writer.now.SinceBoot)
}

func (r *operationRun) commit() error {
	if err := r.writer.commit(); err != nil {
		return err
	}
	r.model.setAllDurable()
	return nil
}

// crash applies a loss to data that was not synced, restarts, and checks the recovered state. After that the model
// holds only the recovered state, as durable.
func (r *operationRun) crash(loss faultdisk.Loss, lastID uint64) error {
	r.disk = r.disk.Crash(loss)
	r.writer = newTestWriter(r.disk, lastID)
	plan, err := r.writer.restart()
	if err != nil {
		return err
	}
	if err := r.model.check(plan); err != nil {
		return err
	}
	for _, history := range r.model.keys {
		history.durable, history.states = 0, slices.Clone(history.states)
	}
	for _, entry := range plan.Keys.Entries() {
		history := r.model.keys[entry.Key]
		history.states, history.durable = []recovery.KeyEntry{entry}, 1
	}
	for key, history := range r.model.keys {
		if history.durable == 0 {
			delete(r.model.keys, key)
		}
	}
	return nil
}
