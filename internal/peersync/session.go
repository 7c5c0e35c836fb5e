package peersync

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A session is a talk that goes on: behind the same hello and challenge, the asker proves itself with a session message,
// and from then on both sides send payloads of any kind. A payload is one or more frames: parts, and a last one with
// size, checksum and a proof over both nonces, its direction, its number and all of its bytes. Nothing of a payload is
// handed on before its proof was seen.

// Session is a proven connection. One goroutine at a time may Receive; any may Send.
type Session struct {
	conn  net.Conn
	key   []byte
	first []byte // nonce of the side that dialled
	other []byte // and of the side that was dialled
	dials bool   // this side dialled

	received uint64 // payloads
	head     [4]byte

	mu   sync.Mutex
	sent uint64 // payloads
}

// sessionWait bounds each step of the opening, and each write of a frame: a peer that does not read is let go.
const sessionWait = 5 * time.Second

// Open dials a peer that accepts sessions. The context bounds the opening alone. A refusal is a *Refused.
func Open(ctx context.Context, address string, keys Keys) (*Session, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := OpenOn(ctx, conn, keys)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return s, nil
}

// OpenOn opens a session on a connection that this side dialled. The connection stays the caller's where it fails.
func OpenOn(ctx context.Context, conn net.Conn, keys Keys) (*Session, error) {
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	_ = conn.SetDeadline(time.Now().Add(sessionWait))
	asked := newAsks(keys.first())
	s := &Session{conn: conn, key: asked.key, first: asked.nonce, dials: true}
	if _, err := conn.Write(asked.begin()); err != nil {
		return nil, err
	}
	m, err := s.readMessage()
	if err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	if opened, err := asked.opening(m); err != nil {
		return nil, err
	} else if !opened {
		return nil, errSequence
	}
	s.other = asked.theirs
	proof := sign(s.key, "session", s.other, s.first)
	if _, err := conn.Write(pack(message{Kind: session, Proof: proof})); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	return s, conn.SetDeadline(time.Time{})
}

// Accept opens a session on a connection that a peer dialled. Whoever is not proven gets a refusal and nothing else.
func Accept(conn net.Conn, keys Keys) (*Session, error) {
	s := &Session{conn: conn, other: make([]byte, nonceSize)}
	_, _ = rand.Read(s.other) // never fails
	_ = conn.SetDeadline(time.Now().Add(sessionWait))
	talk := gives{nonce: s.other}
	for s.first == nil || !talk.done {
		m, err := s.readMessage()
		if err != nil {
			return nil, err
		}
		if m.Kind == session && talk.theirs != nil {
			if !proven(m.Proof, talk.key, "session", s.other, talk.theirs) {
				return nil, s.refuse("proof is wrong")
			}
			talk.done = true
			break
		}
		if m.Kind != hello {
			return nil, s.refuse("no session was asked for")
		}
		out, err := talk.step(m, keys, nil, 0, nil)
		if err != nil {
			return nil, s.refuse("key is not known here")
		}
		s.key, s.first = talk.key, talk.theirs
		if _, err := conn.Write(out[0]); err != nil {
			return nil, err
		}
	}
	total.answered.Add(1)
	return s, conn.SetDeadline(time.Time{})
}

// refuse tells a peer why there is no session, and gives that as an error.
func (s *Session) refuse(why string) error {
	_, _ = s.conn.Write(pack(message{Kind: refusal, Why: why, ComeBack: time.Second}))
	return errors.New(why)
}

// Conn is the connection below, for what goes on without payloads.
func (s *Session) Conn() net.Conn { return s.conn }

// Close ends the session; what waits in Receive or Send fails.
func (s *Session) Close() error { return s.conn.Close() }

// number is a payload's number as it is signed.
func payloadNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// direction names who sends.
func (s *Session) direction(sends bool) string {
	if s.dials == sends {
		return "from the asker"
	}
	return "from the giver"
}

// Send sends a payload whole, or fails; a session that failed is of no more use.
func (s *Session) Send(payload []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	proof := sign(s.key, s.direction(true), s.first, s.other, payloadNumber(s.sent), payload)
	var frames []byte
	for rest, number := payload, 1; ; number++ {
		size := min(len(rest), mostPart)
		if size == len(rest) {
			frames = append(frames, pack(message{
				Kind: end, Number: number, Bytes: rest, Size: len(payload), Sum: xxhash.Sum64(payload), Proof: proof,
			})...)
			break
		}
		frames = append(frames, pack(message{Kind: part, Number: number, Bytes: rest[:size]})...)
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

// sendChunk is how many bytes of frames are put together for one write.
const sendChunk = 64 << 10

func (s *Session) write(frames []byte) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(sessionWait))
	if _, err := s.conn.Write(frames); err != nil {
		return fmt.Errorf("session: %w", err)
	}
	return nil
}

// Receive waits for the next payload, of limit bytes at most. A payload of which anything is missing, wrong or not
// proven is dropped whole, and the session with it. With a wait of 0 there is no end to the waiting.
func (s *Session) Receive(limit int, wait time.Duration) ([]byte, error) {
	var deadline time.Time
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("session: %w", err)
	}
	var payload []byte
	for number := 1; ; number++ {
		m, err := s.readMessage()
		switch {
		case err != nil:
			return nil, err
		case m.Kind == refusal:
			return nil, &RejectedError{m.Why[:min(len(m.Why), 64)], max(m.ComeBack, 0)}
		case m.Kind != part && m.Kind != end || m.Number != number:
			return nil, errSequence
		case len(payload)+len(m.Bytes) > limit:
			return nil, fmt.Errorf("session: payload of over %d bytes", limit)
		}
		payload = append(payload, m.Bytes...)
		if m.Kind == part {
			continue
		}
		if m.Size != len(payload) || m.Sum != xxhash.Sum64(payload) {
			return nil, errors.New("session: payload is damaged")
		}
		s.received++
		if !proven(m.Proof, s.key, s.direction(false), s.first, s.other, payloadNumber(s.received), payload) {
			return nil, errors.New("session: proof of the payload is wrong")
		}
		return payload, nil
	}
}

// readMessage reads one frame and nothing behind it.
func (s *Session) readMessage() (message, error) {
	if _, err := io.ReadFull(s.conn, s.head[:]); err != nil {
		return message{}, fmt.Errorf("session: %w", err)
	}
	size := binary.BigEndian.Uint32(s.head[:])
	if size == 0 || size > mostFrame {
		return message{}, fmt.Errorf("session: frame of %d bytes, %d at most", size, mostFrame)
	}
	frame := make([]byte, len(s.head)+int(size))
	copy(frame, s.head[:])
	if _, err := io.ReadFull(s.conn, frame[len(s.head):]); err != nil {
		return message{}, fmt.Errorf("session: %w", err)
	}
	m, _, _, err := cut(frame)
	return m, err
}
