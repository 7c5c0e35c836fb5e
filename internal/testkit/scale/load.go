package scale

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"quartzpoint/internal/testkit/harness"
)

const (
	statusServed   = 20 // status code of a served request
	checkFrame     = 20 // frame type of a health check
	networkTimeout = 5 * time.Second
)

// quantile returns the quantile p of values in any order.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(p, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}

func asMilliseconds(spans []time.Duration) []float64 {
	all := make([]float64, len(spans))
	for i, span := range spans {
		all[i] = milliseconds(span)
	}
	return all
}

// healthCheckers are connections that send health checks to a server.
type healthCheckers struct {
	address string
	conns   []net.Conn
}

// grow opens connections until there are count of them.
func (c *healthCheckers) grow(count int) error {
	for len(c.conns) < count {
		conn, err := net.DialTimeout("tcp", c.address, networkTimeout)
		if err != nil {
			return fmt.Errorf("connection %d: %w", len(c.conns), err)
		}
		c.conns = append(c.conns, conn)
	}
	return nil
}

func (c *healthCheckers) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// startChecks sends health checks at a rate per second, round robin over the connections, until stop is called.
func (c *healthCheckers) startChecks(rate float64) (stop func()) {
	quit := make(chan struct{})
	var running sync.WaitGroup
	for _, conn := range c.conns {
		running.Go(func() {
			_ = conn.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, conn) // discards answers until stop sets the read deadline
		})
	}
	if rate > 0 {
		running.Go(func() {
			frame := harness.Frame(checkFrame, 1, "")
			interval := time.Duration(float64(time.Second) / rate)
			for next, i := time.Now(), 0; ; i++ {
				select {
				case <-quit:
					return
				case <-time.After(time.Until(next)):
				}
				_, _ = c.conns[i%len(c.conns)].Write(frame)
				next = next.Add(interval)
			}
		})
	}
	return func() {
		close(quit)
		for _, conn := range c.conns {
			_ = conn.SetReadDeadline(time.Now())
		}
		running.Wait()
	}
}

// timeChecks sends health checks at an interval during a span and returns their round-trip times in milliseconds. The
// function during runs at the same time, from a quarter of the span on; it may be nil.
func timeChecks(address string, interval, span time.Duration, during func()) ([]float64, error) {
	conn, err := net.DialTimeout("tcp", address, networkTimeout)
	if err != nil {
		return nil, fmt.Errorf("health check: %w", err)
	}
	defer func() { _ = conn.Close() }()
	var running sync.WaitGroup
	defer running.Wait()
	if during != nil {
		running.Go(func() {
			time.Sleep(span / 4)
			during()
		})
	}
	in, frame := bufio.NewReader(conn), harness.Frame(checkFrame, 1, "")
	var latencies []float64
	for began := time.Now(); time.Since(began) < span; {
		sent := time.Now()
		_ = conn.SetDeadline(sent.Add(networkTimeout))
		if _, err := conn.Write(frame); err != nil {
			return latencies, fmt.Errorf("health check: %w", err)
		}
		if _, err := harness.ReadReply(in); err != nil {
			return latencies, fmt.Errorf("health check: %w", err)
		}
		latencies = append(latencies, milliseconds(time.Since(sent)))
		time.Sleep(time.Until(sent.Add(interval)))
	}
	return latencies, nil
}

// steadyLoad returns requests at a rate, each with the same work and with a small random offset in time, for some of
// the retryable routes.
func steadyLoad(rate float64, span time.Duration, routeCount int, seed int64) (load []harness.Arrival, routes []harness.Route) {
	for i := 0; i < routeCount && len(routes) < loadedRoutes; i += routeStride {
		routes = append(routes, harness.Route{
			Name: RouteName(i), LatencyTarget: 900 * time.Millisecond, Deadline: 3 * time.Second, Value: 1,
		})
	}
	rng := rand.New(rand.NewSource(seed))
	for i := range int(rate * span.Seconds()) {
		at := (float64(i) + rng.Float64()) / rate
		load = append(load, harness.Arrival{
			At: time.Duration(at * float64(time.Second)), Route: i % len(routes), Work: directWork, Rank: 0.5,
		})
	}
	return load, routes
}

// runDirect starts workers, sends a load directly to them, and returns the latency of each request.
func runDirect(load []harness.Arrival) ([]time.Duration, error) {
	workers, err := harness.NewWorkers(harness.Machine{Cores: machineCores, Speed: 1, MemoryKB: 4e6})
	if err != nil {
		return nil, err
	}
	defer workers.Close()
	link, err := net.DialTimeout("tcp", workers.Address, networkTimeout)
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	defer func() { _ = link.Close() }()
	sent := make([]time.Time, len(load))
	latencies := make([]time.Duration, 0, len(load))
	readDone := make(chan error, 1)
	var mu sync.Mutex
	go func() {
		in := bufio.NewScanner(link)
		for len(latencies) < len(load) && in.Scan() {
			var message struct {
				Verb string `json:"verb"`
				Task string `json:"task"`
			}
			if json.Unmarshal(in.Bytes(), &message) != nil || message.Verb != "finished" {
				continue
			}
			var index int
			if _, err := fmt.Sscanf(message.Task, "direct-%d", &index); err != nil {
				continue
			}
			mu.Lock()
			latencies = append(latencies, time.Since(sent[index]))
			mu.Unlock()
		}
		readDone <- in.Err()
	}()
	if _, err := io.WriteString(link, `{"verb":"bind","index":0}`+"\n"); err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	began := time.Now()
	for i, arrival := range load {
		time.Sleep(time.Until(began.Add(arrival.At)))
		body := binary.BigEndian.AppendUint64(nil, uint64(arrival.Work.Microseconds()))
		line, err := json.Marshal(map[string]any{"verb": "spawn", "task": fmt.Sprintf("direct-%d", i), "bytes": body})
		if err != nil {
			return nil, fmt.Errorf("workers: %w", err)
		}
		mu.Lock()
		sent[i] = time.Now()
		mu.Unlock()
		if _, err := link.Write(append(line, '\n')); err != nil {
			return nil, fmt.Errorf("workers: %w", err)
		}
	}
	select {
	case err := <-readDone:
		return latencies, err
	case <-time.After(networkTimeout):
		return nil, errors.New("workers: not all requests finished in time")
	}
}
