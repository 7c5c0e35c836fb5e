//go:build review

package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"regexp"
	"sync"
	"time"
)

func init() { cases["keyed"] = keyedCase }

// The figures of accra-heat-control for its route setpoint-change, whose calls are left out here.
const (
	changeWindow   = 21066 * time.Millisecond
	changeDeadline = 7 * time.Second

	changes      = 24
	changeEvery  = 125 * time.Millisecond
	repeatBefore = 200 * time.Millisecond // a repeat is written this long before the end of its window
	openedBefore = 5 * time.Second        // its connection is opened this long before that
	partition    = 6 * time.Second
	cutBefore    = 1500 * time.Millisecond // the partition begins this long before the first repeat
)

const siteSettings = `{
 "extra": {"advert": "none", "below": "none", "calls-by-class": [false, false], "class-skip-worth": [0.0, 0.0],
  "cold": false, "cores": 2, "deep-checks": false, "fresh": 0, "gauges": ["core_use", "on_cores", "heap_share", "links"],
  "halt": "suspend", "idle": 30000000, "key-kb": 40.0, "passes-deadline": false, "ram-kb": 64000.0, "run-factor": 16.0,
  "tells-gone": false},
 "limits": {"max-retry-after": 1000000, "retry-after": true},
 "obligations": {"cold-share": 0.23, "fall": 2000000, "grace-to-answer": 100000, "overload-factor": 6.0,
  "stop-sending-within": 2000000, "warm-up": 15000000},
 "servers": 12,
 "services": [
  {"name": "status-read", "goal-time": 2800000, "deadline": 7000000, "gain": 1.0, "idempotency": "retryable", "late-value": 0.2},
  {"name": "setpoint-change", "goal-time": 1900000, "deadline": 7000000, "gain": 3.0, "idempotency": "dedup", "dedup-window": 21066000, "late-value": 0.2}],
 "tenants": [], "value-by": "work"}`

func (w *world) platformFile(name, listen, pool, members, settings string) string {
	return w.write(name+".json", fmt.Sprintf(`{"name": %q, "listen": %q, "pool": %q, "members": %q, "seed": "%016x",
 "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": %s}`, name, listen, pool, members, rand.Uint64(), settings))
}

// change is one numbered request with its repeat.
type change struct {
	number        int
	key           string
	first, repeat string    // ids of the two tries
	arrived       time.Time // recv of the first try
	again         time.Time // recv of the repeat
	written       time.Time // when the last byte of the repeat was written
	answers       [2]answer
}

// keyedCase sends numbered requests, and each once more within its window. With the disruption the routers are
// partitioned from the server while they write the repeats.
func keyedCase(w *world) (broken bool) {
	p := w.startPool(60 * time.Millisecond)
	listen := freeAddress()
	config := w.platformFile("n1", listen, p.address, w.startMembership(), siteSettings)
	server := w.start("n1", os.Getenv("RUN"), "EDGE_CONFIG="+config, "EDGE_NAME=n1", "EDGE_LISTEN="+listen)
	waitFor("the first good health check", 30*time.Second, func() bool { return healthy(listen) })
	network := newNetwork(listen)

	if w.trouble {
		cutAt := time.Now().Add(changeWindow - repeatBefore - cutBefore)
		time.AfterFunc(time.Until(cutAt), func() {
			w.note("network: the routers are partitioned from n1")
			network.cut()
			time.AfterFunc(partition, func() {
				w.note("network: the partition has healed")
				network.heal()
			})
		})
	}
	all := make([]change, changes)
	var done sync.WaitGroup
	for i := range all {
		c := &all[i]
		*c = change{number: i, key: fmt.Sprintf("change-%04d", i), first: fmt.Sprintf("a1%014x", i), repeat: fmt.Sprintf("b2%014x", i)}
		done.Go(func() { w.sendChange(network.address, c) })
		time.Sleep(changeEvery)
	}
	done.Wait()
	if !server.running() {
		w.verdict("the server ended")
		return true
	}
	w.keepLog(server, regexp.MustCompile(`check failed|level=ERROR|connection`))
	return w.judgeChanges(p, all)
}

// sendChange sends one request, and its repeat on a connection that was opened, and used, some seconds before.
func (w *world) sendChange(address string, c *change) {
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		must(err)
		return conn
	}
	request := func(stream uint32, route, body, id string, at time.Time, more ...string) []byte {
		return frame(10, stream, body, append([]string{"op", route, "call", id, "recv", unixMS(at), "src", "1", "heap", "24.5", "crit", "0.9000"}, more...)...)
	}
	wait := func(conn net.Conn, stream uint32, what string) (a answer) {
		_ = conn.SetReadDeadline(time.Now().Add(changeDeadline + time.Second))
		for {
			a, err := readAnswer(conn)
			if err != nil {
				w.note("router: %s: %v", what, err)
				return a
			}
			if a.kind == 11 && a.stream == stream {
				w.note("router: %s is answered: %s", what, a)
				return a
			}
		}
	}
	conn := dial()
	c.arrived = time.Now()
	body := fmt.Sprintf("setpoint %d", c.number)
	_, err := conn.Write(request(1, "setpoint-change", body, c.first, c.arrived, "dedupe", c.key))
	must(err)
	c.answers[0] = wait(conn, 1, "try 1 of "+c.key)
	_ = conn.Close()

	time.Sleep(time.Until(c.arrived.Add(changeWindow - repeatBefore - openedBefore)))
	conn = dial()
	defer conn.Close()
	_, err = conn.Write(request(1, "status-read", "status", fmt.Sprintf("c3%014x", c.number), time.Now()))
	must(err)
	wait(conn, 1, "a read before try 2 of "+c.key)

	time.Sleep(time.Until(c.arrived.Add(changeWindow - repeatBefore)))
	c.again = time.Now()
	_, err = conn.Write(request(2, "setpoint-change", body, c.repeat, c.again, "dedupe", c.key))
	c.written = time.Now()
	w.note("router: try 2 of %s is written, call %s: %v", c.key, c.repeat, err)
	c.answers[1] = wait(conn, 2, "try 2 of "+c.key)
}

// judgeChanges checks that no key ran twice by tries within its window, and that none that ran was refused.
func (w *world) judgeChanges(p *pool, all []change) (broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string][]int{}
	for i, r := range p.runs {
		runs[r.id] = append(runs[r.id], i+1)
	}
	twice, refused, served := 0, 0, 0
	for i := range all {
		c := &all[i]
		inWindow := c.written.Sub(c.arrived) < changeWindow
		if c.answers[0].code == 20 {
			served++
		}
		if n := len(runs[c.first]) + len(runs[c.repeat]); n > 1 && inWindow {
			twice++
			w.note("BROKEN: %s ran %d times, as runs %v and %v; the repeat was written %v after the first try came, in a window of %v; answers: %s and %s",
				c.key, n, runs[c.first], runs[c.repeat], c.written.Sub(c.arrived).Round(time.Millisecond), changeWindow, c.answers[0], c.answers[1])
		} else if c.answers[0].code == 20 && c.answers[1].code == 50 && inWindow {
			refused++
			w.note("BROKEN: %s ran and was refused afterwards; the repeat was written %v after the first try came, in a window of %v",
				c.key, c.written.Sub(c.arrived).Round(time.Millisecond), changeWindow)
		}
	}
	w.verdict("%d of %d numbered requests were served at first; of their repeats within the window %d ran again and %d were refused",
		served, len(all), twice, refused)
	if served < len(all)/2 {
		panic("too few requests were served")
	}
	return twice+refused > 0
}
