// Package membership reports to the membership service that this server is there.
package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// Period is the time between reports. The service takes a server off its list three seconds after the last
// one, so two may be lost, and a third be late, before routers hear of it.
const Period = 700 * time.Millisecond

// Reporter sends a server's state in single datagrams. None is answered.
type Reporter struct {
	name    string
	socket  net.Conn
	leaving atomic.Bool
	log     *slog.Logger
}

// New makes a reporter for a server's name to the service's address.
func New(name, service string, log *slog.Logger) (*Reporter, error) {
	socket, err := net.Dial("udp", service)
	if err != nil {
		return nil, fmt.Errorf("membership service at %s: %w", service, err)
	}
	return &Reporter{name: name, socket: socket, log: log}, nil
}

// Run reports at once and then every period, until the context ends. It has a goroutine of its own, so that
// no long round keeps a report back.
func (r *Reporter) Run(ctx context.Context, period time.Duration) {
	defer r.socket.Close()
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
	_, err := fmt.Fprintf(r.socket, "HB %s %s", r.name, state)
	return err
}
