package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// HTTPDependency is a dependency that the runs of all servers call over HTTP. Its service time grows when more calls
// are in flight than it has slots, and an abandoned call stays in flight for a while. Its load is measured like that of
// a worker pool.
type HTTPDependency struct {
	Address string

	slots       float64
	serviceTime time.Duration // of a call while slots are free
	linger      time.Duration // time that an abandoned call stays in flight
	started     time.Time
	server      *http.Server

	mu           sync.Mutex
	slowFactor   float64 // multiplies the service time; values up to 1 have no effect
	unresponsive bool    // calls are read but never answered
	inFlight     int
	calls        int
	load         *loadTracker
	capacity     Machine // Cores is the number of calls in flight that it survives, as load allows one run per core
}

const lookupPath = "/lookup"

// NewHTTPDependency starts a dependency on loopback. survives is the number of calls in flight, as a mean over window,
// that it survives. linger is the time that an abandoned call stays in flight.
func NewHTTPDependency(slots float64, serviceTime, linger time.Duration, survives float64, window time.Duration) (*HTTPDependency, error) {
	listener, err := net.Listen("tcp", randomLoopbackAddress())
	if err != nil {
		return nil, fmt.Errorf("HTTP dependency: %w", err)
	}
	d := &HTTPDependency{
		Address: listener.Addr().String(), slots: slots, serviceTime: serviceTime, linger: linger, started: time.Now(),
		load: newLoadTracker(LoadLimit{RunsPerCore: 1, Window: window}), capacity: Machine{Cores: survives, Speed: 1},
	}
	routes := http.NewServeMux()
	routes.HandleFunc(lookupPath, d.serve)
	d.server = &http.Server{Handler: routes, ReadHeaderTimeout: startTimeout}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close closes the listener and all connections.
func (d *HTTPDependency) Close() error { return d.server.Close() }

// SetSlowFactor multiplies the service time of later calls by a factor.
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

// PeakLoad returns the highest load so far, as a fraction of what the dependency survives, and the number of calls read.
func (d *HTTPDependency) PeakLoad() (peak PeakLoad, calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordInFlight(0)
	return d.load.peak, d.calls
}

// recordInFlight records the number of calls in flight up to now, then changes it.
func (d *HTTPDependency) recordInFlight(change int) {
	d.load.advance(time.Since(d.started), d.inFlight, d.capacity)
	d.inFlight += change
}

// begin records the start of a call. It returns the service time of the call, and whether the call is answered at all.
func (d *HTTPDependency) begin() (duration time.Duration, answered bool) {
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
	duration, answered := d.begin()
	defer d.end()
	if !answered {
		duration = 1 << 62
	}
	select {
	case <-r.Context().Done():
		time.Sleep(d.linger)
	case <-time.After(duration):
		_, _ = w.Write(body)
	}
}
