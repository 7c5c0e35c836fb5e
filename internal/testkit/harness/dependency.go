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

// Mood is how a dependency behaves for a while.
type Mood struct {
	Slow    float64       // times its usual service time; 0 is as usual
	Late    time.Duration // by which answers come later than the work is done
	Silent  bool          // reads and never answers
	Errors  bool          // answers at once that it failed, and does nothing
	Refuses bool          // answers at once that it did not run
	Garbage bool          // writes what is no frame
	Down    bool          // no connection is taken, and those that are open end
}

// Script says how a dependency behaves at a time since its start.
type Script func(since time.Duration) Mood

// Dependency plays one: so many slots, a service time of log-normal spread, and a script. What it runs with a
// number, or was asked to, is counted; a repeat of a number is answered from the first.
type Dependency struct {
	Address string

	slots  []time.Time // when each is free
	mean   time.Duration
	script Script
	began  time.Time
	over   sync.WaitGroup
	quit   chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	spread   float64
	listener net.Listener
	links    map[net.Conn]bool
	first    map[string]*numbered
	calls    int
	effects  int // runs of numbered calls
	asked    int // numbers asked for
	twice    int
	open     int
	most     int
}

type numbered struct {
	runs int
	done bool
	wait []func()
}

// NewDependency starts one.
func NewDependency(slots int, mean time.Duration, spread float64, seed int64, script Script) (*Dependency, error) {
	if script == nil {
		script = func(time.Duration) Mood { return Mood{} }
	}
	d := &Dependency{
		Address: host(), slots: make([]time.Time, slots), mean: mean, script: script, began: time.Now(),
		quit: make(chan struct{}), rng: rand.New(rand.NewSource(seed)), spread: math.Sqrt(math.Log1p(spread * spread)),
		links: map[net.Conn]bool{}, first: map[string]*numbered{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Address = d.listener.Addr().String() // the same when it comes up again
	d.over.Add(1)
	go func() {
		defer d.over.Done()
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-d.quit:
				return
			case <-tick.C:
				d.follow()
			}
		}
	}()
	return d, nil
}

// Begin sets the script's clock to zero now.
func (d *Dependency) Begin() {
	d.mu.Lock()
	d.began = time.Now()
	d.mu.Unlock()
}

func (d *Dependency) mood() Mood { return d.script(time.Since(d.began)) }

func (d *Dependency) listen() error {
	listener, err := net.Listen("tcp", d.Address)
	if err != nil {
		return fmt.Errorf("dependency: %w", err)
	}
	d.listener = listener
	d.over.Add(1)
	go func() {
		defer d.over.Done()
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.links[link] = true
			d.mu.Unlock()
			d.over.Add(1)
			go func() {
				defer d.over.Done()
				d.serve(link)
			}()
		}
	}()
	return nil
}

// follow goes down and comes up as the script says.
func (d *Dependency) follow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	down := d.mood().Down
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
	close(d.quit)
	d.mu.Lock()
	if d.listener != nil {
		d.listener.Close()
	}
	for link := range d.links {
		link.Close()
	}
	d.mu.Unlock()
	d.over.Wait()
}

// Seen is what a dependency counted.
type Seen struct {
	Calls   int // attempts read
	Effects int // runs of numbered calls
	Numbers int // different numbers
	Twice   int // runs of a number that had run
	Most    int // calls open at once
}

// Seen tells what was counted so far.
func (d *Dependency) Seen() Seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Seen{d.calls, d.effects, d.asked, d.twice, d.most}
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
		if size < 5 || size > mostReply {
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
		d.take(payload, func(code byte) {
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

// take serves a call.
func (d *Dependency) take(payload []byte, answer func(code byte), garbage func()) {
	number := field(payload, "num")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.open++
	d.most = max(d.most, d.open)
	mood := d.mood()
	end := func(code byte) {
		d.open--
		if !mood.Silent {
			d.after(mood.Late, func() { answer(code) })
		}
	}
	switch {
	case mood.Errors, mood.Refuses, mood.Garbage:
		d.open--
		switch {
		case mood.Garbage:
			d.after(0, garbage)
		case mood.Errors:
			d.after(0, func() { answer(51) })
		default:
			d.after(0, func() { answer(50) })
		}
		return
	}
	if number != "" {
		d.asked++
		if known := d.first[number]; known != nil {
			d.asked--
			if known.done {
				end(20)
			} else {
				known.wait = append(known.wait, func() { end(20) })
			}
			return
		}
		d.first[number] = &numbered{}
	}
	least := 0
	for i := range d.slots {
		if d.slots[i].Before(d.slots[least]) {
			least = i
		}
	}
	slow := mood.Slow
	if slow == 0 {
		slow = 1
	}
	takes := time.Duration(float64(d.mean) * slow * math.Exp(d.rng.NormFloat64()*d.spread-d.spread*d.spread/2))
	now := time.Now()
	if d.slots[least].Before(now) {
		d.slots[least] = now
	}
	d.slots[least] = d.slots[least].Add(takes)
	d.after(d.slots[least].Sub(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.first[number]; n != nil {
			d.effects++
			if n.runs++; n.runs > 1 {
				d.twice++
			}
			n.done = true
			for _, w := range n.wait {
				w()
			}
			n.wait = nil
		}
		end(20)
	})
}

// after does something later, unless the dependency has ended by then.
func (d *Dependency) after(wait time.Duration, f func()) {
	d.over.Add(1)
	go func() {
		defer d.over.Done()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-d.quit:
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
