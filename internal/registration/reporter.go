// Package registration reports this server's state to the membership service in UDP datagrams.
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

// ReportInterval is the time between reports. The service removes a server three seconds after the last report that it
// received. Twelve reports are sent in that time, and all of them would have to be lost: if a quarter of all datagrams
// are lost, that happens once in 17 million cases.
const ReportInterval = 240 * time.Millisecond

// dialTimeout bounds a dial, which blocks only while it resolves a host name.
const dialTimeout = time.Second

// Reporter sends a server's state in single datagrams, which the service does not answer. Run must be called from one
// goroutine; the other methods are safe for concurrent use.
type Reporter struct {
	name           string
	draining       atomic.Bool
	addressChanged chan struct{}
	log            *slog.Logger

	mu      sync.Mutex
	address string

	// Used by the goroutine in Run only.
	socket        net.Conn // nil until the first successful dial
	dialedAddress string   // address to which socket is connected
}

// New returns a reporter for the server with the given name. address is that of the membership service. The reporter
// dials when it reports, so the service need not be reachable yet.
func New(name, address string, log *slog.Logger) *Reporter {
	return &Reporter{name: name, address: address, addressChanged: make(chan struct{}, 1), log: log}
}

// SetAddress changes the address of the service. The next report is sent there immediately.
func (r *Reporter) SetAddress(address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	select {
	case r.addressChanged <- struct{}{}:
	default:
	}
}

// Run sends a report immediately and then every interval, until ctx ends. It needs its own goroutine, so that a long
// round of the event loop does not delay a report.
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

// SetDraining makes the reports state that the server is draining.
func (r *Reporter) SetDraining() { r.draining.Store(true) }

// report sends one report. The returned error may be caused by the previous report, because a socket returns the error
// of a datagram on the next write.
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
		// This is the error of the previous datagram, and this one was not sent. It is sent again because the service
		// may be back by now and would remove the server without a report.
		_ = r.send() // an error is returned by the next write
	case err != nil: // the socket may be bound to an address that this machine no longer has
		if r.dial(ctx, address) == nil {
			_ = r.send() // an error is returned by the next write
		}
	}
	return err
}

// dial opens a socket to the service. An existing socket to the same address is closed only after the new one is open:
// if no descriptor is available for a new one, the existing one may still work.
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
		_ = r.socket.Close() // no unwritten data can be lost
		r.socket = nil
	}
}

// States of a server in the protocol.
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
