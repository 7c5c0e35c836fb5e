//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"sync"
	"time"
)

func init() { cases["keyed"] = keyedCase }

// The figures of kolkata-galleries for its route album-pick, whose calls are left out here.
const (
	pickWindow   = 22161 * time.Millisecond
	pickDeadline = 7400 * time.Millisecond

	picks     = 24
	pickEvery = 125 * time.Millisecond
	// A repeat begins to arrive this long before the end of its window, and is written over writeTime: less than the
	// 2 s that the README allows for a frame that has begun.
	repeatBefore = 150 * time.Millisecond
	writeTime    = 1800 * time.Millisecond
	writePieces  = 8
)

const pickSettings = `{
 "extra": {"advert": "threshold", "below": "none", "calls-by-class": [false, false], "class-skip-worth": [0.0, 0.0],
  "cold": false, "cores": 6, "deep-checks": false, "fresh": 0, "gauges": ["core_use", "on_cores", "heap_share", "links"],
  "halt": "suspend", "idle": 30000000, "key-kb": 40.0, "passes-deadline": true, "ram-kb": 64000.0, "run-factor": 16.0,
  "tells-gone": false},
 "limits": {"max-retry-after": 1000000, "retry-after": true},
 "obligations": {"cold-share": 0.22, "fall": 1500000, "grace-to-answer": 80000, "overload-factor": 6.0,
  "stop-sending-within": 2000000, "warm-up": 18000000},
 "servers": 11,
 "services": [
  {"name": "thumb-render", "goal-time": 3000000, "deadline": 9800000, "gain": 1.0, "idempotency": "retryable", "late-value": 0.0},
  {"name": "album-pick", "goal-time": 3000000, "deadline": 7400000, "gain": 3.0, "idempotency": "dedup", "dedup-window": 22161000, "late-value": 0.0}],
 "tenants": [], "value-by": "request"}`

func (w *world) platformFile(name, listen, pool, members, settings string) string {
	return w.write(name+".json", fmt.Sprintf(`{"name": %q, "listen": %q, "pool": %q, "members": %q, "seed": "8c1f30d27a5be964",
 "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": %s}`, name, listen, pool, members, settings))
}

// pick is one keyed request with its repeat.
type pick struct {
	number        int
	key           string
	first, repeat string    // ids of the two tries
	arrived       time.Time // recv of the first try
	again         time.Time // recv of the repeat
	written       time.Time // when the last byte of the repeat was written
	answers       [2]answer
}

// keyedCase sends keyed requests, and each once more within its window. With the disruption the repeats are written
// slowly.
func keyedCase(w *world) (broken bool) {
	p := w.startPool(60 * time.Millisecond)
	listen := freeAddress()
	config := w.platformFile("n1", listen, p.address, w.startMembership(), pickSettings)
	server := w.start("n1", os.Getenv("RUN"), "EDGE_CONFIG="+config, "EDGE_NAME=n1", "EDGE_LISTEN="+listen)
	waitFor("the first good health check", 30*time.Second, func() bool { return healthy(listen) })

	all := make([]pick, picks)
	var done sync.WaitGroup
	for i := range all {
		b := &all[i]
		*b = pick{number: i, key: fmt.Sprintf("pick-%04d", i), first: fmt.Sprintf("a1%014x", i), repeat: fmt.Sprintf("b2%014x", i)}
		done.Go(func() { w.pick(listen, b) })
		time.Sleep(pickEvery)
	}
	done.Wait()
	if !server.running() {
		w.verdict("the server ended")
		return true
	}
	w.keepLog(server, regexp.MustCompile(`check failed|level=ERROR`))
	return w.judgePicks(p, all)
}

// pick sends one request and its repeat, each on a connection of its own.
func (w *world) pick(listen string, b *pick) {
	send := func(try int, id string, slow bool) time.Time {
		conn, err := net.Dial("tcp", listen)
		must(err)
		defer conn.Close()
		at := time.Now()
		raw := frame(10, 1, fmt.Sprintf("pick %d", b.number), "op", "album-pick", "call", id, "recv", unixMS(at), "src", fmt.Sprint(1+try),
			"ttl", fmt.Sprint(pickDeadline.Milliseconds()), "heap", "24.5", "crit", "0.9000", "dedupe", b.key)
		w.note("router: try %d of %s begins, call %s, slowly %v", try+1, b.key, id, slow)
		if slow {
			piece := (len(raw) + writePieces - 1) / writePieces
			for i := 0; i < len(raw); i += piece {
				if i > 0 {
					time.Sleep(writeTime / (writePieces - 1))
				}
				if _, err := conn.Write(raw[i:min(i+piece, len(raw))]); err != nil {
					break
				}
			}
		} else if _, err := conn.Write(raw); err != nil {
			w.note("router: %v", err)
		}
		b.written = time.Now()
		_ = conn.SetReadDeadline(at.Add(pickDeadline + time.Second))
		for {
			a, err := readAnswer(conn)
			if err != nil {
				w.note("router: try %d of %s: %v", try+1, b.key, err)
				return at
			}
			if a.kind == 11 && a.stream == 1 {
				b.answers[try] = a
				w.note("router: try %d of %s is answered: %s", try+1, b.key, a)
				return at
			}
		}
	}
	b.arrived = send(0, b.first, false)
	time.Sleep(time.Until(b.arrived.Add(pickWindow - repeatBefore)))
	b.again = send(1, b.repeat, w.trouble)
}

// judgePicks checks that no key ran twice by tries within its window.
func (w *world) judgePicks(p *pool, all []pick) (broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string][]int{}
	for i, r := range p.runs {
		runs[r.id] = append(runs[r.id], i+1)
	}
	twice, refused, served := 0, 0, 0
	for i := range all {
		b := &all[i]
		if b.answers[0].code == 20 {
			served++
		}
		if n := len(runs[b.first]) + len(runs[b.repeat]); n > 1 && b.again.Sub(b.arrived) < pickWindow {
			twice++
			w.note("BROKEN: %s ran %d times, as runs %v and %v; the repeat came %v after the first try, in a window of %v, and was whole %v later; answers: %s and %s",
				b.key, n, runs[b.first], runs[b.repeat], b.again.Sub(b.arrived).Round(time.Millisecond), pickWindow,
				b.written.Sub(b.again).Round(time.Millisecond), b.answers[0], b.answers[1])
		} else if b.answers[0].code == 20 && b.answers[1].code == 50 && b.again.Sub(b.arrived) < pickWindow {
			refused++
			w.note("BROKEN: %s ran and was refused afterwards; the repeat came %v after the first try, in a window of %v",
				b.key, b.again.Sub(b.arrived).Round(time.Millisecond), pickWindow)
		}
	}
	w.verdict("%d of %d numbered requests were served at first; of their repeats within the window %d ran again and %d were refused",
		served, len(all), twice, refused)
	if served < len(all)/2 {
		panic("too few requests were served")
	}
	return twice+refused > 0
}
