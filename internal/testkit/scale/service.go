package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/testkit/faultnet"
	"quartzpoint/internal/testkit/harness"
)

// serviceKey is the shared secret of a measured service, hexadecimal.
const serviceKey = "5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e"

// leaderWait is how long a leader is waited for.
const leaderWait = 20 * time.Second

// side of a cut: the machines of a side and the watchers of its zone reach each other whatever happens.
type side string

const (
	majority side = "majority"
	minority side = "minority"
)

// Service is the configuration service on the control machines, each a process of the real program. What crosses between
// the sides goes through proxies that can be cut.
type Service struct {
	program  string
	folder   string
	names    []string
	sessions []string
	replicas []string
	cmds     []*exec.Cmd
	logs     []*harness.LogBuffer
	links    []*faultnet.Proxy
	crossing map[string]string // sessions of each machine as those of the other side dial it
	reach    map[string]string // replication of each machine, the same
	keys     peersync.Keys
}

// sideOf has the last two machines on the smaller side.
func sideOf(machine int) side {
	if machine < ControlMachines/2+1 {
		return majority
	}
	return minority
}

// StartService starts all machines.
func StartService(program, folder string) (s *Service, err error) {
	s = &Service{
		program: program, folder: folder, crossing: map[string]string{}, reach: map[string]string{},
		keys: peersync.Keys{[]byte(strings.Repeat("\x5e", len(serviceKey)/2))},
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.Stop())
		}
	}()
	if err := os.WriteFile(s.keyFile(), []byte(serviceKey+"\n"), 0o600); err != nil {
		return s, fmt.Errorf("service: %w", err)
	}
	for i := range ControlMachines {
		s.names = append(s.names, fmt.Sprintf("control-%d", i))
		for _, list := range []*[]string{&s.sessions, &s.replicas} {
			address, err := harness.FreeAddress()
			if err != nil {
				return s, err
			}
			*list = append(*list, address)
		}
		for address, into := range map[string]map[string]string{s.sessions[i]: s.crossing, s.replicas[i]: s.reach} {
			link, err := faultnet.New(address)
			if err != nil {
				return s, err
			}
			s.links, into[address] = append(s.links, link), link.Addr()
		}
	}
	s.cmds, s.logs = make([]*exec.Cmd, ControlMachines), make([]*harness.LogBuffer, ControlMachines)
	for i := range s.names {
		if err := s.StartMachine(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *Service) keyFile() string { return filepath.Join(s.folder, "keys") }

// file is the configuration of a machine, which dials those of the other side through proxies.
func (s *Service) file(machine int) string {
	text := fmt.Sprintf("name = %q\ndata = %q\nkey-file = %q\n", s.names[machine],
		filepath.Join(s.folder, s.names[machine]), s.keyFile())
	for i, name := range s.names {
		text += fmt.Sprintf("[[machine]]\nname = %q\nzone = %q\nreplication = %q\nsessions = %q\n", name, sideOf(i), s.replicas[i], s.sessions[i])
		if sideOf(i) != sideOf(machine) {
			text += fmt.Sprintf("reach = %q\n", s.reach[s.replicas[i]])
		}
	}
	return text
}

// StartMachine starts one machine, with what it kept.
func (s *Service) StartMachine(i int) error {
	path := filepath.Join(s.folder, s.names[i]+".toml")
	if err := os.WriteFile(path, []byte(s.file(i)), 0o600); err != nil {
		return fmt.Errorf("service: %w", err)
	}
	cmd := exec.Command(s.program, "serve", "--config", path)
	s.logs[i] = &harness.LogBuffer{}
	cmd.Stderr = s.logs[i]
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("service: %w", err)
	}
	s.cmds[i] = cmd
	return nil
}

// KillMachine ends one machine as a crash does.
func (s *Service) KillMachine(i int) {
	if cmd := s.cmds[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // killed, which is its error
		s.cmds[i] = nil
	}
}

// Signal sends a machine a signal, as SIGSTOP and SIGCONT.
func (s *Service) Signal(i int, signal syscall.Signal) error { return s.cmds[i].Process.Signal(signal) }

// Cut parts the two sides from each other, and Heal ends that.
func (s *Service) Cut() {
	for _, link := range s.links {
		link.Cut()
	}
}

// Heal has the two sides reach each other again.
func (s *Service) Heal() {
	for _, link := range s.links {
		link.Heal()
	}
}

// Watched are the machines as a server of a side knows them.
func (s *Service) Watched(from side) (machines []configwatch.Endpoint) {
	for i, address := range s.sessions {
		if sideOf(i) != from {
			address = s.crossing[address]
		}
		machines = append(machines, configwatch.Endpoint{Zone: string(sideOf(i)), Address: address})
	}
	return machines
}

// Leader waits for a machine of some that leads.
func (s *Service) Leader(ctx context.Context, among func(i int) bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for ctx.Err() == nil {
		for i, address := range s.sessions {
			if s.cmds[i] == nil || !among(i) {
				continue
			}
			status, err := configwatch.FetchStatus(ctx, address, s.keys)
			if err == nil && status.Leader == s.names[i] {
				return i, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	last := ""
	for i := range s.logs {
		lines := strings.Split(strings.TrimSpace(s.logs[i].String()), "\n")
		last += fmt.Sprintf("\n%s: %s", s.names[i], lines[len(lines)-1])
	}
	return 0, fmt.Errorf("service: no leader: %w%s", ctx.Err(), last)
}

// Stop ends all machines and links.
func (s *Service) Stop() (err error) {
	for i := range s.cmds {
		s.KillMachine(i)
	}
	for _, link := range s.links {
		err = errors.Join(err, link.Close())
	}
	return err
}
