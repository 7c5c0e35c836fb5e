package store

import (
	"fmt"
	"strings"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// FileReport tells of one file of a folder.
type FileReport struct {
	Name    string           `json:"name"`
	Bytes   int64            `json:"bytes"`
	Header  *recovery.Header `json:"header,omitempty"`
	Records int              `json:"records"`
	Whole   bool             `json:"whole"`
	Beyond  int              `json:"beyond,omitempty"` // whole records behind the first that is not
	Why     string           `json:"why,omitempty"`
}

// NumberReport tells of one number. Left is of its window.
type NumberReport struct {
	Type     string        `json:"type"`
	Number   string        `json:"number"`
	Left     time.Duration `json:"left"`
	Honoured bool          `json:"honoured"`
	Result   []byte        `json:"result,omitempty"`
}

// Report tells what a folder holds, and what a start would use of it.
type Report struct {
	Files   []FileReport       `json:"files"`
	Plan    recovery.Plan      `json:"-"`
	Notes   []recovery.Note    `json:"notes"`
	Numbers []NumberReport     `json:"numbers"`
	Unknown int                `json:"unknown"`
	View    string             `json:"view,omitempty"`    // the newest file that holds one
	Learned *estimate.Snapshot `json:"learned,omitempty"` // what it holds, aged
	Bytes   int64              `json:"bytes"`
}

// siteOf is the site that a folder is of: the stated one, else that of its first file that has one.
func siteOf(found []recovery.Found, stated string) string {
	for _, f := range found {
		if stated == "" && f.Why == "" {
			stated = f.Header.Site
		}
	}
	return stated
}

// Inspect reads a folder that may be in use. Where here says no site it is that of the files.
func Inspect(in datadir.Folder, here recovery.Here, most int64) (r Report, err error) {
	entries, err := in.List()
	if err != nil {
		return r, err
	}
	sizes := map[string]int64{}
	for _, e := range entries {
		sizes[e.Name] = e.Size
		r.Bytes += e.Size
	}
	found, err := look(in, most, true)
	if err != nil {
		return r, err
	}
	here.Site = siteOf(found, here.Site)
	for _, f := range found {
		one := FileReport{Name: f.Name, Bytes: sizes[f.Name], Records: len(f.Records), Whole: f.Whole, Beyond: len(f.Beyond), Why: f.Why}
		if f.Why == "" {
			one.Header = &f.Header
		}
		r.Files = append(r.Files, one)
	}
	for _, e := range entries {
		if _, is := placeOf(asideName, e.Name); is {
			r.Files = append(r.Files, FileReport{Name: e.Name, Bytes: e.Size, Why: "kept aside"})
		}
	}
	r.Plan = recovery.Decide(found, here)
	r.Notes, r.Unknown = r.Plan.Notes, r.Plan.Unknown
	for _, f := range found { // by name, so the newest is the last
		if f.View != nil && f.Whole && f.Header.Version == recovery.Version {
			_, age := recovery.Age(f.Header.At, here.Now)
			learned := f.View.Aged(age)
			r.View, r.Learned = f.Name, &learned
		}
	}
	for _, n := range r.Plan.Table.All() {
		kind, number, _ := strings.Cut(n.Key, "\x00")
		r.Numbers = append(r.Numbers, NumberReport{kind, number, n.Until - here.Now.Up, n.Honoured, n.Result})
	}
	return r, nil
}

// Faults are what a start would not use, or not wholly; none for a folder that is as it was left.
func (r Report) Faults() (words []string) {
	for _, f := range r.Files {
		switch {
		case f.Header == nil && f.Why != "kept aside":
			words = append(words, fmt.Sprintf("%s: %s", f.Name, f.Why))
		case f.Header != nil && !f.Whole && f.Header.Version <= recovery.Version:
			words = append(words, fmt.Sprintf("%s: not whole, %d records before that and %d behind", f.Name, f.Records, f.Beyond))
		}
	}
	for _, n := range r.Notes {
		words = append(words, fmt.Sprintf("%s: %s", n.Name, n.Why))
	}
	return words
}

// Compact has a folder that no server uses hold one table, one log and the newest view. What is left of windows is as
// at a start.
func Compact(in datadir.Folder, here recovery.Here, most int64, clock func() recovery.Moment) (before, after int64, err error) {
	found, err := look(in, most, true)
	if err != nil {
		return 0, 0, err
	}
	here.Site = siteOf(found, here.Site)
	report, err := Inspect(in, here, most)
	if err != nil {
		return 0, 0, err
	}
	b := &book{folder: in, clock: clock, id: DrawID, site: here.Site, most: most, numbers: true}
	for range keepTables { // the older generation goes with the second
		plan, err := b.read(here)
		if err == nil {
			err = b.begin(plan, plan.Table)
		}
		if err != nil {
			return 0, 0, err
		}
		if err := b.log.Close(); err != nil {
			return 0, 0, fmt.Errorf("log: %w", err)
		}
		b.log = nil
	}
	before = report.Bytes
	report, err = Inspect(in, here, most)
	return before, report.Bytes, err
}
