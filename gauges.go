package quartzpoint

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// Gauges are readings of what requests run on. A guard whose reading is 0 is off.
type Gauges struct {
	CPU      float64 // busy share of the cores over the last half second
	Runnable float64 // all that wants a core now; what waits for something else does not count
	Memory   float64 // share in use
}

// cpuWindow is the time over which the CPU reading is a mean.
const cpuWindow = time.Second / 2

// The metrics of the Go runtime that are read, by index.
const (
	metricMemory = iota
	metricMemoryReleased
	metricGoroutinesRunning
	metricGoroutinesRunnable
)

// processGauges reads the gauges of this process. It is for the event loop alone.
type processGauges struct {
	cores      float64
	memory     uint64     // limit in bytes
	cpuSamples []cpuUsage // those of cpuWindow
	metrics    []metrics.Sample
}

// cpuUsage is the CPU time that the process had used at a moment.
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

// read reads the gauges. What can't be read is 0, and the runs where it is the goroutines.
func (p *processGauges) read(running int) Gauges {
	gauges := Gauges{CPU: p.readCPU(), Runnable: float64(running)}
	metrics.Read(p.metrics)
	total, known := p.metric(metricMemory)
	if released, ok := p.metric(metricMemoryReleased); known && ok && p.memory > 0 {
		gauges.Memory = (total - released) / float64(p.memory)
	}
	onCores, known := p.metric(metricGoroutinesRunning)
	if runnable, ok := p.metric(metricGoroutinesRunnable); known && ok {
		gauges.Runnable = max(onCores-1, 0) + runnable // without the event loop, which reads this
	}
	return gauges
}

// readCPU is the busy share of the cores since the latest sample that is at least cpuWindow old, or else the first.
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

// metric is the value of a runtime metric, if the runtime has it.
func (p *processGauges) metric(index int) (value float64, known bool) {
	if p.metrics[index].Value.Kind() != metrics.KindUint64 {
		return 0, false
	}
	return float64(p.metrics[index].Value.Uint64()), true
}
