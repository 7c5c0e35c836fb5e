package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// launchWithDescriptors starts a process that the system allows exactly as many descriptors as its configuration
// states.
func launchWithDescriptors(t *testing.T, sockets int) *program {
	p := prepare(t, "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, builds["release"]))
	text, err := os.ReadFile(p.path)
	require.NoError(t, err)
	configured := strings.Replace(string(text), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	require.NoError(t, os.WriteFile(p.path, []byte(configured), 0o600))
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	return p
}

// descriptors returns the number of descriptors that the process has open.
func (p *program) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}

// stat returns a number from the process's line in /proc/PID/stat. at is the number of the field, as in proc(5).
func (p *program) stat(t *testing.T, at int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	value, err := strconv.Atoi(strings.Fields(rest)[at-3])
	require.NoError(t, err)
	return value
}

// cpuTime returns the CPU time that the process has used; /proc counts in hundredths of a second.
func (p *program) cpuTime(t *testing.T) time.Duration {
	t.Helper()
	return time.Duration(p.stat(t, 14)+p.stat(t, 15)) * 10 * time.Millisecond
}

// assertIdle checks that the process uses almost no CPU time in a second in which nothing happens.
func (p *program) assertIdle(t *testing.T) {
	t.Helper()
	began, cpuBefore := time.Now(), p.cpuTime(t)
	time.Sleep(time.Second) // the period in which CPU time is measured
	share := float64(p.cpuTime(t)-cpuBefore) / float64(time.Since(began))
	assert.Less(t, share, 0.25, "an idle process uses CPU time")
	t.Logf("%d descriptors, %d threads, %.2f of a core", p.descriptors(t), p.stat(t, 20), share)
}

// waitServed waits until a request on a new connection is served, which shows that the table of descriptors has space
// again.
func (p *program) waitServed(t *testing.T, stream uint32) {
	t.Helper()
	require.Eventually(t, func() bool {
		stream++
		router, err := net.Dial("tcp", p.address)
		if err != nil {
			return false
		}
		defer func() { _ = router.Close() }()
		_ = router.SetDeadline(time.Now().Add(fake.WaitLimit))
		if _, err := router.Write(fake.RequestFrame(stream, "pay", "")); err != nil {
			return false
		}
		reply, err := harness.ReadReply(router)
		return err == nil && reply.Code == 20
	}, fake.WaitLimit, 20*time.Millisecond)
}

// openConnections opens connections all at once, faster than the rounds of the event loop can register them, uses each
// of them, and returns a function that closes them.
func (p *program) openConnections(connections int, use func(router net.Conn, i uint32)) (end func()) {
	var mu sync.Mutex
	var routers []net.Conn
	var done sync.WaitGroup
	for i := range connections {
		done.Add(1)
		go func() {
			defer done.Done()
			router, err := net.Dial("tcp", p.address)
			if err != nil {
				return
			}
			mu.Lock()
			routers = append(routers, router)
			mu.Unlock()
			_ = router.SetDeadline(time.Now().Add(fake.WaitLimit))
			use(router, uint32(i))
		}()
	}
	done.Wait()
	return func() {
		for _, router := range routers {
			_ = router.Close()
		}
	}
}

// sendNothing, checkHealthOnce and sendRequest are the uses of connections that fill the table.
func sendNothing(net.Conn, uint32) {}

func checkHealthOnce(router net.Conn, i uint32) {
	if _, err := router.Write(fake.Frame(20, 1000+i, "", "e2e", "0")); err == nil {
		_, _ = harness.ReadReply(router) // answered, or closed to free a descriptor
	}
}

func sendRequest(router net.Conn, i uint32) {
	_, _ = router.Write(fake.RequestFrame(1000+i, "pay", ""))
}

// Routers that do not react when they are asked to drain keep their connections open, and these fill the table of
// descriptors. A request and a health check on new connections, the membership reports, and a lost pool link must still
// get descriptors. The process must not spin, and once the routers have closed their connections it must serve as
// before.
func TestFullTableOfDescriptors(t *testing.T) {
	uses := map[string]func(net.Conn, uint32){"silent": sendNothing, "health check": checkHealthOnce, "in use": sendRequest}
	for _, sockets := range []int{32, 48, 64, 100, 256} {
		for name, use := range uses {
			t.Run(fmt.Sprintf("%d %s", sockets, name), func(t *testing.T) {
				p := launchWithDescriptors(t, sockets)
				before := p.descriptors(t)
				end := p.openConnections(2*sockets, use)
				bound := strings.Count(p.log.String(), "pool link bound")
				p.pool.CloseLink()
				require.Eventually(t, func() bool { return strings.Count(p.log.String(), "pool link bound") > bound },
					fake.WaitLimit, time.Millisecond, "the pool link is not bound again")

				health := fake.Dial(t, p.address)
				health.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
				assert.Equal(t, byte(21), health.Next(t).Type)
				router := fake.Dial(t, p.address) // a second connection
				router.Send(t, fake.RequestFrame(1, "pay", ""))
				if name != "in use" { // then there is capacity to run it
					p.pool.Finish(p.pool.Next(t, "spawn").RunID, "success", nil)
				}
				reply := router.Next(t)
				assert.Equal(t, []any{byte(11), uint32(1)}, []any{reply.Type, reply.Stream})
				_ = router.Close()
				_ = health.Close()
				p.assertIdle(t)
				for { // until a report is sent from now on, rather than one that waits in the socket
					began := time.Now()
					if assert.Equal(t, "HB n1 UP", p.members.Next(t)); time.Since(began) > 10*time.Millisecond {
						break
					}
				}
				assert.NotContains(t, p.log.String(), "descriptors ran out", "connections took the descriptors reserved for the process itself")
				assert.NotContains(t, p.log.String(), "too many open files")

				p.pool.SetEcho()
				end()
				require.Eventually(t, func() bool { return p.descriptors(t) <= before }, fake.WaitLimit, time.Millisecond)
				p.waitServed(t, 2)
			})
		}
	}
}

// Descriptors run out though the table is not full, as when something else uses them; the test lowers the process's
// limit. Idle connections must be closed to free some, and the process may neither spin nor log a line for each
// attempt, however often it happens.
func TestDescriptorsRunOut(t *testing.T) {
	p := launchWithDescriptors(t, 256)
	p.pool.SetEcho()
	fewer := unix.Rlimit{Cur: 40, Max: 40}
	require.NoError(t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &fewer, nil))
	before := p.descriptors(t)
	for i := range uint32(3) {
		end := p.openConnections(100, checkHealthOnce)
		p.assertIdle(t)
		if i > 0 {
			p.waitServed(t, 10+200*i)
		}
		end()
		require.Eventually(t, func() bool { return p.descriptors(t) <= before }, fake.WaitLimit, time.Millisecond)
		p.waitServed(t, 100+200*i)
	}
	assert.Less(t, strings.Count(p.log.String(), "\n"), 100, "a line is logged for each attempt")
}
