package harness

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"net"
	"sync"
	"time"
)

// DependencyBehaviour is the behaviour of a dependency during a period. The zero value is the normal behaviour.
type DependencyBehaviour struct {
	SlowFactor  float64       // multiplies the service time; 0 means 1
	AnswerDelay time.Duration // between the end of the work and its answer
	Silent      bool          // calls are read but never answered
	Fails       bool          // calls are answered at once as aborted, and do not run
	Rejects     bool          // calls are answered at once as rejected
	Garbage     bool          // calls are answered with bytes that are not a frame
	Down        bool          // connections are refused, and open ones closed
}

// BehaviourScript returns the behaviour of a dependency at a time since its start or since RestartClock.
type BehaviourScript func(since time.Duration) DependencyBehaviour

// DependencyStats contains the counts of a dependency so far.
type DependencyStats struct {
	Calls        int // calls read
	Effects      int // runs of calls with an idempotency key
	DistinctKeys int
	RepeatedRuns int // runs of a key after its first
	MaxOpen      int // highest number of calls open at once
}

// scriptInterval is the interval at which the script is checked for whether the dependency is down.
const scriptInterval = 10 * time.Millisecond

// Dependency is an emulated service that answers calls over the frame protocol. It has a number of slots, a log-normal
// service time and a script of its behaviour. A call with a repeated idempotency key is answered when the first call of
// that key is done, without another run.
type Dependency struct {
	Address string

	slotFreeAt      []time.Time // time at which each slot is next free
	meanServiceTime time.Duration
	script          BehaviourScript
	goroutines      sync.WaitGroup
	stop            chan struct{}

	mu       sync.Mutex
	started  time.Time
	rng      *rand.Rand
	spread   float64      // sigma of the logarithm of the service time
	listener net.Listener // nil while down
	conns    map[net.Conn]bool
	keyed    map[string]*keyedCall // by idempotency key
	stats    DependencyStats
	open     int
}

// keyedCall is the state of the calls with one idempotency key.
type keyedCall struct {
	runs    int
	done    bool
	waiting []func() // answers of repeats that arrived before the first call was done
}

// NewDependency starts a dependency on loopback. spread is the standard deviation of the service time divided by its
// mean. A nil script means the normal behaviour.
func NewDependency(slots int, mean time.Duration, spread float64, seed int64, script BehaviourScript) (*Dependency, error) {
	if script == nil {
		script = func(time.Duration) DependencyBehaviour { return DependencyBehaviour{} }
	}
	d := &Dependency{
		Address: randomLoopbackAddress(), slotFreeAt: make([]time.Time, slots), meanServiceTime: mean, script: script, started: time.Now(),
		stop: make(chan struct{}), rng: rand.New(rand.NewSource(seed)), spread: math.Sqrt(math.Log1p(spread * spread)),
		conns: map[net.Conn]bool{}, keyed: map[string]*keyedCall{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Address = d.listener.Addr().String() // stays the same after the dependency was down
	d.goroutines.Go(d.followScript)
	return d, nil
}

// Close stops the dependency, closes all its connections and waits for its goroutines.
func (d *Dependency) Close() {
	close(d.stop)
	d.mu.Lock()
	if d.listener != nil {
		_ = d.listener.Close()
	}
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.mu.Unlock()
	d.goroutines.Wait()
}

// RestartClock sets the time that is passed to the script back to zero.
func (d *Dependency) RestartClock() {
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
}

// Stats returns the counts so far.
func (d *Dependency) Stats() DependencyStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

func (d *Dependency) behaviour() DependencyBehaviour { return d.script(time.Since(d.started)) }

// followScript closes and reopens the listener as the script requires, until Close.
func (d *Dependency) followScript() {
	tick := time.NewTicker(scriptInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
			d.applyScript()
		}
	}
}

func (d *Dependency) applyScript() {
	d.mu.Lock()
	defer d.mu.Unlock()
	down := d.behaviour().Down
	switch {
	case down && d.listener != nil:
		_ = d.listener.Close()
		d.listener = nil
		for conn := range d.conns {
			_ = conn.Close()
		}
	case !down && d.listener == nil:
		_ = d.listen() // retried at the next tick
	}
}

func (d *Dependency) listen() error {
	listener, err := net.Listen("tcp", d.Address)
	if err != nil {
		return fmt.Errorf("dependency: %w", err)
	}
	d.listener = listener
	d.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[conn] = true
			d.mu.Unlock()
			d.goroutines.Go(func() { d.serve(conn) })
		}
	})
	return nil
}

// serve answers calls until the connection ends.
func (d *Dependency) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}()
	var write sync.Mutex
	for {
		kind, stream, payload, err := readFrame(conn)
		if err != nil {
			return
		}
		if kind != FrameRequest {
			continue // not a request: cancellations are ignored, so a cancelled call runs to its end
		}
		d.handle(payload, func(frame []byte) {
			write.Lock()
			defer write.Unlock()
			_, _ = conn.Write(frame) // the caller may have closed the connection
		}, stream)
	}
}

// answerFrame returns the frame that answers a call.
func answerFrame(stream uint32, code byte) []byte {
	answer := append([]byte{code, 0}, "result"...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(frameHeadSize-4+len(answer)))
	frame = binary.BigEndian.AppendUint32(append(frame, FrameAnswer), stream)
	return append(frame, answer...)
}

// handle answers a call at once or starts its run.
func (d *Dependency) handle(payload []byte, write func(frame []byte), stream uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Calls++
	d.open++
	d.stats.MaxOpen = max(d.stats.MaxOpen, d.open)
	behaviour := d.behaviour()
	if frame := behaviour.immediate(stream); frame != nil {
		d.open--
		d.after(0, func() { write(frame) })
		return
	}
	succeed := func() {
		d.open--
		if !behaviour.Silent {
			d.after(behaviour.AnswerDelay, func() { write(answerFrame(stream, StatusServed)) })
		}
	}
	key := requestField(payload, "num")
	if key != "" {
		if first := d.keyed[key]; first != nil {
			if first.done {
				succeed()
			} else {
				first.waiting = append(first.waiting, succeed)
			}
			return
		}
		d.stats.DistinctKeys++
		d.keyed[key] = &keyedCall{}
	}
	d.after(d.reserveSlot(behaviour), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recordRun(key)
		succeed()
	})
}

// immediate returns the frame that answers a call at once, or nil if the call runs.
func (b DependencyBehaviour) immediate(stream uint32) []byte {
	switch {
	case b.Garbage:
		return []byte("\xff\xff\xff\xffgarbage")
	case b.Fails:
		return answerFrame(stream, StatusAborted)
	case b.Rejects:
		return answerFrame(stream, StatusRejected)
	}
	return nil
}

// reserveSlot reserves for one call the slot that becomes free first, and returns the time until the call is done.
func (d *Dependency) reserveSlot(behaviour DependencyBehaviour) time.Duration {
	first := 0
	for i := range d.slotFreeAt {
		if d.slotFreeAt[i].Before(d.slotFreeAt[first]) {
			first = i
		}
	}
	slow := behaviour.SlowFactor
	if slow == 0 {
		slow = 1
	}
	serviceTime := time.Duration(float64(d.meanServiceTime) * slow * math.Exp(d.rng.NormFloat64()*d.spread-d.spread*d.spread/2))
	now := time.Now()
	if d.slotFreeAt[first].Before(now) {
		d.slotFreeAt[first] = now
	}
	d.slotFreeAt[first] = d.slotFreeAt[first].Add(serviceTime)
	return d.slotFreeAt[first].Sub(now)
}

// recordRun records that the call with a key has run, and answers the repeats that wait for it. It does nothing for a
// call without a key.
func (d *Dependency) recordRun(key string) {
	call := d.keyed[key]
	if call == nil {
		return
	}
	d.stats.Effects++
	if call.runs++; call.runs > 1 {
		d.stats.RepeatedRuns++
	}
	call.done = true
	for _, answer := range call.waiting {
		answer()
	}
	call.waiting = nil
}

// after calls f when wait has passed, unless the dependency is closed by then.
func (d *Dependency) after(wait time.Duration, f func()) {
	d.goroutines.Go(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-d.stop:
		case <-timer.C:
			f()
		}
	})
}
