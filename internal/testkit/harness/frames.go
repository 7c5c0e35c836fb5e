// Package harness runs real daemons on loopback in an emulated environment: worker pools whose runs take the time that
// a model gives, dependencies with scripted behaviour, and routers that send a seeded load. Results are measured on
// sockets and in real time.
package harness

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Frame types of the routers' protocol.
const (
	FrameRequest = 10
	FrameAnswer  = 11
	FrameDrain   = 30 // the server asks for no further requests on this connection
)

// Status codes of answers.
const (
	StatusServed   = 20
	StatusRejected = 50
	StatusAborted  = 51
)

// Frame returns a frame of the routers' protocol. fields contains names and values alternately.
func Frame(kind byte, stream uint32, body string, fields ...string) []byte {
	payload := []byte{byte(len(fields) / 2)}
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, body...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(frameHeadSize-4+len(payload)))
	frame = binary.BigEndian.AppendUint32(append(frame, kind), stream)
	return append(frame, payload...)
}

// Reply is a frame from a server. Code and Fields are set for answers.
type Reply struct {
	Type   byte
	Stream uint32
	Code   byte
	Fields map[string]string
	Body   string
}

const maxFrameSize = 1 << 18 // bytes

var errTruncatedFields = errors.New("frame has truncated fields")

// frameHeadSize is the size of a frame's head in bytes: the length field, which contains the size of the rest of the
// frame, then the type and the stream.
const frameHeadSize = 9

// ReadReply reads the next frame. The error is io.EOF if the connection is closed between two frames without a reset.
func ReadReply(from io.Reader) (Reply, error) {
	kind, stream, payload, err := readFrame(from)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Type: kind, Stream: stream, Fields: map[string]string{}}
	if len(payload) == 0 {
		return reply, nil
	}
	if len(payload) < 2 {
		return reply, errTruncatedFields
	}
	reply.Code = payload[0]
	body, err := readFields(payload[1:], func(name, value string) { reply.Fields[name] = value })
	reply.Body = string(body)
	return reply, err
}

func readFrame(from io.Reader) (kind byte, stream uint32, payload []byte, err error) {
	var head [frameHeadSize]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return 0, 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < frameHeadSize-4 || size > maxFrameSize {
		return 0, 0, nil, fmt.Errorf("frame length %d is out of range", size)
	}
	payload = make([]byte, size-(frameHeadSize-4))
	if _, err := io.ReadFull(from, payload); err != nil {
		if errors.Is(err, io.EOF) { // the connection ended after the head, so it was not closed between two frames
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, nil, err
	}
	return head[4], binary.BigEndian.Uint32(head[5:]), payload, nil
}

// readFields calls field for each field of a payload, which starts with the number of fields, and returns the bytes
// after the fields.
func readFields(payload []byte, field func(name, value string)) (rest []byte, err error) {
	rest = payload[1:]
	for range payload[0] {
		if len(rest) < 1 || len(rest) < 3+int(rest[0]) {
			return nil, errTruncatedFields
		}
		nameEnd := 1 + int(rest[0])
		name := rest[1:nameEnd]
		rest = rest[nameEnd:]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return nil, errTruncatedFields
		}
		field(string(name), string(rest[2:2+size]))
		rest = rest[2+size:]
	}
	return rest, nil
}

// requestField returns the value of the first field with a name in a request, or "" if there is none.
func requestField(payload []byte, wanted string) (found string) {
	if len(payload) == 0 {
		return ""
	}
	seen := false
	_, _ = readFields(payload, func(name, value string) { // the fields before the truncation are used
		if name == wanted && !seen {
			found, seen = value, true
		}
	})
	return found
}
