package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quartzpoint/estimate"
)

// Version is that of the files written here.
const Version = 2

// Content is what a file holds.
type Content uint8

// The contents of files.
const (
	ViewFile  Content = 1 // a snapshot of what was learned
	TableFile Content = 2 // a snapshot of the table of numbers
	LogFile   Content = 3 // records of numbers, in the order of their sequence
)

// Header is the beginning of every file.
type Header struct {
	Version int     `cbor:"1,keyasint" json:"version"`
	Content Content `cbor:"2,keyasint" json:"content"`
	Site    string  `cbor:"3,keyasint,omitempty" json:"site"`
	Terms   uint64  `cbor:"4,keyasint,omitempty" json:"terms"` // digest of those that a view was learned under
	At      Moment  `cbor:"5,keyasint,omitempty" json:"at"`    // when it was begun
	ID      uint64  `cbor:"6,keyasint" json:"id"`              // drawn; every record's checksum is over it too
	// Place orders files of one content. Of a log it is the sequence of its first record; of a table that of the last
	// that it covers; of a view its number.
	Place uint64 `cbor:"7,keyasint" json:"place"`
	Wall  int64  `cbor:"8,keyasint,omitempty" json:"-"` // version 1 knew the wall clock only
}

// Found is a file as it was read.
type Found struct {
	Name    string
	Why     string // nothing of it can be used, and why not
	Header  Header
	View    *estimate.Snapshot
	Records []Record // whole, in order, up to the first that is not
	Whole   bool     // nothing else is in it
	End     int64    // where what is not whole begins
	Beyond  []Record // whole ones behind that
}

// Here is what is known for sure at a start.
type Here struct {
	Now   Moment
	Site  string
	Frame estimate.Schema // which views fit; its zero value where none is wanted
}

// Aside is something to be kept that was not used: a file, or what is behind a place in it.
type Aside struct {
	Name string
	From int64
}

// Note says why something was not used.
type Note struct{ Name, Why string }

// Plan is what is to be used, and what becomes of the rest.
type Plan struct {
	View     estimate.Snapshot // aged; not Fresh where none is used
	ViewFrom string
	Table    *Table
	Unknown  int    // numbers whose end is not known
	Next     uint64 // sequence of the next record: above all that were ever seen
	NextView uint64
	Aside    []Aside
	Notes    []Note
}

// steps bring what was read one version further, from the one they stand at.
var steps = map[int]func(*Found){
	// Version 1 had the wall clock alone. Without boot and machine its windows count in full, and its views by the
	// wall clock.
	1: func(f *Found) { f.Header.At = Moment{Wall: time.Duration(f.Header.Wall)} },
}

// Migrate brings what was read to the version of here, a step at a time, or says why that can't be.
func Migrate(f *Found) error {
	if f.Header.Version > Version {
		return fmt.Errorf("version %d, and %d at the most is known here", f.Header.Version, Version)
	}
	for f.Header.Version < Version {
		step := steps[f.Header.Version]
		if step == nil {
			return fmt.Errorf("version %d, from which no step leads here", f.Header.Version)
		}
		step(f)
		f.Header.Version++
	}
	return nil
}

// Decide makes the plan of a start. Its order of files does not depend on that of found.
func Decide(found []Found, here Here) Plan {
	p := Plan{Table: NewTable(), Next: 1, NextView: 1}
	var views, tables, logs []Found
	found = slices.Clone(found)
	slices.SortFunc(found, func(a, b Found) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range found {
		if f.Why == "" {
			if err := Migrate(&f); err != nil {
				f.Why = err.Error()
			} else if f.Header.Site != here.Site {
				f.Why = fmt.Sprintf("of site %q, and this is %q", f.Header.Site, here.Site)
			}
		}
		if f.Why != "" {
			p.note(f.Name, f.Why)
			p.Aside = append(p.Aside, Aside{Name: f.Name})
			continue
		}
		switch f.Header.Content {
		case ViewFile:
			views = append(views, f)
			p.NextView = max(p.NextView, f.Header.Place+1)
		case TableFile:
			tables = append(tables, f)
			p.Next = max(p.Next, f.Header.Place+1)
		case LogFile:
			logs = append(logs, f)
			p.Next = max(p.Next, f.Header.Place)
			for _, r := range f.Beyond {
				p.Next = max(p.Next, r.Seq+1)
			}
			if n := len(f.Records); n > 0 {
				p.Next = max(p.Next, f.Records[n-1].Seq+1)
			}
		default:
			p.note(f.Name, "content unknown")
			p.Aside = append(p.Aside, Aside{Name: f.Name})
		}
	}
	p.chooseView(views, here)
	p.replay(tables, logs, here)
	return p
}

func (p *Plan) note(name, why string) { p.Notes = append(p.Notes, Note{name, why}) }

func newest(files []Found) {
	slices.SortStableFunc(files, func(a, b Found) int { return cmp.Compare(b.Header.Place, a.Header.Place) })
}

// chooseView takes the newest view that is whole, of this machine and these terms, and not old.
func (p *Plan) chooseView(views []Found, here Here) {
	newest(views)
	for _, f := range views {
		_, age := Age(f.Header.At, here.Now)
		switch {
		case !f.Whole || f.View == nil:
			p.note(f.Name, "not whole")
			p.Aside = append(p.Aside, Aside{Name: f.Name})
			continue
		case f.Header.At.Machine != 0 && f.Header.At.Machine != here.Now.Machine:
			p.note(f.Name, "of another machine")
			continue
		}
		if len(here.Frame.Routes) == 0 {
			continue
		}
		// Frame.Fit is a peer's gate, and a file's: what it lets through can be acted on.
		validated, err := here.Frame.Align(*f.View)
		if err == nil {
			validated, err = here.Frame.Validate(validated)
		}
		if err != nil {
			p.note(f.Name, err.Error())
			continue
		}
		if validated = validated.Aged(age); !validated.HasFresh() {
			p.note(f.Name, "old")
			continue
		}
		p.View, p.ViewFrom = validated, f.Name
		return
	}
}

// replay makes the table from the newest snapshot that is whole and the records behind it, up to the first that is not
// whole. Of what is behind that, one thing is still taken: that a number had begun. It can only keep an effect from
// happening twice; a result from there is not believed.
func (p *Plan) replay(tables, logs []Found, here Here) {
	newest(tables)
	at, based := uint64(0), false
	for _, f := range tables {
		if !f.Whole {
			p.note(f.Name, "not whole")
			p.Aside = append(p.Aside, Aside{Name: f.Name})
			continue
		}
		if !based {
			p.apply(f, f.Records, here, false)
			at, based = f.Header.Place, true
		}
	}
	newest(logs)
	slices.Reverse(logs)
	broken := false
	for i, f := range logs {
		if i+1 < len(logs) && logs[i+1].Header.Place <= at+1 && f.Header.Place <= at {
			continue // all of it is in the snapshot
		}
		if !based && i == 0 && f.Header.Place > 1 {
			p.note(f.Name, "what came before it is missing")
			at = f.Header.Place - 1
		}
		if f.Header.Place > at+1 && !broken {
			broken = true
			p.note(f.Name, fmt.Sprintf("records %d to %d before it are missing", at+1, f.Header.Place-1))
		}
		for _, r := range f.Records {
			if r.Seq <= at {
				continue
			}
			if r.Seq != at+1 {
				broken = true
			}
			if !broken {
				at = r.Seq
			}
			p.apply(f, []Record{r}, here, broken)
		}
		if !f.Whole {
			broken = true
			p.note(f.Name, fmt.Sprintf("not whole from byte %d on, with %d whole records behind", f.End, len(f.Beyond)))
			p.Aside = append(p.Aside, Aside{Name: f.Name, From: f.End})
			p.apply(f, slices.DeleteFunc(slices.Clone(f.Beyond), func(r Record) bool { return r.Seq <= at }), here, true)
		}
	}
	p.Table.Expire(here.Now.Up)
	for _, n := range p.Table.All() {
		if !n.Honoured {
			p.Unknown++
		}
	}
}

func (p *Plan) apply(f Found, records []Record, here Here, unsure bool) {
	ago, _ := Age(f.Header.At, here.Now)
	for _, r := range records {
		p.Table.apply(r, ago, here.Now.Up, unsure)
	}
}
