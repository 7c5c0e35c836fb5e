package dependency

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/admission"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testDependency is a dependency that answers each call with bytes that the test provides.
type testDependency struct {
	address     string
	requests    chan *http.Request
	bodies      chan string
	connections chan net.Conn
}

// newTestDependency starts a dependency that answers call number n, counted from 0, with answer(n). An empty answer
// means no reply; an answer that ends in "\x00" is followed by the end of the connection.
func newTestDependency(t *testing.T, answer func(n int) string) *testDependency {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &testDependency{
		address: listener.Addr().String(), requests: make(chan *http.Request, 64), bodies: make(chan string, 64),
		connections: make(chan net.Conn, 64),
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	n := 0
	serve := func(conn net.Conn) {
		defer running.Done()
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			text := answer(n)
			n++
			mu.Unlock()
			d.requests <- r
			d.bodies <- string(body)
			last := len(text) > 0 && text[len(text)-1] == 0
			if last {
				text = text[:len(text)-1]
			}
			_, _ = io.WriteString(conn, text)
			if last {
				return
			}
		}
	}
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.connections <- conn
			running.Add(1)
			go serve(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		for len(d.connections) > 0 {
			_ = (<-d.connections).Close()
		}
		running.Wait()
	})
	return d
}

// testCaller is a caller whose reports are sent to ends.
type testCaller struct {
	*Caller
	ends chan workerapi.CallEnd
}

func newTestCaller(t *testing.T, address string, maxConnections int) *testCaller {
	caller := &testCaller{ends: make(chan workerapi.CallEnd, 64)}
	caller.Caller = New(address, maxConnections, slog.New(slog.NewTextHandler(io.Discard, nil)), func(string) {},
		func(e workerapi.CallEnd) { caller.ends <- e })
	t.Cleanup(func() { caller.SetAddress("127.0.0.1:1") }) // closes the idle connections
	return caller
}

func (c *testCaller) next(t *testing.T) workerapi.CallEnd {
	t.Helper()
	select {
	case e := <-c.ends:
		return e
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the call did not end")
		return workerapi.CallEnd{}
	}
}

func testCall(n uint64, timeout time.Duration) workerapi.Call {
	return workerapi.Call{CallID: n, RequestID: "9b1f03aa5c7e2d41", Body: []byte("\x00 what\r\n"), Timeout: timeout}
}

const goodReply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"

// Every reply, and every way in which a reply can be missing or invalid, has one outcome, and the next call succeeds.
func TestCallOutcomes(t *testing.T) {
	cases := map[string]struct {
		answer  string
		outcome admission.Outcome
		result  string
	}{
		"success":                           {goodReply, admission.Succeeded, "reply"},
		"success, chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nre\r\n3\r\nply\r\n0\r\n\r\n", admission.Succeeded, "reply"},
		"success, ends with the connection": {"HTTP/1.0 200 OK\r\n\r\nreply\x00", admission.Succeeded, "reply"},
		"success, connection closed":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nreply\x00", admission.Succeeded, "reply"},
		"success, empty":                    {"HTTP/1.1 204 No Content\r\n\r\n", admission.Succeeded, ""},
		"success after an interim reply":    {"HTTP/1.1 102 Processing\r\n\r\n" + goodReply, admission.Succeeded, "reply"},
		"shed":                              {"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n", admission.NotRun, ""},
		"failed":                            {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", admission.Failed, ""},
		"failed, not shed":                  {"HTTP/1.1 503 Busy\r\nX-Shed: 0\r\nContent-Length: 0\r\n\r\n", admission.Failed, ""},
		"gateway timeout":                   {"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", admission.Unknown, ""},
		"connection closed without a reply": {"\x00", admission.Unknown, ""},
		"reply cut off":                     {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nreply\x00", admission.Unknown, ""},
		"not HTTP":                          {"SSH-2.0\r\n\r\n", admission.Unknown, ""},
		"no reply":                          {"", admission.Unknown, ""},
		"header over the size limit":        {"HTTP/1.1 200 OK\r\nX: " + fmt.Sprintf("%0100000d", 1), admission.Unknown, ""},
		"body over the size limit":          {"HTTP/1.1 200 OK\r\n\r\n" + fmt.Sprintf("%020000d", 1), admission.Failed, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newTestDependency(t, func(n int) string {
				if n == 0 {
					return c.answer
				}
				return goodReply
			})
			caller := newTestCaller(t, d.address, 1)
			caller.Call(testCall(1, time.Second))
			e := caller.next(t)
			assert.Equal(t, c.outcome, e.Outcome)
			if c.outcome == admission.Succeeded {
				assert.Equal(t, c.result, string(e.Result))
			}
			r := <-d.requests
			assert.Equal(t, "POST /lookup", r.Method+" "+r.URL.Path)
			assert.Equal(t, "9b1f03aa5c7e2d41", r.Header.Get("X-Parent-Id"))
			assert.Regexp(t, `^(9\d\d|1000)$`, r.Header.Get("X-Budget-Ms"))
			assert.Equal(t, "\x00 what\r\n", <-d.bodies)

			caller.Call(testCall(2, fake.WaitLimit))
			e = caller.next(t)
			assert.Equal(t, admission.Succeeded, e.Outcome, "the next call succeeds")
			assert.Equal(t, "reply", string(e.Result))
		})
	}
}

func TestConnections(t *testing.T) {
	t.Run("one connection carries several calls", func(t *testing.T) {
		d := newTestDependency(t, func(int) string { return goodReply })
		caller := newTestCaller(t, d.address, 4)
		for n := range uint64(5) {
			caller.Call(testCall(n+1, fake.WaitLimit))
			assert.Equal(t, admission.Succeeded, caller.next(t).Outcome)
		}
		assert.Len(t, d.connections, 1)
	})
	t.Run("a connection closed while idle is opened again", func(t *testing.T) {
		d := newTestDependency(t, func(int) string { return goodReply })
		caller := newTestCaller(t, d.address, 4)
		caller.Call(testCall(1, fake.WaitLimit))
		caller.next(t)
		conn := <-d.connections
		_ = conn.Close()
		require.Eventually(t, func() bool {
			caller.mu.Lock()
			defer caller.mu.Unlock()
			return caller.idle[0].stale()
		}, fake.WaitLimit, time.Millisecond)
		caller.Call(testCall(2, fake.WaitLimit))
		assert.Equal(t, admission.Succeeded, caller.next(t).Outcome)
	})
	t.Run("no more connections than allowed", func(t *testing.T) {
		d := newTestDependency(t, func(int) string { return "" })
		caller := newTestCaller(t, d.address, 2)
		for n := range uint64(3) {
			caller.Call(testCall(n+1, fake.WaitLimit))
		}
		e := caller.next(t)
		assert.Equal(t, admission.NotRun, e.Outcome)
		assert.Equal(t, uint64(3), e.CallID)
		<-d.requests
		<-d.requests
		caller.Cancel(1)
		caller.Cancel(2)
		caller.Cancel(3) // not in flight, so ignored
		assert.Equal(t, admission.Unknown, caller.next(t).Outcome)
		assert.Equal(t, admission.Unknown, caller.next(t).Outcome)
	})
}

// The dependency moves to another address. Further calls go there, also if no dependency was reachable before.
func TestSetAddress(t *testing.T) {
	t.Run("unreachable at first", func(t *testing.T) {
		caller := newTestCaller(t, "127.0.0.1:1", 2)
		caller.Call(testCall(1, fake.WaitLimit))
		assert.Equal(t, admission.NotRun, caller.next(t).Outcome)
		d := newTestDependency(t, func(int) string { return goodReply })
		caller.SetAddress(d.address)
		caller.Call(testCall(2, fake.WaitLimit))
		assert.Equal(t, admission.Succeeded, caller.next(t).Outcome)
	})
	t.Run("calls in flight continue at the previous address", func(t *testing.T) {
		release := make(chan bool)
		old := newTestDependency(t, func(int) string { <-release; return goodReply })
		d := newTestDependency(t, func(int) string { return goodReply })
		caller := newTestCaller(t, old.address, 2)
		caller.Call(testCall(1, fake.WaitLimit))
		<-old.connections
		caller.SetAddress(d.address)
		caller.Call(testCall(2, fake.WaitLimit))
		assert.Equal(t, uint64(2), caller.next(t).CallID)
		close(release)
		e := caller.next(t)
		assert.Equal(t, uint64(1), e.CallID)
		assert.Equal(t, admission.Succeeded, e.Outcome)
		caller.Call(testCall(3, fake.WaitLimit))
		assert.Equal(t, admission.Succeeded, caller.next(t).Outcome)
		assert.Len(t, old.requests, 1)
		assert.Len(t, d.requests, 2)
	})
}
