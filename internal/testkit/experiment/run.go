package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"

	"quartzpoint/baseline"
	"quartzpoint/emulator"
	"quartzpoint/scenario"
)

// modelVersion is the version of the emulator's model. It is part of each run's key, so that stored runs of another
// version are not used.
const modelVersion = 1

// maxStoredRunBytes is the maximum length of a line of stored runs.
const maxStoredRunBytes = 16 << 20

// Run is one run with its result, as stored.
type Run struct {
	Key    string          `json:"key"` // hash of the model version, the drill's script, the policy and the seed
	Drill  string          `json:"drill"`
	Policy string          `json:"policy"`
	Seed   int64           `json:"seed"`
	P50    float64         `json:"p50"` // latencies of served requests, in milliseconds
	P99    float64         `json:"p99"`
	P999   float64         `json:"p999"`
	Result emulator.Result `json:"result"`
}

// GoodputShare returns the goodput as a share of the offered value.
func (r Run) GoodputShare() float64 { return r.Result.Goodput / max(r.Result.OfferedValue, 1e-9) }

func (e *Experiment) runKey(i int, policy string, seed int64) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", modelVersion, e.texts[i], policy, seed)))
}

// Progress is called after each run. stored reports whether the run was stored before, ended is the number of runs that
// have ended, stored ones included, and total the number of all runs. Calls are serialized.
type Progress func(r Run, stored bool, ended, total int)

// job is one run of an experiment.
type job struct {
	drill  int
	policy string
	seed   int64
	index  int // in the order of drills, policies and seeds
}

func (e *Experiment) jobs() (jobs []job) {
	for i := range e.drills {
		for _, policy := range e.Policies {
			for seed := range e.Seeds {
				jobs = append(jobs, job{i, policy, int64(seed + 1), len(jobs)})
			}
		}
	}
	return jobs
}

// execution is an experiment in progress. Its workers share it.
type execution struct {
	experiment *Experiment
	progress   Progress
	stored     map[string]Run // by key, from earlier executions

	mu    sync.Mutex
	file  *os.File
	runs  []Run
	ended int
	err   error
}

// Run carries out the runs that are not stored in the folder yet, and returns all runs in the order of drills, policies
// and seeds. Each run is stored as it ends, so that an interrupted experiment can be continued. progress may be nil.
func (e *Experiment) Run(ctx context.Context, folder string, progress Progress) ([]Run, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("create results folder: %w", err)
	}
	path := filepath.Join(folder, "runs.jsonl")
	stored, err := readStoredRuns(path)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open results: %w", err)
	}
	runs, err := e.runJobs(ctx, file, stored, progress)
	if err := errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("run experiment: %w", err)
	}
	return runs, nil
}

// runJobs carries out the runs that are not stored, and appends them to the file. After the context has ended it starts
// no more runs and returns an error.
func (e *Experiment) runJobs(ctx context.Context, file *os.File, stored map[string]Run, progress Progress) ([]Run, error) {
	jobs := e.jobs()
	x := &execution{experiment: e, progress: progress, stored: stored, file: file, runs: make([]Run, len(jobs))}
	next := make(chan job)
	var workers sync.WaitGroup
	for range min(e.Processes, len(jobs)) {
		workers.Go(func() {
			for j := range next {
				x.runJob(j)
			}
		})
	}
	sendJobs(ctx, jobs, next)
	workers.Wait()
	return x.runs, errors.Join(x.err, context.Cause(ctx))
}

// sendJobs sends jobs until the context ends, and closes the channel.
func sendJobs(ctx context.Context, jobs []job, next chan<- job) {
	defer close(next)
	for _, j := range jobs {
		select {
		case next <- j:
		case <-ctx.Done():
			return
		}
	}
}

// runJob carries out a run and appends it to the file, unless it is stored already.
func (x *execution) runJob(j job) {
	key := x.experiment.runKey(j.drill, j.policy, j.seed)
	run, stored := x.stored[key]
	if !stored {
		policy, _ := baseline.PolicyByName(j.policy) // the error is nil, as ReadExperiment has checked the name
		run = RunDrill(x.experiment.drills[j.drill], j.policy, policy, j.seed)
		run.Key = key
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs[j.index] = run
	x.ended++
	if !stored {
		raw, err := json.Marshal(run)
		if err == nil {
			_, err = x.file.Write(append(raw, '\n'))
		}
		x.err = errors.Join(x.err, err)
	}
	if x.progress != nil {
		x.progress(run, stored, x.ended, len(x.runs))
	}
}

// RunDrill runs a drill once and returns the run without a key.
func RunDrill(d *scenario.Drill, policyName string, policy emulator.PolicyMaker, seed int64) Run {
	r := d.Emulate(policy, seed)
	milliseconds := func(quantile float64) float64 { return float64(r.Latencies.ValueAtQuantile(quantile)) / 1e3 }
	return Run{Drill: d.Name, Policy: policyName, Seed: seed, P50: milliseconds(50), P99: milliseconds(99), P999: milliseconds(99.9), Result: r}
}

// readStoredRuns reads stored runs by their keys. It skips incomplete lines, which an interruption leaves; their runs
// are carried out again.
func readStoredRuns(path string) (map[string]Run, error) {
	stored := map[string]Run{}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return stored, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxStoredRunBytes)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Key != "" {
			stored[r.Key] = r
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read results %s: %w", path, err)
	}
	return stored, nil
}
