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

// index is a dependency that answers each call as a test says, by its own bytes.
type index struct {
	address string
	asked   chan *http.Request
	bodies  chan string
	opened  chan net.Conn
}

// newIndex answers call number n, from 0 on, with answer(n); an empty answer is none, and one that ends in "\x00" is
// followed by the end of the connection.
func newIndex(t *testing.T, answer func(n int) string) *index {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	x := &index{
		address: listener.Addr().String(), asked: make(chan *http.Request, 64), bodies: make(chan string, 64),
		opened: make(chan net.Conn, 64),
	}
	var mu sync.Mutex
	var over sync.WaitGroup
	n := 0
	serve := func(link net.Conn) {
		defer over.Done()
		defer link.Close()
		in := bufio.NewReader(link)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			text := answer(n)
			n++
			mu.Unlock()
			x.asked <- r
			x.bodies <- string(body)
			last := len(text) > 0 && text[len(text)-1] == 0
			if last {
				text = text[:len(text)-1]
			}
			_, _ = io.WriteString(link, text)
			if last {
				return
			}
		}
	}
	over.Add(1)
	go func() {
		defer over.Done()
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			x.opened <- link
			over.Add(1)
			go serve(link)
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		for len(x.opened) > 0 {
			(<-x.opened).Close()
		}
		over.Wait()
	})
	return x
}

// asking is a caller under test with what it tells.
type asking struct {
	*Caller
	ends chan workerapi.CallEnd
}

func newAsking(t *testing.T, address string, max int) *asking {
	a := &asking{ends: make(chan workerapi.CallEnd, 64)}
	a.Caller = New(address, max, slog.New(slog.NewTextHandler(io.Discard, nil)), func(string) {},
		func(e workerapi.CallEnd) { a.ends <- e })
	t.Cleanup(func() { a.Move("127.0.0.1:1") }) // ends what is idle
	return a
}

func (a *asking) next(t *testing.T) workerapi.CallEnd {
	t.Helper()
	select {
	case e := <-a.ends:
		return e
	case <-time.After(fake.Patience):
		require.FailNow(t, "a call does not end")
		return workerapi.CallEnd{}
	}
}

func asked(n uint64, within time.Duration) workerapi.Call {
	return workerapi.Call{CallID: n, RequestID: "9b1f03aa5c7e2d41", Body: []byte("\x00 what\r\n"), Timeout: within}
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"

func TestEndsOfACall(t *testing.T) {
	cases := map[string]struct {
		answer  string
		outcome admission.Outcome
		result  string
	}{
		"good":                  {good, admission.Succeeded, "reply"},
		"good, in chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nre\r\n3\r\nply\r\n0\r\n\r\n", admission.Succeeded, "reply"},
		"good, to the end":      {"HTTP/1.0 200 OK\r\n\r\nreply\x00", admission.Succeeded, "reply"},
		"good, and closes":      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nreply\x00", admission.Succeeded, "reply"},
		"good, and empty":       {"HTTP/1.1 204 No Content\r\n\r\n", admission.Succeeded, ""},
		"good, said beforehand": {"HTTP/1.1 102 Processing\r\n\r\n" + good, admission.Succeeded, "reply"},
		"turned away unseen":    {"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n", admission.NotRun, ""},
		"failed":                {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", admission.Failed, ""},
		"failed, not shed":      {"HTTP/1.1 503 Busy\r\nX-Shed: 0\r\nContent-Length: 0\r\n\r\n", admission.Failed, ""},
		"too late there":        {"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", admission.Unknown, ""},
		"closed":                {"\x00", admission.Unknown, ""},
		"cut short":             {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nreply\x00", admission.Unknown, ""},
		"nonsense":              {"SSH-2.0\r\n\r\n", admission.Unknown, ""},
		"never a reply":         {"", admission.Unknown, ""},
		"a head without end":    {"HTTP/1.1 200 OK\r\nX: " + fmt.Sprintf("%0100000d", 1), admission.Unknown, ""},
		"a reply without end":   {"HTTP/1.1 200 OK\r\n\r\n" + fmt.Sprintf("%020000d", 1), admission.Failed, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := newIndex(t, func(n int) string {
				if n == 0 {
					return c.answer
				}
				return good
			})
			a := newAsking(t, x.address, 1)
			a.Call(asked(1, time.Second))
			e := a.next(t)
			assert.Equal(t, c.outcome, e.Outcome)
			if c.outcome == admission.Succeeded {
				assert.Equal(t, c.result, string(e.Result))
			}
			r := <-x.asked
			assert.Equal(t, "POST /lookup", r.Method+" "+r.URL.Path)
			assert.Equal(t, "9b1f03aa5c7e2d41", r.Header.Get("X-Parent-Id"))
			assert.Regexp(t, `^(9\d\d|1000)$`, r.Header.Get("X-Budget-Ms"))
			assert.Equal(t, "\x00 what\r\n", <-x.bodies)

			a.Call(asked(2, fake.Patience))
			e = a.next(t)
			assert.Equal(t, admission.Succeeded, e.Outcome, "the next call is none the worse")
			assert.Equal(t, "reply", string(e.Result))
		})
	}
}

func TestConnections(t *testing.T) {
	t.Run("one carries call after call", func(t *testing.T) {
		x := newIndex(t, func(int) string { return good })
		a := newAsking(t, x.address, 4)
		for n := range uint64(5) {
			a.Call(asked(n+1, fake.Patience))
			assert.Equal(t, admission.Succeeded, a.next(t).Outcome)
		}
		assert.Len(t, x.opened, 1)
	})
	t.Run("one that was closed while idle is opened anew", func(t *testing.T) {
		x := newIndex(t, func(int) string { return good })
		a := newAsking(t, x.address, 4)
		a.Call(asked(1, fake.Patience))
		a.next(t)
		link := <-x.opened
		link.Close()
		require.Eventually(t, func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.idle[0].stale()
		}, fake.Patience, time.Millisecond)
		a.Call(asked(2, fake.Patience))
		assert.Equal(t, admission.Succeeded, a.next(t).Outcome)
	})
	t.Run("no more than allowed", func(t *testing.T) {
		x := newIndex(t, func(int) string { return "" })
		a := newAsking(t, x.address, 2)
		for n := range uint64(3) {
			a.Call(asked(n+1, fake.Patience))
		}
		e := a.next(t)
		assert.Equal(t, admission.NotRun, e.Outcome)
		assert.Equal(t, uint64(3), e.CallID)
		<-x.asked
		<-x.asked
		a.Abandon(1)
		a.Abandon(2)
		a.Abandon(3) // not in hand: no harm
		assert.Equal(t, admission.Unknown, a.next(t).Outcome)
		assert.Equal(t, admission.Unknown, a.next(t).Outcome)
	})
	t.Run("nobody there, and then somebody", func(t *testing.T) {
		a := newAsking(t, "127.0.0.1:1", 2)
		a.Call(asked(1, fake.Patience))
		assert.Equal(t, admission.NotRun, a.next(t).Outcome)
		x := newIndex(t, func(int) string { return good })
		a.Move(x.address)
		a.Call(asked(2, fake.Patience))
		assert.Equal(t, admission.Succeeded, a.next(t).Outcome)
	})
	t.Run("a move lets what is under way end", func(t *testing.T) {
		release := make(chan bool)
		old := newIndex(t, func(int) string { <-release; return good })
		x := newIndex(t, func(int) string { return good })
		a := newAsking(t, old.address, 2)
		a.Call(asked(1, fake.Patience))
		<-old.opened
		a.Move(x.address)
		a.Call(asked(2, fake.Patience))
		assert.Equal(t, uint64(2), a.next(t).CallID)
		close(release)
		e := a.next(t)
		assert.Equal(t, uint64(1), e.CallID)
		assert.Equal(t, admission.Succeeded, e.Outcome)
		a.Call(asked(3, fake.Patience))
		assert.Equal(t, admission.Succeeded, a.next(t).Outcome)
		assert.Len(t, old.asked, 1)
		assert.Len(t, x.asked, 2)
	})
}
