package quartzpoint

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// Gauges are readings of the resources that requests run on. A reading of 0 disables the checks that use it.
type Gauges struct {
	CPU      float64 // share of the cores that was busy over the last half second
	Runnable float64 // number of goroutines or threads that run or wait for a core, without blocked ones
	Memory   float64 // share of the memory limit in use
}

// cpuWindow is the time over which the CPU reading is averaged.
const cpuWindow = time.Second / 2

// Indexes of processGauges.metrics.
const (
	metricMemory = iota
	metricMemoryReleased
	metricGoroutinesRunning
	metricGoroutinesRunnable
)

// processGauges reads the gauges of this process. Only the event loop may use it.
type processGauges struct {
	cores      float64
	memory     uint64     // limit in bytes
	cpuSamples []cpuUsage // oldest first: the latest one that is at least cpuWindow old, and all after it
	metrics    []metrics.Sample
}

// cpuUsage is the CPU time that the process had used at a point in time.
type cpuUsage struct {
	at   time.Time
	used time.Duration
}

func newProcessGauges(cores float64, memory uint64) *processGauges {
	return &processGauges{cores: cores, memory: memory, metrics: []metrics.Sample{
		metricMemory:             {Name: "/memory/classes/total:bytes"},
		metricMemoryReleased:     {Name: "/memory/classes/heap/released:bytes"},
		metricGoroutinesRunning:  {Name: "/sched/goroutines/running:goroutines"},
		metricGoroutinesRunnable: {Name: "/sched/goroutines/runnable:goroutines"},
	}}
}

// read returns the gauges. A reading that is not available is 0, except that Runnable is then the number of runs.
func (p *processGauges) read(running int) Gauges {
	gauges := Gauges{CPU: p.readCPU(), Runnable: float64(running)}
	metrics.Read(p.metrics)
	total, known := p.metric(metricMemory)
	if released, ok := p.metric(metricMemoryReleased); known && ok && p.memory > 0 {
		gauges.Memory = (total - released) / float64(p.memory)
	}
	onCores, known := p.metric(metricGoroutinesRunning)
	if runnable, ok := p.metric(metricGoroutinesRunnable); known && ok {
		gauges.Runnable = max(onCores-1, 0) + runnable // excludes the event loop, which executes this code
	}
	return gauges
}

// readCPU returns the share of the cores that was busy since the latest sample that is at least cpuWindow old, or since
// the first sample if there is none.
func (p *processGauges) readCPU() float64 {
	var usage syscall.Rusage
	now := cpuUsage{at: time.Now()}
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		now.used = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	p.cpuSamples = append(p.cpuSamples, now)
	for len(p.cpuSamples) > 2 && now.at.Sub(p.cpuSamples[1].at) >= cpuWindow {
		p.cpuSamples = p.cpuSamples[1:]
	}
	first := p.cpuSamples[0]
	elapsed := now.at.Sub(first.at)
	if elapsed <= 0 {
		return 0
	}
	return min(float64(now.used-first.used)/float64(elapsed)/p.cores, 1)
}

// metric returns the value of a runtime metric. known reports whether this Go version provides the metric.
func (p *processGauges) metric(index int) (value float64, known bool) {
	if p.metrics[index].Value.Kind() != metrics.KindUint64 {
		return 0, false
	}
	return float64(p.metrics[index].Value.Uint64()), true
}
