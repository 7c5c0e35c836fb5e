//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// pool is a worker pool as the protocol page describes it. Each run takes runTime, and its result names it.
type pool struct {
	w       *world
	address string
	runTime time.Duration

	mu      sync.Mutex
	link    net.Conn
	notices []string
	running map[string]bool
	runs    []poolRun
	stopped bool
}

// poolRun is a run that the pool has begun.
type poolRun struct {
	id, body string
	at       time.Time
}

func (w *world) startPool(runTime time.Duration) *pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &pool{w: w, address: listener.Addr().String(), runTime: runTime, running: map[string]bool{}}
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(link)
		}
	}()
	return p
}

func (p *pool) serve(link net.Conn) {
	defer link.Close()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var c struct {
			Verb, Task, Handler, Nonce string
			Index                      int
			Bytes                      []byte
		}
		if json.Unmarshal(in.Bytes(), &c) != nil {
			return // not a command: the pool closes the link
		}
		p.mu.Lock()
		p.handle(link, c.Verb, c.Task, c.Nonce, c.Index, c.Bytes)
		p.mu.Unlock()
	}
}

func (p *pool) handle(link net.Conn, verb, task, nonce string, index int, body []byte) {
	switch verb {
	case "bind":
		p.link = link
		fmt.Fprintf(link, `{"verb":"bound","outcome":"steady","spent":%d}`+"\n", time.Since(p.w.started).Milliseconds()+60000)
		for _, line := range p.notices[min(index, len(p.notices)):] {
			_, _ = io.WriteString(link, line)
		}
	case "spawn":
		if p.running[task] {
			return
		}
		p.running[task] = true
		p.runs = append(p.runs, poolRun{task, string(body), time.Now()})
		number := len(p.runs)
		p.w.note("pool: run %d begins, task %s, body %q", number, task, body)
		time.AfterFunc(p.runTime, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if delete(p.running, task); !p.stopped {
				result, _ := json.Marshal(fmt.Appendf(nil, "result of run %d", number))
				p.notify(`"verb":"finished","task":%q,"outcome":"success","spent":%d,"bytes":%s`, task, p.runTime.Milliseconds(), result)
			}
		})
	case "suspend": // the cases' sites allow no command that stops a run, or need none
		fmt.Fprintf(link, `{"verb":"unknown","outcome":"suspend","task":%q}`+"\n", task)
	case "poll":
		n := len(p.running)
		fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":[%.3f,%d,%.4f,3]}`+"\n", nonce, min(1, float64(n)/2), n, min(1, float64(n)*0.02))
	case "verify":
		fmt.Fprintf(link, `{"verb":"verified","nonce":%q,"outcome":"success"}`+"\n", nonce)
	}
}

func (p *pool) notify(format string, args ...any) {
	line := fmt.Sprintf(`{"index":%d,`, len(p.notices)+1) + fmt.Sprintf(format, args...) + "}\n"
	p.notices = append(p.notices, line)
	if p.link != nil {
		_, _ = io.WriteString(p.link, line)
	}
}

// startMembership reads the reports of app servers.
func (w *world) startMembership() (address string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(err)
	go func() {
		for buffer := make([]byte, 256); ; {
			if _, _, err := conn.ReadFrom(buffer); err != nil {
				return
			}
		}
	}()
	return conn.LocalAddr().String()
}

// frame returns a frame of the routers' protocol.
func frame(kind byte, stream uint32, body string, fields ...string) []byte {
	payload := []byte{byte(len(fields) / 2)}
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, body...)
	f := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	return append(binary.BigEndian.AppendUint32(append(f, kind), stream), payload...)
}

// answer is an answer of an app server.
type answer struct {
	kind   byte
	stream uint32
	code   byte
	body   string
}

func (a answer) String() string {
	name := map[byte]string{20: "served", 50: "refused", 51: "failed"}[a.code]
	return fmt.Sprintf("%s %q", name, a.body)
}

var errShort = errors.New("the frame is too short")

// readAnswer reads the next frame of an app server.
func readAnswer(from io.Reader) (a answer, err error) {
	var head [9]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return a, err
	}
	payload := make([]byte, binary.BigEndian.Uint32(head[:])-5)
	if _, err := io.ReadFull(from, payload); err != nil {
		return a, err
	}
	a.kind, a.stream = head[4], binary.BigEndian.Uint32(head[5:])
	if len(payload) < 2 {
		return a, nil
	}
	a.code = payload[0]
	rest := payload[2:]
	for range payload[1] {
		if len(rest) < 1 || len(rest) < 1+int(rest[0])+2 {
			return a, errShort
		}
		rest = rest[1+int(rest[0]):]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return a, errShort
		}
		rest = rest[2+size:]
	}
	a.body = string(rest)
	return a, nil
}

func unixMS(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

// healthy reports whether an app server answers a health check as good.
func healthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(frame(20, 1, "", "e2e", "1"))
	a, err := readAnswer(conn)
	return err == nil && a.kind == 21 && a.code == 20
}
