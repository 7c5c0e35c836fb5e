package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// Clients that send on open connections until the process is gone, though they were asked not to, kept it to within
// 15 ms of its stop: on a busy machine it was killed first, with requests unread for longer than a router sends again.
func TestClientsThatSendUntilTheEnd(t *testing.T) {
	const (
		stop     = 1200 * time.Millisecond
		clients  = 3
		sendEach = 7 * time.Millisecond
		resent   = 50 * time.Millisecond // what crosses a close by no more is sent again, by the protocol page
	)
	p := prepare(t, builds["release"])
	stopsAt(t, p, stop.Milliseconds())
	require.NoError(t, p.cmd.Start())
	p.endWith(t)
	p.pool.Echo = true
	p.pool.Ready()
	p.logged(t, "pool link bound")

	var over sync.WaitGroup
	crossed := make(chan time.Duration, clients) // less what the client itself was late by
	for client := range uint32(clients) {
		router := fake.Dial(t, p.address)
		over.Add(1)
		go func() {
			defer over.Done()
			crossed <- sendOn(router, client<<16, sendEach)
		}()
	}
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	begin := time.Now()
	assert.Zero(t, p.gone())
	assert.Less(t, time.Since(begin), stop-resent, "it stayed until its stop")
	over.Wait()
	for range clients {
		assert.LessOrEqual(t, <-crossed, resent, "a request was lost with its connection")
	}
}

// A router keeps its connection open and says nothing. It is closed 0.1 s before the stop; connections were looked at every 0.1 s
// only, so that the process stayed to the last moment in half of the drains, in a race with the kill.
func TestSilentConnectionsDoNotKeepTheProcess(t *testing.T) {
	for stop := int64(700); stop < 800; stop += 20 { // at each phase of those looks; the grace reaches to 0.4 s before each
		t.Run(fmt.Sprint(stop), func(t *testing.T) {
			t.Parallel()
			p := prepare(t, builds["release"])
			stopsAt(t, p, stop)
			require.NoError(t, p.cmd.Start())
			p.endWith(t)
			p.pool.Ready()
			p.logged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			router.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
			assert.Equal(t, byte(21), router.Next(t).Type)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			assert.Zero(t, p.gone())
			p.logged(t, `msg="drain complete" connections=0`)
		})
	}
}

// stopsAt has a program's configuration state a time from the notice to the stop, before its start.
func stopsAt(t *testing.T, p *program, ms int64) {
	raw, err := os.ReadFile(p.path)
	require.NoError(t, err)
	stated := strings.Replace(string(raw), `"stop_ms":1500`, fmt.Sprintf(`"stop_ms":%d`, ms), 1)
	require.NoError(t, os.WriteFile(p.path, []byte(stated), 0o600))
}

// sendOn sends requests until the connection ends, and gives how long before that the first one without an answer was
// sent, less the most by which this process was late to send.
func sendOn(router net.Conn, firstStream uint32, each time.Duration) time.Duration {
	var mu sync.Mutex
	open := map[uint32]time.Time{}
	ended := make(chan time.Time, 1)
	go func() {
		for {
			reply, err := harness.ReadReply(router)
			mu.Lock()
			if err != nil {
				mu.Unlock()
				ended <- time.Now()
				return
			}
			if reply.Type == 11 {
				delete(open, reply.Stream)
			}
			mu.Unlock()
		}
	}()
	late, last := time.Duration(0), time.Now()
	for stream := firstStream + 1; ; stream++ {
		select {
		case at := <-ended:
			longest := time.Duration(0)
			for _, sent := range open {
				longest = max(longest, at.Sub(sent))
			}
			return longest - late
		case <-time.After(each):
		}
		late, last = max(late, time.Since(last)-each), time.Now()
		mu.Lock()
		if _, err := router.Write(fake.RequestFrame(stream, "browse", "")); err == nil {
			open[stream] = time.Now()
		}
		mu.Unlock()
	}
}

// A request whose last byte comes past the grace ran, as its stamp was from before: it has come when it is whole.
func TestRequestThatIsWholeOnlyPastTheGrace(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := prepare(t, builds[build])
			stopsAt(t, p, 3500) // late enough for the request to be done
			require.NoError(t, p.cmd.Start())
			p.endWith(t)
			p.pool.Ready()
			p.logged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			request := fake.RequestFrame(1, "pay", "body")
			router.Send(t, request[:len(request)/2])
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.logged(t, `msg="stopped accepting connections"`) // at the end of the grace
			router.Send(t, request[len(request)/2:])
			assert.Equal(t, map[uint32][]byte{1: {50}}, answers(t, router))
			assert.Zero(t, p.gone())
			for len(p.pool.Commands) > 0 {
				assert.NotEqual(t, "spawn", (<-p.pool.Commands).Verb, "it ran past the grace")
			}
		})
	}
}
