package store

import (
	"fmt"
	"strings"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// FileReport describes one file of a directory.
type FileReport struct {
	Name     string           `json:"name"`
	Bytes    int64            `json:"bytes"`
	Header   *recovery.Header `json:"header,omitempty"` // nil if the file could not be read
	Records  int              `json:"records"`
	Complete bool             `json:"whole"`
	Salvaged int              `json:"beyond,omitempty"` // undamaged records after the first damage
	Problem  string           `json:"why,omitempty"`    // why the file could not be read, or problemQuarantined
}

// KeyReport describes one idempotency key.
type KeyReport struct {
	Route     string        `json:"type"`
	Key       string        `json:"number"`
	Remaining time.Duration `json:"left"` // of the dedup window
	Served    bool          `json:"honoured"`
	Result    []byte        `json:"result,omitempty"`
}

// Report describes the contents of a directory, and which of them a start would use.
type Report struct {
	Files         []FileReport       `json:"files"`
	Findings      []recovery.Finding `json:"notes"`
	Keys          []KeyReport        `json:"numbers"`
	UnservedKeys  int                `json:"unknown"`
	EstimatesFile string             `json:"view,omitempty"`    // name of the newest complete estimates file
	Estimates     *estimate.Snapshot `json:"learned,omitempty"` // of that file, aged to now
	Bytes         int64              `json:"bytes"`             // of all files
}

// problemQuarantined is the Problem of quarantined files, which a start never reads.
const problemQuarantined = "kept aside"

// resolveSite returns site or, if it is empty, the site of the first usable file that has one.
func resolveSite(files []recovery.File, site string) string {
	for _, f := range files {
		if site == "" && f.Err == nil {
			site = f.Header.Site
		}
	}
	return site
}

// Inspect reads a directory, which may be in use. If the environment has no site, Inspect uses the site of the files.
func Inspect(dir datadir.Dir, environment recovery.Environment, maxBytes int64) (r Report, err error) {
	entries, err := dir.List()
	if err != nil {
		return r, err
	}
	files, err := readFiles(dir, maxBytes, true)
	if err != nil {
		return r, err
	}
	r.addFiles(entries, files)
	r.addEstimates(files, environment.Now)
	environment.Site = resolveSite(files, environment.Site)
	plan := recovery.NewPlan(files, environment)
	r.Findings, r.UnservedKeys = plan.Findings, plan.UnservedKeys
	for _, entry := range plan.Keys.Entries() {
		route, key, _ := strings.Cut(entry.Key, "\x00")
		r.Keys = append(r.Keys, KeyReport{
			Route: route, Key: key, Remaining: entry.ExpiresAt - environment.Now.SinceBoot, Served: entry.Served, Result: entry.Result,
		})
	}
	return r, nil
}

func (r *Report) addFiles(entries []datadir.Entry, files []recovery.File) {
	sizes := map[string]int64{}
	for _, e := range entries {
		sizes[e.Name] = e.Size
		r.Bytes += e.Size
	}
	for _, f := range files {
		report := FileReport{
			Name: f.Name, Bytes: sizes[f.Name], Records: len(f.Records), Complete: f.Complete, Salvaged: len(f.Salvaged),
		}
		if f.Err != nil {
			report.Problem = f.Err.Error()
		} else {
			report.Header = &f.Header
		}
		r.Files = append(r.Files, report)
	}
	for _, e := range entries {
		if _, ok := parseFileName(quarantinePrefix, e.Name); ok {
			r.Files = append(r.Files, FileReport{Name: e.Name, Bytes: e.Size, Problem: problemQuarantined})
		}
	}
}

// addEstimates adds the estimates of the newest complete file. Files are sorted by name, so it is the last one.
func (r *Report) addEstimates(files []recovery.File, now recovery.Timestamp) {
	for _, f := range files {
		if f.Estimates != nil && f.Complete && f.Header.Version == recovery.FormatVersion {
			_, age := recovery.Age(f.Header.CreatedAt, now)
			aged := f.Estimates.Aged(age)
			r.EstimatesFile, r.Estimates = f.Name, &aged
		}
	}
}

// Problems lists the files that a start would not use, or would use only in part, each with the reason. It does not
// list quarantined files.
func (r Report) Problems() (problems []string) {
	for _, f := range r.Files {
		switch {
		case f.Header == nil && f.Problem != problemQuarantined:
			problems = append(problems, fmt.Sprintf("%s: %s", f.Name, f.Problem))
		case f.Header != nil && !f.Complete && f.Header.Version <= recovery.FormatVersion:
			problems = append(problems, fmt.Sprintf("%s: not whole, %d records before that and %d behind", f.Name, f.Records, f.Salvaged))
		}
	}
	for _, finding := range r.Findings {
		problems = append(problems, fmt.Sprintf("%s: %s", finding.File, finding.Reason))
	}
	return problems
}
