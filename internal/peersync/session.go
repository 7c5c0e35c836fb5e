package peersync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	sessionTimeout = 5 * time.Second // for the opening and for each write; disconnects a peer that does not read
	sendChunk      = 64 << 10        // bytes of frames after which Send writes
)

// Session is an authenticated connection on which both sides send payloads of any kind. After the hello and the
// challenge, the client proves with a session message that it has the key. A payload consists of one or more frames:
// parts, and a last one with the size, the checksum and a proof over both nonces, the direction, the number of the
// payload and all of its bytes. Receive returns no byte of a payload before it has verified the proof.
//
// Only one goroutine at a time may call Receive; Send and Close are safe for concurrent use.
type Session struct {
	conn        net.Conn
	key         []byte
	clientNonce []byte
	serverNonce []byte
	client      bool // whether this side dialled

	received uint64 // number of payloads
	header   [frameHeader]byte

	mu   sync.Mutex
	sent uint64 // number of payloads
}

// Open dials a peer and opens a session. The context limits only the opening. A rejection is returned as a
// *RejectedError.
func Open(ctx context.Context, address string, keys Keys) (*Session, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := openOn(ctx, conn, keys)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session with peer %s: %w", address, err)
	}
	return s, nil
}

// openOn opens a session on a connection that this side dialled. If it returns an error, the caller must close the
// connection.
func openOn(ctx context.Context, conn net.Conn, keys Keys) (*Session, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(sessionTimeout))
	handshake := newClientHandshake(keys.first())
	s := &Session{conn: conn, key: handshake.key, clientNonce: handshake.clientNonce, client: true}
	if _, err := conn.Write(handshake.hello()); err != nil {
		return nil, fmt.Errorf("send hello: %w", errors.Join(err, ctx.Err()))
	}
	m, err := s.readMessage()
	if err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	if handled, err := handshake.handle(m); err != nil {
		return nil, err
	} else if !handled {
		return nil, ErrUnexpectedMessage
	}
	s.serverNonce = handshake.serverNonce
	proof := encodeFrame(message{Kind: kindSessionRequest, Proof: handshake.sign(labelSessionRequest)})
	if _, err := conn.Write(proof); err != nil {
		return nil, fmt.Errorf("send proof: %w", errors.Join(err, ctx.Err()))
	}
	return s, conn.SetDeadline(time.Time{})
}

// Accept opens a session on a connection that a peer dialled. A peer that does not prove that it has a key is sent a
// rejection. If Accept returns an error, the caller must close the connection.
func Accept(conn net.Conn, keys Keys) (*Session, error) {
	s := &Session{conn: conn}
	_ = conn.SetDeadline(time.Now().Add(sessionTimeout))
	handshake := serverHandshake{serverNonce: newNonce()}
	for {
		m, err := s.readMessage()
		if err != nil {
			return nil, err
		}
		if m.Kind == kindSessionRequest && handshake.clientNonce != nil {
			if !handshake.verify(m.Proof, labelSessionRequest) {
				return nil, s.reject(reasonBadProof, ErrBadProof)
			}
			break
		}
		if m.Kind != kindHello {
			return nil, s.reject(reasonNoSession, ErrUnexpectedMessage)
		}
		challenge, err := handshake.handle(m, keys)
		if err != nil {
			return nil, s.reject(reasonUnknownKey, err)
		}
		if _, err := conn.Write(challenge); err != nil {
			return nil, fmt.Errorf("send challenge: %w", err)
		}
	}
	s.key, s.clientNonce, s.serverNonce = handshake.key, handshake.clientNonce, handshake.serverNonce
	processTraffic.accepted.Add(1)
	return s, conn.SetDeadline(time.Time{})
}

// reject sends the peer a rejection with a reason, and returns the error for this side.
func (s *Session) reject(reason string, err error) error {
	_, _ = s.conn.Write(rejectionFrame(reason, defaultRetryAfter))
	return fmt.Errorf("accept session: %w", err)
}

// Conn returns the underlying connection, for a protocol that continues without payloads.
func (s *Session) Conn() net.Conn { return s.conn }

// Close closes the connection; blocked calls of Receive and Send return an error.
func (s *Session) Close() error { return s.conn.Close() }

// label returns the label of a payload's proof, which states the direction in which the payload is sent.
func (s *Session) label(sending bool) string {
	if s.client == sending {
		return labelFromClient
	}
	return labelFromServer
}

// Send sends a payload. After an error the session must be closed.
func (s *Session) Send(payload []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	proof := sign(s.key, s.label(true), s.clientNonce, s.serverNonce, signedUint(s.sent), payload)
	var frames []byte
	for rest, number := payload, 1; ; number++ {
		size := min(len(rest), maxPart)
		if size == len(rest) {
			frames = append(frames, encodeFrame(message{
				Kind: kindEnd, Number: number, Bytes: rest, Size: len(payload), Checksum: xxhash.Sum64(payload), Proof: proof,
			})...)
			break
		}
		frames = append(frames, encodeFrame(message{Kind: kindPart, Number: number, Bytes: rest[:size]})...)
		rest = rest[size:]
		if len(frames) < sendChunk {
			continue
		}
		if err := s.write(frames); err != nil {
			return err
		}
		frames = frames[:0]
	}
	return s.write(frames)
}

func (s *Session) write(frames []byte) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(sessionTimeout))
	if _, err := s.conn.Write(frames); err != nil {
		return fmt.Errorf("session: send: %w", err)
	}
	return nil
}

// Receive waits for the next payload, for at most wait, or without a limit if wait is 0. A payload may have at most
// limit bytes. Receive returns an error if a part of the payload is missing or invalid. After an error the session must
// be closed.
func (s *Session) Receive(limit int, wait time.Duration) ([]byte, error) {
	var deadline time.Time
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("session: receive: %w", err)
	}
	var payload []byte
	for number := 1; ; number++ {
		m, err := s.readMessage()
		switch {
		case err != nil:
			return nil, err
		case m.Kind == kindRejection:
			return nil, m.rejectionError()
		case m.Kind != kindPart && m.Kind != kindEnd || m.Number != number:
			return nil, ErrUnexpectedMessage
		case len(payload)+len(m.Bytes) > limit:
			return nil, fmt.Errorf("session: payload of over %d bytes: %w", limit, ErrOutOfBounds)
		}
		payload = append(payload, m.Bytes...)
		if m.Kind == kindPart {
			continue
		}
		if err := s.checkPayload(m, payload); err != nil {
			return nil, err
		}
		return payload, nil
	}
}

// checkPayload checks a payload against the end message.
func (s *Session) checkPayload(end message, payload []byte) error {
	if end.Size != len(payload) || end.Checksum != xxhash.Sum64(payload) {
		return fmt.Errorf("session: payload: %w", ErrDamaged)
	}
	s.received++
	if !verify(end.Proof, s.key, s.label(false), s.clientNonce, s.serverNonce, signedUint(s.received), payload) {
		return fmt.Errorf("session: payload: %w", ErrBadProof)
	}
	return nil
}

// readMessage reads exactly one frame and leaves the bytes after it unread.
func (s *Session) readMessage() (message, error) {
	if _, err := io.ReadFull(s.conn, s.header[:]); err != nil {
		return message{}, fmt.Errorf("session: receive: %w", err)
	}
	size, err := frameSize(s.header[:])
	if err != nil {
		return message{}, fmt.Errorf("session: %w", err)
	}
	frame := make([]byte, frameHeader+size)
	copy(frame, s.header[:])
	if _, err := io.ReadFull(s.conn, frame[frameHeader:]); err != nil {
		return message{}, fmt.Errorf("session: receive: %w", err)
	}
	m, _, _, err := decodeFrame(frame)
	return m, err
}
