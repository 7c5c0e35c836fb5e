//go:build review2

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The frames of PROTOCOL.md: length:4 type:1 stream:4 payload, big-endian.
const (
	frameRequest = 10
	frameAnswer  = 11
	frameGoAway  = 30

	codeServed  = 20
	codeRefused = 50
	codeFailed  = 51
)

type frame struct {
	kind   byte
	stream uint32
	code   byte // of an answer
	fields map[string]string
	body   []byte
}

func appendFields(to []byte, fields [][2]string) []byte {
	to = append(to, byte(len(fields)))
	for _, f := range fields {
		to = append(to, byte(len(f[0])))
		to = append(to, f[0]...)
		to = binary.BigEndian.AppendUint16(to, uint16(len(f[1])))
		to = append(to, f[1]...)
	}
	return to
}

func encodeFrame(kind byte, stream uint32, payload []byte) []byte {
	raw := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	raw = append(raw, kind)
	raw = binary.BigEndian.AppendUint32(raw, stream)
	return append(raw, payload...)
}

func encodeRequest(stream uint32, fields [][2]string, body []byte) []byte {
	return encodeFrame(frameRequest, stream, append(appendFields(nil, fields), body...))
}

func encodeAnswer(stream uint32, code byte, body []byte) []byte {
	return encodeFrame(frameAnswer, stream, append([]byte{code, 0}, body...))
}

func readFrame(in io.Reader) (f frame, err error) {
	var head [9]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 5 || size > 262144 {
		return f, fmt.Errorf("frame of %d bytes", size)
	}
	f.kind, f.stream = head[4], binary.BigEndian.Uint32(head[5:])
	payload := make([]byte, size-5)
	if _, err = io.ReadFull(in, payload); err != nil {
		return f, err
	}
	if f.kind == frameGoAway || f.kind == 12 {
		return f, nil
	}
	if f.kind == frameAnswer || f.kind == 21 {
		if len(payload) < 1 {
			return f, errors.New("answer without a code")
		}
		f.code, payload = payload[0], payload[1:]
	}
	f.fields = map[string]string{}
	if len(payload) == 0 {
		return f, nil
	}
	count := int(payload[0])
	payload = payload[1:]
	for range count {
		if len(payload) < 1 || len(payload) < 3+int(payload[0]) {
			return f, errors.New("fields cut short")
		}
		n := int(payload[0])
		name := string(payload[1 : 1+n])
		m := int(binary.BigEndian.Uint16(payload[1+n:]))
		payload = payload[3+n:]
		if len(payload) < m {
			return f, errors.New("fields cut short")
		}
		f.fields[name] = string(payload[:m])
		payload = payload[m:]
	}
	f.body = payload
	return f, nil
}

// answer is what a router saw of one try. lost states that its connection ended without one.
type answer struct {
	code   byte
	body   []byte
	fields map[string]string
	lost   bool
	at     time.Time
}

func (a answer) String() string {
	switch {
	case a.lost:
		return "no answer, connection ended"
	case a.code == codeServed:
		return fmt.Sprintf("served %q", a.body)
	case a.code == codeRefused:
		return "refused (never ran) " + fmt.Sprint(a.fields)
	case a.code == codeFailed:
		return fmt.Sprintf("failed %q", a.body)
	}
	return fmt.Sprintf("code %d", a.code)
}

// router is one connection of a router: it sends requests and hands each answer to the request's channel.
type router struct {
	conn net.Conn
	mu   sync.Mutex
	next uint32
	open map[uint32]chan answer
	dead bool
}

func dialRouter(address string) (*router, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	r := &router{conn: conn, open: map[uint32]chan answer{}}
	go r.read()
	return r, nil
}

func (r *router) read() {
	in := bufio.NewReader(r.conn)
	for {
		f, err := readFrame(in)
		if err != nil {
			break
		}
		if f.kind != frameAnswer {
			continue
		}
		r.mu.Lock()
		waiting := r.open[f.stream]
		delete(r.open, f.stream)
		r.mu.Unlock()
		if waiting != nil {
			waiting <- answer{code: f.code, body: f.body, fields: f.fields, at: time.Now()}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	for stream, waiting := range r.open {
		waiting <- answer{lost: true, at: time.Now()}
		delete(r.open, stream)
	}
}

// send sends one try; the channel receives its answer, or its loss.
func (r *router) send(op, call string, ttl time.Duration, extra [][2]string, body []byte) chan answer {
	got := make(chan answer, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		got <- answer{lost: true, at: time.Now()}
		return got
	}
	r.next++
	r.open[r.next] = got
	fields := append([][2]string{
		{"op", op}, {"call", call}, {"recv", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"src", "4"},
		{"ttl", strconv.FormatInt(ttl.Milliseconds(), 10)}, {"heap", heapKB}, {"crit", "0.9000"},
	}, extra...)
	_, _ = r.conn.Write(encodeRequest(r.next, fields, body))
	return got
}

// readerOf returns a reader of a text.
func readerOf(text string) io.Reader { return strings.NewReader(text) }

// routerPool is a router that opens a further connection where the others have 30 open requests, as 32 are allowed.
type routerPool struct {
	address string
	conns   []*router
}

func (p *routerPool) send(op, call string, ttl time.Duration, extra [][2]string, body []byte) chan answer {
	for _, r := range p.conns {
		r.mu.Lock()
		free := !r.dead && len(r.open) < 30
		r.mu.Unlock()
		if free {
			return r.send(op, call, ttl, extra, body)
		}
	}
	r, err := dialRouter(p.address)
	if err != nil {
		got := make(chan answer, 1)
		got <- answer{lost: true, at: time.Now()}
		return got
	}
	p.conns = append(p.conns, r)
	return r.send(op, call, ttl, extra, body)
}

// heapKB is the memory that a router books for each request while it is held.
var heapKB = "24.5"

// reset resets all connections; what is open on them is lost.
func (p *routerPool) reset() {
	for _, r := range p.conns {
		_ = r.conn.(*net.TCPConn).SetLinger(0)
		_ = r.conn.Close()
	}
	p.conns = nil
}
