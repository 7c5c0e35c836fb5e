//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// control is the configuration service: three control machines.
type control struct {
	s        *scene
	programs []*program
	files    []string
	sessions []string
}

func newControl(s *scene) (*control, error) {
	c := &control{s: s}
	var machines strings.Builder
	for i := range 3 {
		c.sessions = append(c.sessions, freeAddress())
		fmt.Fprintf(&machines, "[[machine]]\nname = \"control-%d\"\nzone = \"east-a\"\nreplication = %q\nsessions = %q\n", i+1, freeAddress(), c.sessions[i])
	}
	for i := range 3 {
		file := filepath.Join(s.dir, fmt.Sprintf("control-%d.toml", i+1))
		text := fmt.Sprintf("name = \"control-%d\"\ndata = %q\n%s", i+1, filepath.Join(s.dir, fmt.Sprintf("data-%d", i+1)), machines.String())
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		c.files = append(c.files, file)
		if err := os.MkdirAll(filepath.Join(s.dir, fmt.Sprintf("data-%d", i+1)), 0o700); err != nil {
			return nil, err
		}
		p, err := launch("exec bin/quartzconfig serve --config "+file, filepath.Join(s.dir, fmt.Sprintf("control-%d.log", i+1)))
		if err != nil {
			return nil, err
		}
		c.programs = append(c.programs, p)
	}
	return c, nil
}

func (c *control) close() {
	for _, p := range c.programs {
		p.kill()
	}
}

// apply applies a change as an operator does, and returns what is printed and the exit code.
func (c *control) apply(change any, arguments ...string) (string, int, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return "", 0, err
	}
	cmd := exec.Command("bin/quartzconfig", append([]string{"apply", "--config", c.files[0], "-"}, arguments...)...)
	cmd.Stdin = bytes.NewReader(raw)
	out, err := cmd.CombinedOutput()
	code := cmd.ProcessState.ExitCode()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		return "", 0, err
	}
	return strings.TrimSpace(string(out)), code, nil
}

// mustApply applies a change that has to be accepted.
func (c *control) mustApply(change any, arguments ...string) (string, error) {
	out, code, err := c.apply(change, arguments...)
	if err == nil && code != 0 {
		err = fmt.Errorf("quartzconfig apply: exit code %d: %s", code, out)
	}
	return out, err
}

// own returns the section of an app server that follows the service.
func (c *control) own(dir string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[configuration]\nzone = \"east-a\"\ndir = %q\n", dir)
	for _, address := range c.sessions {
		fmt.Fprintf(&text, "[[configuration.machine]]\nzone = \"east-a\"\naddress = %q\n", address)
	}
	return text.String()
}

// waitVersion waits until an app server logs that it has a version in force.
func waitVersion(p *program, version string) error {
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		raw, _ := os.ReadFile(p.log)
		if strings.Contains(string(raw), `msg="configuration: in force" version=`+version+" ") {
			return nil
		}
	}
	return fmt.Errorf("version %s never in force", version)
}

// routeChange changes how often a route's requests may run, in service, between the first try of keyed requests and
// their repeats.
func routeChange(s *scene) (bool, error) {
	memberAddress, stop, err := members()
	if err != nil {
		return false, err
	}
	defer stop()
	workers, err := newPool(s.rec, func(string) time.Duration { return 300 * time.Millisecond })
	if err != nil {
		return false, err
	}
	services := []service{
		{"name": "order", "goal-time": 900000, "deadline": 3000000, "gain": 4.0, "idempotency": "dedup", "dedup-window": 30000000, "late-value": 0.0},
		{"name": "pay", "goal-time": 900000, "deadline": 3000000, "gain": 4.0, "idempotency": "dedup", "dedup-window": 30000000, "late-value": 0.0},
	}
	c, err := newControl(s)
	if err != nil {
		return false, err
	}
	defer c.close()
	listen := freeAddress()
	config, err := platformConfig(s.dir, "n1", listen, workers.address, memberAddress, services, nil, nil)
	if err != nil {
		return false, err
	}
	raw, err := os.ReadFile(config)
	if err != nil {
		return false, err
	}
	version, err := c.mustApply(json.RawMessage(raw))
	if err != nil {
		return false, err
	}
	own := filepath.Join(s.dir, "own.toml")
	if err := os.WriteFile(own, []byte(c.own(filepath.Join(s.dir, "stored"))), 0o600); err != nil {
		return false, err
	}
	server, err := startServer(s.dir, "n1", config, own, listen)
	if err != nil {
		return false, err
	}
	defer server.kill()
	if err := waitVersion(server, version); err != nil {
		return false, err
	}
	s.rec.printf("version %s in force: order and pay are dedup with a window of 30 s", version)
	time.Sleep(500 * time.Millisecond)
	r, err := dialRouter(listen)
	if err != nil {
		return false, err
	}
	type sent struct {
		op, key, body string
		got           chan answer
	}
	var all []sent
	send := func(q *sent, call string) {
		s.rec.printf("router sends %s call %s dedupe %s", q.op, call, q.key)
		q.got = r.send(q.op, call, 3*time.Second, [][2]string{{"dedupe", q.key}}, []byte(q.body))
	}
	// The first three of each route are answered before the change, the last two are in hand.
	for i := range 5 {
		for k, op := range []string{"order", "pay"} {
			q := sent{op: op, key: fmt.Sprintf("key-%s-%d", op, i), body: fmt.Sprintf("%s-%d", op, i)}
			send(&q, fmt.Sprintf("%016x", 0x1000+2*i+k))
			if all = append(all, q); i < 3 {
				a := <-q.got
				s.rec.printf("%s dedupe %s: %v", q.op, q.key, a)
				if a.code != codeServed {
					return false, fmt.Errorf("%s not served at rest: %v", q.key, a)
				}
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	if s.trouble {
		// An operator makes `order` at-most-once, as no request of it may ever run twice.
		change := map[string]any{"routes": map[string]any{"order": map[string]any{
			"goal-time": 900000, "deadline": 3000000, "gain": 4, "idempotency": "fragile",
		}}}
		if version, err = c.mustApply(change); err != nil {
			return false, err
		}
		if err := waitVersion(server, version); err != nil {
			return false, err
		}
		s.rec.printf("version %s in force: order is fragile (at-most-once)", version)
	}
	for i := range all {
		send(&all[i], fmt.Sprintf("%016x", 0x2000+i))
	}
	kept := true
	for _, q := range all {
		select {
		case a := <-q.got:
			s.rec.printf("%s dedupe %s, repeat: %v", q.op, q.key, a)
		case <-time.After(5 * time.Second):
			s.rec.printf("%s dedupe %s, repeat: no answer", q.op, q.key)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, q := range all {
		n := workers.runsOf(q.body)
		s.rec.printf("%s dedupe %s was run %d times", q.op, q.key, n)
		kept = kept && n <= 1
	}
	s.rec.printf("log of the app server:\n%s", tail(server.log, 8))
	return kept, nil
}
