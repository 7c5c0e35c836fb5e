package fake

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Membership is a membership service that receives the reports of a server, one in each datagram.
type Membership struct {
	Address string
	socket  net.PacketConn
}

// NewMembership starts a membership service on loopback. It is closed when the test ends.
func NewMembership(t testing.TB) *Membership { return NewMembershipAt(t, "127.0.0.1:0") }

// NewMembershipAt starts a membership service at an address. It is closed when the test ends.
func NewMembershipAt(t testing.TB, address string) *Membership {
	socket, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &Membership{socket.LocalAddr().String(), socket}
}

// Stop closes the service, so that later reports are refused.
func (m *Membership) Stop() { _ = m.socket.Close() }

// Next waits for the next report and returns its text.
func (m *Membership) Next(t testing.TB) string {
	t.Helper()
	var datagram [128]byte
	require.NoError(t, m.socket.SetReadDeadline(time.Now().Add(WaitLimit)))
	n, _, err := m.socket.ReadFrom(datagram[:])
	require.NoError(t, err)
	return string(datagram[:n])
}
