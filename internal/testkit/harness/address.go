package harness

import (
	"fmt"
	"math/rand"
	"net"
)

// randomLoopbackAddress returns an address in 127.64.0.0/10 with port 0, so that the system chooses the port. On
// 127.0.0.1 an outgoing connection could take a free port before its server listens on it, which then fails with
// "address already in use".
func randomLoopbackAddress() string {
	n := rand.Uint32()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+n>>16&0x3f, n>>8&0xff, 1+n&0x7f)
}

// FreeAddress returns a loopback address on which no process listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", randomLoopbackAddress())
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
