package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quartzpoint/estimate"
)

// FormatVersion is that of the files written here.
const FormatVersion = 2

// ContentType is what a file holds.
type ContentType uint8

// The contents of files.
const (
	EstimatesFile ContentType = 1 // a snapshot of what was learned
	KeyTableFile  ContentType = 2 // a snapshot of the table of numbers
	KeyLogFile    ContentType = 3 // records of numbers, in the order of their sequence
)

// Header is the beginning of every file.
type Header struct {
	Version        int         `cbor:"1,keyasint" json:"version"`
	Content        ContentType `cbor:"2,keyasint" json:"content"`
	Site           string      `cbor:"3,keyasint,omitempty" json:"site"`
	SettingsDigest uint64      `cbor:"4,keyasint,omitempty" json:"terms"` // digest of those that a view was learned under
	CreatedAt      Timestamp   `cbor:"5,keyasint,omitempty" json:"at"`    // when it was begun
	ID             uint64      `cbor:"6,keyasint" json:"id"`              // drawn; every record's checksum is over it too
	// Place orders files of one content. Of a log it is the sequence of its first record; of a table that of the last
	// that it covers; of a view its number.
	Sequence   uint64 `cbor:"7,keyasint" json:"place"`
	LegacyWall int64  `cbor:"8,keyasint,omitempty" json:"-"` // version 1 knew the wall clock only
}

// File is a file as it was read.
type File struct {
	Name          string
	Why           string // nothing of it can be used, and why not
	Header        Header
	Estimates     *estimate.Snapshot
	Records       []Record // whole, in order, up to the first that is not
	Complete      bool     // nothing else is in it
	CompleteBytes int64    // where what is not whole begins
	Salvaged      []Record // whole ones behind that
}

// Environment is what is known for sure at a start.
type Environment struct {
	Now    Timestamp
	Site   string
	Schema estimate.Schema // which views fit; its zero value where none is wanted
}

// Quarantined is something to be kept that was not used: a file, or what is behind a place in it.
type Quarantined struct {
	Name     string
	FromByte int64
}

// Finding says why something was not used.
type Finding struct {
	File   string `json:"Name"`
	Reason string `json:"Why"`
}

// Plan is what is to be used, and what becomes of the rest.
type Plan struct {
	Estimates       estimate.Snapshot // aged; not Fresh where none is used
	EstimatesFrom   string
	Keys            *KeyTable
	UnknownOutcomes int    // numbers whose end is not known
	NextSequence    uint64 // sequence of the next record: above all that were ever seen
	NextEstimates   uint64
	Quarantine      []Quarantined
	Findings        []Finding
}

// migrations bring what was read one version further, from the one they stand at.
var migrations = map[int]func(*File){
	// Version 1 had the wall clock alone. Without boot and machine its windows count in full, and its views by the
	// wall clock.
	1: func(f *File) { f.Header.CreatedAt = Timestamp{Wall: time.Duration(f.Header.LegacyWall)} },
}

// Migrate brings what was read to the version of here, a step at a time, or says why that can't be.
func Migrate(f *File) error {
	if f.Header.Version > FormatVersion {
		return fmt.Errorf("version %d, and %d at the most is known here", f.Header.Version, FormatVersion)
	}
	for f.Header.Version < FormatVersion {
		step := migrations[f.Header.Version]
		if step == nil {
			return fmt.Errorf("version %d, from which no step leads here", f.Header.Version)
		}
		step(f)
		f.Header.Version++
	}
	return nil
}

// NewPlan makes the plan of a start. Its order of files does not depend on that of found.
func NewPlan(found []File, here Environment) Plan {
	p := Plan{Keys: NewKeyTable(), NextSequence: 1, NextEstimates: 1}
	var views, tables, logs []File
	found = slices.Clone(found)
	slices.SortFunc(found, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range found {
		if f.Why == "" {
			if err := Migrate(&f); err != nil {
				f.Why = err.Error()
			} else if f.Header.Site != here.Site {
				f.Why = fmt.Sprintf("of site %q, and this is %q", f.Header.Site, here.Site)
			}
		}
		if f.Why != "" {
			p.addFinding(f.Name, f.Why)
			p.Quarantine = append(p.Quarantine, Quarantined{Name: f.Name})
			continue
		}
		switch f.Header.Content {
		case EstimatesFile:
			views = append(views, f)
			p.NextEstimates = max(p.NextEstimates, f.Header.Sequence+1)
		case KeyTableFile:
			tables = append(tables, f)
			p.NextSequence = max(p.NextSequence, f.Header.Sequence+1)
		case KeyLogFile:
			logs = append(logs, f)
			p.NextSequence = max(p.NextSequence, f.Header.Sequence)
			for _, r := range f.Salvaged {
				p.NextSequence = max(p.NextSequence, r.Sequence+1)
			}
			if n := len(f.Records); n > 0 {
				p.NextSequence = max(p.NextSequence, f.Records[n-1].Sequence+1)
			}
		default:
			p.addFinding(f.Name, "content unknown")
			p.Quarantine = append(p.Quarantine, Quarantined{Name: f.Name})
		}
	}
	p.chooseEstimates(views, here)
	p.replayKeys(tables, logs, here)
	return p
}

func (p *Plan) addFinding(name, why string) { p.Findings = append(p.Findings, Finding{name, why}) }

func sortNewestFirst(files []File) {
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(b.Header.Sequence, a.Header.Sequence) })
}

// chooseEstimates takes the newest view that is whole, of this machine and these terms, and not old.
func (p *Plan) chooseEstimates(views []File, here Environment) {
	sortNewestFirst(views)
	for _, f := range views {
		_, age := Age(f.Header.CreatedAt, here.Now)
		switch {
		case !f.Complete || f.Estimates == nil:
			p.addFinding(f.Name, "not whole")
			p.Quarantine = append(p.Quarantine, Quarantined{Name: f.Name})
			continue
		case f.Header.CreatedAt.MachineID != 0 && f.Header.CreatedAt.MachineID != here.Now.MachineID:
			p.addFinding(f.Name, "of another machine")
			continue
		}
		if len(here.Schema.Routes) == 0 {
			continue
		}
		// Frame.Fit is a peer's gate, and a file's: what it lets through can be acted on.
		fit, err := here.Schema.Align(*f.Estimates)
		if err == nil {
			fit, err = here.Schema.Validate(fit)
		}
		if err != nil {
			p.addFinding(f.Name, err.Error())
			continue
		}
		if fit = fit.Aged(age); !fit.Fresh() {
			p.addFinding(f.Name, "old")
			continue
		}
		p.Estimates, p.EstimatesFrom = fit, f.Name
		return
	}
}

// replayKeys makes the table from the newest snapshot that is whole and the records behind it, up to the first that is not
// whole. Of what is behind that, one thing is still taken: that a number had begun. It can only keep an effect from
// happening twice; a result from there is not believed.
func (p *Plan) replayKeys(tables, logs []File, here Environment) {
	sortNewestFirst(tables)
	at, based := uint64(0), false
	for _, f := range tables {
		if !f.Complete {
			p.addFinding(f.Name, "not whole")
			p.Quarantine = append(p.Quarantine, Quarantined{Name: f.Name})
			continue
		}
		if !based {
			p.applyRecords(f, f.Records, here, false)
			at, based = f.Header.Sequence, true
		}
	}
	sortNewestFirst(logs)
	slices.Reverse(logs)
	broken := false
	for i, f := range logs {
		if i+1 < len(logs) && logs[i+1].Header.Sequence <= at+1 && f.Header.Sequence <= at {
			continue // all of it is in the snapshot
		}
		if !based && i == 0 && f.Header.Sequence > 1 {
			p.addFinding(f.Name, "what came before it is missing")
			at = f.Header.Sequence - 1
		}
		if f.Header.Sequence > at+1 && !broken {
			broken = true
			p.addFinding(f.Name, fmt.Sprintf("records %d to %d before it are missing", at+1, f.Header.Sequence-1))
		}
		for _, r := range f.Records {
			if r.Sequence <= at {
				continue
			}
			if r.Sequence != at+1 {
				broken = true
			}
			if !broken {
				at = r.Sequence
			}
			p.applyRecords(f, []Record{r}, here, broken)
		}
		if !f.Complete {
			broken = true
			p.addFinding(f.Name, fmt.Sprintf("not whole from byte %d on, with %d whole records behind", f.CompleteBytes, len(f.Salvaged)))
			p.Quarantine = append(p.Quarantine, Quarantined{Name: f.Name, FromByte: f.CompleteBytes})
			p.applyRecords(f, slices.DeleteFunc(slices.Clone(f.Salvaged), func(r Record) bool { return r.Sequence <= at }), here, true)
		}
	}
	p.Keys.Expire(here.Now.SinceBoot)
	for _, n := range p.Keys.Entries() {
		if !n.Served {
			p.UnknownOutcomes++
		}
	}
}

func (p *Plan) applyRecords(f File, records []Record, here Environment, unsure bool) {
	ago, _ := Age(f.Header.CreatedAt, here.Now)
	for _, r := range records {
		p.Keys.apply(r, ago, here.Now.SinceBoot, unsure)
	}
}
