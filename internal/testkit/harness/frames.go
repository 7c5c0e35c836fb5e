// Package harness plays what stands round real daemons, in real time and on loopback: worker pools that take the
// time that a model says, and routers that send a seeded load. It is for measurements and drills; what it tells
// is measured on sockets, with emulated workers.
package harness

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Frame builds a frame of the routers' protocol whose fields are names and values in turn.
func Frame(kind byte, stream uint32, body string, fields ...string) []byte {
	payload := []byte{byte(len(fields) / 2)}
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, body...)
	whole := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	whole = binary.BigEndian.AppendUint32(append(whole, kind), stream)
	return append(whole, payload...)
}

// Reply is a frame that a server wrote.
type Reply struct {
	Type   byte
	Stream uint32
	Code   byte
	Fields map[string]string
	Body   string
}

const maxFrameSize = 1 << 18

// ReadReply reads the next frame.
func ReadReply(from io.Reader) (Reply, error) {
	var head [9]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return Reply{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 5 || size > maxFrameSize {
		return Reply{}, fmt.Errorf("frame of %d bytes", size)
	}
	payload := make([]byte, size-5)
	if _, err := io.ReadFull(from, payload); err != nil {
		return Reply{}, err
	}
	reply := Reply{Type: head[4], Stream: binary.BigEndian.Uint32(head[5:]), Fields: map[string]string{}}
	if len(payload) == 0 {
		return reply, nil
	}
	errShort := errors.New("frame whose fields are not whole")
	if len(payload) < 2 {
		return reply, errShort
	}
	reply.Code = payload[0]
	rest := payload[2:]
	for range payload[1] {
		if len(rest) < 1 || len(rest) < 3+int(rest[0]) {
			return reply, errShort
		}
		name := rest[1 : 1+rest[0]]
		rest = rest[1+rest[0]:]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return reply, errShort
		}
		reply.Fields[string(name)], rest = string(rest[2:2+size]), rest[2+size:]
	}
	reply.Body = string(rest)
	return reply, nil
}
