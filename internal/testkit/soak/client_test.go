package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A connection could end after its sender had found it usable. The sender wrote the next request all the same, and as
// the end of the connection was recorded already, that request counted as never answered.
func TestNothingIsSentAfterTheEndOfAConnection(t *testing.T) {
	plan := Draw(1, time.Second)
	h := &History{Plan: plan}
	s := newSender(h, &server{}, 1, 1)
	clientEnd, serverEnd := net.Pipe()
	defer func() { _, _ = clientEnd.Close(), serverEnd.Close() }()
	c := &connection{Conn: clientEnd, incarnation: &Incarnation{}, open: map[uint32]*Request{}, ended: true}
	s.send(c)
	assert.Empty(t, h.Requests)
	assert.Empty(t, c.open)
}
