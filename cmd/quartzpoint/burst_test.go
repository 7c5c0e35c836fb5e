package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

const (
	burstConnections = 100
	burstPerConn     = 30 // two below the protocol's limit of open requests on a connection
	burstDeadline    = 300 * time.Millisecond
)

// burstAnswer is one answer to a burst.
type burstAnswer struct {
	code  byte
	after time.Duration // since the burst was sent
}

// sendBurst sends the part of a burst that belongs to one connection in a single write, once begin is closed, and
// returns the answers to it.
func sendBurst(t *testing.T, connection net.Conn, index int, route string, begin <-chan struct{}) (answers []burstAnswer) {
	<-begin
	sent := time.Now()
	var frames []byte
	body := string(binary.BigEndian.AppendUint64(nil, uint64((5 * time.Millisecond).Microseconds())))
	for stream := range uint32(burstPerConn) {
		frames = append(frames, harness.Frame(harness.FrameRequest, stream+1, body,
			"op", route, "call", fmt.Sprintf("%08x%08x", index, stream), "recv", strconv.FormatInt(sent.UnixMilli(), 10),
			"src", strconv.Itoa(index), "ttl", strconv.FormatInt(burstDeadline.Milliseconds(), 10), "heap", "20.0", "crit", "0.5")...)
	}
	_, err := connection.Write(frames)
	assert.NoError(t, err)
	assert.NoError(t, connection.SetReadDeadline(sent.Add(10*time.Second)))
	for len(answers) < burstPerConn {
		reply, err := harness.ReadReply(connection)
		if !assert.NoError(t, err) {
			return answers
		}
		if reply.Type == harness.FrameAnswer {
			answers = append(answers, burstAnswer{reply.Code, time.Since(sent)})
		}
	}
	return answers
}

// Thousands of requests arrive at once on a hundred connections. Each must be answered, and some must be served. On a
// busy machine all of them used to be rejected, because the first were decided only after the last had been read.
func TestBurstOnManySockets(t *testing.T) {
	routes := []harness.Route{{Name: "look", Value: 1, LatencyTarget: burstDeadline, Deadline: burstDeadline, Share: 1, Work: 5 * time.Millisecond}}
	daemon, err := harness.StartWithoutFile(builds["release"], t.TempDir(), "n1", routes, harness.Machine{Cores: 2, Speed: 1, MemoryKB: 1e6})
	require.NoError(t, err)
	t.Cleanup(func() { _ = daemon.Stop() })
	begin := make(chan struct{})
	answers := make([][]burstAnswer, burstConnections)
	var senders sync.WaitGroup
	for index := range answers {
		connection, err := net.Dial("tcp", daemon.Address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		senders.Go(func() { answers[index] = sendBurst(t, connection, index, routes[0].Name, begin) })
	}
	close(begin)
	senders.Wait()
	all := slices.Concat(answers...)
	codes := map[byte]int{}
	first := time.Hour
	for _, answer := range all {
		codes[answer.code]++
		first = min(first, answer.after)
	}
	t.Logf("codes %v, first answer after %v", codes, first)
	assert.Len(t, all, burstConnections*burstPerConn, "each request must be answered")
	assert.Positive(t, codes[harness.StatusServed])
	assert.NotContains(t, daemon.Log(), "check failed")
}
