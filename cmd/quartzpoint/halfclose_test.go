package main

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// A router that closes its side of a connection after its last request still reads, so its requests must be answered.
// They used to be dropped.
func TestRouterHalfClosesAfterARequest(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := launch(t, build)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			router.Send(t, fake.RequestFrame(1, "browse", "a"), fake.RequestFrame(2, "pay", "b"))
			require.NoError(t, router.Conn.(*net.TCPConn).CloseWrite())
			for range 2 {
				spawn := p.pool.Next(t, "spawn")
				time.Sleep(300 * time.Millisecond) // longer than several checks of its connection
				p.pool.Finish(spawn.RunID, "success", []byte("done"))
			}
			got := map[uint32]byte{}
			for _, reply := range router.ReadAll(t) {
				if reply.Type == 11 {
					got[reply.Stream] = reply.Code
				}
			}
			assert.Equal(t, map[uint32]byte{1: 20, 2: 20}, got)
		})
	}
}

// A router that disconnects closes its side in the same way. Its runs must still be stopped.
func TestRouterDisconnectsAfterARequest(t *testing.T) {
	p := launch(t, "debug")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	router := fake.Dial(t, p.address)
	router.Send(t, fake.RequestFrame(1, "browse", "a"))
	runID := p.pool.Next(t, "spawn").RunID
	begin := time.Now()
	_ = router.Close()
	assert.Equal(t, runID, p.pool.Next(t, "suspend").RunID)
	assert.Less(t, time.Since(begin), 5*time.Second, "the run was stopped only at its deadline")
}
