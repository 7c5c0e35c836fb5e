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

// leaderTimeout is the time limit for a leader to be elected.
const leaderTimeout = 20 * time.Second

// side is one side of a network partition. The machines of a side and the watchers of its zone can always reach each
// other.
type side string

const (
	majority side = "majority"
	minority side = "minority"
)

// Service is the configuration service on the control machines, each a process of the real program. Connections between
// the two sides go through proxies that can be cut.
type Service struct {
	program         string
	folder          string
	names           []string    // by machine, as are the next four
	sessions        []string    // addresses for the sessions of servers
	replicas        []string    // addresses for the replication between the machines
	cmds            []*exec.Cmd // nil for a killed machine
	logs            []*harness.LogBuffer
	links           []*faultnet.Proxy // between the two sides
	proxiedSessions map[string]string // session address of each machine to the address that the other side dials
	proxiedReplicas map[string]string // replication address of each machine to the address that the other side dials
	keys            peersync.Keys
}

// sideOfMachine returns the side of a machine: the last two are the minority.
func sideOfMachine(machine int) side {
	if machine < ControlMachines/2+1 {
		return majority
	}
	return minority
}

// StartService starts all machines of the service.
func StartService(program, folder string) (s *Service, err error) {
	s = &Service{
		program: program, folder: folder, proxiedSessions: map[string]string{}, proxiedReplicas: map[string]string{},
		keys: peersync.Keys{[]byte(strings.Repeat("\x5e", len(serviceKey)/2))}, // the bytes of serviceKey
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
		for address, proxied := range map[string]map[string]string{s.sessions[i]: s.proxiedSessions, s.replicas[i]: s.proxiedReplicas} {
			link, err := faultnet.New(address)
			if err != nil {
				return s, err
			}
			s.links, proxied[address] = append(s.links, link), link.Addr()
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

// configText returns the configuration file of a machine, which dials the machines of the other side through proxies.
func (s *Service) configText(machine int) string {
	text := fmt.Sprintf("name = %q\ndata = %q\nkey-file = %q\n", s.names[machine],
		filepath.Join(s.folder, s.names[machine]), s.keyFile())
	for i, name := range s.names {
		text += fmt.Sprintf("[[machine]]\nname = %q\nzone = %q\nreplication = %q\nsessions = %q\n", name, sideOfMachine(i), s.replicas[i], s.sessions[i])
		if sideOfMachine(i) != sideOfMachine(machine) {
			text += fmt.Sprintf("reach = %q\n", s.proxiedReplicas[s.replicas[i]])
		}
	}
	return text
}

// StartMachine starts one machine with its stored state.
func (s *Service) StartMachine(i int) error {
	path := filepath.Join(s.folder, s.names[i]+".toml")
	if err := os.WriteFile(path, []byte(s.configText(i)), 0o600); err != nil {
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

// KillMachine ends one machine with SIGKILL and waits for its end.
func (s *Service) KillMachine(i int) {
	if cmd := s.cmds[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // returns the error that the process was killed
		s.cmds[i] = nil
	}
}

// Signal sends a signal to a machine.
func (s *Service) Signal(i int, signal syscall.Signal) error { return s.cmds[i].Process.Signal(signal) }

// Partition separates the two sides until Heal is called.
func (s *Service) Partition() {
	for _, link := range s.links {
		link.Cut()
	}
}

// Heal ends a partition.
func (s *Service) Heal() {
	for _, link := range s.links {
		link.Heal()
	}
}

// Endpoints returns the session addresses of the machines for a server of a side.
func (s *Service) Endpoints(from side) (machines []configwatch.Endpoint) {
	for i, address := range s.sessions {
		if sideOfMachine(i) != from {
			address = s.proxiedSessions[address]
		}
		machines = append(machines, configwatch.Endpoint{Zone: string(sideOfMachine(i)), Address: address})
	}
	return machines
}

// Leader waits until one of the machines that among selects is the leader, and returns its index. It returns an error
// after leaderTimeout.
func (s *Service) Leader(ctx context.Context, among func(i int) bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
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
	lastLines := ""
	for i := range s.logs {
		lines := strings.Split(strings.TrimSpace(s.logs[i].String()), "\n")
		lastLines += fmt.Sprintf("\n%s: %s", s.names[i], lines[len(lines)-1])
	}
	return 0, fmt.Errorf("service: no leader: %w%s", ctx.Err(), lastLines)
}

// Stop kills all machines and closes the proxies.
func (s *Service) Stop() (err error) {
	for i := range s.cmds {
		s.KillMachine(i)
	}
	for _, link := range s.links {
		err = errors.Join(err, link.Close())
	}
	return err
}
