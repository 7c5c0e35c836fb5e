package store

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/configuration"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/testkit/faultdisk"
)

// configured keeps some versions, large ones among them, and tells each that was kept for sure.
func configured(in datadir.Dir, changes int, kept func(d *configuration.Document)) error {
	c, had, err := OpenConfigurationStore(in)
	if err != nil {
		return err
	}
	d := had.Document
	if d == nil {
		d = configuration.NewDocument()
	}
	for i := range changes {
		change := configuration.Change{Routes: map[string]*configuration.Route{}}
		many := 1
		if i%5 == 4 {
			many = 400
		}
		for k := range many {
			change.Routes[fmt.Sprint("route-", (i+k)%500)] = &configuration.Route{
				LatencyTarget: 1, Deadline: int64(1 + i), Idempotency: configuration.Retryable,
			}
		}
		delta := d.Accept(change)
		if i == 0 {
			err = c.Replace(d)
		} else {
			err = c.Append(delta, d)
		}
		if err != nil {
			return err
		}
		kept(d.Clone())
	}
	return nil
}

// The power goes at every operation: a start then has the last version that was kept for sure, or the one that was being
// kept, whole.
func TestConfigurationAcrossPowerLoss(t *testing.T) {
	const changes = 30
	whole := faultdisk.New()
	require.NoError(t, configured(whole, changes, func(*configuration.Document) {}))
	for at := 1; at <= whole.Ops(); at++ {
		for draw := range int64(4) {
			disk, last := faultdisk.New(), configuration.NewDocument()
			disk.PowerAt = at
			require.ErrorIs(t, configured(disk, changes, func(d *configuration.Document) { last = d }), faultdisk.ErrPower)
			after := disk.Crash(faultdisk.Drawn{Rand: rand.New(rand.NewSource(draw*1e6 + int64(at)))})
			after.PowerAt = 0
			_, had, err := OpenConfigurationStore(after)
			require.NoError(t, err)
			if had.Document == nil {
				require.Zero(t, last.Version, "at %d", at)
				continue
			}
			if had.Document.Version == last.Version {
				require.Equal(t, last, had.Document, "at %d", at)
			} else {
				require.Equal(t, last.Version+1, had.Document.Version, "at %d", at)
			}
			require.NoError(t, configured(after, 3, func(d *configuration.Document) { last = d }), "goes on")
			_, had, err = OpenConfigurationStore(after)
			require.NoError(t, err)
			require.Equal(t, last, had.Document)
		}
	}
}

// A file with any byte wrong gives a version that was there, whole, or nothing; the folder keeps one file, bounded by
// what is in force.
func TestDamagedConfiguration(t *testing.T) {
	disk := faultdisk.New()
	versions := map[uint64]*configuration.Document{}
	require.NoError(t, configured(disk, 12, func(d *configuration.Document) { versions[d.Version] = d }))
	require.Len(t, disk.Names(), 1)
	name := disk.Names()[0]
	good := disk.Get(name)
	for at := 0; at < len(good); at += 1 + len(good)/997 {
		bad := append([]byte{}, good...)
		bad[at] ^= 0x10
		damaged := faultdisk.New()
		damaged.Put(name, bad)
		_, had, err := OpenConfigurationStore(damaged)
		require.NoError(t, err)
		if had.Document == nil {
			assert.Len(t, had.Skipped, 1)
			continue
		}
		require.Equal(t, versions[had.Document.Version], had.Document, "byte %d", at)
	}
	many := faultdisk.New()
	require.NoError(t, configured(many, 400, func(*configuration.Document) {}))
	assert.Len(t, many.Names(), 1)
	assert.Less(t, many.Bytes(), int64(3*minRetainedDeltaBytes))
}

// A disk that fails says so, and the next version is kept again.
func TestConfigurationDiskFails(t *testing.T) {
	disk := faultdisk.New()
	c, _, err := OpenConfigurationStore(disk)
	require.NoError(t, err)
	d := configuration.NewDocument()
	keep := func() error {
		delta := d.Accept(configuration.Change{Routes: map[string]*configuration.Route{
			"pay": {LatencyTarget: 1, Deadline: int64(d.Version + 1), Idempotency: configuration.Retryable},
		}})
		return c.Append(delta, d)
	}
	require.NoError(t, keep())
	disk.Set(func() { disk.Fails = func(string) error { return faultdisk.ErrFull } })
	require.ErrorIs(t, keep(), faultdisk.ErrFull)
	disk.Set(func() { disk.Fails = nil })
	require.NoError(t, keep())
	_, had, err := OpenConfigurationStore(disk)
	require.NoError(t, err)
	assert.Equal(t, d, had.Document)
}
