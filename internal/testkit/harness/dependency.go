package harness

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"sync"
	"time"
)

// DependencyBehaviour is how a dependency behaves for a while.
type DependencyBehaviour struct {
	SlowFactor  float64       // times its usual service time; 0 is as usual
	AnswerDelay time.Duration // by which answers come later than the work is done
	Silent      bool          // reads and never answers
	Fails       bool          // answers at once that it failed, and does nothing
	Rejects     bool          // answers at once that it did not run
	Garbage     bool          // writes what is no frame
	Down        bool          // no connection is taken, and those that are open end
}

// BehaviourScript says how a dependency behaves at a time since its start.
type BehaviourScript func(since time.Duration) DependencyBehaviour

// Dependency plays one: so many slots, a service time of log-normal spread, and a script. What it runs with a
// number, or was asked to, is counted; a repeat of a number is answered from the first.
type Dependency struct {
	Address string

	slotFreeAt      []time.Time // when each is free
	meanServiceTime time.Duration
	script          BehaviourScript
	started         time.Time
	goroutines      sync.WaitGroup
	stop            chan struct{}

	mu           sync.Mutex
	rng          *rand.Rand
	spread       float64
	listener     net.Listener
	links        map[net.Conn]bool
	keyed        map[string]*keyedRequest
	calls        int
	effects      int // runs of numbered calls
	distinctKeys int // numbers asked for
	repeatedRuns int
	open         int
	maxOpen      int
}

type keyedRequest struct {
	runs    int
	done    bool
	waiting []func()
}

// NewDependency starts one.
func NewDependency(slots int, mean time.Duration, spread float64, seed int64, script BehaviourScript) (*Dependency, error) {
	if script == nil {
		script = func(time.Duration) DependencyBehaviour { return DependencyBehaviour{} }
	}
	d := &Dependency{
		Address: randomLoopbackAddress(), slotFreeAt: make([]time.Time, slots), meanServiceTime: mean, script: script, started: time.Now(),
		stop: make(chan struct{}), rng: rand.New(rand.NewSource(seed)), spread: math.Sqrt(math.Log1p(spread * spread)),
		links: map[net.Conn]bool{}, keyed: map[string]*keyedRequest{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Address = d.listener.Addr().String() // the same when it comes up again
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-tick.C:
				d.applyScript()
			}
		}
	}()
	return d, nil
}

// RestartClock sets the script's clock to zero now.
func (d *Dependency) RestartClock() {
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
}

func (d *Dependency) behaviour() DependencyBehaviour { return d.script(time.Since(d.started)) }

func (d *Dependency) listen() error {
	listener, err := net.Listen("tcp", d.Address)
	if err != nil {
		return fmt.Errorf("dependency: %w", err)
	}
	d.listener = listener
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.links[link] = true
			d.mu.Unlock()
			d.goroutines.Add(1)
			go func() {
				defer d.goroutines.Done()
				d.serve(link)
			}()
		}
	}()
	return nil
}

// applyScript goes down and comes up as the script says.
func (d *Dependency) applyScript() {
	d.mu.Lock()
	defer d.mu.Unlock()
	down := d.behaviour().Down
	if down && d.listener != nil {
		d.listener.Close()
		d.listener = nil
		for link := range d.links {
			link.Close()
		}
	} else if !down && d.listener == nil {
		_ = d.listen() // tried again at the next look
	}
}

// Close ends it.
func (d *Dependency) Close() {
	close(d.stop)
	d.mu.Lock()
	if d.listener != nil {
		d.listener.Close()
	}
	for link := range d.links {
		link.Close()
	}
	d.mu.Unlock()
	d.goroutines.Wait()
}

// DependencyStats is what a dependency counted.
type DependencyStats struct {
	Attempts     int // attempts read
	Effects      int // runs of numbered calls
	DistinctKeys int // different numbers
	RepeatedRuns int // runs of a number that had run
	MaxOpen      int // calls open at once
}

// Stats tells what was counted so far.
func (d *Dependency) Stats() DependencyStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return DependencyStats{d.calls, d.effects, d.distinctKeys, d.repeatedRuns, d.maxOpen}
}

func (d *Dependency) serve(link net.Conn) {
	var write sync.Mutex
	defer func() {
		link.Close()
		d.mu.Lock()
		delete(d.links, link)
		d.mu.Unlock()
	}()
	for {
		var head [9]byte
		if _, err := io.ReadFull(link, head[:]); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(head[:])
		if size < 5 || size > maxFrameSize {
			return
		}
		payload := make([]byte, size-5)
		if _, err := io.ReadFull(link, payload); err != nil {
			return
		}
		if head[4] != 10 {
			continue // a call that is cancelled goes on here, as most would
		}
		stream := binary.BigEndian.Uint32(head[5:])
		d.handle(payload, func(code byte) {
			answer := append([]byte{code, 0}, "result"...)
			whole := binary.BigEndian.AppendUint32(nil, uint32(5+len(answer)))
			whole = binary.BigEndian.AppendUint32(append(whole, 11), stream)
			write.Lock()
			defer write.Unlock()
			_, _ = link.Write(append(whole, answer...)) // its asker may be gone
		}, func() {
			write.Lock()
			defer write.Unlock()
			_, _ = io.WriteString(link, "\xff\xff\xff\xffgarbage")
		})
	}
}

// handle serves a call.
func (d *Dependency) handle(payload []byte, answer func(code byte), garbage func()) {
	number := field(payload, "num")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	mood := d.behaviour()
	end := func(code byte) {
		d.open--
		if !mood.Silent {
			d.after(mood.AnswerDelay, func() { answer(code) })
		}
	}
	switch {
	case mood.Fails, mood.Rejects, mood.Garbage:
		d.open--
		switch {
		case mood.Garbage:
			d.after(0, garbage)
		case mood.Fails:
			d.after(0, func() { answer(51) })
		default:
			d.after(0, func() { answer(50) })
		}
		return
	}
	if number != "" {
		d.distinctKeys++
		if known := d.keyed[number]; known != nil {
			d.distinctKeys--
			if known.done {
				end(20)
			} else {
				known.waiting = append(known.waiting, func() { end(20) })
			}
			return
		}
		d.keyed[number] = &keyedRequest{}
	}
	least := 0
	for i := range d.slotFreeAt {
		if d.slotFreeAt[i].Before(d.slotFreeAt[least]) {
			least = i
		}
	}
	slow := mood.SlowFactor
	if slow == 0 {
		slow = 1
	}
	takes := time.Duration(float64(d.meanServiceTime) * slow * math.Exp(d.rng.NormFloat64()*d.spread-d.spread*d.spread/2))
	now := time.Now()
	if d.slotFreeAt[least].Before(now) {
		d.slotFreeAt[least] = now
	}
	d.slotFreeAt[least] = d.slotFreeAt[least].Add(takes)
	d.after(d.slotFreeAt[least].Sub(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.keyed[number]; n != nil {
			d.effects++
			if n.runs++; n.runs > 1 {
				d.repeatedRuns++
			}
			n.done = true
			for _, w := range n.waiting {
				w()
			}
			n.waiting = nil
		}
		end(20)
	})
}

// after does something later, unless the dependency has ended by then.
func (d *Dependency) after(wait time.Duration, f func()) {
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-d.stop:
		case <-timer.C:
			f()
		}
	}()
}

// field reads one from a task's payload; empty where it is absent.
func field(payload []byte, wanted string) string {
	if len(payload) == 0 {
		return ""
	}
	rest := payload[1:]
	for range payload[0] {
		if len(rest) < 1 || len(rest) < 3+int(rest[0]) {
			return ""
		}
		name := string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return ""
		}
		if name == wanted {
			return string(rest[2 : 2+size])
		}
		rest = rest[2+size:]
	}
	return ""
}
