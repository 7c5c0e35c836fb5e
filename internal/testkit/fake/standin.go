// Package fake holds what tests put in the place of the systems round a server: a worker pool, a
// membership service and a router, each by its published protocol and no more than tests need of it.
package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// WaitLimit bounds every wait of a test. It is met only where something has failed.
const WaitLimit = 20 * time.Second

// As the settings and the requests below state.
const (
	cores        = 4
	siteMemoryKB = 60000.0
	runMemoryKB  = 164.0
)

// Command is a line that a server wrote to the pool. The bytes of a spawn stand in Body.
type Command struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"`
	Task    string `json:"task"`
	Handler string `json:"handler"`
	Nonce   string `json:"nonce"`
	Body    []byte `json:"bytes"`
}

// Pool is a worker pool. What it runs ends when a test says so, or at once where Echo is set.
type Pool struct {
	Address            string
	Echo               bool // runs end at once with their body as the result
	NoReadings         bool // gauges are not told on any link
	RunsOnAfterSuspend bool // a run told to stop stands still after that
	DropsSpawns        bool // spawns are read and lost
	IgnoresSuspend     bool // runs can't be stopped
	Commands           chan Command

	mu              sync.Mutex
	listener        net.Listener
	link            net.Conn
	notices         []string
	running         map[string]bool
	silent          bool
	partialReadings bool // one reading only is told
	ready           chan struct{}
}

// NewPool starts a pool that answers binds once Ready was called.
func NewPool(t testing.TB) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Pool{
		Commands: make(chan Command, 4096), running: map[string]bool{}, ready: make(chan struct{}),
	}
	p.accept(listener)
	t.Cleanup(func() { p.listener.Close(); p.CloseLink() })
	return p
}

func (p *Pool) accept(listener net.Listener) {
	p.Address, p.listener = listener.Addr().String(), listener
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(link)
		}
	}()
}

// Relocate has the pool take links at another address. The link that is open stays.
func (p *Pool) Relocate(t testing.TB) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.listener.Close()
	p.accept(listener)
}

// Ready lets the pool come up.
func (p *Pool) Ready() *Pool { close(p.ready); return p }

func (p *Pool) serve(link net.Conn) {
	defer link.Close()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var c Command
		if json.Unmarshal(in.Bytes(), &c) != nil {
			return
		}
		if c.Verb == "bind" {
			p.Commands <- c
			go p.bind(link, c.Index)
			continue
		}
		p.mu.Lock()
		if p.link != link { // not bound yet, or not any more
			fmt.Fprintf(link, "{\"verb\":\"unknown\",\"outcome\":%q}\n", c.Verb)
			p.mu.Unlock()
			continue
		}
		switch c.Verb {
		case "spawn":
			if !p.DropsSpawns {
				p.running[c.Task] = true
			}
			if p.Echo {
				p.finishRun(c.Task, "success", c.Body)
			}
		case "suspend":
			if p.running[c.Task] && !p.IgnoresSuspend {
				p.finishRun(c.Task, "interrupted", nil)
				if p.RunsOnAfterSuspend {
					p.running[c.Task] = true
				}
			}
		case "poll":
			if !p.NoReadings && !p.silent {
				fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":%s}`+"\n", c.Nonce, p.readings())
			}
		}
		p.mu.Unlock()
		if c.Verb != "poll" {
			p.Commands <- c
		}
	}
}

// readings are the gauges, in the order of the settings below.
func (p *Pool) readings() string {
	runs := float64(len(p.running))
	busy := min(1, runs/cores)
	if p.partialReadings {
		return fmt.Sprintf("[%g]", busy)
	}
	return fmt.Sprintf("[%g,%g,%.4f,3]", busy, runs, min(1, runs*runMemoryKB/siteMemoryKB))
}

// bind answers once the pool is up and tells all notices after one.
func (p *Pool) bind(link net.Conn, after int) {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	fmt.Fprintf(link, "{\"verb\":\"bound\",\"outcome\":\"steady\",\"spent\":12}\n")
	for _, n := range p.notices[after:] {
		io.WriteString(link, n)
	}
}

// finishRun numbers and tells the end of a run.
func (p *Pool) finishRun(task, outcome string, result []byte) {
	delete(p.running, task)
	p.notify(map[string]any{"verb": "finished", "task": task, "outcome": outcome, "spent": 5.5, "bytes": result})
}

// notify numbers a notice, keeps it and writes it to the link.
func (p *Pool) notify(notice map[string]any) {
	notice["index"] = len(p.notices) + 1
	raw, _ := json.Marshal(notice)
	p.notices = append(p.notices, string(raw)+"\n")
	if p.link != nil {
		io.WriteString(p.link, p.notices[len(p.notices)-1])
	}
}

// FinishTruncated ends a run whose notice is cut short on the link: it is kept, and told again to who binds for it.
func (p *Pool) FinishTruncated(task, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.link
	p.link = nil
	p.finishRun(task, outcome, result)
	p.link = link
	io.WriteString(link, `{"verb":"finished","index":`+"\n")
}

// Block has a run stand at a call.
func (p *Pool) Block(task string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(map[string]any{"verb": "blocked", "task": task, "bytes": body})
}

// Finish ends a run.
func (p *Pool) Finish(task, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishRun(task, outcome, result)
}

// WriteRaw writes to the link as it is.
func (p *Pool) WriteRaw(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	io.WriteString(p.link, text)
}

// SetEcho has the pool end all runs, and from here on each as it begins.
func (p *Pool) SetEcho() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Echo = true
	for _, task := range slices.Sorted(maps.Keys(p.running)) {
		p.finishRun(task, "success", nil)
	}
}

// SetSilent has the pool tell no gauges for a while.
func (p *Pool) SetSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
}

// SetPartialReadings has the pool tell only the first of its readings, or all.
func (p *Pool) SetPartialReadings(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partialReadings = on
}

// SetDropsSpawns has the pool lose the spawns that it reads, or take them.
func (p *Pool) SetDropsSpawns(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.DropsSpawns = on
}

// CloseLink ends the link. Runs go on.
func (p *Pool) CloseLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.Close()
		p.link = nil
	}
}

// Next waits for the next command of a kind and passes over others.
func (p *Pool) Next(t testing.TB, verb string) Command {
	t.Helper()
	for limit := time.After(WaitLimit); ; {
		select {
		case c := <-p.Commands:
			if c.Verb == verb {
				return c
			}
		case <-limit:
			require.FailNow(t, "the pool was not told to "+verb)
		}
	}
}

// Membership is a membership service that keeps the reports it gets.
type Membership struct {
	Address string
	socket  net.PacketConn
}

// NewMembership starts a membership service.
func NewMembership(t testing.TB) *Membership { return NewMembershipAt(t, "127.0.0.1:0") }

// NewMembershipAt starts one at an address.
func NewMembershipAt(t testing.TB, address string) *Membership {
	socket, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { socket.Close() })
	return &Membership{socket.LocalAddr().String(), socket}
}

// Stop ends the service.
func (m *Membership) Stop() { m.socket.Close() }

// Next waits for the next report.
func (m *Membership) Next(t testing.TB) string {
	t.Helper()
	var datagram [128]byte
	require.NoError(t, m.socket.SetReadDeadline(time.Now().Add(WaitLimit)))
	n, _, err := m.socket.ReadFrom(datagram[:])
	require.NoError(t, err)
	return string(datagram[:n])
}

// Router is one connection of a router.
type Router struct {
	net.Conn
}

// Reply is a frame that a server wrote.
type Reply = harness.Reply

// Dial connects to a server.
func Dial(t testing.TB, address string) *Router {
	t.Helper()
	link, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { link.Close() })
	require.NoError(t, link.SetDeadline(time.Now().Add(WaitLimit)))
	return &Router{Conn: link}
}

// Frame builds a frame whose fields are names and values in turn.
func Frame(kind byte, stream uint32, body string, fields ...string) []byte {
	return harness.Frame(kind, stream, body, fields...)
}

// CallID names the task that a test sends on a stream.
func CallID(stream uint32) string { return fmt.Sprintf("%016x", 0xabc0000+uint64(stream)) }

// RequestFrame builds a task of a type; more fields stand before the usual ones and win over them.
func RequestFrame(stream uint32, op, body string, more ...string) []byte {
	fields := append(more, "op", op, "call", CallID(stream), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "2", "ttl", "15000", "heap", "20.5", "crit", "0.9000")
	return Frame(10, stream, body, fields...)
}

// Send writes frames, or parts of them, as they are.
func (r *Router) Send(t testing.TB, parts ...[]byte) {
	t.Helper()
	for _, p := range parts {
		_, err := r.Write(p)
		require.NoError(t, err)
	}
}

// Next reads the next frame.
func (r *Router) Next(t testing.TB) Reply {
	t.Helper()
	reply, err := harness.ReadReply(r)
	require.NoError(t, err)
	return reply
}

// ReadAll reads to the end of the connection, which must be an orderly one.
func (r *Router) ReadAll(t testing.TB) (all []Reply) {
	t.Helper()
	for {
		reply, err := harness.ReadReply(r)
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "the connection was reset, or an answer cut short, behind %v", all)
			return all
		}
		all = append(all, reply)
	}
}

// WaitClosed waits for the server to close the connection.
func (r *Router) WaitClosed(t testing.TB) {
	t.Helper()
	_, err := io.Copy(io.Discard, r)
	if timeout, is := err.(net.Error); is {
		require.False(t, timeout.Timeout(), "the connection stays open")
	}
}

// SiteSettings holds the settings of a site with a reissuable and an at-most-once type.
const SiteSettings = `{"extra":{"advert":"threshold","below":"none","calls-by-class":[false,false],
"class-skip-worth":[0.0,0.0],"cold":false,"cores":4,"gauges":["core_use","on_cores","heap_share","links"],
"halt":"suspend","idle":30000000,"passes-deadline":true,"ram-kb":60000.0,"run-factor":8.0},
"limits":{"max-retry-after":1000000,"retry-after":true},
"obligations":{"cold-share":0.2,"overload-factor":8.0,"stop-sending-within":400000,"warm-up":9000000},
"servers":3,"services":[
{"name":"browse","deadline":9000000,"goal-time":8000000,"gain":1.0,"idempotency":"retryable","late-value":0.0},
{"name":"pay","deadline":9000000,"goal-time":8000000,"gain":4.0,"idempotency":"fragile","late-value":0.0}],
"tenants":[],"value-by":"request"}`

// WriteConfig writes what a program is told at its start and returns its path.
func WriteConfig(t testing.TB, listen, pool, members, site string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	RewriteConfig(t, path, listen, pool, members, site)
	return path
}

// RewriteConfig puts another such file in the place of one.
func RewriteConfig(t testing.TB, path, listen, pool, members, site string) {
	t.Helper()
	RewriteConfigWithDependency(t, path, listen, pool, members, "", site)
}

// RewriteConfigWithDependency does the same with the address of a dependency.
func RewriteConfigWithDependency(t testing.TB, path, listen, pool, members, index, site string) {
	t.Helper()
	if index != "" {
		index = fmt.Sprintf(`"index":%q,`, index)
	}
	text := fmt.Sprintf(`{"name":"n1",`+index+`"listen":%q,"pool":%q,"members":%q,"seed":"1f","stop_ms":1500,
"limits":{"cores":1.0,"memory_mb":96,"sockets":256},"settings":%s}`, listen, pool, members, site)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}
