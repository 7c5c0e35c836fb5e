// Package recovery decides which of the state that a server left on disk is used after a restart: which files, up to
// which byte, how old their contents count as, and how idempotency keys are treated whose requests started and are not
// known to have finished. It does no I/O and reads no clock: package internal/store reads and writes the files.
package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"quartzpoint/estimate"
)

// Environment describes the server that starts.
type Environment struct {
	Now    Timestamp
	Site   string
	Schema estimate.Schema // schema that estimates must have; its zero value if no estimates are wanted
}

// Quarantined names data that is not used but kept for inspection: a whole file, or its bytes from FromByte on.
type Quarantined struct {
	Name     string
	FromByte int64 // 0 for the whole file
}

// Finding states why a file, or a part of it, is not used.
type Finding struct {
	File   string `json:"Name"`
	Reason string `json:"Why"`
}

// Plan states what a start uses of the files that it found, and which data is quarantined.
type Plan struct {
	Estimates             estimate.Snapshot // aged to now; without a fresh estimate (HasFresh) if none are used
	EstimatesFrom         string            // name of their file
	Keys                  *KeyTable
	UnservedKeys          int    // keys whose requests started and are not known to have been served; their repeats are aborted
	NextSequence          uint64 // of the next record: above all sequence numbers found
	NextEstimatesSequence uint64 // sequence number of the next EstimatesFile
	Quarantine            []Quarantined
	Findings              []Finding
}

// NewPlan decides which parts of the files are used. The result does not depend on the order of the files.
func NewPlan(files []File, environment Environment) Plan {
	p := Plan{Keys: NewKeyTable(), NextSequence: 1, NextEstimatesSequence: 1}
	var estimates, tables, logs []File
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range files {
		if err := checkFile(&f, environment.Site); err != nil {
			p.reject(f.Name, err.Error())
			continue
		}
		switch f.Header.Content {
		case EstimatesFile:
			estimates = append(estimates, f)
			p.NextEstimatesSequence = max(p.NextEstimatesSequence, f.Header.Sequence+1)
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

// checkFile migrates a file and returns an error if it cannot be used or belongs to another site.
func checkFile(f *File, site string) error {
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

// nextSequence returns the sequence number after all those of a log's records, or the log's own if it has none.
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

// reject quarantines a whole file.
func (p *Plan) reject(name, reason string) {
	p.addFinding(name, reason)
	p.Quarantine = append(p.Quarantine, Quarantined{Name: name})
}

func sortNewestFirst(files []File) {
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(b.Header.Sequence, a.Header.Sequence) })
}
