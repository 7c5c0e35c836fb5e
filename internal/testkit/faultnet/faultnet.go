// Package faultnet is a TCP proxy with fault injection, for tests between processes on loopback. It can cut a link, or
// delay, drop or stall one direction of it, by method calls or by a script. It does not depend on the protocol.
package faultnet

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Direction is a direction of a link: Up is from the caller to the target, Down is from the target to the caller.
type Direction int

// The directions of a link.
const (
	Up Direction = iota
	Down
)

// faults contains the active faults of one direction.
type faults struct {
	drop  bool
	stall bool
	delay time.Duration
}

// maxConnections is the maximum number of open connections of a proxy, counted on both sides. It stops tests that leak
// connections.
const maxConnections = 4096

// Proxy forwards connections from its own address to a target, with faults.
type Proxy struct {
	target   string
	listener net.Listener

	mu         sync.Mutex
	changed    *sync.Cond // signals a change of the faults, so that stalled copies check them again
	directions [2]faults
	cut        bool
	conns      map[net.Conn]bool
	goroutines sync.WaitGroup
}

// New starts a proxy on a loopback address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultnet: listen for %s: %w", target, err)
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the address to dial in place of the target.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.mu.Lock()
		refuse := p.cut || len(p.conns) >= maxConnections
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
		p.goroutines.Add(2)
		go p.pump(in, out, Up)
		go p.pump(out, in, Down)
	}
}

// pump copies one direction of a connection, and closes both sides when it ends.
func (p *Proxy) pump(from, to net.Conn, direction Direction) {
	defer p.goroutines.Done()
	defer p.closeBoth(from, to)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(direction, to, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes bytes under the current faults of a direction, and reports whether the connection continues.
func (p *Proxy) forward(direction Direction, to net.Conn, b []byte) bool {
	p.mu.Lock()
	for p.directions[direction].stall && !p.cut {
		p.changed.Wait()
	}
	active, cut := p.directions[direction], p.cut
	p.mu.Unlock()
	switch {
	case cut:
		return false
	case active.drop:
		return true
	}
	if active.delay > 0 {
		time.Sleep(active.delay) // keeps the order: later bytes wait too
	}
	_, err := to.Write(b)
	return err == nil
}

func (p *Proxy) closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
	p.mu.Lock()
	delete(p.conns, a)
	delete(p.conns, b)
	p.mu.Unlock()
}

// Cut closes every connection and refuses new ones until Heal.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.cut = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.changed.Broadcast()
	p.mu.Unlock()
}

// Drop discards the bytes of one direction until Heal.
func (p *Proxy) Drop(direction Direction) { p.setFault(direction, func(f *faults) { f.drop = true }) }

// Stall stops forwarding the bytes of one direction until Heal, as if the peer were stopped.
func (p *Proxy) Stall(direction Direction) { p.setFault(direction, func(f *faults) { f.stall = true }) }

// Delay delays each read of one direction by d until Heal.
func (p *Proxy) Delay(direction Direction, d time.Duration) {
	p.setFault(direction, func(f *faults) { f.delay = d })
}

// Heal ends every fault. A stalled direction then forwards the stalled bytes.
func (p *Proxy) Heal() {
	p.mu.Lock()
	p.cut, p.directions = false, [2]faults{}
	p.changed.Broadcast()
	p.mu.Unlock()
}

func (p *Proxy) setFault(direction Direction, change func(*faults)) {
	p.mu.Lock()
	change(&p.directions[direction])
	p.changed.Broadcast()
	p.mu.Unlock()
}

// RunScript runs a script with one step per line: "cut", "heal", "drop up", "stall down", "delay up 40ms". Blank lines
// and text after # are ignored. All lines are checked before the first step runs; the error joins those of all lines.
func (p *Proxy) RunScript(script string) error {
	var steps []func()
	var errs []error
	for i, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		step, err := p.parseStep(words)
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

var errInvalidStep = errors.New("want cut, heal, drop DIRECTION, stall DIRECTION or delay DIRECTION DURATION")

// parseStep returns the action of one step.
func (p *Proxy) parseStep(words []string) (func(), error) {
	if len(words) == 1 {
		steps := map[string]func(){"cut": p.Cut, "heal": p.Heal}
		if step, known := steps[words[0]]; known {
			return step, nil
		}
		return nil, errInvalidStep
	}
	direction, known := map[string]Direction{"up": Up, "down": Down}[words[1]]
	if !known {
		return nil, fmt.Errorf("direction %q: want up or down", words[1])
	}
	switch {
	case len(words) == 2 && words[0] == "drop":
		return func() { p.Drop(direction) }, nil
	case len(words) == 2 && words[0] == "stall":
		return func() { p.Stall(direction) }, nil
	case len(words) == 3 && words[0] == "delay":
		d, err := time.ParseDuration(words[2])
		if err != nil || d < 0 {
			return nil, fmt.Errorf("delay %q: want a duration of 0 or more", words[2])
		}
		return func() { p.Delay(direction, d) }, nil
	}
	return nil, errInvalidStep
}

// Close closes the proxy and all its connections, and waits for its goroutines.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Cut()
	p.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
