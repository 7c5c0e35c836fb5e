//go:build review2

package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployCommand returns a command of deploy/balancer.toml.
func deployCommand(name string) (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"`).FindSubmatch(raw)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", name)
	}
	return string(found[1]), nil
}

// program is a process of the project.
type program struct {
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

// launch starts a command line by /bin/sh, as the platform does. Its log goes to a file.
func launch(line, log string, env ...string) (*program, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &program{cmd: exec.Command("/bin/sh", "-c", line), ended: make(chan struct{}), log: log}
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = append(os.Environ(), env...), out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *program) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process outright and waits for its end.
func (p *program) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer listener.Close()
	return listener.Addr().String()
}

// service is one class of the settings.
type service map[string]any

// platformConfig writes an app server's configuration, with the settings of a small deployment.
func platformConfig(dir, name, listen, pool, members string, services []service, changed, top map[string]any) (string, error) {
	calls, skips := make([]bool, len(services)), make([]float64, len(services))
	settings := map[string]any{
		"extra": map[string]any{
			"advert": "threshold", "below": "none", "calls-by-class": calls, "class-skip-worth": skips,
			"cold": false, "cores": 4, "deep-checks": true, "fresh": 0, "key-kb": 4.0,
			"gauges": []string{"core_use", "on_cores", "heap_share", "links"}, "halt": "suspend", "idle": 15000000,
			"passes-deadline": true, "ram-kb": 64000.0, "run-factor": 8.0, "tells-gone": false,
		},
		"limits": map[string]any{"max-retry-after": 1000000, "retry-after": true},
		"obligations": map[string]any{
			"cold-share": 0.25, "fall": 1000000, "grace-to-answer": 50000, "overload-factor": 6.0,
			"stop-sending-within": 1500000, "warm-up": 10000000,
		},
		"servers": 3, "services": services, "tenants": []any{}, "value-by": "request",
	}
	for key, value := range changed {
		settings[key] = value
	}
	whole := map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": members, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"stop_ms": 3000, "limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": settings,
	}
	for key, value := range top {
		whole[key] = value
	}
	raw, err := json.MarshalIndent(whole, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// startServer starts one app server with the deploy file's run command and waits until it accepts connections.
func startServer(dir, name, config, own, listen string) (*program, error) {
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	if own != "" {
		run += " serve --config " + own
	}
	p, err := launch(run, filepath.Join(dir, name+".log"), "EDGE_CONFIG="+config, "EDGE_NAME="+name)
	if err != nil {
		return nil, err
	}
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
			_ = conn.Close()
			return p, nil
		}
		select {
		case <-p.ended:
			raw, _ := os.ReadFile(p.log)
			return nil, fmt.Errorf("%s ended: %s", name, raw)
		default:
		}
	}
	p.kill()
	return nil, fmt.Errorf("%s accepts no connection", name)
}

// members is the membership service: it takes reports and answers none.
func members() (string, func(), error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		buffer := make([]byte, 512)
		for {
			if _, _, err := conn.ReadFrom(buffer); err != nil {
				return
			}
		}
	}()
	return conn.LocalAddr().String(), func() { _ = conn.Close() }, nil
}

// pool is a worker pool: each run takes the given time and echoes its body.
type pool struct {
	address  string
	listener net.Listener
	rec      *record
	took     func(op string) time.Duration

	mu      sync.Mutex
	link    net.Conn
	notices []string
	running map[string]*run
	Runs    []started // all runs that were started, in order
}

type run struct {
	timer  *time.Timer
	left   time.Duration
	began  time.Time
	paused bool
	body   []byte
}

type started struct {
	task, op, body string
	at             time.Time
}

func newPool(rec *record, took func(op string) time.Duration) (*pool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pool{address: listener.Addr().String(), listener: listener, rec: rec, took: took, running: map[string]*run{}}
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(link)
		}
	}()
	return p, nil
}

// restart forgets all runs and notices: a pool dies with its app server.
func (p *pool) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.running {
		r.timer.Stop()
	}
	p.running, p.notices = map[string]*run{}, nil
	if p.link != nil {
		_ = p.link.Close()
		p.link = nil
	}
}

type poolCommand struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"`
	Task    string `json:"task"`
	Handler string `json:"handler"`
	Bytes   string `json:"bytes"`
	Nonce   string `json:"nonce"`
}

func (p *pool) serve(link net.Conn) {
	defer link.Close()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var c poolCommand
		if json.Unmarshal(in.Bytes(), &c) != nil {
			return
		}
		p.command(link, c)
	}
}

func (p *pool) command(link net.Conn, c poolCommand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c.Verb {
	case "bind":
		p.link = link
		fmt.Fprintf(link, `{"verb":"bound","outcome":"steady","spent":60000}`+"\n")
		for i := min(c.Index, len(p.notices)); i < len(p.notices); i++ {
			fmt.Fprint(link, p.notices[i])
		}
	case "poll":
		busy := 0
		for _, r := range p.running {
			if !r.paused {
				busy++
			}
		}
		fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":[%g,%d,%g,3]}`+"\n", c.Nonce, min(1, float64(busy)/4), busy,
			min(1, float64(len(p.running))*24.5*8/64000))
	case "verify":
		fmt.Fprintf(link, `{"verb":"verified","nonce":%q,"outcome":"success"}`+"\n", c.Nonce)
	case "spawn":
		if p.running[c.Task] != nil {
			return
		}
		body, _ := base64.StdEncoding.DecodeString(c.Bytes)
		p.Runs = append(p.Runs, started{c.Task, c.Handler, string(body), time.Now()})
		p.rec.printf("pool runs %s task %s body %q", c.Handler, c.Task, body)
		r := &run{left: p.took(c.Handler), began: time.Now(), body: body}
		p.running[c.Task] = r
		r.timer = time.AfterFunc(r.left, func() { p.finish(c.Task, r) })
	case "suspend":
		if r := p.running[c.Task]; r != nil && !r.paused && r.timer.Stop() {
			r.paused, r.left = true, max(r.left-time.Since(r.began), 0)
			p.notice(c.Task, "interrupted", nil)
		}
	case "proceed":
		if r := p.running[c.Task]; r != nil && r.paused {
			r.paused, r.began = false, time.Now()
			r.timer = time.AfterFunc(r.left, func() { p.finish(c.Task, r) })
		}
	}
}

func (p *pool) finish(task string, r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[task] != r || r.paused {
		return
	}
	delete(p.running, task)
	p.notice(task, "success", []byte("ran "+string(r.body)+" as "+task))
}

func (p *pool) notice(task, end string, result []byte) {
	line := fmt.Sprintf(`{"verb":"finished","index":%d,"task":%q,"outcome":%q,"spent":20,"bytes":%q}`+"\n", len(p.notices)+1, task, end,
		base64.StdEncoding.EncodeToString(result))
	p.notices = append(p.notices, line)
	if p.link != nil {
		fmt.Fprint(p.link, line)
	}
}

// runsOf returns how often a body was run.
func (p *pool) runsOf(body string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.Runs {
		if s.body == body {
			n++
		}
	}
	return n
}

// tail returns the last lines of a log.
func tail(path string, lines int) string {
	raw, _ := os.ReadFile(path)
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// ended reports whether a process has ended.
func ended(p *program) bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
