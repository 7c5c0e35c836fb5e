//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// world holds what a case has started, and its record.
type world struct {
	trouble bool // whether the disruption takes place
	dir     string
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newWorld(record string, trouble bool) *world {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{trouble: trouble, dir: dir, started: time.Now(), record: file}
	w.note("trouble %v", trouble)
	return w
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes a line to the record and to standard output.
func (w *world) verdict(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, p := range w.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// process is a process of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(-p.cmd.Process.Pid, s) }

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// logHas reports whether the process has logged a text.
func (p *process) logHas(pattern string) bool {
	raw, _ := os.ReadFile(p.log)
	return regexp.MustCompile(pattern).Match(raw)
}

// start starts a shell command from the project's root, as the deploy file's commands are.
func (w *world) start(name, command string, env ...string) *process {
	p := &process{name: name, log: filepath.Join(w.dir, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	must(err)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = os.Getenv("ROOT")
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	must(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.note("started %s", name)
	return p
}

// keepLog copies the end of a process's log into the record.
func (w *world) keepLog(p *process, lines *regexp.Regexp) {
	raw, _ := os.ReadFile(p.log)
	for _, line := range regexp.MustCompile(`[^\n]+`).FindAll(raw, -1) {
		if lines.Match(line) {
			w.note("log of %s: %s", p.name, line)
		}
	}
}

func (w *world) write(name, text string) string {
	path := filepath.Join(w.dir, name)
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// waitFor waits until a condition holds, or fails the case.
func waitFor(what string, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic("waited in vain for " + what)
		}
	}
}
