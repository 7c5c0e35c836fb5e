//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// store is a dependency that works on each call for a time, whether or not its caller still waits. It books how many
// calls it holds.
type store struct {
	listener net.Listener
	survives float64 // calls in its hands, in the mean of 5 s

	mu      sync.Mutex
	takes   time.Duration
	held    int
	most    int
	since   time.Time
	history []holding
	conns   map[net.Conn]bool
	died    bool
}

type holding struct {
	at   time.Time
	held int
}

func newStore(survives float64, takes time.Duration) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &store{listener: listener, survives: survives, takes: takes, since: time.Now(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *store) change(by int) {
	d.held += by
	d.most = max(d.most, d.held)
	d.history = append(d.history, holding{time.Now(), d.held})
}

func (d *store) serve(conn net.Conn) {
	defer conn.Close()
	d.mu.Lock()
	d.conns[conn] = true
	d.mu.Unlock()
	var mu sync.Mutex
	in := bufio.NewReader(conn)
	for {
		f, err := readFrame(in)
		if err != nil {
			return
		}
		if f.kind != frameRequest {
			continue
		}
		d.mu.Lock()
		d.change(1)
		takes := d.takes
		d.mu.Unlock()
		time.AfterFunc(takes, func() {
			d.mu.Lock()
			d.change(-1)
			d.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			_, _ = conn.Write(encodeAnswer(f.stream, codeServed, []byte("map")))
		})
	}
}

// watch lets the dependency die once it had more calls in its hands than it survives, in the mean of 5 s.
func (d *store) watch(rec *record) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		if mean := d.highestMean(5 * time.Second); mean > d.survives {
			rec.printf("the dependency dies: %.2f calls in its hands in the mean of 5 s, %g is what it survives", mean, d.survives)
			_ = d.listener.Close()
			d.mu.Lock()
			d.died = true
			for conn := range d.conns {
				_ = conn.Close()
			}
			d.mu.Unlock()
			return
		}
	}
}

// highestMean returns the highest mean of the calls held, over windows of a length.
func (d *store) highestMean(window time.Duration) (highest float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := append(append([]holding{{d.since, 0}}, d.history...), holding{time.Now(), d.held})
	for end := h[0].at.Add(window); end.Before(h[len(h)-1].at); end = end.Add(50 * time.Millisecond) {
		area, from := 0.0, end.Add(-window)
		for i := 0; i+1 < len(h); i++ {
			a, b := h[i].at, h[i+1].at
			if a.Before(from) {
				a = from
			}
			if b.After(end) {
				b = end
			}
			if b.After(a) {
				area += b.Sub(a).Seconds() * float64(h[i].held)
			}
		}
		highest = max(highest, area/window.Seconds())
	}
	return highest
}

// slowStore slows a dependency down for a while.
func slowStore(s *scene) (bool, error) {
	const (
		share  = 4
		usual  = 600 * time.Millisecond
		factor = 7.9
	)
	d, err := newStore(share, usual)
	if err != nil {
		return false, err
	}
	memberAddress, stop, err := members()
	if err != nil {
		return false, err
	}
	defer stop()
	workers, err := newPool(s.rec, func(string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return false, err
	}
	listen := freeAddress()
	services := []service{{"name": "look", "goal-time": 4000000, "deadline": 4000000, "gain": 1.0, "idempotency": "retryable", "late-value": 0.0}}
	config, err := platformConfig(s.dir, "n1", listen, workers.address, memberAddress, services, nil, nil)
	if err != nil {
		return false, err
	}
	own := filepath.Join(s.dir, "own.toml")
	if err := os.WriteFile(own, []byte(fmt.Sprintf(`
[dependencies.tables]
address = %q
share = %d
linger = "5s"
[[types.look.calls]]
name = "table-map"
dependency = "tables"
needed = true
expected = "600ms"
effect = "numbered"
`, d.listener.Addr().String(), share)), 0o600); err != nil {
		return false, err
	}
	server, err := startServer(s.dir, "n1", config, own, listen)
	if err != nil {
		return false, err
	}
	defer server.kill()
	time.Sleep(500 * time.Millisecond)
	r, err := dialRouter(listen)
	if err != nil {
		return false, err
	}
	go d.watch(s.rec)
	began := time.Now()
	codes := map[string]int{}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for i := 0; time.Since(began) < 45*time.Second; i++ {
		if i == 0 {
			s.rec.printf("the dependency survives %d calls of this server and works on one for %v", share, usual)
		}
		if s.trouble && i == 75 {
			d.mu.Lock()
			d.takes = time.Duration(factor * float64(usual))
			d.mu.Unlock()
			s.rec.printf("it works on one for %v from now on, for 18 s", time.Duration(factor*float64(usual)))
		}
		if s.trouble && i == 75+90 {
			d.mu.Lock()
			d.takes = usual
			d.mu.Unlock()
			s.rec.printf("as usual again")
		}
		got := r.send("look", fmt.Sprintf("%016x", 0x3000+i), 4*time.Second, nil, []byte(fmt.Sprint("table ", i)))
		asked.Go(func() {
			a := <-got
			mu.Lock()
			defer mu.Unlock()
			codes[fmt.Sprint("code ", a.code)]++
		})
		time.Sleep(200 * time.Millisecond)
		if i%10 == 0 {
			d.mu.Lock()
			s.rec.printf("%d calls in the dependency's hands, %d at most so far", d.held, d.most)
			d.mu.Unlock()
		}
	}
	asked.Wait()
	mean := d.highestMean(5 * time.Second)
	s.rec.printf("at most %d calls in its hands, %.2f in the mean of the worst 5 s; answers: %v", d.most, mean, codes)
	s.rec.printf("log of the app server:\n%s", tail(server.log, 20))
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.died && mean <= share, nil
}
