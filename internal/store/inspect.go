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
	Name     string           `json:"name"`
	Bytes    int64            `json:"bytes"`
	Header   *recovery.Header `json:"header,omitempty"`
	Records  int              `json:"records"`
	Complete bool             `json:"whole"`
	Salvaged int              `json:"beyond,omitempty"` // whole records behind the first that is not
	Problem  string           `json:"why,omitempty"`
}

// KeyReport tells of one number. Left is of its window.
type KeyReport struct {
	Route     string        `json:"type"`
	Key       string        `json:"number"`
	Remaining time.Duration `json:"left"`
	Served    bool          `json:"honoured"`
	Result    []byte        `json:"result,omitempty"`
}

// Report tells what a folder holds, and what a start would use of it.
type Report struct {
	Files           []FileReport       `json:"files"`
	Plan            recovery.Plan      `json:"-"`
	Findings        []recovery.Finding `json:"notes"`
	Keys            []KeyReport        `json:"numbers"`
	UnknownOutcomes int                `json:"unknown"`
	EstimatesFile   string             `json:"view,omitempty"`    // the newest file that holds one
	Estimates       *estimate.Snapshot `json:"learned,omitempty"` // what it holds, aged
	Bytes           int64              `json:"bytes"`
}

// resolveSite is the site that a folder is of: the stated one, else that of its first file that has one.
func resolveSite(found []recovery.File, stated string) string {
	for _, f := range found {
		if stated == "" && f.Why == "" {
			stated = f.Header.Site
		}
	}
	return stated
}

// Inspect reads a folder that may be in use. Where here says no site it is that of the files.
func Inspect(in datadir.Dir, here recovery.Environment, most int64) (r Report, err error) {
	entries, err := in.List()
	if err != nil {
		return r, err
	}
	sizes := map[string]int64{}
	for _, e := range entries {
		sizes[e.Name] = e.Size
		r.Bytes += e.Size
	}
	found, err := readFiles(in, most, true)
	if err != nil {
		return r, err
	}
	here.Site = resolveSite(found, here.Site)
	for _, f := range found {
		one := FileReport{Name: f.Name, Bytes: sizes[f.Name], Records: len(f.Records), Complete: f.Complete, Salvaged: len(f.Salvaged), Problem: f.Why}
		if f.Why == "" {
			one.Header = &f.Header
		}
		r.Files = append(r.Files, one)
	}
	for _, e := range entries {
		if _, is := parseFileName(quarantinePrefix, e.Name); is {
			r.Files = append(r.Files, FileReport{Name: e.Name, Bytes: e.Size, Problem: "kept aside"})
		}
	}
	r.Plan = recovery.NewPlan(found, here)
	r.Findings, r.UnknownOutcomes = r.Plan.Findings, r.Plan.UnknownOutcomes
	for _, f := range found { // by name, so the newest is the last
		if f.Estimates != nil && f.Complete && f.Header.Version == recovery.FormatVersion {
			_, age := recovery.Age(f.Header.CreatedAt, here.Now)
			learned := f.Estimates.Aged(age)
			r.EstimatesFile, r.Estimates = f.Name, &learned
		}
	}
	for _, n := range r.Plan.Keys.Entries() {
		kind, number, _ := strings.Cut(n.Key, "\x00")
		r.Keys = append(r.Keys, KeyReport{kind, number, n.ExpiresAt - here.Now.SinceBoot, n.Served, n.Result})
	}
	return r, nil
}

// Problems are what a start would not use, or not wholly; none for a folder that is as it was left.
func (r Report) Problems() (words []string) {
	for _, f := range r.Files {
		switch {
		case f.Header == nil && f.Problem != "kept aside":
			words = append(words, fmt.Sprintf("%s: %s", f.Name, f.Problem))
		case f.Header != nil && !f.Complete && f.Header.Version <= recovery.FormatVersion:
			words = append(words, fmt.Sprintf("%s: not whole, %d records before that and %d behind", f.Name, f.Records, f.Salvaged))
		}
	}
	for _, n := range r.Findings {
		words = append(words, fmt.Sprintf("%s: %s", n.File, n.Reason))
	}
	return words
}

// Compact has a folder that no server uses hold one table, one log and the newest view. What is left of windows is as
// at a start.
func Compact(in datadir.Dir, here recovery.Environment, most int64, clock func() recovery.Timestamp) (before, after int64, err error) {
	found, err := readFiles(in, most, true)
	if err != nil {
		return 0, 0, err
	}
	here.Site = resolveSite(found, here.Site)
	report, err := Inspect(in, here, most)
	if err != nil {
		return 0, 0, err
	}
	b := &writer{dir: in, clock: clock, newID: RandomID, site: here.Site, maxBytes: most, persistKeys: true}
	for range retainedTables { // the older generation goes with the second
		plan, err := b.plan(here)
		if err == nil {
			err = b.apply(plan, plan.Keys)
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
