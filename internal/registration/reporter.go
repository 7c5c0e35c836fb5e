// Package registration reports this server's state to the membership service, in datagrams.
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

// ReportInterval is the time between reports. The service removes a server three seconds after its last report, which leaves
// room for twelve: where a quarter of all datagrams are lost, twelve in a row are lost once in 17 million times.
const ReportInterval = 240 * time.Millisecond

// dialTimeout bounds a dial, which blocks only where the service's host is a name.
const dialTimeout = time.Second

// Reporter sends a server's state in single datagrams. None is answered. Run is for one goroutine; all else is safe for any.
type Reporter struct {
	name           string
	draining       atomic.Bool
	addressChanged chan struct{}
	log            *slog.Logger

	mu      sync.Mutex
	address string

	// Of the goroutine in Run.
	socket        net.Conn // nil until the service could be dialled
	dialedAddress string   // of socket
}

// New makes a reporter of a server's name to the service's address. It dials when it reports, so the service need not be
// reachable yet.
func New(name, address string, log *slog.Logger) *Reporter {
	return &Reporter{name: name, address: address, addressChanged: make(chan struct{}, 1), log: log}
}

// SetAddress has the reports go to another address of the service, the next one at once.
func (r *Reporter) SetAddress(address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	select {
	case r.addressChanged <- struct{}{}:
	default:
	}
}

// Run reports at once and then every interval, until ctx ends. It needs a goroutine of its own, so that no long round of the
// event loop delays a report.
func (r *Reporter) Run(ctx context.Context, interval time.Duration) {
	defer r.closeSocket()
	ticker := time.NewTicker(interval)
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
		case <-r.addressChanged:
		case <-ticker.C:
		}
	}
}

// SetDraining has the reports say that the server is draining.
func (r *Reporter) SetDraining() { r.draining.Store(true) }

// report sends one report. The error may be that of the report before: it comes back with the next one.
func (r *Reporter) report(ctx context.Context) error {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	if r.socket == nil || r.dialedAddress != address {
		if err := r.dial(ctx, address); err != nil {
			return err
		}
	}
	err := r.send()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// The error of a datagram that found no service comes with the next one, which is then not sent. So it is sent again:
		// the service may be back by now, and would remove the server without it.
		_ = r.send() // its error comes with the next one
	case err != nil: // the socket may be bound to an address that this machine no longer has
		if r.dial(ctx, address) == nil {
			_ = r.send() // its error comes with the next one
		}
	}
	return err
}

// dial opens a socket to the service. One to the same address is closed only then: where there is no descriptor for another,
// it may still work.
func (r *Reporter) dial(ctx context.Context, address string) error {
	if r.dialedAddress != address {
		r.closeSocket()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "udp", address)
	if err != nil {
		return fmt.Errorf("membership service at %s: %w", address, err)
	}
	r.closeSocket()
	r.socket, r.dialedAddress = socket, address
	return nil
}

func (r *Reporter) closeSocket() {
	if r.socket != nil {
		_ = r.socket.Close() // nothing waits to be written
		r.socket = nil
	}
}

// The words of the protocol for a server's state.
const (
	stateServing  = "UP"
	stateDraining = "OUT"
)

func (r *Reporter) send() error {
	state := stateServing
	if r.draining.Load() {
		state = stateDraining
	}
	_, err := fmt.Fprintf(r.socket, "HB %s %s", r.name, state)
	return err
}
