package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// HTTPDependency is a dependency that the runs of all servers call over HTTP. It has a number of slots, slows down with more
// calls in flight, and keeps an abandoned call in flight for a while. Its strain is measured as that of a worker pool.
type HTTPDependency struct {
	Address string

	slots       float64
	serviceTime time.Duration // of a call while slots are free
	linger      time.Duration // that an abandoned call stays in flight
	started     time.Time
	server      *http.Server

	mu           sync.Mutex
	slowFactor   float64 // times the usual service time; 0 and 1 are as usual
	unresponsive bool    // calls are read and never answered
	inFlight     int
	calls        int
	strain       *strainGauge
	capacity     Machine // the calls that it survives, as cores with one run each
}

const lookupPath = "/lookup"

// NewHTTPDependency starts a dependency on loopback that survives so many calls in flight, as a mean over window.
func NewHTTPDependency(slots float64, serviceTime, linger time.Duration, survives float64, window time.Duration) (*HTTPDependency, error) {
	listener, err := net.Listen("tcp", randomLoopbackAddress())
	if err != nil {
		return nil, fmt.Errorf("HTTP dependency: %w", err)
	}
	d := &HTTPDependency{
		Address: listener.Addr().String(), slots: slots, serviceTime: serviceTime, linger: linger, started: time.Now(),
		strain: newStrainGauge(LoadLimit{RunsPerCore: 1, Window: window}), capacity: Machine{Cores: survives, Speed: 1},
	}
	routes := http.NewServeMux()
	routes.HandleFunc(lookupPath, d.serve)
	d.server = &http.Server{Handler: routes, ReadHeaderTimeout: startTimeout}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends the dependency with all calls.
func (d *HTTPDependency) Close() error { return d.server.Close() }

// SetSlowFactor multiplies the service time of later calls.
func (d *HTTPDependency) SetSlowFactor(factor float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowFactor = factor
}

// SetUnresponsive stops or resumes answers. Calls that were read while it was unresponsive are never answered.
func (d *HTTPDependency) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

// PeakLoad returns the highest load so far, as a share of what the dependency survives, and the number of calls read.
func (d *HTTPDependency) PeakLoad() (strain PeakLoad, calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(0)
	return d.strain.max, d.calls
}

// recordInFlight records the calls in flight up to now, then changes their number.
func (d *HTTPDependency) recordInFlight(change int) {
	d.strain.advance(time.Since(d.started), d.inFlight, d.capacity)
	d.inFlight += change
}

// begin records the start of a call. The call takes so long; where answers is false it is never answered.
func (d *HTTPDependency) begin() (takes time.Duration, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(1)
	d.calls++
	factor := max(1, float64(d.inFlight)/d.slots) * max(1, d.slowFactor)
	return time.Duration(factor * float64(d.serviceTime)), !d.unresponsive
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
