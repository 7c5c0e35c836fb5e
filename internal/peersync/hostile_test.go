package peersync

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
)

// Connections end at different stages of an exchange, in both directions. The client must get an error, no goroutine or
// connection may leak, and the server must continue to answer.
func TestCutOnSockets(t *testing.T) {
	server, _ := startServer(t, Keys{keyA})
	// fetchThrough fetches through a proxy that closes the connection after cutAt bytes in one direction.
	fetchThrough := func(cutAt int, toServer bool) error {
		proxy, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		var goroutines sync.WaitGroup
		goroutines.Add(1)
		go func() {
			defer goroutines.Done()
			from, err := proxy.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", server.Address())
			if err != nil {
				_ = from.Close()
				return
			}
			forward := func(dst, src net.Conn, maxBytes int64) {
				defer goroutines.Done()
				_, _ = io.Copy(dst, io.LimitReader(src, maxBytes))
				_ = dst.Close()
				_ = src.Close()
			}
			toServerBytes, toClientBytes := int64(1<<20), int64(1<<20)
			if toServer {
				toServerBytes = int64(cutAt)
			} else {
				toClientBytes = int64(cutAt)
			}
			goroutines.Add(2)
			go forward(to, from, toServerBytes)
			go forward(from, to, toClientBytes)
		}()
		_, err = Fetch(t.Context(), proxy.Addr().String(), Keys{keyA})
		_ = proxy.Close()
		goroutines.Wait()
		return err
	}
	require.NoError(t, fetchThrough(1<<20, true))
	size := EncodedSize(testSnapshot(5))
	for n := range 24 {
		assert.Error(t, fetchThrough(n*size/24, false), "answer cut at byte %d", n*size/24)
		assert.Error(t, fetchThrough(n*3, true), "request cut at byte %d", n*3)
		time.Sleep(110 * time.Millisecond) // keeps the rate below the limit of 10 requests per second for one address
	}
	_, err := Fetch(t.Context(), server.Address(), Keys{keyA})
	assert.NoError(t, err)
}

// startPeer listens and runs a script for each connection. It returns the address.
func startPeer(t *testing.T, script func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var goroutines sync.WaitGroup
	goroutines.Add(1)
	go func() {
		defer goroutines.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Add(1)
			go func() {
				defer goroutines.Done()
				defer func() { _ = conn.Close() }()
				script(conn)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		goroutines.Wait()
	})
	return listener.Addr().String()
}

// frame prepends a frame header to raw bytes.
func frame(raw []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// challengeFrame returns the challenge of a server without a key.
func challengeFrame() []byte {
	return encodeFrame(message{Kind: kindChallenge, Nonce: bytes.Repeat([]byte{9}, nonceSize)})
}

// send returns a peer's script that sends frames and then discards what the client sends.
func send(frames ...[]byte) func(net.Conn) {
	return func(conn net.Conn) {
		for _, raw := range frames {
			_, _ = conn.Write(raw)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// challengeAndSend returns a peer's script that sends a challenge first, and then does the same as send.
func challengeAndSend(frames ...[]byte) func(net.Conn) {
	return send(append([][]byte{challengeFrame()}, frames...)...)
}

// sendSlowly is a peer's script that sends a challenge at one byte per second.
func sendSlowly(conn net.Conn) {
	for _, b := range challengeFrame() {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// halfClose is a peer's script that closes its sending side of the connection and continues to read.
func halfClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// tooManyParts returns more parts than a snapshot may have.
func tooManyParts() (frames [][]byte) {
	for i := range 2 * maxSnapshot / maxPart {
		frames = append(frames, encodeFrame(message{Kind: kindPart, Number: i + 1, Bytes: make([]byte, maxPart)}))
	}
	return frames
}

// A peer is silent, slow, or sends invalid messages. The client must return an error that names the fault, within its
// timeout, and no snapshot.
func TestBadPeers(t *testing.T) {
	snapshot, err := encodeSnapshot(testSnapshot(5), 0)
	require.NoError(t, err)
	nextVersion, err := cbor.Marshal(map[int]any{1: protocolVersion + 1, 2: 2, 3: bytes.Repeat([]byte{9}, nonceSize)})
	require.NoError(t, err)
	part := encodeFrame(message{Kind: kindPart, Number: 1, Bytes: snapshot.bytes[:100]})
	endOf := func(raw []byte, checksum uint64) []byte {
		return encodeFrame(message{Kind: kindEnd, Size: len(raw), Checksum: checksum})
	}
	cases := []struct {
		name   string
		script func(net.Conn)
		err    string
	}{
		{"silent", send(), "deadline"},
		{"half-open: closes only its sending side", halfClose, "EOF"},
		{"one byte per second", sendSlowly, "deadline"},
		{"the largest frame length", send([]byte{0xff, 0xff, 0xff, 0xff}), "frame of"},
		{"a frame length of zero", send([]byte{0, 0, 0, 0}), "frame of 0"},
		{"invalid CBOR", send(frame([]byte("\xff\xff\xff"))), "message: "},
		{"deeply nested CBOR", send(frame(append(bytes.Repeat([]byte{0x81}, 4000), 0x01))), "nested"},
		{"another protocol version", send(frame(nextVersion)), "version 2"},
		{"a part before the challenge", send(part), "unexpected message"},
		{"a missing part", challengeAndSend(encodeFrame(message{Kind: kindPart, Number: 2, Bytes: []byte{1}})), "unexpected message"},
		{"a repeated part", challengeAndSend(part, part), "unexpected message"},
		{"an early end message", challengeAndSend(part, endOf(snapshot.bytes, snapshot.checksum)), "stated"},
		{"a wrong checksum", challengeAndSend(part, endOf(snapshot.bytes[:100], 1)), "checksum of the snapshot"},
		{"a snapshot over the size limit", challengeAndSend(tooManyParts()...), "over"},
		{"a rejection", send(rejectionFrame("no", time.Second)), "rejected"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, err := Fetch(t.Context(), startPeer(t, c.script), nil)
			assert.ErrorContains(t, err, c.err)
			assert.Empty(t, got)
		})
	}
	_, err = decodeSnapshot(append(bytes.Repeat([]byte{0x81}, 3000), 0x01))
	assert.ErrorContains(t, err, "nested")
}

// One client sends a hello and does not read, one sends nothing, one sends a single byte, and one floods the server.
// The server must close their connections, and answer other clients meanwhile.
func TestBadClients(t *testing.T) {
	server, counts := startServer(t, nil)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for _, first := range [][]byte{nil, {0}, newTestRequest(nil, make([]byte, nonceSize)).hello()} {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		_, _ = conn.Write(first)
		conns = append(conns, conn)
	}
	_, err := Fetch(t.Context(), server.Address(), nil)
	require.NoError(t, err)
	for _, conn := range conns {
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err := io.Copy(io.Discard, conn)
		assert.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the server closes the connection")
	}
	assert.Equal(t, 3, counts.Times("peer connection closed: exchange took too long"))

	flood, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer func() { _ = flood.Close() }()
	_, _ = flood.Write(make([]byte, 1<<20))
	require.NoError(t, flood.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.Copy(io.Discard, flood)
	assert.False(t, errors.Is(err, os.ErrDeadlineExceeded))

	rejections := 0
	for range 30 {
		var rejected *RejectedError
		if _, err := Fetch(t.Context(), server.Address(), nil); errors.As(err, &rejected) {
			rejections++
			assert.Equal(t, time.Second, rejected.RetryAfter)
		}
	}
	assert.Positive(t, rejections, "requests over the rate limit are rejected")
}

// Many more peers connect at once than are allowed, and the server closes the excess connections. The server's
// goroutine may close a connection that netpoll has announced but not yet registered with its poller. Netpoll then used
// what the close had freed: it logged an error about a connection that its poller does not know, and if the close came
// slightly later, the process crashed with a nil pointer dereference (seen once, in a fleet of 250 simulated servers).
// The test delays netpoll at that point for each connection.
func TestConnectionLimit(t *testing.T) {
	var logged logBuffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	defer slog.SetDefault(before)
	startedAt := time.Now()
	server, err := Listen("127.0.0.1:0", nil, func() time.Duration { return time.Since(startedAt) }, invariant.New(slog.New(slog.DiscardHandler)))
	require.NoError(t, err)
	prepare := func(transport netpoll.Connection) context.Context {
		ctx := server.prepare(transport)
		registered := make(chan struct{})
		server.Submit(func() { close(registered) })
		<-registered
		return ctx
	}
	server.loop, err = netpoll.NewEventLoop(onData, netpoll.WithOnPrepare(prepare))
	require.NoError(t, err)
	server.Serve()
	t.Cleanup(server.Close)
	server.Publish(testSnapshot(0), 0)
	var goroutines sync.WaitGroup
	for range 100 {
		goroutines.Go(func() {
			c, err := net.Dial("tcp", server.Address())
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = io.Copy(io.Discard, c) // until the server closes it, or the deadline passes for an allowed connection
		})
	}
	goroutines.Wait()
	require.Eventually(t, func() bool {
		_, err := Fetch(t.Context(), server.Address(), nil)
		return err == nil
	}, testTimeout, 10*time.Millisecond, "the server answers peers again")
	assert.NotContains(t, logged.String(), "detach operator failed")
}

// Guards against a fault: what a client sent was bounded only once the server's goroutine handled it. While that goroutine
// was busy, clients made the process store all they sent.
func TestReceivedBytesAreBoundedWhileTheServerIsBusy(t *testing.T) {
	const clients = 4 // as many as one address may have
	server, _ := startServer(t, nil)
	connections := make([]net.Conn, clients)
	for i := range connections {
		var err error
		connections[i], err = net.Dial("tcp", server.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connections[i].Close() })
		require.NoError(t, connections[i].SetDeadline(time.Now().Add(testTimeout)))
	}
	require.Eventually(t, func() bool {
		registered := make(chan int)
		server.Submit(func() { registered <- len(server.conns) })
		return <-registered == clients
	}, testTimeout, time.Millisecond)
	var writes sync.WaitGroup
	largest := make(chan int)
	server.Submit(func() { // blocks the server's goroutine
		for _, c := range connections {
			writes.Go(func() { _, _ = c.Write(make([]byte, 4<<20)) })
		}
		most := 0
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			bytes := 0
			for _, c := range server.conns {
				bytes += c.received.Len() + c.transport.Reader().Len()
			}
			most = max(most, bytes)
		}
		largest <- most
	})
	// In addition to what is kept of each connection there is one read.
	assert.LessOrEqual(t, <-largest, clients*(maxUnread+1)+2*receiveBufferBytes)
	sent := make(chan struct{})
	go func() { writes.Wait(); close(sent) }()
	select {
	case <-sent:
	case <-time.After(testTimeout / 4):
		t.Error("the clients don't learn that their connections were closed")
	}
}

// logBuffer collects log output from several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
