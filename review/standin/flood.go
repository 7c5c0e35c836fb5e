//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["flood"] = floodCase }

const (
	memoryMB    = 64 // "32 to 192 MB by language and day"
	badClients  = 150
	atOnce      = 300     // requests of a bad client at once: "hundreds of requests at once"
	bodyBytes   = 2 << 10 // as long as a body may be
	floodTime   = 8 * time.Second
	lookRouters = 3
	lookEvery   = 50 * time.Millisecond
)

// floodCase serves ordinary routers. With the disruption there are bad clients beside them, which send hundreds of
// requests of a class that does not exist at once, read what they are sent, and do the same again. The platform kills the
// server above its memory.
func floodCase(w *world) (broken bool) {
	p := w.startPool(10 * time.Millisecond)
	listen := freeAddress()
	config := w.platformFile("n1", listen, p.address, w.startMembership(), siteSettings)
	raw, err := os.ReadFile(config)
	must(err)
	limits := fmt.Sprintf(`"memory_mb": %d, "sockets": 512`, memoryMB)
	must(os.WriteFile(config, []byte(strings.Replace(string(raw), `"memory_mb": 192, "sockets": 1024`, limits, 1)), 0o600))
	server := w.start("n1", os.Getenv("RUN"), "EDGE_CONFIG="+config, "EDGE_NAME=n1", "EDGE_LISTEN="+listen)
	waitFor("the first good health check", 30*time.Second, func() bool { return healthy(listen) })
	platform := w.watchMemory(server)

	end := time.Now().Add(floodTime + 2*time.Second)
	var sent, answered, served, lost, turnedAway atomic.Int64
	var done sync.WaitGroup
	for i := range lookRouters {
		done.Go(func() { w.look(listen, i, end, &sent, &answered, &served, &lost) })
	}
	if w.trouble {
		time.Sleep(time.Second)
		w.note("%d bad clients begin", badClients)
		for i := range badClients {
			done.Go(func() { beBad(listen, i, time.Now().Add(floodTime), &turnedAway) })
		}
	}
	done.Wait()
	peak, killed := platform()
	w.keepLog(server, regexp.MustCompile(`check failed|level=ERROR|msg=events|faster than`))
	w.note("routers: %d requests sent, %d answered, %d of them served, %d lost; requests of bad clients turned away: %d",
		sent.Load(), answered.Load(), served.Load(), lost.Load(), turnedAway.Load())
	w.verdict("the server had %d MB of its own memory at the most, its limit is %d MB; killed for memory: %v", peak, memoryMB, killed)
	if !killed && !server.running() {
		w.verdict("the server ended by itself")
		return true
	}
	if served.Load() == 0 {
		panic("no request was served")
	}
	return killed
}

// watchMemory kills a process above its memory, as the platform does. Only the process's anonymous memory counts here,
// which is less than what the platform counts.
func (w *world) watchMemory(p *process) (stop func() (peakMB int, killed bool)) {
	anonymous := regexp.MustCompile(`RssAnon:\s+(\d+) kB`)
	ending, ended := make(chan struct{}), make(chan struct{})
	peak, killed := 0, false
	go func() {
		defer close(ended)
		for {
			select {
			case <-ending:
				return
			case <-time.After(2 * time.Millisecond):
			}
			raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
			if m := anonymous.FindSubmatch(raw); m != nil && p.running() {
				kb, _ := strconv.Atoi(string(m[1]))
				peak = max(peak, kb>>10)
				if kb > memoryMB<<10 {
					w.note("platform: %s has %d kB of anonymous memory, above its limit of %d MB, and is killed", p.name, kb, memoryMB)
					p.signal(syscall.SIGKILL)
					killed = true
					return
				}
			}
		}
	}()
	return func() (int, bool) {
		close(ending)
		<-ended
		return peak, killed
	}
}

// look is an ordinary router: it sends a request now and then and waits for its answer.
func (w *world) look(listen string, router int, end time.Time, sent, answered, served, lost *atomic.Int64) {
	var conn net.Conn
	stream := uint32(0)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(lookEvery)
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", listen); err != nil {
				conn = nil
				continue // a refused connection proves that nothing ran
			}
			stream = 0
		}
		stream++
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		_, err := conn.Write(frame(10, stream, "status", "op", "status-read", "call", fmt.Sprintf("%04x%012x", router, n), "recv", unixMS(time.Now()),
			"src", fmt.Sprint(router), "heap", "24.5", "crit", "0.9000"))
		var a answer
		for err == nil && a.kind != 11 {
			a, err = readAnswer(conn)
		}
		sent.Add(1)
		if err != nil {
			lost.Add(1)
			w.note("router %d: request %d got no answer: %v", router, n, err)
			_ = conn.Close()
			conn = nil
			continue
		}
		answered.Add(1)
		if a.code == 20 {
			served.Add(1)
		}
	}
}

// beBad is a bad client.
func beBad(listen string, number int, end time.Time, turnedAway *atomic.Int64) {
	body := strings.Repeat("x", bodyBytes)
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end.Add(time.Second))
		in := bufio.NewReaderSize(conn, 64<<10)
		stream := uint32(0)
		for err == nil && time.Now().Before(end) {
			var raw []byte
			at := unixMS(time.Now())
			for range atOnce {
				stream++
				raw = append(raw, frame(10, stream, body, "op", "no-such-class", "call", fmt.Sprintf("%04x%012x", number, stream), "recv", at,
					"src", fmt.Sprint(100+number), "heap", "24.5", "crit", "0.9000")...)
			}
			go func() { _, _ = conn.Write(raw) }()
			for got := 0; err == nil && got < atOnce; {
				var a answer
				if a, err = readAnswer(in); err == nil && a.kind == 11 {
					got++
					turnedAway.Add(1)
				}
			}
		}
		_ = conn.Close()
	}
}
