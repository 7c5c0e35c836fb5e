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

// httpFrontEnd is a gate with an HTTP server in front.
type httpFrontEnd struct {
	runCounter
	gate   *quartzpoint.Gate
	server *httptest.Server
	client *http.Client

	recoversPanics bool // the framework responds with status 500 to a panic
}

func newHTTPFrontEnd(handler func(s *httpFrontEnd) http.Handler) (conformance.FrontEnd, error) {
	g, err := newGate()
	if err != nil {
		return nil, err
	}
	s := &httpFrontEnd{runCounter: runCounter{seenKeys: map[string]bool{}}, gate: g}
	s.server = httptest.NewServer(handler(s))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return s, nil
}

// NewHTTP starts the middleware for net/http as a front end.
func NewHTTP() (conformance.FrontEnd, error) {
	return newHTTPFrontEnd(func(s *httpFrontEnd) http.Handler {
		return middleware.New(s.gate, requestOptions())(http.HandlerFunc(s.handle))
	})
}

// NewGin starts the middleware for gin as a front end.
func NewGin() (conformance.FrontEnd, error) {
	return newHTTPFrontEnd(func(s *httpFrontEnd) http.Handler {
		gin.SetMode(gin.ReleaseMode)
		s.recoversPanics = true
		engine := gin.New()
		engine.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) { c.AbortWithStatus(http.StatusInternalServerError) }))
		engine.Use(ginmw.New(s.gate, requestOptions()))
		engine.POST("/", func(c *gin.Context) { s.handle(c.Writer, c.Request) })
		return engine
	})
}

// The request headers that tell the handler what its run does.
const (
	routeHeader = "X-Type"
	workHeader  = "X-Works" // nanoseconds
	failsHeader = "X-Breaks"
	keyHeader   = "Idempotency-Key"
)

func requestOptions() middleware.Options {
	return middleware.Options{Route: func(request *http.Request) string { return request.Header.Get(routeHeader) }}
}

func (s *httpFrontEnd) handle(_ http.ResponseWriter, request *http.Request) {
	work, _ := strconv.ParseInt(request.Header.Get(workHeader), 10, 64) // set by Do
	if s.run(conformance.Request{Work: time.Duration(work), Fails: request.Header.Get(failsHeader) == "true", Key: request.Header.Get(keyHeader)}) != nil {
		if s.recoversPanics {
			panic("the run failed")
		}
		panic(http.ErrAbortHandler) // aborts the response like other panics, but the server does not log it
	}
}

// Do implements conformance.FrontEnd.
func (s *httpFrontEnd) Do(ctx context.Context, r conformance.Request) conformance.Outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", nil)
	if err != nil {
		return conformance.Unanswered
	}
	request.Header.Set(routeHeader, conformance.Routes(true)[r.Route].Name)
	request.Header.Set(workHeader, strconv.FormatInt(int64(r.Work), 10))
	request.Header.Set(failsHeader, strconv.FormatBool(r.Fails))
	if r.Key != "" {
		request.Header.Set(keyHeader, r.Key)
	}
	response, err := s.client.Do(request)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			_ = response.Body.Close()
		}
		return conformance.Canceled
	case err != nil:
		return conformance.Aborted // the connection was closed, since the run failed
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // only the status is evaluated
	switch response.StatusCode {
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
func (s *httpFrontEnd) Shutdown() error { return shutdownGate(s.gate) }

// Close implements conformance.FrontEnd.
func (s *httpFrontEnd) Close() {
	_ = shutdownGate(s.gate)
	s.client.CloseIdleConnections()
	s.server.CloseClientConnections()
	s.server.Close()
}
