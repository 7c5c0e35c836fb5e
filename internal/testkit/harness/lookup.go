package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Lookups is the one dependency that the runs of all servers call, over HTTP. It has a number of slots, slows down when more
// calls are in its hands, and keeps an abandoned call for a while. What it had to bear is followed as for a worker pool.
type Lookups struct {
	Address string

	slots  float64
	took   time.Duration // by a call while slots are free
	linger time.Duration // of an abandoned call
	began  time.Time
	server *http.Server

	mu     sync.Mutex
	slow   float64 // times as slow as usual; 0 and 1 are as usual
	shut   bool    // calls are read and not answered
	inHand int
	calls  int
	load   *strainGauge
	most   Machine // its survived mean as cores of a machine with one run each
}

const lookupsPath = "/lookup"

// NewLookups starts a dependency that survives so many calls in hand in the mean of a span.
func NewLookups(slots float64, took, linger time.Duration, survives float64, over time.Duration) (*Lookups, error) {
	listener, err := net.Listen("tcp", host())
	if err != nil {
		return nil, fmt.Errorf("lookups: %w", err)
	}
	d := &Lookups{
		Address: listener.Addr().String(), slots: slots, took: took, linger: linger, began: time.Now(),
		load: newStrainGauge(Endurance{RunsPerCore: 1, Over: over}), most: Machine{Cores: survives, Speed: 1},
	}
	routes := http.NewServeMux()
	routes.HandleFunc(lookupsPath, d.serve)
	d.server = &http.Server{Handler: routes, ReadHeaderTimeout: startWait}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends it with all calls.
func (d *Lookups) Close() error { return d.server.Close() }

// Slow has it take so many times as long from here on.
func (d *Lookups) Slow(times float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = times
}

// Shut has it read calls and answer none, or answer again. Calls that came while it was shut are never answered.
func (d *Lookups) Shut(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = on
}

// Strain is the most that it had to bear, as a part of what it survives, and the number of calls.
func (d *Lookups) Strain() (strain Strain, calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pass(0)
	return d.load.worst, d.calls
}

// pass books the calls in hand up to now, and changes their number.
func (d *Lookups) pass(change int) {
	d.load.pass(time.Since(d.began), d.inHand, d.most)
	d.inHand += change
}

// begin takes a call and says how long it takes; answers is false where it never is answered.
func (d *Lookups) begin() (takes time.Duration, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pass(1)
	d.calls++
	crowd := max(1, float64(d.inHand)/d.slots) * max(1, d.slow)
	return time.Duration(crowd * float64(d.took)), !d.shut
}

func (d *Lookups) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pass(-1)
}

func (d *Lookups) serve(w http.ResponseWriter, r *http.Request) {
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
