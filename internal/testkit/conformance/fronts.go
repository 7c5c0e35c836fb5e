package conformance

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"quartzpoint"
	"quartzpoint/internal/testkit/harness"
	"quartzpoint/middleware"
	"quartzpoint/middleware/ginmw"
)

var errRunFailed = errors.New("the run broke")

// runCounter plays runs in this process and counts them.
type runCounter struct {
	mu       sync.Mutex
	runs     int
	seenKeys map[string]bool
	repeated int
}

func (w *runCounter) run(a Request) error {
	w.mu.Lock()
	w.runs++
	if a.Key != "" {
		if w.seenKeys[a.Key] {
			w.repeated++
		}
		w.seenKeys[a.Key] = true
	}
	w.mu.Unlock()
	time.Sleep(a.Work)
	if a.Fails {
		return errRunFailed
	}
	return nil
}

func (w *runCounter) Effects() (runs, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs, w.repeated
}

func gate(numbers bool) (*quartzpoint.Gate, error) {
	// The gauges are those that the daemon gets: runs sleep, and other gates of this process are none of its load.
	t := quartzpoint.Options{Cores: Cores, MemoryMB: 1 << 10, Grace: 400 * time.Millisecond, Seed: 1}
	t.Gauges = func(running int) quartzpoint.Gauges { return quartzpoint.Gauges{Runnable: float64(running)} }
	for _, kind := range Routes(numbers) {
		of := quartzpoint.Route{Name: kind.Name, Value: kind.Value, LatencyTarget: kind.LatencyTarget, Deadline: kind.Deadline}
		if kind.AtMostOnce {
			of.Idempotency = quartzpoint.AtMostOnce
		}
		if kind.Name == "deposit" {
			of.Idempotency = quartzpoint.Keyed
		}
		t.Routes = append(t.Routes, of)
	}
	return quartzpoint.New(t)
}

// libraryFront is the gate in process.
type libraryFront struct {
	runCounter
	gate *quartzpoint.Gate
}

// NewLibrary starts a gate.
func NewLibrary() (Front, error) {
	g, err := gate(true)
	return &libraryFront{runCounter{seenKeys: map[string]bool{}}, g}, err
}

func (l *libraryFront) Do(ctx context.Context, a Request) Outcome {
	_, err := l.gate.DoOnce(ctx, quartzpoint.Request{Route: Routes(true)[a.Route].Name, IdempotencyKey: a.Key},
		func(context.Context) ([]byte, error) { return nil, l.run(a) })
	return outcome(err)
}

func outcome(err error) Outcome {
	var dismissed *quartzpoint.RejectedError
	switch {
	case err == nil:
		return Served
	case errors.As(err, &dismissed), errors.Is(err, quartzpoint.ErrShutDown):
		return Rejected
	case errors.Is(err, quartzpoint.ErrAborted), errors.Is(err, errRunFailed):
		return Aborted
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return Canceled
	}
	return Unanswered
}

func shutdownGate(g *quartzpoint.Gate) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	return g.Shutdown(ctx)
}

func (l *libraryFront) Shutdown() error { return shutdownGate(l.gate) }
func (l *libraryFront) Close()          { _ = shutdownGate(l.gate) }

// httpFront is a gate behind an HTTP server.
type httpFront struct {
	runCounter
	gate   *quartzpoint.Gate
	server *httptest.Server
	client *http.Client

	recoversPanics bool // the framework answers 500 for a panic
}

func newHTTPFront(handler func(s *httpFront) http.Handler) (Front, error) {
	g, err := gate(true)
	if err != nil {
		return nil, err
	}
	s := &httpFront{runCounter: runCounter{seenKeys: map[string]bool{}}, gate: g}
	s.server = httptest.NewServer(handler(s))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return s, nil
}

// NewHTTP starts the middleware for net/http.
func NewHTTP() (Front, error) {
	return newHTTPFront(func(s *httpFront) http.Handler {
		return middleware.New(s.gate, requestOptions())(http.HandlerFunc(s.handle))
	})
}

// NewGin starts the middleware for gin.
func NewGin() (Front, error) {
	return newHTTPFront(func(s *httpFront) http.Handler {
		gin.SetMode(gin.ReleaseMode)
		s.recoversPanics = true
		e := gin.New()
		e.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) { c.AbortWithStatus(http.StatusInternalServerError) }))
		e.Use(ginmw.New(s.gate, requestOptions()))
		e.POST("/", func(c *gin.Context) { s.handle(c.Writer, c.Request) })
		return e
	})
}

func requestOptions() middleware.Options {
	return middleware.Options{Route: func(q *http.Request) string { return q.Header.Get("X-Type") }}
}

func (s *httpFront) handle(_ http.ResponseWriter, q *http.Request) {
	works, _ := strconv.ParseInt(q.Header.Get("X-Works"), 10, 64) // the suite's own
	if s.run(Request{Work: time.Duration(works), Fails: q.Header.Get("X-Breaks") == "true", Key: q.Header.Get("Idempotency-Key")}) != nil {
		if s.recoversPanics {
			panic("a broken run")
		}
		panic(http.ErrAbortHandler) // the same, without the server's words
	}
}

func (s *httpFront) Do(ctx context.Context, a Request) Outcome {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", nil)
	if err != nil {
		return Unanswered
	}
	q.Header.Set("X-Type", Routes(true)[a.Route].Name)
	q.Header.Set("X-Works", strconv.FormatInt(int64(a.Work), 10))
	q.Header.Set("X-Breaks", strconv.FormatBool(a.Fails))
	if a.Key != "" {
		q.Header.Set("Idempotency-Key", a.Key)
	}
	answer, err := s.client.Do(q)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			answer.Body.Close()
		}
		return Canceled
	case err != nil:
		return Aborted // aborted: a broken run
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body) // the status tells
	switch answer.StatusCode {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable:
		return Rejected
	case http.StatusGatewayTimeout, http.StatusInternalServerError:
		return Aborted
	}
	return Unanswered
}

func (s *httpFront) Shutdown() error { return shutdownGate(s.gate) }

func (s *httpFront) Close() {
	_ = shutdownGate(s.gate)
	s.client.CloseIdleConnections()
	s.server.CloseClientConnections()
	s.server.Close()
}

// daemonFront is the daemon over its frames, with workers whose runs do not share their cores.
type daemonFront struct {
	*harness.Daemon
	shutdown sync.Once
	err      error
}

// NewDaemon starts the daemon's program. It carries no numbers.
func NewDaemon(program, folder, name string) (Front, error) {
	// So many cores that no run waits for another; the decisions are told of the suite's.
	d, err := harness.StartWithoutFile(program, folder, name, Routes(false), harness.Machine{Cores: Cores, Speed: 1, MemoryKB: 1 << 20, Independent: true})
	if err != nil {
		return nil, err
	}
	return &daemonFront{Daemon: d}, nil
}

func (d *daemonFront) Do(ctx context.Context, a Request) Outcome {
	t := Routes(false)[a.Route]
	link, err := net.Dial("tcp", d.Address)
	if err != nil {
		return Rejected // refused: nothing ran
	}
	defer link.Close()
	defer context.AfterFunc(ctx, func() { link.Close() })()
	body := binary.BigEndian.AppendUint64(nil, uint64(a.Work.Microseconds()))
	if a.Fails {
		body = append(body, 1)
	}
	_, err = link.Write(harness.Frame(10, 1, string(body),
		"op", t.Name, "call", fmt.Sprintf("%016x", rand.Uint64()), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "1", "ttl", strconv.FormatInt(t.Deadline.Milliseconds(), 10), "heap", "4", "crit", "0.5"))
	for err == nil {
		var reply harness.Reply
		if reply, err = harness.ReadReply(link); err == nil && reply.Type == 11 {
			return map[byte]Outcome{20: Served, 50: Rejected, 51: Aborted}[reply.Code]
		}
	}
	if ctx.Err() != nil {
		return Canceled
	}
	return Unanswered
}

func (d *daemonFront) Effects() (runs, twice int) {
	at, twice := d.Workers.StartOffsets()
	return len(at), twice
}

func (d *daemonFront) Shutdown() error {
	d.shutdown.Do(func() { d.err = d.Stop() })
	return d.err
}

func (d *daemonFront) Close() { _ = d.Shutdown() }
