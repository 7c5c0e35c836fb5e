// Package registration reports to the membership service that this server is there.
package registration

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ReportInterval is the time between reports. The service takes a server off its list three seconds after the last
// one, and where a quarter of them are lost, four in a row, as many as 700 ms left time for, go with one run
// of losses in 250: several times a long day over a fleet. Twelve in a row go with one in 17 million.
const ReportInterval = 240 * time.Millisecond

// dialWait bounds a dial, which waits only where the service's host is a name.
const dialWait = time.Second

// Reporter sends a server's state in single datagrams. None is answered.
type Reporter struct {
	name    string
	leaving atomic.Bool
	moved   chan struct{}
	log     *slog.Logger

	mu      sync.Mutex
	service string

	socket net.Conn // Run's own, nil until the service could be dialled
	dialed string   // the address that it leads to
}

// New makes a reporter for a server's name to the service's address. It dials when it reports, so that a service that
// can't be reached yet is waited for.
func New(name, service string, log *slog.Logger) *Reporter {
	return &Reporter{name: name, service: service, moved: make(chan struct{}, 1), log: log}
}

// SetAddress has the reports go to another address of the service, the next one at once.
func (r *Reporter) SetAddress(service string) {
	r.mu.Lock()
	r.service = service
	r.mu.Unlock()
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// Run reports at once and then every period, until the context ends. It has a goroutine of its own, so that
// no long round keeps a report back.
func (r *Reporter) Run(ctx context.Context, period time.Duration) {
	defer func() {
		if r.socket != nil {
			r.socket.Close()
		}
	}()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for failing := false; ; {
		err := r.report(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
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

// SetDraining makes the reports say that the server is on its way out.
func (r *Reporter) SetDraining() { r.leaving.Store(true) }

// report sends one report. The error is that of the way, or what came back of the report before.
func (r *Reporter) report(ctx context.Context) error {
	r.mu.Lock()
	service := r.service
	r.mu.Unlock()
	if r.socket == nil || r.dialed != service {
		if err := r.dial(ctx, service); err != nil {
			return err
		}
	}
	err := r.send()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// The error of a datagram that found no service comes with the next one, which is then not sent. So it
		// is sent again: the service may be back by now, and would take the server off its list without it.
		_ = r.send() // its error comes with the next one
	case err != nil: // the socket may be bound to an address that this machine no longer has
		if r.dial(ctx, service) == nil {
			_ = r.send() // the same
		}
	}
	return err
}

// dial opens a socket to the service. The one before is let go only then, where it leads to the same address: with no
// descriptor left for another, it may still work.
func (r *Reporter) dial(ctx context.Context, service string) error {
	if r.socket != nil && r.dialed != service {
		r.socket.Close()
		r.socket = nil
	}
	dialer := net.Dialer{Timeout: dialWait}
	socket, err := dialer.DialContext(ctx, "udp", service)
	if err != nil {
		return fmt.Errorf("membership service at %s: %w", service, err)
	}
	if r.socket != nil {
		r.socket.Close()
	}
	r.socket, r.dialed = socket, service
	return nil
}

func (r *Reporter) send() error {
	state := "UP"
	if r.leaving.Load() {
		state = "OUT"
	}
	_, err := fmt.Fprintf(r.socket, "HB %s %s", r.name, state)
	return err
}
