// Package adminsocket is the socket by which operators on the same machine ask a running server: a JSON line with the
// question, and one with the answer. Only the server's own user can open it.
package adminsocket

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxRequestBytes  = 4 << 10 // bytes of a question
	maxResponseBytes = 1 << 20
	ioTimeout        = time.Second // for a question, and for the reading of its answer
)

// Request is what is asked.
type Request struct {
	Query string `json:"ask"`
}

// response is what is answered.
type response struct {
	Error  string          `json:"error,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Handler gives the answer to a question, to be written as JSON. It is called from the socket's goroutine, for
// one question at a time.
type Handler func(q Request) (any, error)

// Server answers until it is closed.
type Server struct {
	path     string
	listener net.Listener
	handler  Handler
	wg       sync.WaitGroup
}

// Listen takes the path. One that a dead server left is taken over; one that is answered is not.
func Listen(path string, answer Handler) (*Server, error) {
	if about, err := os.Lstat(path); err == nil {
		if about.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("control socket %s: something else stands there", path)
		}
		if alive, err := net.DialTimeout("unix", path, ioTimeout); err == nil {
			alive.Close()
			return nil, fmt.Errorf("control socket %s: another server answers there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	before := syscall.Umask(0o177) // at the start, when nothing else makes files; a later chmod would leave a gap
	listener, err := net.Listen("unix", path)
	syscall.Umask(before)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{path: path, listener: listener, handler: answer}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			link, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				s.serve(link) // one at a time: it bounds what operators can cost
			}
		}
	}()
	return s, nil
}

// Close ends the socket and removes it.
func (s *Server) Close() {
	s.listener.Close()
	s.wg.Wait()
}

func (s *Server) serve(link net.Conn) {
	defer link.Close()
	if link.SetDeadline(time.Now().Add(ioTimeout)) != nil {
		return
	}
	in := bufio.NewScanner(link)
	in.Buffer(make([]byte, 0, maxRequestBytes), maxRequestBytes)
	if !in.Scan() {
		return
	}
	var q Request
	var r response
	err := json.Unmarshal(in.Bytes(), &q)
	if err == nil {
		var answer any
		if answer, err = s.handler(q); err == nil {
			r.Answer, err = json.Marshal(answer)
		}
	}
	if err != nil {
		r = response{Error: err.Error()}
	}
	_ = json.NewEncoder(link).Encode(r) // whoever asked is gone, or reads too little; nothing follows from it
}

// Query puts a question to a running server and reads its answer into one.
func Query(path string, q Request, into any) error {
	link, err := net.DialTimeout("unix", path, ioTimeout)
	if err != nil {
		return fmt.Errorf("no server answers at %s: %w", path, err)
	}
	defer link.Close()
	if err := link.SetDeadline(time.Now().Add(2 * ioTimeout)); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	if err := json.NewEncoder(link).Encode(q); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	in := bufio.NewScanner(link)
	in.Buffer(nil, maxResponseBytes)
	if !in.Scan() {
		return fmt.Errorf("control socket %s: no answer", path)
	}
	var r response
	if err := json.Unmarshal(in.Bytes(), &r); err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return json.Unmarshal(r.Answer, into)
}
