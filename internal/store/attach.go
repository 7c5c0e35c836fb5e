package store

import (
	"quartzpoint/internal/server"
)

// Attach opens a store for a server that does not run yet, and has the server start from what the directory held. With
// PersistKeys, the server's requests with idempotency keys run only once the store has their keys. Attach sets the
// options' clock, ids and callbacks.
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

// restore gives a server that does not run yet what was recovered. The estimates count for as much as a peer's.
func restore(owner *server.Server, recovered Recovered) {
	owner.RestoreKeys(recovered.keyRecords())
	if recovered.Estimates.HasFresh() {
		owner.UsePeerEstimates(recovered.Estimates)
	}
}

// restoreLate gives a running server the keys of a directory that could not be read at the start. It leaves out the
// estimates: by then the server has its own, or its peers'.
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
