package harness

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"quartzpoint/emulator"
)

// Daemon is a started server with its worker pool.
type Daemon struct {
	Address    string
	Peers      string // its address for peers, empty without one
	ConfigPath string // of its configuration
	Workers    *Workers

	cmd             *exec.Cmd
	process         *os.Process // the same for as long as the daemon is known
	log             *LogBuffer
	membership      net.PacketConn
	exited          chan error
	resourcesClosed bool // its workers and members, once
}

// LogBuffer is what a process has logged so far.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const startTimeout = 10 * time.Second

// Start starts a program as a server on loopback, and returns once it serves and its pool is bound. own is the
// text of its configuration file; empty for none.
func Start(program, folder, name string, types []Route, m Machine, own string) (d *Daemon, err error) {
	return StartWithArgs(program, []string{"serve"}, folder, name, types, m, own)
}

// StartWithoutFile starts the daemon as it runs without a file of its own.
func StartWithoutFile(program, folder, name string, types []Route, m Machine) (*Daemon, error) {
	return StartWithArgs(program, nil, folder, name, types, m, "")
}

// StartWithArgs does the same with other arguments before the configuration file's.
func StartWithArgs(program string, as []string, folder, name string, types []Route, m Machine, own string) (*Daemon, error) {
	return Launch(program, as, folder, name, m, own, func(listen, pool, members string) ([]byte, error) {
		return PlatformConfig(name, listen, pool, members, types, m)
	})
}

// Launch starts a program as a server under the configuration that configured makes for the addresses it is given.
func Launch(program string, as []string, folder, name string, m Machine, own string,
	configured func(listen, pool, members string) ([]byte, error),
) (d *Daemon, err error) {
	d = &Daemon{log: &LogBuffer{}, exited: make(chan error, 1)}
	defer func() {
		if err != nil {
			d.Stop()
		}
	}()
	if d.Workers, err = NewWorkers(m); err != nil {
		return d, err
	}
	if d.membership, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return d, fmt.Errorf("members: %w", err)
	}
	if d.Address, err = FreeAddress(); err != nil {
		return d, err
	}
	d.ConfigPath = filepath.Join(folder, name+".json")
	raw, err := configured(d.Address, d.Workers.Address, d.membership.LocalAddr().String())
	if err == nil {
		err = os.WriteFile(d.ConfigPath, raw, 0o600)
	}
	if err != nil {
		return d, fmt.Errorf("configuration: %w", err)
	}
	var args []string
	if own != "" {
		file := filepath.Join(folder, name+".toml")
		if err := os.WriteFile(file, []byte(own), 0o600); err != nil {
			return d, fmt.Errorf("configuration file: %w", err)
		}
		args = append(slices.Clone(as), "--own", file)
	}
	d.cmd = exec.Command(program, args...)
	d.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+d.ConfigPath, "EDGE_NAME=", "EDGE_LISTEN=")
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		d.cmd = nil
		return d, fmt.Errorf("starting %s: %w", program, err)
	}
	d.process = d.cmd.Process
	wait := d.cmd.Wait
	go func() { d.exited <- wait() }()
	for end := time.Now().Add(startTimeout); ; {
		if text := d.log.String(); strings.Contains(text, "msg=serving") && strings.Contains(text, "pool link bound") {
			return d, nil
		}
		select {
		case err := <-d.exited:
			d.exited <- err
			return d, fmt.Errorf("%s ended at its start: %w\n%s", name, err, d.log)
		case <-time.After(2 * time.Millisecond):
		}
		if time.Now().After(end) {
			return d, fmt.Errorf("%s does not serve\n%s", name, d.log)
		}
	}
}

// PlatformConfig is the platform's, for a server of a site with these types.
func PlatformConfig(name, listen, pool, members string, types []Route, m Machine) ([]byte, error) {
	raw, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": members,
		"seed": "5eed", "stop_ms": 1500, "settings": platformSettings(types, m),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
	})
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return raw, nil
}

// PID is the server's process id, 0 once it was ended.
func (d *Daemon) PID() int {
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// ProcessID is that of the server's process, also once it has ended.
func (d *Daemon) ProcessID() int { return d.process.Pid }

// Log is what the server has logged so far.
func (d *Daemon) Log() string { return d.log.String() }

// Signal sends the server a signal.
func (d *Daemon) Signal(s os.Signal) error { return d.process.Signal(s) }

// Kill ends the server as a crash does, and what was started with it.
func (d *Daemon) Kill() error {
	if d.cmd == nil {
		return nil // ended already: a test's cleanup may end what its body ended
	}
	err := d.cmd.Process.Kill()
	<-d.exited
	d.cmd = nil
	return errors.Join(err, d.Stop())
}

// Crash ends the server alone, by SIGKILL. What was started with it stays until Stop.
func (d *Daemon) Crash() error {
	if err := d.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("crash: %w", err)
	}
	<-d.exited
	d.cmd = nil
	return nil
}

// ShutdownWithin sends the notice to leave, and SIGKILL where the server has not ended after a span. It gives the exit code,
// and whether it had to be killed. What was started with it stays until Stop.
func (d *Daemon) ShutdownWithin(span time.Duration) (exit int, killed bool, err error) {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return 0, false, fmt.Errorf("notice: %w", err)
	}
	ended := d.exited
	select {
	case <-ended:
		exit = d.cmd.ProcessState.ExitCode()
	case <-time.After(span):
		killed = true
		if err := d.cmd.Process.Kill(); err != nil {
			return 0, true, fmt.Errorf("kill behind the notice: %w", err)
		}
		<-ended
	}
	d.cmd = nil
	return exit, killed, nil
}

// Pause has the server and its pool stand still for a span.
func (d *Daemon) Pause(span time.Duration) error {
	speed := 0.0
	d.Workers.Update(func(m *Machine) { speed, m.Speed = m.Speed, 1e-9 })
	failed := d.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	failed = errors.Join(failed, d.Signal(syscall.SIGCONT))
	d.Workers.Update(func(m *Machine) { m.Speed = speed })
	return failed
}

// Shutdown sends the notice to leave, and waits for the end.
func (d *Daemon) Shutdown() error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("notice: %w", err)
	}
	err := <-d.exited
	d.cmd = nil
	return errors.Join(err, d.Stop())
}

// Stop sends the notice to leave and waits for the end, which is an error unless the exit code is 0.
func (d *Daemon) Stop() error {
	var failed error
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case failed = <-d.exited:
		case <-time.After(startTimeout):
			_ = d.cmd.Process.Kill()
			failed = errors.Join(errors.New("did not leave"), <-d.exited)
		}
	}
	if d.resourcesClosed { // stopped before: what the workers started is still read by tests
		return failed
	}
	d.resourcesClosed = true
	if d.Workers != nil {
		d.Workers.Close()
	}
	if d.membership != nil {
		d.membership.Close()
	}
	return failed
}

// randomLoopbackAddress is an address in 127.64.0.0/10 at a port that the system chooses. At 127.0.0.1 the port could be taken by an
// outgoing connection before its server listens; two at one host meet at one port only by a second chance.
func randomLoopbackAddress() string {
	n := rand.Uint32()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+n>>16&0x3f, n>>8&0xff, 1+n&0x7f)
}

// FreeAddress is one on loopback that nobody listens at.
func FreeAddress() (string, error) {
	free, err := net.Listen("tcp", randomLoopbackAddress())
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer free.Close()
	return free.Addr().String(), nil
}

// platformSettings are the platform's for a site with these types.
func platformSettings(types []Route, m Machine) map[string]any {
	var services []map[string]any
	calls, skips := []bool{}, []float64{}
	for _, t := range types {
		repeats := "retryable"
		if t.Once {
			repeats = "fragile"
		}
		services = append(services, map[string]any{
			"name": t.Name, "goal-time": t.LatencyTarget.Microseconds(), "deadline": t.Deadline.Microseconds(),
			"gain": t.Value, "idempotency": repeats, "late-value": 0.0,
		})
		calls, skips = append(calls, false), append(skips, 0)
	}
	return map[string]any{
		"extra": map[string]any{
			"advert": "threshold", "below": "none", "calls-by-class": calls, "class-skip-worth": skips,
			"cold": m.ColdShare > 0, "cores": m.Cores, "gauges": []string{"core_use", "on_cores", "heap_share", "links"},
			"halt": cmp.Or(m.Halt, emulator.HaltSuspend), "idle": 15000000, "passes-deadline": true, "ram-kb": m.KB, "run-factor": 8.0,
		},
		"limits": map[string]any{"max-retry-after": 1000000, "retry-after": true},
		"obligations": map[string]any{
			"cold-share": m.ColdShare, "overload-factor": defaultRunsPerCore, "fall": defaultEnduranceWindow.Microseconds(), "stop-sending-within": 400000,
			"warm-up": m.WarmUp.Microseconds(),
		},
		"servers": 2, "services": services, "tenants": []any{}, "value-by": "request",
	}
}
