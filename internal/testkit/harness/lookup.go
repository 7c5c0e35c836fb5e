package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// HTTPDependency is the one dependency that the runs of all servers call, over HTTP. It has a number of slots, slows down when more
// calls are in its hands, and keeps an abandoned call for a while. What it had to bear is followed as for a worker pool.
type HTTPDependency struct {
	Address string

	slots       float64
	serviceTime time.Duration // by a call while slots are free
	linger      time.Duration // of an abandoned call
	started     time.Time
	server      *http.Server

	mu           sync.Mutex
	slowFactor   float64 // times as slow as usual; 0 and 1 are as usual
	unresponsive bool    // calls are read and not answered
	inFlight     int
	calls        int
	strain       *strainGauge
	capacity     Machine // its survived mean as cores of a machine with one run each
}

const lookupPath = "/lookup"

// NewHTTPDependency starts a dependency that survives so many calls in hand in the mean of a span.
func NewHTTPDependency(slots float64, took, linger time.Duration, survives float64, over time.Duration) (*HTTPDependency, error) {
	listener, err := net.Listen("tcp", randomLoopbackAddress())
	if err != nil {
		return nil, fmt.Errorf("lookups: %w", err)
	}
	d := &HTTPDependency{
		Address: listener.Addr().String(), slots: slots, serviceTime: took, linger: linger, started: time.Now(),
		strain: newStrainGauge(Endurance{RunsPerCore: 1, Window: over}), capacity: Machine{Cores: survives, Speed: 1},
	}
	routes := http.NewServeMux()
	routes.HandleFunc(lookupPath, d.serve)
	d.server = &http.Server{Handler: routes, ReadHeaderTimeout: startTimeout}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends it with all calls.
func (d *HTTPDependency) Close() error { return d.server.Close() }

// SetSlowFactor has it take so many times as long from here on.
func (d *HTTPDependency) SetSlowFactor(times float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowFactor = times
}

// SetUnresponsive has it read calls and answer none, or answer again. Calls that came while it was shut are never answered.
func (d *HTTPDependency) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

// Strain is the most that it had to bear, as a part of what it survives, and the number of calls.
func (d *HTTPDependency) Strain() (strain Strain, calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(0)
	return d.strain.max, d.calls
}

// recordInFlight books the calls in hand up to now, and changes their number.
func (d *HTTPDependency) recordInFlight(change int) {
	d.strain.advance(time.Since(d.started), d.inFlight, d.capacity)
	d.inFlight += change
}

// begin takes a call and says how long it takes; answers is false where it never is answered.
func (d *HTTPDependency) begin() (takes time.Duration, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(1)
	d.calls++
	crowd := max(1, float64(d.inFlight)/d.slots) * max(1, d.slowFactor)
	return time.Duration(crowd * float64(d.serviceTime)), !d.unresponsive
}

func (d *HTTPDependency) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(-1)
}

func (d *HTTPDependency) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	takes, answers := d.begin()
	defer d.end()
	if !answers {
		takes = 1 << 62
	}
	select {
	case <-r.Context().Done():
		time.Sleep(d.linger)
	case <-time.After(takes):
		_, _ = w.Write(body)
	}
}
