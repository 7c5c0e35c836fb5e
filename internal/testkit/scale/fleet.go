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

// Fleet is a hollow fleet over a few processes. The voters, the busiest role, have the first process to themselves.
type Fleet struct {
	children []*hollowProcess
	members  *membershipSink
	servers  int
}

// hollowProcess is one hollow process.
type hollowProcess struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// membershipSink counts the reports that a membership service gets.
type membershipSink struct {
	socket          net.PacketConn
	messages, bytes atomic.Int64
}

func newMembershipSink() (*membershipSink, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
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

// processes is the number of processes for servers that do not vote.
const processes = 4

// StartFleet starts a program as the hollow processes of a fleet. It sets the addresses and indexes of the spec.
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
	parts := []int{spec.Voters}
	for i := range processes {
		parts = append(parts, rest*(i+1)/processes-rest*i/processes)
	}
	first := 0
	for _, count := range parts {
		if count == 0 {
			f.children = append(f.children, nil) // keeps the voters' process first
			continue
		}
		part := spec
		part.First, part.Count = first, count
		first += count
		one, err := startChild(program, part)
		if err != nil {
			return f, err
		}
		f.children = append(f.children, one)
	}
	for _, one := range f.children {
		if one == nil {
			continue
		}
		if _, err := one.answer(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// hollowPort is the port that hollow servers listen at, each at a host of its own.
const hollowPort = 17400

// addresses are different hosts of 127.0.0.0/8.
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

// ask sends a command and returns the state after it.
func (c *hollowProcess) ask(command hollowCommand) (HollowState, error) {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return HollowState{}, fmt.Errorf("hollow: %w", err)
	}
	return c.answer()
}

func (c *hollowProcess) answer() (state HollowState, err error) {
	if err := c.out.Decode(&state); err != nil {
		return state, fmt.Errorf("hollow: no answer: %w", err)
	}
	return state, nil
}

// Stop ends the fleet's processes and waits for them.
func (f *Fleet) Stop() (err error) {
	for _, one := range f.children {
		if one == nil {
			continue
		}
		_ = one.in.Close()
		err = errors.Join(err, one.cmd.Wait())
	}
	_ = f.members.socket.Close()
	return err
}

// Restart restarts servers that do not vote, shared evenly over the processes.
func (f *Fleet) Restart(count int) error {
	rest := f.children[1:]
	for i, one := range rest {
		share := count*(i+1)/len(rest) - count*i/len(rest)
		if one == nil || share == 0 {
			continue
		}
		if _, err := one.ask(hollowCommand{Restart: share}); err != nil {
			return err
		}
	}
	return nil
}

// resourceUse is the processor time and traffic of a fleet up to a moment.
type resourceUse struct {
	at                     time.Time
	voters, others         HollowState
	votersCPU, othersCPU   time.Duration
	memberBytes, memberMsg int64
}

func (f *Fleet) use() (u resourceUse, err error) {
	u = resourceUse{at: time.Now(), memberBytes: f.members.bytes.Load(), memberMsg: f.members.messages.Load()}
	for i, one := range f.children {
		if one == nil {
			continue
		}
		state, errState := one.ask(hollowCommand{})
		spent, errCPU := CPU(one.cmd.Process.Pid)
		if err := errors.Join(errState, errCPU); err != nil {
			return u, err
		}
		if i == 0 {
			u.voters, u.votersCPU = state, spent
			continue
		}
		u.others.Cold += state.Cold
		u.others.Traffic.Started += state.Traffic.Started
		u.others.Traffic.Accepted += state.Traffic.Accepted
		u.others.Traffic.Sent += state.Traffic.Sent
		u.others.Traffic.Received += state.Traffic.Received
		u.othersCPU += spent
	}
	return u, nil
}

// viewTimeout is the time limit of WaitForViews.
const viewTimeout = 30 * time.Second

// WaitForViews waits until each server has a view, and returns the time that it took.
func (f *Fleet) WaitForViews(ctx context.Context) (time.Duration, error) {
	for began := time.Now(); ; {
		u, err := f.use()
		if err != nil {
			return 0, err
		}
		if u.voters.Cold+u.others.Cold == 0 {
			return time.Since(began), nil
		}
		if time.Since(began) > viewTimeout || ctx.Err() != nil {
			return 0, fmt.Errorf("hollow: %d servers have no view after %v", u.voters.Cold+u.others.Cold, viewTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// quietTime is the time without an exchange after which a fleet is quiet.
const quietTime = 500 * time.Millisecond

// WaitUntilQuiet waits until no server that does not vote begins exchanges with its peers any more.
func (f *Fleet) WaitUntilQuiet(ctx context.Context) error {
	asked, since, began := int64(-1), time.Now(), time.Now()
	for time.Since(since) < quietTime {
		u, err := f.use()
		if err != nil {
			return err
		}
		if u.others.Traffic.Started != asked {
			asked, since = u.others.Traffic.Started, time.Now()
		}
		if time.Since(began) > viewTimeout || ctx.Err() != nil {
			return fmt.Errorf("hollow: servers still ask after %v", viewTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// useRates are the rates between two resourceUses.
type useRates struct {
	seconds                              float64
	memberMessages, memberBytes          float64 // a second and server
	serverBytes, serverTalks, serverCore float64 // a second and server that does not vote
	voterBytes, voterTalks, voterCore    float64 // a second and voter
}

// ratesBetween returns the rates between two moments, of servers that do not vote and of voters.
func ratesBetween(a, b resourceUse, servers, voters int) useRates {
	u := useRates{seconds: b.at.Sub(a.at).Seconds()}
	all, rest := u.seconds*float64(servers), u.seconds*float64(max(servers-voters, 1))
	u.memberMessages = float64(b.memberMsg-a.memberMsg) / all
	u.memberBytes = float64(b.memberBytes-a.memberBytes) / all
	bytes := func(s HollowState) float64 { return float64(s.Traffic.Sent + s.Traffic.Received) }
	talks := func(s HollowState) float64 { return float64(s.Traffic.Started + s.Traffic.Accepted) }
	u.serverBytes = (bytes(b.others) - bytes(a.others)) / rest
	u.serverTalks = (talks(b.others) - talks(a.others)) / rest
	u.serverCore = 100 * (b.othersCPU - a.othersCPU).Seconds() / rest
	if voters > 0 {
		each := u.seconds * float64(voters)
		u.voterBytes = (bytes(b.voters) - bytes(a.voters)) / each
		u.voterTalks = (talks(b.voters) - talks(a.voters)) / each
		u.voterCore = 100 * (b.votersCPU - a.votersCPU).Seconds() / each
	}
	return u
}
