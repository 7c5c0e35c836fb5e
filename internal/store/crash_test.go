package store

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// TestMain runs the tests, or the child process that TestKills kills.
func TestMain(m *testing.M) {
	if runChild() {
		return
	}
	flag.Parse()
	m.Run()
}

// The power fails at every operation of several scripted runs, and again during the starts that follow. After each
// power loss, two starts in a row must recover the state that was reported durable.
func TestPowerLossAtEveryOperation(t *testing.T) {
	crashes := 0
	for seed := int64(1); seed <= 4; seed++ {
		uninterrupted := faultdisk.New()
		require.NoError(t, runScript(newTestWriter(uninterrupted, 0), newModel(), seed, 60))
		for at := 1; at <= uninterrupted.Operations(); at++ {
			for draw := int64(0); draw < 6; draw++ {
				disk, ref := faultdisk.New(), newModel()
				disk.PowerLossAt = at
				require.ErrorIs(t, runScript(newTestWriter(disk, 0), ref, seed, 60), faultdisk.ErrPowerLost)
				loss := faultdisk.RandomLoss{Rand: rand.New(rand.NewSource(draw*1e6 + int64(at)))}
				after := disk.Crash(loss)
				crashes++
				for again := at % 7; again > 0; again -= 3 { // the power fails again during the start
					after.PowerLossAt = again
					if _, err := newTestWriter(after, 1000).restart(); err == nil {
						break
					}
					after = after.Crash(loss)
				}
				after.PowerLossAt = 0
				plan, err := newTestWriter(after, 2000).restart()
				require.NoError(t, err, "seed %d at %d draw %d", seed, at, draw)
				require.NoError(t, ref.check(plan), "seed %d at %d draw %d", seed, at, draw)
				plan, err = newTestWriter(after, 3000).restart() // reads the files that the previous start wrote
				require.NoError(t, err)
				require.NoError(t, ref.check(plan), "seed %d at %d draw %d, second start", seed, at, draw)
			}
		}
	}
	t.Logf("%d crashes", crashes)
}

// The log is truncated at every byte. Recovery must return only recorded states, and at most as many keys as fit into
// the remaining bytes.
func TestTornAtEveryByte(t *testing.T) {
	disk, ref := faultdisk.New(), newModel()
	w := newTestWriter(disk, 0)
	_, err := w.restart()
	require.NoError(t, err)
	for i := range 5 {
		entry := recovery.KeyEntry{Key: fmt.Sprint("pay\x00", i), ExpiresAt: w.now.SinceBoot + window, Served: true, Result: []byte("seat")}
		ref.add(entry)
		w.appendRecord(entry, true, w.now.SinceBoot)
	}
	require.NoError(t, w.commit())
	name := fileName(logPrefix, 1)
	raw := disk.Get(name)
	for cut := range raw {
		disk.Put(name, raw[:cut])
		plan, err := newTestWriter(disk, 9).plan(w.environment())
		require.NoError(t, err)
		require.NoError(t, ref.check(plan), "cut at %d", cut)
		assert.LessOrEqual(t, plan.Keys.Len(), cut*5/len(raw)+1)
	}
}

// Every bit of every file is flipped in turn. A key must then be recovered as it was written, with an unknown outcome,
// or not at all. If a snapshot is damaged, an older one is used: the keys of the first round and the estimates must
// always be recovered.
func TestEveryBitFlipped(t *testing.T) {
	disk, ref := faultdisk.New(), newModel()
	w := newTestWriter(disk, 0)
	_, err := w.restart()
	require.NoError(t, err)
	recordKey := func(i int) {
		entry := recovery.KeyEntry{Key: fmt.Sprint("pay\x00", i), ExpiresAt: w.now.SinceBoot + window}
		ref.add(entry)
		w.appendRecord(entry, false, w.now.SinceBoot)
		entry.Served, entry.Result = true, []byte("seat")
		ref.add(entry)
		w.appendRecord(entry, true, w.now.SinceBoot)
		require.NoError(t, w.commit())
	}
	for round := range 3 {
		for i := range 2 {
			recordKey(10*round + i)
		}
		ref.lastSnapshot++
		require.NoError(t, w.estimatesJob(numberedSnapshot(ref.lastSnapshot))())
		require.NoError(t, w.keyTableJob()())
		require.NoError(t, w.rotateLog())
	}
	recordKey(99)
	flips := 0
	for _, name := range disk.Names() {
		raw := disk.Get(name)
		for bit := range 8 * len(raw) {
			flipped := slices.Clone(raw)
			flipped[bit/8] ^= 1 << (bit % 8)
			disk.Put(name, flipped)
			plan, err := newTestWriter(disk, 9).plan(w.environment())
			require.NoError(t, err)
			require.NoError(t, ref.check(plan), "%s bit %d", name, bit)
			for i := range 2 { // started before the second to last table, so contained in two tables and in the log
				_, known := plan.Keys.Get(fmt.Sprint("pay\x00", i))
				require.True(t, known, "%s bit %d", name, bit)
			}
			require.True(t, plan.Estimates.HasFresh())
			flips++
		}
		disk.Put(name, raw)
	}
	t.Logf("%d flips", flips)
}
