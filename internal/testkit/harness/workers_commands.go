package harness

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"quartzpoint/emulator"
)

const (
	maxCommandLine = 1 << 20 // bytes
	defaultWork    = 1e-6    // seconds; for a run whose body contains none
)

// serve handles commands until the link ends.
func (w *Workers) serve(link net.Conn) {
	defer func() { _ = link.Close() }()
	in := bufio.NewScanner(link)
	in.Buffer(nil, maxCommandLine)
	for in.Scan() {
		var c PoolCommand
		if json.Unmarshal(in.Bytes(), &c) != nil {
			return
		}
		w.mu.Lock()
		for w.stopped {
			w.continued.Wait()
		}
		w.handle(link, c, time.Now())
		w.mu.Unlock()
		w.reschedule()
	}
}

func (w *Workers) handle(link net.Conn, c PoolCommand, now time.Time) {
	w.advance(now)
	switch r := w.runs[c.RunID]; c.Verb {
	case "bind":
		bound := fmt.Sprintf(`{"verb":"bound","outcome":"steady","spent":%d}`+"\n", now.Sub(w.startedAt).Milliseconds())
		w.notices.Bind(link, bound, c.Index)
	case "spawn":
		if r == nil {
			w.spawn(c, now)
		}
	case "suspend":
		w.suspend(link, r, c.RunID, now)
	case "supply":
		w.supply(r)
	case "proceed":
		if r != nil && r.paused {
			r.paused = false
			w.running = append(w.running, r)
		}
	case "poll":
		fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":[%.4f,%d,%.4f,1]}`+"\n",
			c.Nonce, w.coreUse(now), len(w.running), w.heapShare())
	case "verify":
		fmt.Fprintf(link, `{"verb":"verified","nonce":%q,"outcome":"success"}`+"\n", c.Nonce)
	}
}

func (w *Workers) spawn(c PoolCommand, now time.Time) {
	if w.seen[c.RunID] {
		w.repeatedStarts++
	}
	w.seen[c.RunID] = true
	r := &run{id: c.RunID, body: c.Body, startedAt: now, remaining: defaultWork}
	if len(c.Body) >= workEnd {
		r.remaining = float64(binary.BigEndian.Uint64(c.Body)) / 1e6
	}
	if w.callingHandlers[c.Handler] {
		r.remaining, r.afterCall = r.remaining/2, r.remaining/2
	}
	w.runs[c.RunID] = r
	w.running = append(w.running, r)
	w.startOffsets = append(w.startOffsets, now.Sub(w.startedAt))
	w.runStarts = append(w.runStarts, RunStart{c.RunID, now})
	w.load.recordMemory(now.Sub(w.startedAt), w.inMemory(), w.machine)
}

// suspend stops a run in the way that the machine allows. It has no effect while the cores are hung.
func (w *Workers) suspend(link net.Conn, r *run, runID string, now time.Time) {
	if w.machine.Preemption == emulator.PreemptionNone {
		fmt.Fprintf(link, `{"verb":"unknown","outcome":"suspend","task":%q}`+"\n", runID)
		return
	}
	if r == nil || r.paused || r.blocked || w.machine.Independent || w.hung {
		return
	}
	w.running = slices.DeleteFunc(w.running, func(other *run) bool { return other == r })
	if r.paused = w.machine.Preemption != emulator.PreemptionAbort; !r.paused {
		delete(w.runs, r.id)
	}
	w.notifyFinished(r, "interrupted", now)
}

// supply continues a run that is blocked at its call.
func (w *Workers) supply(r *run) {
	if r == nil || !r.blocked {
		return
	}
	r.blocked, r.remaining, r.afterCall = false, r.afterCall, 0
	w.running = append(w.running, r)
}
