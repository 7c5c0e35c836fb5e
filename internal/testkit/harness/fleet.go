package harness

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

const (
	ejectionTime = time.Second            // of a server after a dial or a write has failed
	restartDelay = 500 * time.Millisecond // from the end of a process to the start of the next
	minRetryTime = 5 * time.Millisecond   // minimum time until the deadline for another attempt
)

// Fleet is a group of real daemons with one router. The router sends requests round robin, and retries a request at the
// next server if its server rejects it or the connection is lost.
type Fleet struct {
	routes      []Route
	maxAttempts int
	start       func(i, incarnation int) (*Daemon, error)

	mu         sync.Mutex
	servers    []*member
	next       int
	result     Result
	began      time.Time
	requestIDs *rand.Rand // source of the request IDs
	pools      []*Workers
	background sync.WaitGroup // restarts in progress, and retries
	errs       []error        // of kills and restarts
}

type member struct {
	daemon         *Daemon
	router         *router
	ejectedUntil   time.Time
	incarnation    int // number of the next process, from 0
	down           bool
	earlierRouters []*router // of earlier incarnations
}

// NewFleet starts the daemons. start is called with the index of a server and its incarnation, both counted from 0. A
// fleet that is returned with an error must be closed too.
func NewFleet(routes []Route, servers, maxAttempts int, start func(i, incarnation int) (*Daemon, error)) (*Fleet, error) {
	f := &Fleet{routes: routes, maxAttempts: maxAttempts, start: start, requestIDs: rand.New(rand.NewSource(time.Now().UnixNano()))}
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

// retryElsewhere sends a request to another server if its route, deadline and number of attempts allow that, and
// reports whether it does. If the connection was lost (lost), the request may already have had its effect, so an
// at-most-once request is not sent again.
func (f *Fleet) retryElsewhere(p *pendingRequest, lost bool) bool {
	route := f.routes[p.arrival.Route]
	if lost && route.AtMostOnce || p.attempts >= f.maxAttempts || time.Until(p.sentAt.Add(route.Deadline)) < minRetryTime {
		return false
	}
	f.background.Go(func() { f.send(p) })
	return true
}

// send sends a request to the next server to which it can be written. A retry is not sent to the server of the last
// attempt. If the request can be written to no server, it counts as rejected.
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
	f.result.Codes[StatusRejected]++ // it could be written to no server
	f.mu.Unlock()
}

// Run sends a load and waits until every request is answered or past its deadline. It may be called only once.
func (f *Fleet) Run(load []Arrival) (Result, error) {
	f.result = Result{Codes: map[byte]int{}, GoodputByRoute: make([]float64, len(f.routes))}
	f.began = time.Now()
	longest := time.Duration(0)
	for n := range load {
		time.Sleep(time.Until(f.began.Add(load[n].At)))
		route := f.routes[load[n].Route]
		f.result.Requests++
		f.result.OfferedValue += route.Value
		longest = max(longest, route.Deadline)
		p := &pendingRequest{arrival: &load[n], sentAt: time.Now()}
		if route.AtMostOnce {
			p.effect = uint64(n) + 1
		}
		f.send(p)
	}
	for end := time.Now().Add(longest + time.Second); time.Now().Before(end) && f.openRequests() > 0; {
		time.Sleep(10 * time.Millisecond)
	}
	f.background.Wait()
	return f.total()
}

// total returns the sum of the results of all routers, without Partial, GoodputByRoute and Latencies, and the errors of
// kills and restarts.
func (f *Fleet) total() (Result, error) {
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

// Kill ends servers with SIGKILL, and starts them again after a delay. It skips servers that are down.
func (f *Fleet) Kill(indexes []int, delay time.Duration) {
	for _, i := range indexes {
		m, up := f.markDown(i)
		if !up {
			continue
		}
		f.background.Go(func() {
			f.recordError(m.daemon.Kill())
			time.Sleep(delay)
			f.recordError(f.boot(i, m))
		})
	}
}

// Restart shuts a server down gracefully, and starts it again after restartDelay.
func (f *Fleet) Restart(i int) {
	f.background.Go(func() {
		if m, up := f.markDown(i); up {
			f.recordError(m.daemon.Shutdown())
			time.Sleep(restartDelay)
			f.recordError(f.boot(i, m))
		}
	})
}

// Daemon returns the daemon of a server, or nil while it is down.
func (f *Fleet) Daemon(i int) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[i].down {
		return nil
	}
	return f.servers[i].daemon
}

// Pools returns the worker pools of all daemons, including those of earlier incarnations.
func (f *Fleet) Pools() []*Workers {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.pools)
}

// Close stops all servers and closes all connections.
func (f *Fleet) Close() error {
	f.background.Wait()
	var errs []error
	for _, m := range f.servers {
		if m.router == nil {
			continue
		}
		errs = append(errs, m.daemon.Stop())
		for _, r := range append(m.earlierRouters, m.router) {
			r.close()
		}
	}
	return errors.Join(errs...)
}
