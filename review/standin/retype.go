//go:build review

package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["retype"] = retypeCase }

const (
	orders      = 8
	orderWindow = 9 * time.Second // as in the operators' page
)

// retypeCase runs numbered requests, then changes their route to at-most-once, and sends each again within its window.
func retypeCase(w *world) (broken bool) {
	c := w.startConfigCluster()
	c.leader()
	route := func(idempotency string) string {
		return fmt.Sprintf(`{"routes": {"order": {"goal-time": 900000, "deadline": 3000000, "gain": 4, "idempotency": %q, "dedup-window": 9000000}}}`, idempotency)
	}
	version, code := c.apply(c.file, route("dedup"))
	w.note("operator: order is numbered: version %s, exit code %d", version, code)
	if code != 0 {
		panic("the first change was not accepted: " + version)
	}
	p := w.startPool(20 * time.Millisecond)
	listen, inForce := c.startAppServer(p)
	inForce(version)

	send := func(try, number int) (a answer, at time.Time) {
		conn, err := net.Dial("tcp", listen)
		must(err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		at = time.Now()
		_, err = conn.Write(frame(10, 1, fmt.Sprintf("order %d", number), "op", "order", "call", fmt.Sprintf("%04x%012x", try, number), "recv", unixMS(at),
			"src", fmt.Sprint(try), "ttl", "3000", "heap", "24.5", "crit", "0.9000", "dedupe", fmt.Sprintf("order-%d", number)))
		must(err)
		for a.kind != 11 {
			a, err = readAnswer(conn)
			must(err)
		}
		w.note("router: try %d of order-%d is answered: %s", try, number, a)
		return a, at
	}
	var first [orders]time.Time
	served := 0
	for i := range first {
		var a answer
		if a, first[i] = send(1, i); a.code == 20 {
			served++
		}
	}
	if w.trouble {
		version, code = c.apply(c.file, route("fragile"))
		w.note("operator: order is at-most-once: version %s, exit code %d", version, code)
		inForce(version)
	}
	time.Sleep(time.Second)
	var again [orders]time.Time
	for i := range again {
		_, again[i] = send(2, i)
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string]int{}
	for _, r := range p.runs {
		runs[r.body]++
	}
	twice := 0
	for i := range first {
		if n := runs[fmt.Sprintf("order %d", i)]; n > 1 && again[i].Sub(first[i]) < orderWindow {
			twice++
			w.note("BROKEN: order-%d ran %d times; its repeat came %v after the first try, in a window of %v", i, n,
				again[i].Sub(first[i]).Round(time.Millisecond), orderWindow)
		}
	}
	w.verdict("%d of %d orders were served at first, %d ran twice within their window", served, orders, twice)
	if served < orders/2 {
		panic("too few requests were served")
	}
	return twice > 0
}
