// Package membership reports to the membership service that this server is there.
package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Period is the time between reports. The service takes a server off its list three seconds after the last
// one, and where a quarter of them are lost, four in a row, as many as 700 ms left time for, go with one run
// of losses in 250: several times a long day over a fleet. Twelve in a row go with one in 17 million.
const Period = 240 * time.Millisecond

// Reporter sends a server's state in single datagrams. None is answered.
type Reporter struct {
	name    string
	leaving atomic.Bool
	moved   chan struct{}
	log     *slog.Logger

	mu     sync.Mutex
	socket net.Conn
}

// New makes a reporter for a server's name to the service's address.
func New(name, service string, log *slog.Logger) (*Reporter, error) {
	socket, err := net.Dial("udp", service)
	if err != nil {
		return nil, fmt.Errorf("membership service at %s: %w", service, err)
	}
	return &Reporter{name: name, socket: socket, moved: make(chan struct{}, 1), log: log}, nil
}

// Move has the reports go to another address of the service, the next one at once.
func (r *Reporter) Move(service string) error {
	socket, err := net.Dial("udp", service)
	if err != nil {
		return fmt.Errorf("membership service at %s: %w", service, err)
	}
	r.mu.Lock()
	r.socket.Close()
	r.socket = socket
	r.mu.Unlock()
	select {
	case r.moved <- struct{}{}:
	default:
	}
	return nil
}

// Run reports at once and then every period, until the context ends. It has a goroutine of its own, so that
// no long round keeps a report back.
func (r *Reporter) Run(ctx context.Context, period time.Duration) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.socket.Close()
	}()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for failing := false; ; {
		// The error of a datagram that found no service comes with the next one, which is then not sent. So it
		// is sent again: the service may be back by now, and would take the server off its list without it.
		err := r.report()
		if err != nil {
			_ = r.report() // its error comes with the next one
		}
		if failed := err != nil; failed != failing {
			failing = failed
			r.log.Warn("membership reports", "refused", failing, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.moved:
		case <-ticker.C:
		}
	}
}

// Leave makes the reports say that the server is on its way out.
func (r *Reporter) Leave() { r.leaving.Store(true) }

func (r *Reporter) report() error {
	state := "UP"
	if r.leaving.Load() {
		state = "OUT"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := fmt.Fprintf(r.socket, "HB %s %s", r.name, state)
	return err
}
