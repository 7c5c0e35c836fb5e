package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

var errDidNotStop = errors.New("server did not exit within the timeout after SIGTERM and was killed")

// Daemon is a server process with its worker pool and membership service.
type Daemon struct {
	Address    string
	Peers      string // address at which it serves its peers, set by the caller; empty for none
	ConfigPath string // platform configuration file
	Workers    *Workers

	cmd             *exec.Cmd
	process         *os.Process // kept after the process has ended
	log             *LogBuffer
	membership      net.PacketConn
	exited          chan error
	resourcesClosed bool // the worker pool and the membership service are closed
}

const (
	startTimeout       = 10 * time.Second // for a start and for a graceful shutdown
	startCheckInterval = 2 * time.Millisecond
)

// Start starts a program as a server on loopback with the argument "serve", and returns when it serves and its worker
// pool is bound. ownConfig is the text of the server's own configuration file, empty for none.
func Start(program, dir, name string, routes []Route, m Machine, ownConfig string) (d *Daemon, err error) {
	return StartWithArgs(program, []string{"serve"}, dir, name, routes, m, ownConfig)
}

// StartWithoutFile is Start without the server's own configuration file and without arguments.
func StartWithoutFile(program, dir, name string, routes []Route, m Machine) (*Daemon, error) {
	return StartWithArgs(program, nil, dir, name, routes, m, "")
}

// StartWithArgs is Start with other arguments, which precede the flag for the server's own configuration file. Without
// such a file they are not used.
func StartWithArgs(program string, args []string, dir, name string, routes []Route, m Machine, ownConfig string) (*Daemon, error) {
	return Launch(program, args, dir, name, m, ownConfig, func(listen, pool, membership string) ([]byte, error) {
		return PlatformConfig(name, listen, pool, membership, routes, m)
	})
}

// Launch is StartWithArgs with a platform configuration that is built from the addresses of the server, its worker pool
// and its membership service. On an error everything that was started is stopped; the daemon returned with the error
// holds the log. The configuration files are written to dir, as name.json and name.toml.
func Launch(program string, args []string, dir, name string, m Machine, ownConfig string,
	platformConfig func(listen, pool, membership string) ([]byte, error),
) (d *Daemon, err error) {
	d = &Daemon{log: &LogBuffer{}, exited: make(chan error, 1)}
	defer func() {
		if err != nil {
			_ = d.Stop() // err is the error to report
		}
	}()
	if d.Workers, err = NewWorkers(m); err != nil {
		return d, err
	}
	if d.membership, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return d, fmt.Errorf("membership service: %w", err)
	}
	if d.Address, err = FreeAddress(); err != nil {
		return d, err
	}
	d.ConfigPath = filepath.Join(dir, name+".json")
	raw, err := platformConfig(d.Address, d.Workers.Address, d.membership.LocalAddr().String())
	if err == nil {
		err = os.WriteFile(d.ConfigPath, raw, 0o600)
	}
	if err != nil {
		return d, fmt.Errorf("platform configuration: %w", err)
	}
	if ownConfig == "" {
		return d, d.run(program, name, nil)
	}
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(ownConfig), 0o600); err != nil {
		return d, fmt.Errorf("own configuration file: %w", err)
	}
	return d, d.run(program, name, append(slices.Clone(args), "--own", file))
}

// run starts the process and waits until it serves.
func (d *Daemon) run(program, name string, args []string) error {
	d.cmd = exec.Command(program, args...)
	d.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+d.ConfigPath, "EDGE_NAME=", "EDGE_LISTEN=")
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		d.cmd = nil
		return fmt.Errorf("start %s: %w", program, err)
	}
	d.process = d.cmd.Process
	wait := d.cmd.Wait
	go func() { d.exited <- wait() }()
	for end := time.Now().Add(startTimeout); ; {
		if text := d.log.String(); strings.Contains(text, "msg=serving") && strings.Contains(text, "pool link bound") {
			return nil
		}
		select {
		case err := <-d.exited:
			d.exited <- err
			return fmt.Errorf("%s exited during its start: %w\n%s", name, err, d.log)
		case <-time.After(startCheckInterval):
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s did not serve within the timeout\n%s", name, d.log)
		}
	}
}

// RunningPID returns the ID of the running process, or 0 after Kill, Crash, Shutdown or ShutdownWithin.
func (d *Daemon) RunningPID() int {
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// LastPID returns the ID of the process started last, even after it has ended.
func (d *Daemon) LastPID() int { return d.process.Pid }

// Log returns what the server has logged so far.
func (d *Daemon) Log() string { return d.log.String() }

// Signal sends a signal to the server.
func (d *Daemon) Signal(s os.Signal) error { return d.process.Signal(s) }

// Kill ends the server with SIGKILL, and closes its worker pool and membership service. It does nothing if the server
// was already ended by Kill, Crash, Shutdown or ShutdownWithin.
func (d *Daemon) Kill() error {
	if d.cmd == nil {
		return nil // a cleanup may kill a server that the test has already ended
	}
	err := d.cmd.Process.Kill()
	<-d.exited
	d.cmd = nil
	return errors.Join(err, d.Stop())
}

// Crash ends the server with SIGKILL. Its worker pool and membership service stay open until Stop.
func (d *Daemon) Crash() error {
	if err := d.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("crash: %w", err)
	}
	<-d.exited
	d.cmd = nil
	return nil
}

// ShutdownWithin sends SIGTERM, and SIGKILL if the server has not exited after the timeout. It returns the exit code,
// which is 0 for a server that had to be killed, and whether it had to be killed. Its worker pool and membership service
// stay open until Stop.
func (d *Daemon) ShutdownWithin(timeout time.Duration) (exit int, killed bool, err error) {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return 0, false, fmt.Errorf("SIGTERM: %w", err)
	}
	select {
	case <-d.exited:
		exit = d.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		if killed, err = d.kill(); err != nil {
			return 0, true, err
		}
		<-d.exited
		exit = d.cmd.ProcessState.ExitCode()
	}
	d.cmd = nil
	if killed {
		exit = 0 // the process did not exit by itself
	}
	return exit, killed, nil
}

// kill sends SIGKILL. If the process has exited by itself since the timeout, kill returns false and no error.
func (d *Daemon) kill() (killed bool, err error) {
	err = d.cmd.Process.Kill()
	switch {
	case errors.Is(err, os.ErrProcessDone):
		return false, nil
	case err != nil:
		return false, fmt.Errorf("SIGKILL after the timeout: %w", err)
	}
	return true, nil
}

// Pause stops the server with SIGSTOP and its worker pool for a duration, then continues both.
func (d *Daemon) Pause(span time.Duration) error {
	speed := 0.0
	d.Workers.Update(func(m *Machine) { speed, m.Speed = m.Speed, 1e-9 })
	err := d.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	err = errors.Join(err, d.Signal(syscall.SIGCONT))
	d.Workers.Update(func(m *Machine) { m.Speed = speed })
	return err
}

// Shutdown sends SIGTERM, waits without a timeout until the process has exited, and closes the worker pool and the
// membership service. An exit code other than 0 is an error.
func (d *Daemon) Shutdown() error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("SIGTERM: %w", err)
	}
	err := <-d.exited
	d.cmd = nil
	return errors.Join(err, d.Stop())
}

// Stop is Shutdown with a timeout: a server that has not exited after startTimeout is killed, which is an error. It may
// also be called after Kill, Crash, Shutdown and ShutdownWithin.
func (d *Daemon) Stop() error {
	var err error
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err = <-d.exited:
		case <-time.After(startTimeout):
			_ = d.cmd.Process.Kill()
			err = errors.Join(errDidNotStop, <-d.exited)
		}
	}
	if d.resourcesClosed { // Workers is kept because tests read afterwards what it recorded
		return err
	}
	d.resourcesClosed = true
	if d.Workers != nil {
		d.Workers.Close()
	}
	if d.membership != nil {
		_ = d.membership.Close()
	}
	return err
}
