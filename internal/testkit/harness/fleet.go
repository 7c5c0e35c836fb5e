package harness

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	ejectionTime = time.Second            // that a server is left alone which did not take a connection
	restartDelay = 500 * time.Millisecond // from the end of a process to the start of the next
	minRetryTime = 5 * time.Millisecond
)

// Fleet is a number of real daemons behind one router, that goes round them and tries the next where one dismisses a task or
// is gone.
type Fleet struct {
	routes      []Route
	maxAttempts int
	start       func(i, life int) (*Daemon, error)

	mu         sync.Mutex
	servers    []*member
	next       int
	result     Result
	began      time.Time
	requestIDs *rand.Rand
	pools      []*Workers
	background sync.WaitGroup // deploys and boots under way
	errs       []error
}

type member struct {
	daemon         *Daemon
	router         *router
	ejectedUntil   time.Time
	incarnation    int
	down           bool
	earlierRouters []*router // of its earlier lives
}

// NewFleet starts the daemons; start is called with each one's number and life.
func NewFleet(types []Route, servers, tries int, start func(i, life int) (*Daemon, error)) (*Fleet, error) {
	f := &Fleet{routes: types, maxAttempts: tries, start: start, requestIDs: rand.New(rand.NewSource(time.Now().UnixNano()))}
	for i := range servers {
		m := &member{}
		f.servers = append(f.servers, m)
		if err := f.boot(i, m); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) boot(i int, m *member) error {
	d, err := f.start(i, m.incarnation)
	if err != nil {
		return err
	}
	r := &router{
		address: d.Address, routes: f.routes, sourceID: 1, answered: make(chan struct{}, 1),
		result: Result{Codes: map[byte]int{}, GoodputByRoute: make([]float64, len(f.routes))},
	}
	r.retry = func(p *pendingRequest, lost bool) bool { return f.retryElsewhere(p, lost) }
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.router != nil {
		m.earlierRouters = append(m.earlierRouters, m.router)
	}
	f.pools = append(f.pools, d.Workers)
	m.daemon, m.router, m.down, m.ejectedUntil = d, r, false, time.Time{}
	m.incarnation++
	return nil
}

// retryElsewhere sends a task to another server, where its type and its time allow that. A connection that was lost may have
// carried an effect.
func (f *Fleet) retryElsewhere(p *pendingRequest, lost bool) bool {
	t := f.routes[p.arrival.Type]
	if lost && t.Once || p.attempts >= f.maxAttempts || time.Until(p.sentAt.Add(t.Deadline)) < minRetryTime {
		return false
	}
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		f.send(p)
	}()
	return true
}

// send sends a task to the next server that takes it.
func (f *Fleet) send(p *pendingRequest) {
	for range 2 * len(f.servers) {
		f.mu.Lock()
		var to *router
		for range f.servers {
			f.next++
			at := f.next % len(f.servers)
			if m := f.servers[at]; !m.down && time.Now().After(m.ejectedUntil) && (p.attempts == 0 || at != p.server) {
				to, p.server = m.router, at
				break
			}
		}
		id := f.requestIDs.Uint64()
		f.mu.Unlock()
		if to == nil {
			break
		}
		if err := to.send(p, fmt.Sprintf("%016x", id)); err == nil {
			p.attempts++
			return
		}
		f.mu.Lock()
		f.servers[p.server].ejectedUntil = time.Now().Add(ejectionTime)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.result.Codes[50]++ // nobody would have it
	f.mu.Unlock()
}

// Run sends a load and waits for what is owed.
func (f *Fleet) Run(load []Arrival) (Result, error) {
	f.result = Result{Codes: map[byte]int{}, GoodputByRoute: make([]float64, len(f.routes))}
	f.began = time.Now()
	longest := time.Duration(0)
	for n := range load {
		time.Sleep(time.Until(f.began.Add(load[n].At)))
		t := f.routes[load[n].Type]
		f.result.Requests++
		f.result.OfferedValue += t.Value
		longest = max(longest, t.Deadline)
		p := &pendingRequest{arrival: &load[n], sentAt: time.Now()}
		if t.Once {
			p.effect = uint64(n) + 1
		}
		f.send(p)
	}
	for end := time.Now().Add(longest + time.Second); time.Now().Before(end) && f.openRequests() > 0; {
		time.Sleep(10 * time.Millisecond)
	}
	f.background.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := f.result
	for _, m := range f.servers {
		for _, r := range append(m.earlierRouters, m.router) {
			r.mu.Lock()
			sum.Goodput += r.result.Goodput
			sum.LateAnswers += r.result.LateAnswers
			sum.DuplicateAnswers += r.result.DuplicateAnswers
			sum.attempts = append(sum.attempts, r.result.attempts...)
			for code, n := range r.result.Codes {
				sum.Codes[code] += n
			}
			r.mu.Unlock()
		}
	}
	sum.Unanswered = sum.Requests
	for _, n := range sum.Codes {
		sum.Unanswered -= n
	}
	return sum, errors.Join(f.errs...)
}

func (f *Fleet) openRequests() (open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.servers {
		if !m.down {
			open += m.router.openRequests()
		}
	}
	return open
}

func (f *Fleet) recordError(err error) {
	if err != nil {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
	}
}

func (f *Fleet) markDown(i int) (*member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.servers[i]
	if m.down {
		return m, false
	}
	m.down = true
	return m, true
}

// Kill ends servers at once, and boots them again after a span.
func (f *Fleet) Kill(numbers []int, again time.Duration) {
	for _, i := range numbers {
		m, up := f.markDown(i)
		if !up {
			continue
		}
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			f.recordError(m.daemon.Kill())
			time.Sleep(again)
			f.recordError(f.boot(i, m))
		}()
	}
}

// Restart gives a server the notice to leave, and boots it anew.
func (f *Fleet) Restart(i int) {
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		if m, up := f.markDown(i); up {
			f.recordError(m.daemon.Shutdown())
			time.Sleep(restartDelay)
			f.recordError(f.boot(i, m))
		}
	}()
}

// Daemon gives a server, nil while it is down.
func (f *Fleet) Daemon(i int) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[i].down {
		return nil
	}
	return f.servers[i].daemon
}

// Pools are those of all daemons, of earlier lives too.
func (f *Fleet) Pools() []*Workers {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Workers(nil), f.pools...)
}

// Close ends all of them.
func (f *Fleet) Close() error {
	f.background.Wait()
	var failed []error
	for _, m := range f.servers {
		if m.router == nil {
			continue
		}
		failed = append(failed, m.daemon.Stop())
		for _, r := range append(m.earlierRouters, m.router) {
			r.close()
		}
	}
	return errors.Join(failed...)
}
