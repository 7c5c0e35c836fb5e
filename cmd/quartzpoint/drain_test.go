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

// Clients that keep sending on open connections, though they have been asked to stop, must not keep the process running
// until its stop. They used to keep it running until 15 ms before its stop. On a busy machine it was killed before it
// ended, with requests unread for longer than the window in which a router sends them again.
func TestClientsThatSendUntilTheEnd(t *testing.T) {
	const (
		stop         = 1200 * time.Millisecond
		clients      = 3
		sendInterval = 7 * time.Millisecond
		resendWindow = 50 * time.Millisecond // by the protocol, requests sent this long or less before a close are sent again
	)
	p := prepare(t, builds["release"])
	setStopTime(t, p, stop.Milliseconds())
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	p.pool.Echo = true
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")

	var done sync.WaitGroup
	oldest := make(chan time.Duration, clients) // age of the oldest unanswered request at the close, less the client's own delay
	for client := range uint32(clients) {
		router := fake.Dial(t, p.address)
		done.Add(1)
		go func() {
			defer done.Done()
			oldest <- sendUntilClosed(router, client<<16, sendInterval)
		}()
	}
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	begin := time.Now()
	assert.Zero(t, p.waitExit())
	assert.Less(t, time.Since(begin), stop-resendWindow, "the process ran until its stop")
	done.Wait()
	for range clients {
		assert.LessOrEqual(t, <-oldest, resendWindow, "a request was lost when its connection closed")
	}
}

// A router that keeps its connection open and sends nothing must not keep the process running until its stop. The
// connection is closed 0.1 s before the stop. Connections used to be checked only every 0.1 s, so in half of the drains
// the process ran until the stop itself, in a race with the kill.
func TestSilentConnectionsDoNotKeepTheProcess(t *testing.T) {
	for stop := int64(700); stop < 800; stop += 20 { // covers each phase of those checks; connections are asked to drain about 0.4 s before each stop
		t.Run(fmt.Sprint(stop), func(t *testing.T) {
			t.Parallel()
			p := prepare(t, builds["release"])
			setStopTime(t, p, stop)
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			router.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
			assert.Equal(t, byte(21), router.Next(t).Type)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			assert.Zero(t, p.waitExit())
			p.waitLogged(t, `msg="drain complete" connections=0`)
		})
	}
}

// setStopTime sets the time from the notice to the stop in a program's configuration, before the program starts.
func setStopTime(t *testing.T, p *program, ms int64) {
	raw, err := os.ReadFile(p.path)
	require.NoError(t, err)
	configured := strings.Replace(string(raw), `"stop_ms":1500`, fmt.Sprintf(`"stop_ms":%d`, ms), 1)
	require.NoError(t, os.WriteFile(p.path, []byte(configured), 0o600))
}

// sendUntilClosed sends requests until the connection ends. It returns the age of the oldest unanswered request at that
// time, less the longest delay with which the test itself sent a request.
func sendUntilClosed(router net.Conn, firstStream uint32, interval time.Duration) time.Duration {
	var mu sync.Mutex
	unanswered := map[uint32]time.Time{}
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
				delete(unanswered, reply.Stream)
			}
			mu.Unlock()
		}
	}()
	late, last := time.Duration(0), time.Now()
	for stream := firstStream + 1; ; stream++ {
		select {
		case at := <-ended:
			oldest := time.Duration(0)
			for _, sent := range unanswered {
				oldest = max(oldest, at.Sub(sent))
			}
			return oldest - late
		case <-time.After(interval):
		}
		late, last = max(late, time.Since(last)-interval), time.Now()
		mu.Lock()
		if _, err := router.Write(fake.RequestFrame(stream, "browse", "")); err == nil {
			unanswered[stream] = time.Now()
		}
		mu.Unlock()
	}
}

// A request arrives when it is complete, so one whose last byte arrives after the grace must not run. It used to run,
// because its arrival time was that of its first bytes.
func TestRequestThatIsWholeOnlyPastTheGrace(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := prepare(t, builds[build])
			setStopTime(t, p, 3500) // late enough for the request to be answered
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			request := fake.RequestFrame(1, "pay", "body")
			router.Send(t, request[:len(request)/2])
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.waitLogged(t, `msg="stopped accepting connections"`) // at the end of the grace
			router.Send(t, request[len(request)/2:])
			assert.Equal(t, map[uint32][]byte{1: {50}}, readAnswers(t, router))
			assert.Zero(t, p.waitExit())
			for len(p.pool.Commands) > 0 {
				assert.NotEqual(t, "spawn", (<-p.pool.Commands).Verb, "the request ran after the grace")
			}
		})
	}
}

// Guards against a fault: a duplicate of a keyed request that arrived in the drain was never answered if its original's run
// outlasted the stop; its connection closed without an answer.
func TestDuplicatesThatArriveInADrainAreAnswered(t *testing.T) {
	p := prepare(t, builds["release"])
	site := strings.Replace(keyedSite, `"halt":"suspend"`, `"halt":"none"`, 1) // its runs can't be stopped
	fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, site)
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	original := fake.Dial(t, p.address)
	original.Send(t, fake.RequestFrame(1, "browse", "", "dedupe", "k"))
	p.pool.Next(t, "spawn") // its run does not end
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitLogged(t, "drain started")
	duplicate := fake.Dial(t, p.address)
	duplicate.Send(t, fake.RequestFrame(2, "browse", "", "dedupe", "k"))
	for _, r := range []*fake.Router{original, duplicate} {
		reply := r.Next(t)
		for reply.Type == 30 { // the router is asked to send no more
			reply = r.Next(t)
		}
		assert.Equal(t, []any{byte(11), byte(51)}, []any{reply.Type, reply.Code})
		_ = r.Close()
	}
	assert.Zero(t, p.waitExit())
	assert.NotContains(t, p.log.String(), "check failed")
}
