// Package faultnet is the project's own fault tool for tests between processes on loopback: a small proxy
// between two instances that can cut a link, delay it, drop what goes one way, or stall it, by call or by a
// script. It is a test rig, not a front: it speaks no protocol and only carries bytes.
package faultnet

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Way is one direction of a link: Up from the side that dialled to the target, Down back.
type Way int

// The two ways of a link.
const (
	Up Way = iota
	Down
)

// mode is what a way does with the bytes it reads.
type mode struct {
	drop  bool
	stall bool
	delay time.Duration
}

// most bounds the connections a proxy carries at once; a test that needs more is wrong about its own size.
const most = 4096

// Proxy carries connections from its own address to a target, with faults.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	moved *sync.Cond // a way's mode changed: stalled pumps look again
	ways  [2]mode
	cut   bool
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// New listens on a loopback address of its own and carries to target.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultnet: listen for %s: %w", target, err)
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	p.moved = sync.NewCond(&p.mu)
	p.done.Add(1)
	go p.accept()
	return p, nil
}

// Addr is where to dial in place of the target.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	defer p.done.Done()
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.mu.Lock()
		refuse := p.cut || len(p.conns) >= most
		p.mu.Unlock()
		if refuse {
			_ = in.Close()
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		p.done.Add(2)
		go p.pump(in, out, Up)
		go p.pump(out, in, Down)
	}
}

// pump carries one way of one connection; it ends both sides when either ends.
func (p *Proxy) pump(from, to net.Conn, way Way) {
	defer p.done.Done()
	defer p.forget(from, to)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.carry(way, to, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// carry writes what was read under the way's mode at the moment; false once the link is cut.
func (p *Proxy) carry(way Way, to net.Conn, b []byte) bool {
	p.mu.Lock()
	for p.ways[way].stall && !p.cut {
		p.moved.Wait()
	}
	m, cut := p.ways[way], p.cut
	p.mu.Unlock()
	switch {
	case cut:
		return false
	case m.drop:
		return true
	}
	if m.delay > 0 {
		time.Sleep(m.delay) // in order: a delayed way holds what follows too
	}
	_, err := to.Write(b)
	return err == nil
}

func (p *Proxy) forget(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
	p.mu.Lock()
	delete(p.conns, a)
	delete(p.conns, b)
	p.mu.Unlock()
}

// Cut ends every connection and refuses new ones until Heal.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.cut = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.moved.Broadcast()
	p.mu.Unlock()
}

// Drop discards what goes one way, while the other goes on: a link cut one way only.
func (p *Proxy) Drop(way Way) { p.set(way, func(m *mode) { m.drop = true }) }

// Stall holds what goes one way until Heal, as a peer that stands still.
func (p *Proxy) Stall(way Way) { p.set(way, func(m *mode) { m.stall = true }) }

// Delay holds each piece that goes one way for d before it goes on.
func (p *Proxy) Delay(way Way, d time.Duration) { p.set(way, func(m *mode) { m.delay = d }) }

// Heal ends every fault: a stalled way lets go of what it held.
func (p *Proxy) Heal() {
	p.mu.Lock()
	p.cut, p.ways = false, [2]mode{}
	p.moved.Broadcast()
	p.mu.Unlock()
}

func (p *Proxy) set(way Way, change func(*mode)) {
	p.mu.Lock()
	change(&p.ways[way])
	p.moved.Broadcast()
	p.mu.Unlock()
}

// Play carries out a script, a step a line: "cut", "heal", "drop up", "stall down", "delay up 40ms". Blank
// lines and those from # on are passed over. Every line is checked before any is carried out.
func (p *Proxy) Play(script string) error {
	var steps []func()
	var errs []error
	for i, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		step, err := p.step(words)
		if err != nil {
			errs = append(errs, fmt.Errorf("faultnet: line %d %q: %w", i+1, strings.TrimSpace(line), err))
			continue
		}
		steps = append(steps, step)
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	for _, step := range steps {
		step()
	}
	return nil
}

func (p *Proxy) step(words []string) (func(), error) {
	shape := errors.New("a step is cut, heal, drop WAY, stall WAY or delay WAY DURATION")
	if len(words) == 1 {
		steps := map[string]func(){"cut": p.Cut, "heal": p.Heal}
		if step, known := steps[words[0]]; known {
			return step, nil
		}
		return nil, shape
	}
	way, known := map[string]Way{"up": Up, "down": Down}[words[1]]
	if !known {
		return nil, fmt.Errorf("way %q: up or down", words[1])
	}
	switch {
	case len(words) == 2 && words[0] == "drop":
		return func() { p.Drop(way) }, nil
	case len(words) == 2 && words[0] == "stall":
		return func() { p.Stall(way) }, nil
	case len(words) == 3 && words[0] == "delay":
		d, err := time.ParseDuration(words[2])
		if err != nil || d < 0 {
			return nil, fmt.Errorf("delay %q: a duration of 0 or more", words[2])
		}
		return func() { p.Delay(way, d) }, nil
	}
	return nil, shape
}

// Close ends the proxy and all it carries, and waits for its pumps.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Cut()
	p.done.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
