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

// storeChanges stores a number of versions, some of them large, and calls durable with each version that is durable.
func storeChanges(dir datadir.Dir, changes int, durable func(d *configuration.Document)) error {
	c, recovered, err := OpenConfigurationStore(dir)
	if err != nil {
		return err
	}
	d := recovered.Document
	if d == nil {
		d = configuration.NewDocument()
	}
	for i := range changes {
		change := configuration.Change{Routes: map[string]*configuration.Route{}}
		routeCount := 1
		if i%5 == 4 {
			routeCount = 400
		}
		for k := range routeCount {
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
		durable(d.Clone())
	}
	return nil
}

// The power fails at every operation. The next start must read the last durable version, or the version that was being
// written, completely.
func TestConfigurationAcrossPowerLoss(t *testing.T) {
	const changes = 30
	uninterrupted := faultdisk.New()
	require.NoError(t, storeChanges(uninterrupted, changes, func(*configuration.Document) {}))
	for at := 1; at <= uninterrupted.Operations(); at++ {
		for draw := range int64(4) {
			disk, last := faultdisk.New(), configuration.NewDocument()
			disk.PowerLossAt = at
			require.ErrorIs(t, storeChanges(disk, changes, func(d *configuration.Document) { last = d }), faultdisk.ErrPowerLost)
			after := disk.Crash(faultdisk.RandomLoss{Rand: rand.New(rand.NewSource(draw*1e6 + int64(at)))})
			after.PowerLossAt = 0
			_, recovered, err := OpenConfigurationStore(after)
			require.NoError(t, err)
			if recovered.Document == nil {
				require.Zero(t, last.Version, "at %d", at)
				continue
			}
			if recovered.Document.Version == last.Version {
				require.Equal(t, last, recovered.Document, "at %d", at)
			} else {
				require.Equal(t, last.Version+1, recovered.Document.Version, "at %d", at)
			}
			require.NoError(t, storeChanges(after, 3, func(d *configuration.Document) { last = d }), "further changes are stored")
			_, recovered, err = OpenConfigurationStore(after)
			require.NoError(t, err)
			require.Equal(t, last, recovered.Document)
		}
	}
}

// A file with one corrupted byte is read as a version that was stored, or not at all. However many changes are stored,
// the directory holds one file of limited size.
func TestDamagedConfiguration(t *testing.T) {
	disk := faultdisk.New()
	versions := map[uint64]*configuration.Document{}
	require.NoError(t, storeChanges(disk, 12, func(d *configuration.Document) { versions[d.Version] = d }))
	require.Len(t, disk.Names(), 1)
	name := disk.Names()[0]
	good := disk.Get(name)
	for at := 0; at < len(good); at += 1 + len(good)/997 {
		bad := append([]byte{}, good...)
		bad[at] ^= 0x10
		damaged := faultdisk.New()
		damaged.Put(name, bad)
		_, recovered, err := OpenConfigurationStore(damaged)
		require.NoError(t, err)
		if recovered.Document == nil {
			assert.Len(t, recovered.Skipped, 1)
			continue
		}
		require.Equal(t, versions[recovered.Document.Version], recovered.Document, "byte %d", at)
	}
	changed := faultdisk.New()
	require.NoError(t, storeChanges(changed, 400, func(*configuration.Document) {}))
	assert.Len(t, changed.Names(), 1)
	assert.Less(t, changed.TotalBytes(), int64(3*minRetainedDeltaBytes))
}

// The disk fails: the change is reported as not stored, and the next version is stored once the disk works again.
func TestConfigurationDiskFails(t *testing.T) {
	disk := faultdisk.New()
	c, _, err := OpenConfigurationStore(disk)
	require.NoError(t, err)
	d := configuration.NewDocument()
	change := func() error {
		delta := d.Accept(configuration.Change{Routes: map[string]*configuration.Route{
			"pay": {LatencyTarget: 1, Deadline: int64(d.Version + 1), Idempotency: configuration.Retryable},
		}})
		return c.Append(delta, d)
	}
	require.NoError(t, change())
	disk.Set(func() { disk.Fail = func(string) error { return faultdisk.ErrFull } })
	require.ErrorIs(t, change(), faultdisk.ErrFull)
	disk.Set(func() { disk.Fail = nil })
	require.NoError(t, change())
	_, recovered, err := OpenConfigurationStore(disk)
	require.NoError(t, err)
	assert.Equal(t, d, recovered.Document)
}
