// Package experiment runs experiments on the emulator: drills by policies by seeds, side by side, and goes on where it was
// interrupted. Results are kept with what made them, and told as tables, charts and one page.
package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"quartzpoint/baseline"
	"quartzpoint/emulator"
	"quartzpoint/scenario"
)

// modelVersion is that of the emulator: results of another are not mixed with those of this one. It changes when the model does.
const modelVersion = 1

const (
	maxSeeds = 1000
	maxRuns  = 100_000
)

// Experiment is what its file states.
type Experiment struct {
	Name      string   `toml:"name"`
	Title     string   `toml:"title"`
	Drills    []string `toml:"drills"`    // files or patterns, from the experiment's own folder
	Policies  []string `toml:"policies"`  // the first is what the others are compared with
	Seeds     int      `toml:"seeds"`     // from 1
	Processes int      `toml:"processes"` // runs at once (all processors)

	drills []*scenario.Drill
	texts  []string
	raw    []byte
}

// ReadExperiment reads an experiment and its drills. The error joins all faults.
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
	var faults []error
	fault := func(words string, of ...any) {
		faults = append(faults, fmt.Errorf("experiment %s: "+words, append([]any{path}, of...)...))
	}
	if e.Name == "" || strings.ContainsAny(e.Name, `/\ `) {
		fault("name = %q: a name without blanks and slashes is needed", e.Name)
	}
	if e.Seeds < 1 || e.Seeds > maxSeeds || e.Processes < 1 {
		fault("seeds = %d, processes = %d: 1 to %d, and 1 or more", e.Seeds, e.Processes, maxSeeds)
	}
	if len(e.Policies) == 0 {
		e.Policies = append([]string{"quartzpoint"}, baseline.Names()...)
	}
	for _, name := range e.Policies {
		if _, err := baseline.PolicyByName(name); err != nil {
			fault("policies: %w", err)
		}
	}
	var files []string
	for _, pattern := range e.Drills {
		some, err := filepath.Glob(filepath.Join(filepath.Dir(path), pattern))
		if err != nil || len(some) == 0 {
			fault("drills: %q names no file", pattern)
		}
		files = append(files, some...)
	}
	slices.Sort(files)
	for _, file := range slices.Compact(files) {
		text, err := os.ReadFile(file)
		if err != nil {
			fault("%w", err)
			continue
		}
		d, err := scenario.Parse(file, string(text))
		if err != nil {
			faults = append(faults, err)
			continue
		}
		e.drills, e.texts = append(e.drills, d), append(e.texts, string(text))
	}
	if len(files) == 0 {
		fault("drills: none is named")
	}
	if runs := len(e.drills) * len(e.Policies) * e.Seeds; runs > maxRuns {
		fault("%d runs, %d at most", runs, maxRuns)
	}
	return e, errors.Join(faults...)
}

// Run is one run with its result, as it is kept.
type Run struct {
	Key    string          `json:"key"` // of all that made it
	Drill  string          `json:"drill"`
	Policy string          `json:"policy"`
	Seed   int64           `json:"seed"`
	P50    float64         `json:"p50"` // ms, of what was honoured
	P99    float64         `json:"p99"`
	P999   float64         `json:"p999"`
	Result emulator.Result `json:"result"`
}

// GoodputShare is the part of the offered importance that was honoured.
func (r Run) GoodputShare() float64 { return r.Result.Goodput / max(r.Result.OfferedValue, 1e-9) }

func (e *Experiment) runKey(i int, policy string, seed int64) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", modelVersion, e.texts[i], policy, seed)))
}

// Progress is called with each run that is there, and how many there will be.
type Progress func(r Run, kept bool, n, of int)

// Run makes all runs that are not kept in the folder yet, and gives all of them in the order of drills, policies and
// seeds. An interruption loses only the runs that were on.
func (e *Experiment) Run(ctx context.Context, folder string, done Progress) ([]Run, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	path := filepath.Join(folder, "runs.jsonl")
	kept, err := readStoredRuns(path)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer file.Close()
	type job struct {
		drill  int
		policy string
		seed   int64
		place  int
	}
	var jobs []job
	for i := range e.drills {
		for _, policy := range e.Policies {
			for seed := range e.Seeds {
				jobs = append(jobs, job{i, policy, int64(seed + 1), len(jobs)})
			}
		}
	}
	runs := make([]Run, len(jobs))
	var mu sync.Mutex
	var failed error
	n := 0
	next := make(chan job)
	var all sync.WaitGroup
	for range min(e.Processes, len(jobs)) {
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range next {
				key := e.runKey(j.drill, j.policy, j.seed)
				mu.Lock()
				run, was := kept[key]
				mu.Unlock()
				if !was {
					made, _ := baseline.PolicyByName(j.policy) // Read has looked
					run = RunDrill(e.drills[j.drill], j.policy, made, j.seed)
					run.Key = key
				}
				mu.Lock()
				runs[j.place] = run
				n++
				if !was {
					raw, err := json.Marshal(run)
					if err == nil {
						_, err = file.Write(append(raw, '\n'))
					}
					failed = errors.Join(failed, err)
				}
				if done != nil {
					done(run, was, n, len(jobs))
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range jobs {
		select {
		case next <- j:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	all.Wait()
	if err := errors.Join(failed, context.Cause(ctx)); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return runs, nil
}

// RunDrill plays a drill once.
func RunDrill(d *scenario.Drill, policy string, made emulator.PolicyMaker, seed int64) Run {
	r := d.Emulate(made, seed)
	ms := func(q float64) float64 { return float64(r.Latencies.ValueAtQuantile(q)) / 1e3 }
	return Run{Drill: d.Name, Policy: policy, Seed: seed, P50: ms(50), P99: ms(99), P999: ms(99.9), Result: r}
}

// readStoredRuns reads kept runs. A line that is not whole was being written when the run was interrupted; it is made again.
func readStoredRuns(path string) (map[string]Run, error) {
	kept := map[string]Run{}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return kept, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Key != "" {
			kept[r.Key] = r
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("results %s: %w", path, err)
	}
	return kept, nil
}
