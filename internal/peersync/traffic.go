package peersync

import (
	"net"
	"sync/atomic"
)

// Traffic is the traffic of this package in a process, as client and as server. Bytes are those of the frames, without
// the headers of the network protocols. The bytes of a session are counted only by the side that dialled, and include
// those of a protocol that continues on Session.Conn.
type Traffic struct {
	Started  int64 `json:"Asked"`    // connections that this process dialled
	Accepted int64 `json:"Answered"` // connections from peers
	Sent     int64 // bytes
	Received int64 // bytes
}

// processTraffic counts for the whole process, like package runtime/metrics. No decision depends on it.
var processTraffic struct{ started, accepted, sent, received atomic.Int64 }

// ProcessTraffic returns the traffic of this process since it started.
func ProcessTraffic() Traffic {
	return Traffic{
		Started: processTraffic.started.Load(), Accepted: processTraffic.accepted.Load(),
		Sent: processTraffic.sent.Load(), Received: processTraffic.received.Load(),
	}
}

// countedConn counts the bytes of a connection that this process dialled.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	processTraffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	processTraffic.sent.Add(int64(n))
	return n, err
}
