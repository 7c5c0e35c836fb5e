// Package experiment runs experiments on the emulator: every drill with every policy and seed, in parallel. Each run is
// stored as it ends, so that an interrupted experiment can be continued. Results are reported as tables, charts and one
// HTML page.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"quartzpoint/baseline"
	"quartzpoint/scenario"
)

const (
	maxSeeds = 1000
	maxRuns  = 100_000
)

// Experiment is an experiment file with the drills that it names.
type Experiment struct {
	Name      string   `toml:"name"`
	Title     string   `toml:"title"`
	Drills    []string `toml:"drills"`    // files or patterns, relative to the folder of the experiment file
	Policies  []string `toml:"policies"`  // the others are compared with the first; default: all, quartzpoint first
	Seeds     int      `toml:"seeds"`     // number of seeds, which are counted from 1; default 10
	Processes int      `toml:"processes"` // runs at once; default GOMAXPROCS

	drills []*scenario.Drill
	texts  []string // scripts of drills, by the same index
	raw    []byte   // contents of the experiment file

	errorPrefix string
	errs        []error // collected by ReadExperiment
}

// ReadExperiment reads an experiment file and its drills. The error joins those of all settings and drills.
func ReadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	e := &Experiment{Seeds: 10, Processes: runtime.GOMAXPROCS(0), raw: raw}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(e); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("experiment %s: unknown key:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	e.errorPrefix = "experiment " + path + ": "
	e.checkSettings()
	e.readDrills(filepath.Dir(path))
	if runs := len(e.drills) * len(e.Policies) * e.Seeds; runs > maxRuns {
		e.addError("%d runs, want at most %d", runs, maxRuns)
	}
	return e, errors.Join(e.errs...)
}

func (e *Experiment) addError(format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf(e.errorPrefix+format, args...))
}

// checkSettings checks the settings of the file, and sets the default policies.
func (e *Experiment) checkSettings() {
	if e.Name == "" || strings.ContainsAny(e.Name, `/\ `) {
		e.addError("name = %q: want a name without blanks and slashes", e.Name)
	}
	if e.Seeds < 1 || e.Seeds > maxSeeds || e.Processes < 1 {
		e.addError("seeds = %d, processes = %d: want 1 to %d seeds and at least 1 process", e.Seeds, e.Processes, maxSeeds)
	}
	if len(e.Policies) == 0 {
		e.Policies = append([]string{"quartzpoint"}, baseline.Names()...)
	}
	for _, name := range e.Policies {
		if _, err := baseline.PolicyByName(name); err != nil {
			e.addError("policies: %w", err)
		}
	}
}

// readDrills reads the drills that match the patterns, in the order of their paths.
func (e *Experiment) readDrills(folder string) {
	var files []string
	for _, pattern := range e.Drills {
		matches, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil || len(matches) == 0 {
			e.addError("drills: pattern %q matches no file", pattern)
		}
		files = append(files, matches...)
	}
	slices.Sort(files)
	for _, file := range slices.Compact(files) {
		text, err := os.ReadFile(file)
		if err != nil {
			e.addError("%w", err)
			continue
		}
		d, err := scenario.Parse(file, string(text))
		if err != nil {
			e.errs = append(e.errs, err)
			continue
		}
		e.drills, e.texts = append(e.drills, d), append(e.texts, string(text))
	}
	if len(files) == 0 {
		e.addError("drills: no drill file found")
	}
}
