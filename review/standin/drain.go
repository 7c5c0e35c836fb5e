//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	// The figures of hire-desk, with its route hire-book numbered instead of at most once: "Their settings may give a
	// class another effect than the site does". Its runs can't be stopped.
	hireDeadline = 8600 * time.Millisecond
	hireWork     = 3800 * time.Millisecond // of a run: 404 ms of work on a server that is 9.4 times slower
	hires        = 2
	stopMS       = 3200 // as in the deployment page
	notice       = 300 * time.Millisecond
	again        = notice + 700*time.Millisecond // of the repeats: within the grace of 2.5 s after the notice
)

const hireSettings = `{
 "extra": {"advert": "none", "below": "none", "calls-by-class": [false, false], "class-skip-worth": [0.0, 0.0],
  "cold": false, "cores": 2, "deep-checks": false, "fresh": 0, "gauges": ["core_use", "on_cores", "heap_share", "links"],
  "halt": "none", "idle": 30000000, "key-kb": 40.0, "passes-deadline": true, "ram-kb": 64000.0, "run-factor": 8.0,
  "tells-gone": false},
 "limits": {"max-retry-after": 1000000, "retry-after": true},
 "obligations": {"cold-share": 0.21, "fall": 2000000, "grace-to-answer": 100000, "overload-factor": 5.0,
  "stop-sending-within": 2500000, "warm-up": 15000000},
 "servers": 16,
 "services": [
  {"name": "mooring-look", "goal-time": 1100000, "deadline": 2900000, "gain": 1.0, "idempotency": "retryable", "late-value": 0.2},
  {"name": "hire-book", "goal-time": 2300000, "deadline": 8600000, "gain": 3.0, "idempotency": "dedup", "dedup-window": 20000000, "late-value": 0.2}],
 "tenants": [], "value-by": "work"}`

// drainCase sends numbered requests whose runs are slow, and each once more. With the disruption the notice to leave comes
// in between. Every request that was read has to be answered before the process ends.
func drainCase(w *world) (broken bool) {
	p := w.startPool(hireWork)
	listen := freeAddress()
	config := w.platformFile("n1", listen, p.address, w.startMembership(), hireSettings)
	server := w.start("n1", os.Getenv("RUN"), "EDGE_CONFIG="+config, "EDGE_NAME=n1", "EDGE_LISTEN="+listen)
	waitFor("the first good health check", 30*time.Second, func() bool { return healthy(listen) })
	type outcome struct {
		a    answer
		err  error
		at   time.Duration
		from string
	}
	var mu sync.Mutex
	var outcomes []outcome
	var done sync.WaitGroup
	send := func(number, try int) {
		done.Go(func() {
			conn, err := net.Dial("tcp", listen)
			from := fmt.Sprintf("try %d of hire-%d", try, number)
			if err != nil {
				w.note("router: %s: %v", from, err)
				return
			}
			defer conn.Close()
			at := time.Now()
			_, err = conn.Write(frame(10, 1, fmt.Sprintf("hire %d", number), "op", "hire-book", "call", fmt.Sprintf("%04x%012x", try, number),
				"recv", unixMS(at), "src", fmt.Sprint(try), "ttl", fmt.Sprint(hireDeadline.Milliseconds()), "heap", "24.5", "crit", "0.9000",
				"dedupe", fmt.Sprintf("hire-%d", number)))
			w.note("router: %s is sent, %v", from, err)
			_ = conn.SetReadDeadline(at.Add(hireDeadline + time.Second))
			for {
				a, err := readAnswer(conn)
				if err == nil && a.kind != 11 {
					continue
				}
				w.note("router: %s: %s, %v", from, a, err)
				mu.Lock()
				outcomes = append(outcomes, outcome{a, err, time.Since(at), from})
				mu.Unlock()
				return
			}
		})
	}
	for i := range hires {
		send(i, 1)
	}
	time.Sleep(notice)
	if w.trouble {
		w.note("SIGTERM to n1")
		server.signal(syscall.SIGTERM)
		time.AfterFunc(stopMS*time.Millisecond, func() { server.signal(syscall.SIGKILL) })
	}
	time.Sleep(again - notice)
	for i := range hires {
		send(i, 2)
	}
	done.Wait()
	w.keepLog(server, regexp.MustCompile(`drain|leaving|aborted|check failed|level=ERROR`))
	if len(outcomes) < 2*hires {
		panic("the server refused a connection") // it is then known to have read nothing
	}
	lost := 0
	for _, o := range outcomes {
		if o.err != nil {
			lost++
			w.note("BROKEN: %s got no answer: %v after %v", o.from, o.err, o.at)
		}
	}
	w.verdict("%d of %d requests that were read got no answer", lost, len(outcomes))
	return lost > 0
}
