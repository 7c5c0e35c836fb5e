// Package recovery decides which of the state that a server left on disk is used after a start: which files, up to
// which byte, how old their contents count as, and what becomes of idempotency keys whose requests started and are not
// known to have finished. It does no I/O and reads no clock: package internal/store reads and writes the files.
package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"quartzpoint/estimate"
)

// Environment is what the starting server knows for certain.
type Environment struct {
	Now    Timestamp
	Site   string
	Schema estimate.Schema // of the estimates that fit; its zero value if no estimates are wanted
}

// Quarantined names data that was not used and is kept for inspection: a whole file, or its bytes from FromByte on.
type Quarantined struct {
	Name     string
	FromByte int64 // 0 for the whole file
}

// Finding says why a file, or a part of it, was not used.
type Finding struct {
	File   string `json:"Name"`
	Reason string `json:"Why"`
}

// Plan says what a start uses of the files it found, and what becomes of the rest.
type Plan struct {
	Estimates     estimate.Snapshot // aged to now; without a fresh one (HasFresh) if none are used
	EstimatesFrom string            // name of their file
	Keys          *KeyTable
	UnservedKeys  int    // of requests that started and are not known to have been served; their duplicates are aborted
	NextSequence  uint64 // of the next record: above every sequence number that was ever seen
	NextEstimates uint64 // sequence number of the next EstimatesFile
	Quarantine    []Quarantined
	Findings      []Finding
}

// NewPlan decides what is used of the files. The result does not depend on their order.
func NewPlan(files []File, environment Environment) Plan {
	p := Plan{Keys: NewKeyTable(), NextSequence: 1, NextEstimates: 1}
	var estimates, tables, logs []File
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range files {
		if err := admit(&f, environment.Site); err != nil {
			p.reject(f.Name, err.Error())
			continue
		}
		switch f.Header.Content {
		case EstimatesFile:
			estimates = append(estimates, f)
			p.NextEstimates = max(p.NextEstimates, f.Header.Sequence+1)
		case KeyTableFile:
			tables = append(tables, f)
			p.NextSequence = max(p.NextSequence, f.Header.Sequence+1)
		case KeyLogFile:
			logs = append(logs, f)
			p.NextSequence = max(p.NextSequence, nextSequence(f))
		default:
			p.reject(f.Name, "content unknown")
		}
	}
	p.chooseEstimates(estimates, environment)
	p.replayKeys(tables, logs, environment.Now)
	return p
}

// admit migrates a file and checks that it is of this site.
func admit(f *File, site string) error {
	if f.Err != nil {
		return f.Err
	}
	if err := Migrate(f); err != nil {
		return err
	}
	if f.Header.Site != site {
		return fmt.Errorf("of site %q, and this is %q", f.Header.Site, site)
	}
	return nil
}

// nextSequence returns the first sequence number above all that a log holds.
func nextSequence(log File) uint64 {
	next := log.Header.Sequence
	for _, r := range log.Salvaged {
		next = max(next, r.Sequence+1)
	}
	if n := len(log.Records); n > 0 {
		next = max(next, log.Records[n-1].Sequence+1)
	}
	return next
}

func (p *Plan) addFinding(name, reason string) {
	p.Findings = append(p.Findings, Finding{File: name, Reason: reason})
}

// reject has a whole file quarantined.
func (p *Plan) reject(name, reason string) {
	p.addFinding(name, reason)
	p.Quarantine = append(p.Quarantine, Quarantined{Name: name})
}

func sortNewestFirst(files []File) {
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(b.Header.Sequence, a.Header.Sequence) })
}
