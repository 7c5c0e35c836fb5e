package store

import (
	"quartzpoint/internal/server"
)

// Attach opens a store for a server that is not running yet, and restores the server's state from it. With PersistKeys,
// the server runs a keyed request only once the store has its key. Attach sets the clock, ids and callbacks of the
// options.
func Attach(owner *server.Server, options Options) (*Store, Recovered, error) {
	options.Clock, options.NewID = SystemClock(), RandomID
	options.OnDurable = owner.Wake
	options.OnLateRecovery = func(r Recovered) { restoreLate(owner, r) }
	s, recovered, err := New(options)
	if err != nil {
		return nil, recovered, err
	}
	restore(owner, recovered)
	if options.PersistKeys {
		owner.SetLedger(s)
	}
	return s, recovered, nil
}

var _ server.Ledger = (*Store)(nil)

// restore passes recovered state to a server that is not running yet. The estimates get the same weight as those of a
// peer.
func restore(owner *server.Server, recovered Recovered) {
	owner.RestoreKeys(recovered.keyRecords())
	if recovered.Estimates.HasFresh() {
		owner.UsePeerEstimates(recovered.Estimates)
	}
}

// restoreLate passes the keys of a directory that could not be read at the start to a running server. It omits the
// estimates: by then the server has its own or those of its peers.
func restoreLate(owner *server.Server, recovered Recovered) {
	owner.Submit(func() { owner.RestoreKeys(recovered.keyRecords()) })
}

func (r Recovered) keyRecords() []server.KeyRecord {
	records := make([]server.KeyRecord, len(r.Keys))
	for i, entry := range r.Keys {
		records[i] = server.KeyRecord{
			Key: entry.Key, Fingerprint: entry.Fingerprint, Remaining: entry.ExpiresAt - r.ReadAt, Served: entry.Served, Result: entry.Result,
		}
	}
	return records
}
