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

var errBreaks = errors.New("the run broke")

// work plays runs in this process and counts them.
type work struct {
	mu    sync.Mutex
	runs  int
	first map[string]bool
	twice int
}

func (w *work) do(a Ask) error {
	w.mu.Lock()
	w.runs++
	if a.Number != "" {
		if w.first[a.Number] {
			w.twice++
		}
		w.first[a.Number] = true
	}
	w.mu.Unlock()
	time.Sleep(a.Works)
	if a.Breaks {
		return errBreaks
	}
	return nil
}

func (w *work) Effects() (runs, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs, w.twice
}

func gate(numbers bool) (*quartzpoint.Gate, error) {
	// The gauges are those that the daemon gets: runs sleep, and other gates of this process are none of its load.
	t := quartzpoint.Options{Cores: Cores, MemoryMB: 1 << 10, Grace: 400 * time.Millisecond, Seed: 1}
	t.Gauges = func(running int) quartzpoint.Gauges { return quartzpoint.Gauges{Runnable: float64(running)} }
	for _, kind := range Types(numbers) {
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

// library is the gate in process.
type library struct {
	work
	gate *quartzpoint.Gate
}

// NewLibrary starts a gate.
func NewLibrary() (Front, error) {
	g, err := gate(true)
	return &library{work{first: map[string]bool{}}, g}, err
}

func (l *library) Do(ctx context.Context, a Ask) Outcome {
	_, err := l.gate.DoOnce(ctx, quartzpoint.Request{Route: Types(true)[a.Type].Name, IdempotencyKey: a.Number},
		func(context.Context) ([]byte, error) { return nil, l.do(a) })
	return outcome(err)
}

func outcome(err error) Outcome {
	var dismissed *quartzpoint.RejectedError
	switch {
	case err == nil:
		return Honoured
	case errors.As(err, &dismissed), errors.Is(err, quartzpoint.ErrShutDown):
		return Dismissed
	case errors.Is(err, quartzpoint.ErrAborted), errors.Is(err, errBreaks):
		return GivenUp
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return Left
	}
	return Missing
}

func leave(g *quartzpoint.Gate) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	return g.Shutdown(ctx)
}

func (l *library) Leave() error { return leave(l.gate) }
func (l *library) Close()       { _ = leave(l.gate) }

// served is a gate behind an HTTP server.
type served struct {
	work
	gate   *quartzpoint.Gate
	server *httptest.Server
	client *http.Client

	recovers bool // the framework answers 500 for a panic
}

func newServed(handler func(s *served) http.Handler) (Front, error) {
	g, err := gate(true)
	if err != nil {
		return nil, err
	}
	s := &served{work: work{first: map[string]bool{}}, gate: g}
	s.server = httptest.NewServer(handler(s))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return s, nil
}

// NewHTTP starts the middleware for net/http.
func NewHTTP() (Front, error) {
	return newServed(func(s *served) http.Handler { return middleware.New(s.gate, rules())(http.HandlerFunc(s.handle)) })
}

// NewGin starts the middleware for gin.
func NewGin() (Front, error) {
	return newServed(func(s *served) http.Handler {
		gin.SetMode(gin.ReleaseMode)
		s.recovers = true
		e := gin.New()
		e.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) { c.AbortWithStatus(http.StatusInternalServerError) }))
		e.Use(ginmw.New(s.gate, rules()))
		e.POST("/", func(c *gin.Context) { s.handle(c.Writer, c.Request) })
		return e
	})
}

func rules() middleware.Options {
	return middleware.Options{Route: func(q *http.Request) string { return q.Header.Get("X-Type") }}
}

func (s *served) handle(_ http.ResponseWriter, q *http.Request) {
	works, _ := strconv.ParseInt(q.Header.Get("X-Works"), 10, 64) // the suite's own
	if s.do(Ask{Works: time.Duration(works), Breaks: q.Header.Get("X-Breaks") == "true", Number: q.Header.Get("Idempotency-Key")}) != nil {
		if s.recovers {
			panic("a broken run")
		}
		panic(http.ErrAbortHandler) // the same, without the server's words
	}
}

func (s *served) Do(ctx context.Context, a Ask) Outcome {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", nil)
	if err != nil {
		return Missing
	}
	q.Header.Set("X-Type", Types(true)[a.Type].Name)
	q.Header.Set("X-Works", strconv.FormatInt(int64(a.Works), 10))
	q.Header.Set("X-Breaks", strconv.FormatBool(a.Breaks))
	if a.Number != "" {
		q.Header.Set("Idempotency-Key", a.Number)
	}
	answer, err := s.client.Do(q)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			answer.Body.Close()
		}
		return Left
	case err != nil:
		return GivenUp // aborted: a broken run
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body) // the status tells
	switch answer.StatusCode {
	case http.StatusOK:
		return Honoured
	case http.StatusServiceUnavailable:
		return Dismissed
	case http.StatusGatewayTimeout, http.StatusInternalServerError:
		return GivenUp
	}
	return Missing
}

func (s *served) Leave() error { return leave(s.gate) }

func (s *served) Close() {
	_ = leave(s.gate)
	s.client.CloseIdleConnections()
	s.server.CloseClientConnections()
	s.server.Close()
}

// daemon is the daemon over its frames, with workers whose runs do not share their cores.
type daemon struct {
	*harness.Daemon
	left sync.Once
	err  error
}

// NewDaemon starts the daemon's program. It carries no numbers.
func NewDaemon(program, folder, name string) (Front, error) {
	// So many cores that no run waits for another; the decisions are told of the suite's.
	d, err := harness.StartWithoutFile(program, folder, name, Types(false), harness.Machine{Cores: Cores, Speed: 1, MemoryKB: 1 << 20, Independent: true})
	if err != nil {
		return nil, err
	}
	return &daemon{Daemon: d}, nil
}

func (d *daemon) Do(ctx context.Context, a Ask) Outcome {
	t := Types(false)[a.Type]
	link, err := net.Dial("tcp", d.Address)
	if err != nil {
		return Dismissed // refused: nothing ran
	}
	defer link.Close()
	defer context.AfterFunc(ctx, func() { link.Close() })()
	body := binary.BigEndian.AppendUint64(nil, uint64(a.Works.Microseconds()))
	if a.Breaks {
		body = append(body, 1)
	}
	_, err = link.Write(harness.Frame(10, 1, string(body),
		"op", t.Name, "call", fmt.Sprintf("%016x", rand.Uint64()), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "1", "ttl", strconv.FormatInt(t.Deadline.Milliseconds(), 10), "heap", "4", "crit", "0.5"))
	for err == nil {
		var reply harness.Reply
		if reply, err = harness.ReadReply(link); err == nil && reply.Type == 11 {
			return map[byte]Outcome{20: Honoured, 50: Dismissed, 51: GivenUp}[reply.Code]
		}
	}
	if ctx.Err() != nil {
		return Left
	}
	return Missing
}

func (d *daemon) Effects() (runs, twice int) {
	at, twice := d.Workers.StartOffsets()
	return len(at), twice
}

func (d *daemon) Leave() error {
	d.left.Do(func() { d.err = d.Stop() })
	return d.err
}

func (d *daemon) Close() { _ = d.Leave() }
