//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["apply-id"] = applyIDCase }

const (
	otherChanges = 1040 // of the tenants' quotas, between the change whose answer is lost and its repetition
	appliers     = 6    // operators' programs that make them
)

// configCluster is a configuration service of three control machines.
type configCluster struct {
	w                  *world
	sessions, replicas [3]string
	file               string // for operators, with the addresses of the machines themselves
}

func (w *world) startConfigCluster() *configCluster {
	c := &configCluster{w: w}
	for i := range c.sessions {
		c.sessions[i], c.replicas[i] = freeAddress(), freeAddress()
	}
	c.file = w.write("operator.toml", c.machines(c.sessions[:], []int{0, 1, 2}))
	for i := range c.sessions {
		head := fmt.Sprintf("name = \"c%d\"\ndata = %q\n", i, filepath.Join(w.dir, fmt.Sprintf("data%d", i)))
		file := w.write(fmt.Sprintf("c%d.toml", i), head+c.machines(c.sessions[:], []int{0, 1, 2}))
		p := w.start(fmt.Sprintf("c%d", i), "exec bin/quartzconfig serve --config "+file)
		waitFor("a control machine", 20*time.Second, func() bool { return p.logHas("msg=serving") })
	}
	return c
}

func (c *configCluster) machines(sessions []string, order []int) (text string) {
	for _, i := range order {
		text += fmt.Sprintf("[[machine]]\nname = \"c%d\"\nzone = \"z%d\"\nreplication = %q\nsessions = %q\n", i, i, c.replicas[i], sessions[i])
	}
	return text
}

// quartzconfig runs a command of an operator.
func (c *configCluster) quartzconfig(input string, args ...string) (output string, code int) {
	cmd := exec.Command("bin/quartzconfig", args...)
	cmd.Dir = os.Getenv("ROOT")
	cmd.Stdin = strings.NewReader(input)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	var exit *exec.ExitError
	if err := cmd.Run(); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		must(err)
	}
	return strings.TrimSpace(out.String()), code
}

// apply applies a change, and returns the version that is printed.
func (c *configCluster) apply(file, change string, more ...string) (version string, code int) {
	return c.quartzconfig(change, append([]string{"apply", "--config", file, "-"}, more...)...)
}

// startAppServer starts an app server that follows the service. inForce waits until it has a version in force.
func (c *configCluster) startAppServer(p *pool) (listen string, inForce func(version string)) {
	w := c.w
	listen = freeAddress()
	config := w.platformFile("n1", listen, p.address, w.startMembership(), siteSettings)
	section := "[configuration]\nzone = \"z0\"\n"
	for i, address := range c.sessions {
		section += fmt.Sprintf("[[configuration.machine]]\nzone = \"z%d\"\naddress = %q\n", i, address)
	}
	server := w.start("n1", "trap '' HUP; exec bin/quartzpoint serve --config "+w.write("n1.toml", section), "EDGE_CONFIG="+config, "EDGE_NAME=n1", "EDGE_LISTEN="+listen)
	return listen, func(version string) {
		waitFor("version "+version+" in force", 20*time.Second, func() bool { return server.logHas(`in force" version=` + version + `\b`) })
	}
}

// leader returns the index of the leader.
func (c *configCluster) leader() (leader int) {
	waitFor("a leader", 20*time.Second, func() bool {
		out, _ := c.quartzconfig("", "status", "--config", c.file, "--json")
		m := regexp.MustCompile(`"leader":\s*"c([0-2])"`).FindStringSubmatch(out)
		if m == nil {
			return false
		}
		leader, _ = strconv.Atoi(m[1])
		return true
	})
	return leader
}

// answerDropper forwards connections to an address; while lossy, it loses all that a machine answers after the
// handshake, and then ends the connection.
func answerDropper(to string, lossy *atomic.Bool) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				go func() {
					_, _ = io.Copy(far, near)
					_ = far.(*net.TCPConn).CloseWrite()
				}()
				buffer := make([]byte, 64<<10)
				for first := true; ; first = false {
					n, err := far.Read(buffer)
					if err != nil || !first && lossy.Load() {
						return
					}
					if _, err := near.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// applyIDCase applies a change whose answer is lost, lets others follow, and applies it again under the same ID, as the
// program asks for.
func applyIDCase(w *world) (broken bool) {
	c := w.startConfigCluster()
	leader := c.leader()
	out, code := c.apply(c.file, `{"routes": {"order": {"goal-time": 900000, "deadline": 3000000, "gain": 4, "idempotency": "fragile"}},
 "tenants": {"north": {"quota-rps": 100}}}`)
	w.note("operator: first tables: version %s, exit code %d", out, code)
	if code != 0 {
		panic("the first change was not accepted: " + out)
	}

	p := w.startPool(20 * time.Millisecond)
	listen, inForce := c.startAppServer(p)
	inForce(out)

	// The change, through a network that loses its answer.
	var lossy atomic.Bool
	lossy.Store(w.trouble)
	near := make([]string, 3)
	for i := range near {
		near[i] = answerDropper(c.sessions[i], &lossy)
	}
	file := w.write("far.toml", c.machines(near, []int{leader, (leader + 1) % 3, (leader + 2) % 3}))
	change := `{"routes": {"promo": {"goal-time": 900000, "deadline": 3000000, "gain": 1, "idempotency": "retryable"}}}`
	const id = "promo-2026-12"
	out, code = c.apply(file, change, "--id", id, "--wait", "3s")
	w.note("operator: route promo, id %s: %q, exit code %d", id, out, code)
	lost := code == 2
	if code != 0 && code != 2 || lost != w.trouble {
		panic("the change ended unexpectedly")
	}
	waitFor("route promo", 10*time.Second, func() bool { return w.ask(listen, "promo") == 20 })
	w.note("router: a request of promo is served")

	out, code = c.apply(c.file, `{"routes": {"promo": null}}`)
	w.note("operator: promo is removed: version %s, exit code %d", out, code)
	inForce(out)
	before := w.ask(listen, "promo")
	w.note("router: a request of promo is answered with code %d", before)

	var next atomic.Int64
	var done sync.WaitGroup
	for range appliers {
		done.Go(func() {
			for i := next.Add(1); i <= otherChanges; i = next.Add(1) {
				if out, code := c.apply(c.file, fmt.Sprintf(`{"tenants": {"tenant-%d": {"quota-rps": %d}}}`, i%40, i)); code != 0 {
					w.note("operator: another change: %s, exit code %d", out, code)
				}
			}
		})
	}
	done.Wait()
	out, _ = c.apply(c.file, `{"tenants": {"north": {"quota-rps": 120}}}`)
	last, err := strconv.Atoi(out)
	must(err)
	w.note("operator: %d other changes are accepted, version %d", otherChanges, last)
	inForce(out)

	version := 0
	if lost {
		out, code = c.apply(c.file, change, "--id", id)
		version, _ = strconv.Atoi(out)
		w.note("operator: route promo again under id %s: version %s, exit code %d", id, out, code)
		inForce(strconv.Itoa(max(version, last)))
	}
	after := w.ask(listen, "promo")
	w.note("router: a request of promo is answered with code %d", after)
	w.verdict("version %d before the repetition, which is told version %d; promo is answered with code %d before and %d after", last, version, before, after)
	return version > last || after != before
}

// ask sends one request of a route and returns the code of its answer.
func (w *world) ask(listen, route string) byte {
	conn, err := net.Dial("tcp", listen)
	must(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = conn.Write(frame(10, 1, "what", "op", route, "call", fmt.Sprintf("%016x", time.Now().UnixNano()), "recv", unixMS(time.Now()),
		"src", "1", "ttl", "3000", "heap", "24.5", "crit", "0.9000"))
	must(err)
	for {
		a, err := readAnswer(conn)
		must(err)
		if a.kind == 11 {
			return a.code
		}
	}
}
