package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzpoint/emulator"
	"quartzpoint/internal/testkit/harness"
)

// loadCommand sends a load to a server and prints the outcomes and latencies.
type loadCommand struct {
	To      string `arg:"" help:"The server: host:port to send frames, or an http URL on this machine."`
	Drill   string `help:"The drill file whose load to send, scaled to one server."`
	Capture string `help:"A capture to replay, with one JSON object per line: at, type, work (times as \"15ms\")."`
	Save    string `placeholder:"FILE" help:"Write the load to this file as a capture."`
	Seed    int64  `default:"1" help:"Seed of the load."`
}

// capturedRequest is one line of a capture.
type capturedRequest struct {
	At   string  `json:"at"`
	Type string  `json:"type"`
	Work string  `json:"work"`
	Rank float64 `json:"rank"`
}

// Run sends every request at its scheduled time, whether or not earlier ones are answered, and measures each latency
// from that time. A client that waits for an answer before it sends the next request would leave out exactly the
// requests that would have waited.
func (cmd *loadCommand) Run() error {
	routes := emulator.BranchRoutes()
	var load []harness.Arrival
	switch {
	case cmd.Capture != "":
		var err error
		if load, err = readCapture(cmd.Capture, routes, cmd.Seed); err != nil {
			return err
		}
	case cmd.Drill != "":
		d, err := readDrill(cmd.Drill)
		if err != nil {
			return err
		}
		d.Fleet.Servers, routes = 1, d.Fleet.Routes
		load = d.Arrivals(cmd.Seed)
	default:
		return errors.New("want --drill or --capture")
	}
	if cmd.Save != "" {
		if err := saveCapture(cmd.Save, routes, load); err != nil {
			return err
		}
	}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	if !strings.HasPrefix(cmd.To, "http") {
		r, err := harness.Run(cmd.To, routes, load, 1)
		if err != nil {
			return err
		}
		for _, t := range r.Latencies {
			_ = latencies.RecordValue(min(max(t.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
		}
		shares := measuredShares(r)
		fmt.Printf("%d requests: served %.3f of the value, rejected %.3f, aborted %.3f, unanswered %d, answered twice %d, late %d\n",
			r.Requests, shares.goodput, shares.rejected, shares.aborted, r.Unanswered, r.DuplicateAnswers, r.LateAnswers)
	} else if err := sendHTTP(cmd.To, routes, load, latencies); err != nil {
		return err
	}
	fmt.Printf("latencies of served requests from their scheduled times, ms: p50 %.1f, p90 %.1f, p99 %.1f, p99.9 %.1f, max %.1f\n",
		float64(latencies.ValueAtQuantile(50))/1e3, float64(latencies.ValueAtQuantile(90))/1e3, float64(latencies.ValueAtQuantile(99))/1e3,
		float64(latencies.ValueAtQuantile(99.9))/1e3, float64(latencies.Max())/1e3)
	return nil
}

// sendHTTP posts each request with its route in the header X-Type and its work, in nanoseconds, in X-Works. It records
// the latencies of the served requests in microseconds.
func sendHTTP(url string, routes []harness.Route, load []harness.Arrival, latencies *hdrhistogram.Histogram) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	codes := map[int]int{}
	var mu sync.Mutex
	var pending sync.WaitGroup
	start := time.Now()
	goodput, offered := 0.0, 0.0
	for n := range load {
		a := &load[n]
		scheduledAt := start.Add(a.At)
		time.Sleep(time.Until(scheduledAt))
		route := routes[a.Route]
		offered += route.Value
		pending.Add(1)
		go func() {
			defer pending.Done()
			code := 0
			request, err := http.NewRequest(http.MethodPost, url, nil)
			if err == nil {
				request.Header.Set("X-Type", route.Name)
				request.Header.Set("X-Works", strconv.FormatInt(int64(a.Work), 10))
				var response *http.Response
				if response, err = client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body) // only the status is evaluated
					_ = response.Body.Close()
					code = response.StatusCode
				}
			}
			latency := time.Since(scheduledAt)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			if code == http.StatusOK {
				_ = latencies.RecordValue(min(max(latency.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
				if latency <= route.LatencyTarget {
					goodput += route.Value
				}
			}
		}()
	}
	pending.Wait()
	fmt.Printf("%d requests: served %.3f of the value, by status %v (0: no response)\n", len(load), goodput/max(offered, 1e-9), codes)
	return nil
}

// readCapture reads a capture whose types are routes. Requests without a rank get a random one.
func readCapture(path string, routes []harness.Route, seed int64) (load []harness.Arrival, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	rng := rand.New(rand.NewSource(seed))
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		var c capturedRequest
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return nil, fmt.Errorf("capture %s line %d: %w", path, number, err)
		}
		a := harness.Arrival{Route: -1, Rank: c.Rank}
		for i, t := range routes {
			if t.Name == c.Type {
				a.Route = i
			}
		}
		var errAt, errWork error
		a.At, errAt = time.ParseDuration(c.At)
		a.Work, errWork = time.ParseDuration(c.Work)
		if err := errors.Join(errAt, errWork); err != nil {
			return nil, fmt.Errorf("capture %s line %d: want durations in at and work: %w", path, number, err)
		}
		if a.Route < 0 || a.At < 0 {
			return nil, fmt.Errorf("capture %s line %d: want a route of the branch mix as type and 0 or more as at, got type %q, at %s", path, number, c.Type, c.At)
		}
		if a.Rank == 0 {
			a.Rank = rng.Float64()
		}
		load = append(load, a)
	}
	return load, lines.Err()
}

func saveCapture(path string, routes []harness.Route, load []harness.Arrival) error {
	var text strings.Builder
	for _, a := range load {
		raw, err := json.Marshal(capturedRequest{a.At.String(), routes[a.Route].Name, a.Work.String(), a.Rank})
		if err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		text.Write(append(raw, '\n'))
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
