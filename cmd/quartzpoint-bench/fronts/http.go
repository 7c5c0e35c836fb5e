package fronts

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"quartzpoint"
	"quartzpoint/internal/testkit/conformance"
	"quartzpoint/middleware"
	"quartzpoint/middleware/ginmw"
)

// httpFront is a gate behind an HTTP server.
type httpFront struct {
	runCounter
	gate   *quartzpoint.Gate
	server *httptest.Server
	client *http.Client

	recoversPanics bool // the framework answers 500 for a panic
}

func newHTTPFront(handler func(s *httpFront) http.Handler) (conformance.FrontEnd, error) {
	g, err := newGate()
	if err != nil {
		return nil, err
	}
	s := &httpFront{runCounter: runCounter{seenKeys: map[string]bool{}}, gate: g}
	s.server = httptest.NewServer(handler(s))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return s, nil
}

// NewHTTP starts the middleware for net/http as a front.
func NewHTTP() (conformance.FrontEnd, error) {
	return newHTTPFront(func(s *httpFront) http.Handler {
		return middleware.New(s.gate, requestOptions())(http.HandlerFunc(s.handle))
	})
}

// NewGin starts the middleware for gin as a front.
func NewGin() (conformance.FrontEnd, error) {
	return newHTTPFront(func(s *httpFront) http.Handler {
		gin.SetMode(gin.ReleaseMode)
		s.recoversPanics = true
		engine := gin.New()
		engine.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) { c.AbortWithStatus(http.StatusInternalServerError) }))
		engine.Use(ginmw.New(s.gate, requestOptions()))
		engine.POST("/", func(c *gin.Context) { s.handle(c.Writer, c.Request) })
		return engine
	})
}

// The headers of a request that state what its run does.
const (
	routeHeader = "X-Type"
	workHeader  = "X-Works" // nanoseconds
	failsHeader = "X-Breaks"
	keyHeader   = "Idempotency-Key"
)

func requestOptions() middleware.Options {
	return middleware.Options{Route: func(q *http.Request) string { return q.Header.Get(routeHeader) }}
}

func (s *httpFront) handle(_ http.ResponseWriter, q *http.Request) {
	work, _ := strconv.ParseInt(q.Header.Get(workHeader), 10, 64) // set by Do
	if s.run(conformance.Request{Work: time.Duration(work), Fails: q.Header.Get(failsHeader) == "true", Key: q.Header.Get(keyHeader)}) != nil {
		if s.recoversPanics {
			panic("the run failed")
		}
		panic(http.ErrAbortHandler) // as a panic, but the server logs nothing
	}
}

// Do implements conformance.FrontEnd.
func (s *httpFront) Do(ctx context.Context, r conformance.Request) conformance.Outcome {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", nil)
	if err != nil {
		return conformance.Unanswered
	}
	q.Header.Set(routeHeader, conformance.Routes(true)[r.Route].Name)
	q.Header.Set(workHeader, strconv.FormatInt(int64(r.Work), 10))
	q.Header.Set(failsHeader, strconv.FormatBool(r.Fails))
	if r.Key != "" {
		q.Header.Set(keyHeader, r.Key)
	}
	answer, err := s.client.Do(q)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			_ = answer.Body.Close()
		}
		return conformance.Canceled
	case err != nil:
		return conformance.Aborted // the connection was closed: the run failed
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body) // only the status counts
	switch answer.StatusCode {
	case http.StatusOK:
		return conformance.Served
	case http.StatusServiceUnavailable:
		return conformance.Rejected
	case http.StatusGatewayTimeout, http.StatusInternalServerError:
		return conformance.Aborted
	}
	return conformance.Unanswered
}

// Shutdown implements conformance.FrontEnd.
func (s *httpFront) Shutdown() error { return shutdownGate(s.gate) }

// Close implements conformance.FrontEnd.
func (s *httpFront) Close() {
	_ = shutdownGate(s.gate)
	s.client.CloseIdleConnections()
	s.server.CloseClientConnections()
	s.server.Close()
}
