package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The end of a connection was seen between two looks of its sender. A request was written behind it into nothing, and as the
// end had been recorded already it counted as never answered.
func TestNothingIsSentBehindTheEndOfAConnection(t *testing.T) {
	plan := Draw(1, time.Second)
	h := &History{Plan: plan}
	s := newSender(h, &slot{}, 1, 1)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	c := &connection{Conn: near, incarnation: &Incarnation{}, open: map[uint32]*Request{}, ended: true}
	s.send(c)
	assert.Empty(t, h.Requests)
	assert.Empty(t, c.open)
}
