// Command booking is a small server behind a gate. Start it, and watch it shed:
//
//	go run ./examples/booking &
//	for i in $(seq 200); do curl -s -o /dev/null -w '%{http_code} %{time_total}\n' localhost:8080/slots & done | sort | uniq -c
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"quartzpoint"
	"quartzpoint/middleware"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	gate, err := quartzpoint.New(quartzpoint.Options{
		Cores: 2, Log: log,
		Routes: []quartzpoint.Route{
			{Name: "GET /slots", LatencyTarget: 500 * time.Millisecond},
			{Name: "POST /bookings", Value: 4, LatencyTarget: 2 * time.Second, Idempotency: quartzpoint.Keyed},
		},
	})
	if err != nil {
		log.Error("gate", "error", err)
		os.Exit(1)
	}
	tables := http.NewServeMux()
	work := func(took time.Duration, words string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			select {
			case <-time.After(took): // a table map, a deposit
				fmt.Fprintln(w, words)
			case <-q.Context().Done():
			}
		})
	}
	// The gate stands behind the mux, so that a request's pattern is its traffic type.
	through := middleware.New(gate, middleware.Options{})
	tables.Handle("GET /slots", through(work(50*time.Millisecond, "a table for two")))
	tables.Handle("POST /bookings", through(work(100*time.Millisecond, "booked")))
	tables.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, "level %.2f %+v\n", gate.ShedLevel(), gate.Counts())
	})
	server := &http.Server{Addr: "127.0.0.1:8080", Handler: tables, ReadHeaderTimeout: 5 * time.Second}
	notice, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-notice.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = gate.Shutdown(ctx) // answers all that was taken
		_ = server.Shutdown(ctx)
	}()
	log.Info("serving", "address", server.Addr)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Error("serving", "error", err)
		os.Exit(1)
	}
	<-notice.Done()
}
