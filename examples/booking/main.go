// Command booking is a small HTTP server with a gate in front of its handlers. Start it and send enough requests that
// it sheds some:
//
//	go run ./examples/booking &
//	for i in $(seq 200); do curl -s -o /dev/null -w '%{http_code} %{time_total}\n' localhost:8080/slots & done | sort | uniq -c
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"quartzpoint"
	"quartzpoint/middleware"
)

const (
	memoryMB        = 64
	shutdownTimeout = 2 * time.Second
)

func main() {
	address := flag.String("address", "127.0.0.1:8080", "address to listen on")
	flag.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(*address, log); err != nil {
		log.Error("booking server failed", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then shuts down the gate and after it the server.
func run(address string, log *slog.Logger) error {
	signaled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	gate, err := quartzpoint.New(quartzpoint.Options{
		Cores: 2, MemoryMB: memoryMB, Log: log,
		Routes: []quartzpoint.Route{
			{Name: "GET /slots", LatencyTarget: 500 * time.Millisecond},
			{Name: "POST /bookings", Value: 4, LatencyTarget: 2 * time.Second, Idempotency: quartzpoint.Keyed},
		},
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Join(err, gate.Shutdown(context.Background()))
	}
	server := &http.Server{Handler: newHandler(gate)}
	listener = middleware.Listen(server, listener, middleware.ServerLimits{MemoryMB: memoryMB})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.Info("serving", "address", address)
	select {
	case err = <-served:
	case <-signaled.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Join(err, gate.Shutdown(ctx), server.Shutdown(ctx))
}

// newHandler installs the gate after the mux, so that the pattern of a request is its route.
func newHandler(gate *quartzpoint.Gate) http.Handler {
	mux, admit := http.NewServeMux(), middleware.New(gate, middleware.Options{})
	mux.Handle("GET /slots", admit(work(50*time.Millisecond, "a table for two")))
	mux.Handle("POST /bookings", admit(work(100*time.Millisecond, "booked")))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, "level %.2f %+v\n", gate.ShedLevel(), gate.Counts())
	})
	return mux
}

// work simulates a request that takes some time, such as a query or a payment.
func work(duration time.Duration, answer string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(duration):
			fmt.Fprintln(w, answer)
		case <-r.Context().Done():
		}
	})
}
