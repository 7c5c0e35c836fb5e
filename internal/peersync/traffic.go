package peersync

import (
	"net"
	"sync/atomic"
)

// Traffic is what a process has sent and received by this package, talks of both sides together. Bytes are those of
// frames, without the headers of the network below.
type Traffic struct {
	Started  int64 `json:"Asked"`    // talks begun here
	Accepted int64 `json:"Answered"` // talks that others began
	Sent     int64 // bytes
	Received int64
}

// total is counted over the whole process, as package runtime/metrics does: it decides nothing.
var total struct{ asked, answered, sent, received atomic.Int64 }

// ProcessTraffic is the traffic of this process so far.
func ProcessTraffic() Traffic {
	return Traffic{total.asked.Load(), total.answered.Load(), total.sent.Load(), total.received.Load()}
}

// countedConn counts the bytes of an asker's connection.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	total.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	total.sent.Add(int64(n))
	return n, err
}
