// Package controlsocket implements the Unix socket through which operators on the same machine query a running server.
// A client sends one JSON line with the request and receives one with the response. Only the server's own user can
// connect.
package controlsocket

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

	"quartzpoint/internal/acceptloop"
)

const (
	maxRequestBytes  = 4 << 10
	maxResponseBytes = 1 << 20
	// ioTimeout is the time limit for a client to send its request and read the response, and for connecting.
	ioTimeout = time.Second
	// clientTimeout is longer than ioTimeout, as another client may be served first.
	clientTimeout = 2 * ioTimeout

	ownerOnlyUmask = 0o177 // permits read and write by the server's user only
)

// Request is an operator's query.
type Request struct {
	Query string `json:"ask"` // name of the query
}

// response holds either an error or an answer.
type response struct {
	Error  string          `json:"error,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Handler returns the answer to a request, which is then encoded as JSON. It is called for one request at a time.
type Handler func(request Request) (any, error)

// Server answers requests, one at a time, until it is closed.
type Server struct {
	listener net.Listener
	handler  Handler
	wg       sync.WaitGroup
}

// Listen serves requests on the socket at a path. It replaces the socket file of a server that no longer runs. It fails
// if a running server uses the path or if another kind of file exists there. The caller must close the server.
func Listen(path string, handler Handler) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	// The umask applies to the whole process. Changing it is safe only because nothing else creates files while the
	// server starts. A chmod after Listen would leave a moment in which other users can connect.
	umask := syscall.Umask(ownerOnlyUmask)
	listener, err := net.Listen("unix", path)
	syscall.Umask(umask)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{listener: listener, handler: handler}
	loop := acceptloop.Loop{
		Serve:   s.serve,
		OnError: func(error) {}, // the client gets no response
	}
	s.wg.Go(func() { _ = loop.Run(listener) }) // ends when the listener is closed
	return s, nil
}

// removeStaleSocket removes a socket file that no server listens on.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // no such file; net.Listen reports any other error
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return fmt.Errorf("control socket %s: path exists and is not a socket", path)
	}
	if conn, err := net.DialTimeout("unix", path, ioTimeout); err == nil {
		_ = conn.Close()
		return fmt.Errorf("control socket %s: another server is listening", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return nil
}

// Close stops the server, waits for the request in progress, and removes the socket file.
func (s *Server) Close() {
	_ = s.listener.Close() // fails only if the listener was already closed
	s.wg.Wait()
}

// serve answers the single request of a connection.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(ioTimeout)) != nil {
		return
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, maxRequestBytes), maxRequestBytes)
	if !lines.Scan() {
		return
	}
	_ = json.NewEncoder(conn).Encode(s.respond(lines.Bytes())) // a client that disconnected needs no response
}

func (s *Server) respond(line []byte) response {
	var request Request
	if err := json.Unmarshal(line, &request); err != nil {
		return response{Error: err.Error()}
	}
	answer, err := s.handler(request)
	if err != nil {
		return response{Error: err.Error()}
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		return response{Error: err.Error()}
	}
	return response{Answer: raw}
}

// Query sends a request to a running server and decodes the answer into the value that answer points to. An error
// returned by the server's handler has the same text here.
func Query(path string, request Request, answer any) error {
	conn, err := net.DialTimeout("unix", path, ioTimeout)
	if err != nil {
		return fmt.Errorf("no server answers at %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxResponseBytes)
	if !lines.Scan() {
		return fmt.Errorf("control socket %s: no answer", path)
	}
	var r response
	if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return json.Unmarshal(r.Answer, answer)
}
