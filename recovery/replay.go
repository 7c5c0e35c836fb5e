package recovery

import (
	"fmt"
	"slices"
)

// keyReplay rebuilds the key table from a snapshot of it and the logs written since.
type keyReplay struct {
	plan         *Plan
	now          Timestamp
	lastSequence uint64 // last record before the first gap
	haveTable    bool
	gap          bool // a record is missing or damaged: later ones are unverified
}

// replayKeys builds the key table from the newest complete snapshot and the records after it, up to the first gap: a
// record that is missing or damaged. Of the records after the gap, only the fact that a request started is used: it can
// only prevent a second run, whereas a result from there may be outdated. Without a snapshot, the first log is not taken
// for a gap, whatever its sequence number is.
func (p *Plan) replayKeys(tables, logs []File, now Timestamp) {
	r := keyReplay{plan: p, now: now}
	r.loadTable(tables)
	sortNewestFirst(logs)
	slices.Reverse(logs)
	for i, log := range logs {
		covered := i+1 < len(logs) && logs[i+1].Header.Sequence <= r.lastSequence+1 && log.Header.Sequence <= r.lastSequence
		if covered { // all its records come before those of the next log, so the table has them already
			continue
		}
		if !r.haveTable && i == 0 && log.Header.Sequence > 1 {
			p.addFinding(log.Name, "what came before it is missing")
			r.lastSequence = log.Header.Sequence - 1
		}
		r.replayLog(log)
	}
	p.Keys.Expire(now.SinceBoot)
	for _, entry := range p.Keys.Entries() {
		if !entry.Served {
			p.UnservedKeys++
		}
	}
}

// loadTable loads the newest complete snapshot and rejects incomplete ones.
func (r *keyReplay) loadTable(tables []File) {
	sortNewestFirst(tables)
	for _, f := range tables {
		if !f.Complete {
			r.plan.reject(f.Name, "not whole")
			continue
		}
		if !r.haveTable {
			r.apply(f, f.Records, false)
			r.lastSequence, r.haveTable = f.Header.Sequence, true
		}
	}
}

func (r *keyReplay) replayLog(f File) {
	if f.Header.Sequence > r.lastSequence+1 && !r.gap {
		r.gap = true
		r.plan.addFinding(f.Name, fmt.Sprintf("records %d to %d before it are missing", r.lastSequence+1, f.Header.Sequence-1))
	}
	for _, record := range f.Records {
		if record.Sequence <= r.lastSequence {
			continue
		}
		if record.Sequence != r.lastSequence+1 {
			r.gap = true
		}
		if !r.gap {
			r.lastSequence = record.Sequence
		}
		r.apply(f, []Record{record}, r.gap)
	}
	if f.Complete {
		return
	}
	r.gap = true
	r.plan.addFinding(f.Name, fmt.Sprintf("not whole from byte %d on, with %d whole records behind", f.CompleteBytes, len(f.Salvaged)))
	r.plan.Quarantine = append(r.plan.Quarantine, Quarantined{Name: f.Name, FromByte: f.CompleteBytes})
	covered := func(record Record) bool { return record.Sequence <= r.lastSequence }
	r.apply(f, slices.DeleteFunc(slices.Clone(f.Salvaged), covered), true)
}

func (r *keyReplay) apply(f File, records []Record, unverified bool) {
	fileAge, _ := Age(f.Header.CreatedAt, r.now)
	for _, record := range records {
		r.plan.Keys.apply(record, fileAge, r.now.SinceBoot, unverified)
	}
}
