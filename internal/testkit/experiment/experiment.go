// Package experiment runs experiments on the emulator: every drill with every policy and seed, in parallel. Runs are stored
// as they end, so that an interrupted experiment continues. Results are reported as tables, charts and one page.
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

// Experiment is an experiment file with its drills.
type Experiment struct {
	Name      string   `toml:"name"`
	Title     string   `toml:"title"`
	Drills    []string `toml:"drills"`    // files or patterns, from the experiment's own folder
	Policies  []string `toml:"policies"`  // the first is what the others are compared with
	Seeds     int      `toml:"seeds"`     // from 1
	Processes int      `toml:"processes"` // runs at once (all processors)

	drills []*scenario.Drill
	texts  []string // of drills
	raw    []byte   // the file

	errorPrefix string
	errs        []error // of ReadExperiment
}

// ReadExperiment reads an experiment and its drills. The error joins those of all settings and drills.
func ReadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
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
		e.addError("%d runs, %d at most", runs, maxRuns)
	}
	return e, errors.Join(e.errs...)
}

func (e *Experiment) addError(format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf(e.errorPrefix+format, args...))
}

// checkSettings checks the settings of the file, and states the default policies.
func (e *Experiment) checkSettings() {
	if e.Name == "" || strings.ContainsAny(e.Name, `/\ `) {
		e.addError("name = %q: a name without blanks and slashes is needed", e.Name)
	}
	if e.Seeds < 1 || e.Seeds > maxSeeds || e.Processes < 1 {
		e.addError("seeds = %d, processes = %d: 1 to %d, and 1 or more", e.Seeds, e.Processes, maxSeeds)
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

// readDrills reads the drills that the patterns name, in the order of their paths.
func (e *Experiment) readDrills(folder string) {
	var files []string
	for _, pattern := range e.Drills {
		matches, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil || len(matches) == 0 {
			e.addError("drills: %q names no file", pattern)
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
		e.addError("drills: none is named")
	}
}
