//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quartzpoint/internal/controlsocket"
)

// link is a proxy between a server and a voter. It carries the server's bytes at once, and the voter's bytes later by a
// delay that may change. A link that stands carries nothing in the voter's direction to the server.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	delay time.Duration
	cut   bool
}

func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

func (l *link) set(delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.cut = delay, cut
}

func (l *link) state() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.cut
}

func (l *link) carry(client net.Conn) {
	voter, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := client.Read(buffer)
			if err != nil {
				break
			}
			if _, cut := l.state(); cut {
				continue
			}
			if _, err := voter.Write(buffer[:n]); err != nil {
				break
			}
		}
		_ = voter.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := voter.Read(buffer)
		if err != nil {
			break
		}
		delay, cut := l.state()
		time.Sleep(delay)
		if cut {
			continue
		}
		if _, cut = l.state(); cut {
			continue
		}
		if _, err := client.Write(buffer[:n]); err != nil {
			break
		}
	}
	_, _ = io.Copy(io.Discard, voter)
	_ = client.Close()
}

// fleet is a number of servers that vote on leases.
type fleet struct {
	number    int
	s         *scene
	duties    []string
	programs  []*program
	sockets   []string
	configs   []string
	owns      []string
	listens   []string
	links     [][]*link
	closeDown []func()
}

type leaseStatus struct {
	Lease     string        `json:"duty"`
	Holds     bool          `json:"holds"`
	Token     uint64        `json:"token"`
	Remaining time.Duration `json:"left_ns"`
}

func newFleet(s *scene, n int, duties []string, section string, proxied bool, number int) (*fleet, error) {
	f := &fleet{s: s, number: number, duties: duties, links: make([][]*link, n)}
	memberAddress, stop, err := members()
	if err != nil {
		return nil, err
	}
	f.closeDown = append(f.closeDown, stop)
	services := []service{{"name": "look-up", "goal-time": 500000, "deadline": 2000000, "gain": 1.0, "idempotency": "retryable", "late-value": 0.0}}
	var voters []string
	for range n {
		voters = append(voters, freeAddress())
	}
	for i := range n {
		workers, err := newPool(s.rec, func(string) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("f%d-n%d", number, i+1)
		f.listens = append(f.listens, freeAddress())
		config, err := platformConfig(s.dir, name, f.listens[i], workers.address, memberAddress, services, nil, nil)
		if err != nil {
			return nil, err
		}
		f.links[i] = make([]*link, n)
		var ask, names []string
		for j, voter := range voters {
			if j == i {
				continue
			}
			if proxied {
				l, err := newLink(voter)
				if err != nil {
					return nil, err
				}
				f.links[i][j], voter = l, l.listener.Addr().String()
			}
			ask = append(ask, fmt.Sprintf("%q", voter))
		}
		for _, duty := range duties {
			names = append(names, fmt.Sprintf("%q", duty))
		}
		f.sockets = append(f.sockets, filepath.Join(s.dir, name+".sock"))
		own := filepath.Join(s.dir, name+".toml")
		text := fmt.Sprintf("[control]\nsocket = %q\n[peers]\nlisten = %q\nask = [%s]\n[lease]\nduties = [%s]\n%s\n",
			f.sockets[i], voters[i], strings.Join(ask, ", "), strings.Join(names, ", "), section)
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.configs, f.owns, f.programs = append(f.configs, config), append(f.owns, own), append(f.programs, nil)
	}
	for i := range n {
		if err := f.start(i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) start(i int) (err error) {
	name := fmt.Sprintf("f%d-n%d", f.number, i+1)
	f.programs[i], err = startServer(f.s.dir, name, f.configs[i], f.owns[i], f.listens[i])
	f.s.rec.printf("%s started", name)
	return err
}

func (f *fleet) close() {
	for _, p := range f.programs {
		if p != nil {
			p.kill()
		}
	}
	for _, stop := range f.closeDown {
		stop()
	}
}

// status asks a server what it holds, as `quartzpoint lease show` does.
func (f *fleet) status(i int) map[string]leaseStatus {
	var all []leaseStatus
	byDuty := map[string]leaseStatus{}
	if controlsocket.Query(f.sockets[i], controlsocket.Request{Query: "lease"}, &all) != nil {
		return byDuty
	}
	for _, s := range all {
		byDuty[s.Lease] = s
	}
	return byDuty
}

// holder waits for one server that holds a lease.
func (f *fleet) holder(duty string, within time.Duration) (int, leaseStatus, error) {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		for i := range f.programs {
			if s := f.status(i)[duty]; s.Holds {
				return i, s, nil
			}
		}
	}
	return 0, leaseStatus{}, fmt.Errorf("nobody holds %s", duty)
}

// leaseTokens loses all servers at once, as with their data centre, and compares the tokens of all grants in their order.
func leaseTokens(s *scene) (bool, error) {
	f, err := newFleet(s, 3, []string{"compact"}, "", false, 0)
	if err != nil {
		return false, err
	}
	defer f.close()
	type grant struct {
		holder int
		token  uint64
	}
	var all []grant
	see := func() (int, error) {
		i, status, err := f.holder("compact", 30*time.Second)
		if err == nil {
			s.rec.printf("n%d holds compact, token %d", i+1, status.Token)
			all = append(all, grant{i, status.Token})
		}
		return i, err
	}
	// The lease is handed over three times by draining its holder, and the drained one is started again.
	for range 3 {
		i, err := see()
		if err != nil {
			return false, err
		}
		s.rec.printf("n%d is told to drain", i+1)
		f.programs[i].signal(syscall.SIGTERM)
		<-f.programs[i].ended
		if err := f.start(i); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	if _, err := see(); err != nil {
		return false, err
	}
	if s.trouble {
		s.rec.printf("the data centre is lost: kill -9 of all three, for 11 s")
		for i := range 3 {
			f.programs[i].kill()
		}
		time.Sleep(11 * time.Second)
		for i := range 3 {
			if err := f.start(i); err != nil {
				return false, err
			}
		}
		if _, err := see(); err != nil {
			return false, err
		}
	}
	kept := true
	for i := 1; i < len(all); i++ {
		if all[i].holder != all[i-1].holder && all[i].token <= all[i-1].token || all[i].token < all[i-1].token {
			s.rec.printf("the grant to n%d has token %d, and the one before it, to n%d, had %d", all[i].holder+1, all[i].token, all[i-1].holder+1,
				all[i-1].token)
			kept = false
		}
	}
	return kept, nil
}
