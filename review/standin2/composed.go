//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// bank is a dependency of docs/operators/dependencies.md. It recognises idempotency keys: a repeated num is answered from
// the first run.
type bank struct {
	listener net.Listener
	rec      *record
	takes    time.Duration

	mu      sync.Mutex
	byNum   map[string]bool
	effects map[string]int // by the body of the request: what the effect is on
}

func newBank(rec *record, takes time.Duration) (*bank, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bank{listener: listener, rec: rec, takes: takes, byNum: map[string]bool{}, effects: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *bank) serve(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex
	in := bufio.NewReader(conn)
	for {
		f, err := readFrame(in)
		if err != nil {
			return
		}
		if f.kind != frameRequest {
			continue
		}
		go func() {
			b.mu.Lock()
			num := f.fields["num"]
			again := b.byNum[num]
			b.byNum[num] = true
			if !again {
				b.effects[string(f.body)]++
			}
			b.rec.printf("bank: %s num %s body %q, repeated num: %t", f.fields["op"], num, f.body, again)
			b.mu.Unlock()
			time.Sleep(b.takes)
			mu.Lock()
			defer mu.Unlock()
			_, _ = conn.Write(encodeAnswer(f.stream, codeServed, []byte("done "+num)))
		}()
	}
}

// composedCrash kills an app server with state on disk while requests of a composed route with idempotency keys are in
// hand, and starts it again. Its clients repeat, with the same keys, what was lost with the connection.
func composedCrash(s *scene) (bool, error) {
	b, err := newBank(s.rec, 250*time.Millisecond)
	if err != nil {
		return false, err
	}
	memberAddress, stop, err := members()
	if err != nil {
		return false, err
	}
	defer stop()
	workers, err := newPool(s.rec, func(string) time.Duration { return 250 * time.Millisecond })
	if err != nil {
		return false, err
	}
	listen := freeAddress()
	services := []service{
		{"name": "book", "goal-time": 2000000, "deadline": 4000000, "gain": 4.0, "idempotency": "dedup", "dedup-window": 30000000, "late-value": 0.0},
		{"name": "plain", "goal-time": 2000000, "deadline": 4000000, "gain": 4.0, "idempotency": "dedup", "dedup-window": 30000000, "late-value": 0.0},
	}
	config, err := platformConfig(s.dir, "n1", listen, workers.address, memberAddress, services, nil, nil)
	if err != nil {
		return false, err
	}
	own := filepath.Join(s.dir, "own.toml")
	if err := os.WriteFile(own, []byte(fmt.Sprintf(`
[state]
dir = %q
site = "branch-12"
numbers = true
[dependencies.bank]
address = %q
share = 24
[[types.book.calls]]
name = "deposit"
dependency = "bank"
needed = true
expected = "250ms"
effect = "numbered"
`, filepath.Join(s.dir, "state"), b.listener.Addr().String())), 0o600); err != nil {
		return false, err
	}
	server, err := startServer(s.dir, "n1", config, own, listen)
	if err != nil {
		return false, err
	}
	defer func() { server.kill() }()
	time.Sleep(time.Second)

	// Ten requests of each route, 20 ms apart.
	type sent struct {
		op, key, body string
		got           chan answer
	}
	var all []sent
	r, err := dialRouter(listen)
	if err != nil {
		return false, err
	}
	for i := range 10 {
		for k, op := range []string{"book", "plain"} {
			q := sent{op: op, key: fmt.Sprintf("key-%s-%d", op, i), body: fmt.Sprintf("%s-%d", op, i)}
			q.got = r.send(op, fmt.Sprintf("%016x", 0x1000+2*i+k), 4*time.Second, [][2]string{{"dedupe", q.key}}, []byte(q.body))
			s.rec.printf("router sends %s call %016x dedupe %s", op, 0x1000+2*i+k, q.key)
			all = append(all, q)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if s.trouble {
		s.rec.printf("kill -9 of the app server, and of its worker pool")
		server.kill()
		workers.restart()
		if server, err = startServer(s.dir, "n1", config, own, listen); err != nil {
			return false, err
		}
		s.rec.printf("started again, same name, address and state directory")
	}
	// What has no answer is repeated at the same server with the same key, as a client would: here all requests are, the
	// answered ones as a client that lost its answer.
	time.Sleep(time.Second)
	if r, err = dialRouter(listen); err != nil {
		return false, err
	}
	kept := true
	for i, q := range all {
		first := answer{lost: true}
		select {
		case first = <-q.got:
		case <-time.After(5 * time.Second):
		}
		s.rec.printf("%s dedupe %s, first try: %v", q.op, q.key, first)
		call := fmt.Sprintf("%016x", 0x2000+i)
		s.rec.printf("router sends %s call %s dedupe %s again", q.op, call, q.key)
		second := answer{lost: true}
		select {
		case second = <-r.send(q.op, call, 4*time.Second, [][2]string{{"dedupe", q.key}}, []byte(q.body)):
		case <-time.After(6 * time.Second):
		}
		s.rec.printf("%s dedupe %s, second try: %v", q.op, q.key, second)
	}
	time.Sleep(300 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range all {
		n := b.effects[q.body]
		if q.op == "plain" {
			n = workers.runsOf(q.body)
		}
		s.rec.printf("%s dedupe %s: its effect was made %d times", q.op, q.key, n)
		if n > 1 {
			kept = false
		}
		if n == 0 && !s.trouble {
			return false, fmt.Errorf("%s had no effect without trouble", q.key)
		}
	}
	s.rec.printf("log of the app server:\n%s", tail(server.log, 12))
	return kept, nil
}
