package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"time"
)

// Fleet is a hollow fleet that runs in a few processes. The voters, the busiest role, run alone in the first process.
type Fleet struct {
	children []*hollowProcess
	members  *membershipSink
	servers  int
}

// hollowProcess is one process of a hollow fleet.
type hollowProcess struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// membershipSink is a membership service that only counts the reports that it receives.
type membershipSink struct {
	socket          net.PacketConn
	messages, bytes atomic.Int64
}

func newMembershipSink() (*membershipSink, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("membership service: %w", err)
	}
	s := &membershipSink{socket: socket}
	go func() {
		var datagram [512]byte
		for {
			n, _, err := socket.ReadFrom(datagram[:])
			if err != nil {
				return
			}
			s.messages.Add(1)
			s.bytes.Add(int64(n))
		}
	}()
	return s, nil
}

// nonVoterProcesses is the number of processes for servers that do not vote.
const nonVoterProcesses = 4

// StartFleet starts a program as the processes of a hollow fleet, and returns once all servers have started. It
// overwrites Servers, Members, First and Count of the spec.
func StartFleet(program string, servers int, spec HollowSpec) (f *Fleet, err error) {
	sink, err := newMembershipSink()
	if err != nil {
		return nil, err
	}
	f = &Fleet{members: sink, servers: servers}
	defer func() {
		if err != nil {
			_ = f.Stop()
		}
	}()
	spec.Servers, spec.Members = addresses(servers), sink.socket.LocalAddr().String()
	rest := servers - spec.Voters
	counts := []int{spec.Voters}
	for i := range nonVoterProcesses {
		counts = append(counts, rest*(i+1)/nonVoterProcesses-rest*i/nonVoterProcesses)
	}
	first := 0
	for _, count := range counts {
		if count == 0 {
			f.children = append(f.children, nil) // keeps the voters' process first
			continue
		}
		partSpec := spec
		partSpec.First, partSpec.Count = first, count
		first += count
		child, err := startChild(program, partSpec)
		if err != nil {
			return f, err
		}
		f.children = append(f.children, child)
	}
	for _, child := range f.children {
		if child == nil {
			continue
		}
		if _, err := child.readState(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// hollowPort is the port of all hollow servers; each has its own host address.
const hollowPort = 17400

// addresses returns addresses with different hosts in 127.0.0.0/8.
func addresses(count int) (all []string) {
	base := 64 + rand.Intn(60)
	for i := range count {
		all = append(all, fmt.Sprintf("127.%d.%d.%d:%d", base, 1+i/200, 1+i%200, hollowPort))
	}
	return all
}

func startChild(program string, spec HollowSpec) (*hollowProcess, error) {
	c := &hollowProcess{cmd: exec.Command(program, "hollow")}
	c.cmd.Stderr = os.Stderr
	in, errIn := c.cmd.StdinPipe()
	out, errOut := c.cmd.StdoutPipe()
	if err := errors.Join(errIn, errOut); err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	c.in, c.out = in, json.NewDecoder(bufio.NewReader(out))
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	return c, json.NewEncoder(in).Encode(spec)
}

// ask sends a command to the process and returns the state after it.
func (c *hollowProcess) ask(command hollowCommand) (HollowState, error) {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return HollowState{}, fmt.Errorf("hollow: %w", err)
	}
	return c.readState()
}

func (c *hollowProcess) readState() (state HollowState, err error) {
	if err := c.out.Decode(&state); err != nil {
		return state, fmt.Errorf("hollow: no answer: %w", err)
	}
	return state, nil
}

// Stop ends the fleet's processes and waits for them.
func (f *Fleet) Stop() (err error) {
	for _, child := range f.children {
		if child == nil {
			continue
		}
		_ = child.in.Close()
		err = errors.Join(err, child.cmd.Wait())
	}
	_ = f.members.socket.Close()
	return err
}

// Restart restarts servers that do not vote, distributed evenly over their processes.
func (f *Fleet) Restart(count int) error {
	rest := f.children[1:]
	for i, child := range rest {
		part := count*(i+1)/len(rest) - count*i/len(rest)
		if child == nil || part == 0 {
			continue
		}
		if _, err := child.ask(hollowCommand{Restart: part}); err != nil {
			return err
		}
	}
	return nil
}

// resourceUse is the processor time and traffic of a fleet up to a moment.
type resourceUse struct {
	at                          time.Time
	voters, others              HollowState // others are the servers that do not vote
	votersCPU, othersCPU        time.Duration
	memberBytes, memberMessages int64
}

func (f *Fleet) use() (u resourceUse, err error) {
	u = resourceUse{at: time.Now(), memberBytes: f.members.bytes.Load(), memberMessages: f.members.messages.Load()}
	for i, child := range f.children {
		if child == nil {
			continue
		}
		state, errState := child.ask(hollowCommand{})
		used, errCPU := CPU(child.cmd.Process.Pid)
		if err := errors.Join(errState, errCPU); err != nil {
			return u, err
		}
		if i == 0 {
			u.voters, u.votersCPU = state, used
			continue
		}
		u.others.Cold += state.Cold
		u.others.Traffic.Started += state.Traffic.Started
		u.others.Traffic.Accepted += state.Traffic.Accepted
		u.others.Traffic.Sent += state.Traffic.Sent
		u.others.Traffic.Received += state.Traffic.Received
		u.othersCPU += used
	}
	return u, nil
}

// fleetTimeout is the time limit of WaitUntilWarm and WaitUntilQuiet.
const fleetTimeout = 30 * time.Second

// WaitUntilWarm waits until every server is warm, and returns the time that it took.
func (f *Fleet) WaitUntilWarm(ctx context.Context) (time.Duration, error) {
	for began := time.Now(); ; {
		u, err := f.use()
		if err != nil {
			return 0, err
		}
		if u.voters.Cold+u.others.Cold == 0 {
			return time.Since(began), nil
		}
		if time.Since(began) > fleetTimeout || ctx.Err() != nil {
			return 0, fmt.Errorf("hollow: %d servers are cold after %v", u.voters.Cold+u.others.Cold, fleetTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// quietTime is the time without a new exchange after which a fleet counts as quiet.
const quietTime = 500 * time.Millisecond

// WaitUntilQuiet waits until the servers that do not vote have started no exchange with peers for quietTime.
func (f *Fleet) WaitUntilQuiet(ctx context.Context) error {
	started, lastChange, began := int64(-1), time.Now(), time.Now()
	for time.Since(lastChange) < quietTime {
		u, err := f.use()
		if err != nil {
			return err
		}
		if u.others.Traffic.Started != started {
			started, lastChange = u.others.Traffic.Started, time.Now()
		}
		if time.Since(began) > fleetTimeout || ctx.Err() != nil {
			return fmt.Errorf("hollow: servers still start exchanges with peers after %v", fleetTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// useRates are the rates at which resources were used between two moments. Shares of a core are in percent.
type useRates struct {
	seconds                                    float64
	memberMessages, memberBytes                float64 // per second and server
	serverBytes, serverConnections, serverCore float64 // per second and server that does not vote
	voterBytes, voterConnections, voterCore    float64 // per second and voter
}

// ratesBetween returns the rates between two moments, of servers that do not vote and of voters.
func ratesBetween(a, b resourceUse, servers, voters int) useRates {
	u := useRates{seconds: b.at.Sub(a.at).Seconds()}
	all, rest := u.seconds*float64(servers), u.seconds*float64(max(servers-voters, 1))
	u.memberMessages = float64(b.memberMessages-a.memberMessages) / all
	u.memberBytes = float64(b.memberBytes-a.memberBytes) / all
	bytes := func(s HollowState) float64 { return float64(s.Traffic.Sent + s.Traffic.Received) }
	connections := func(s HollowState) float64 { return float64(s.Traffic.Started + s.Traffic.Accepted) }
	u.serverBytes = (bytes(b.others) - bytes(a.others)) / rest
	u.serverConnections = (connections(b.others) - connections(a.others)) / rest
	u.serverCore = 100 * (b.othersCPU - a.othersCPU).Seconds() / rest
	if voters > 0 {
		each := u.seconds * float64(voters)
		u.voterBytes = (bytes(b.voters) - bytes(a.voters)) / each
		u.voterConnections = (connections(b.voters) - connections(a.voters)) / each
		u.voterCore = 100 * (b.votersCPU - a.votersCPU).Seconds() / each
	}
	return u
}
