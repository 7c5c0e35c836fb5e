package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/leasing"
	"quartzpoint/internal/testkit/faultnet"
	"quartzpoint/internal/testkit/harness"
)

const testLeaseDuration = 500 * time.Millisecond

// leaseFleet starts n servers of the real binary that vote on one lease, each with a control socket.
func leaseFleet(t *testing.T, n int) (daemons []*harness.Daemon, sockets []string) {
	daemons, sockets, _ = proxiedFleet(t, n, false)
	return daemons, sockets
}

// proxiedFleet is leaseFleet with, if proxied, a fault proxy on each link: links[i][j] carries the requests of server i
// to server j.
func proxiedFleet(t *testing.T, n int, proxied bool) (daemons []*harness.Daemon, sockets []string,
	links [][]*faultnet.Proxy) {
	routes := []harness.Route{{Name: "slot-check", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 1}}
	dir := t.TempDir()
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		addresses[i], err = harness.FreeAddress()
		require.NoError(t, err)
	}
	links = make([][]*faultnet.Proxy, n)
	for i := range n {
		links[i] = make([]*faultnet.Proxy, n)
		var peers []string
		for j, a := range addresses {
			if j == i {
				continue
			}
			if proxied {
				p, err := faultnet.New(a)
				require.NoError(t, err)
				t.Cleanup(func() { _ = p.Close() })
				links[i][j], a = p, p.Addr()
			}
			peers = append(peers, fmt.Sprintf("%q", a))
		}
		socket := filepath.Join(dir, fmt.Sprintf("s%d.sock", i))
		file := fmt.Sprintf("[control]\nsocket = %q\n[peers]\nlisten = %q\nask = [%s]\n[lease]\nduties = [\"compact\"]\nlease = %q\n",
			socket, addresses[i], strings.Join(peers, ", "), testLeaseDuration)
		d, err := harness.Start(builds["release"], dir, fmt.Sprintf("s%d", i), routes,
			harness.Machine{Cores: 1, Speed: 1, MemoryKB: 60000}, file)
		require.NoError(t, err)
		t.Cleanup(func() {
			_ = d.Kill()
			if t.Failed() {
				t.Log(d.Log())
			}
		})
		daemons, sockets = append(daemons, d), append(sockets, socket)
	}
	return daemons, sockets, links
}

// leaseStatus queries a server for the status of the lease, through the command line as an operator would, and reports
// whether it answered.
func leaseStatus(t *testing.T, socket string) (leasing.Status, bool) {
	out, code := runCommand(t, nil, "lease", "show", "--json", socket)
	var statuses []leasing.Status
	if code != 0 || json.Unmarshal([]byte(out), &statuses) != nil || len(statuses) != 1 {
		return leasing.Status{}, false
	}
	return statuses[0], true
}

// waitForHolder waits until exactly one of the given servers holds the lease, and returns its index and token.
func waitForHolder(t *testing.T, sockets []string, among []int) (holder int, token uint64) {
	require.Eventually(t, func() bool {
		holder, found := -1, 0
		for _, i := range among {
			if status, ok := leaseStatus(t, sockets[i]); ok && status.Holds {
				holder, token = i, status.Token
				found++
			}
		}
		return found == 1 && holder >= 0
	}, 30*time.Second, 20*time.Millisecond, "no single holder")
	for _, i := range among {
		if status, ok := leaseStatus(t, sockets[i]); ok && status.Holds {
			return i, status.Token
		}
	}
	return -1, 0
}

func allExcept(n, except int) (rest []int) {
	for i := range n {
		if i != except {
			rest = append(rest, i)
		}
	}
	return rest
}

// The holder is killed, without releasing its lease. Another server must get the lease once it has expired, with a
// larger token.
func TestLeaseHandedOnWhenItsHolderIsKilled(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			daemons, sockets := leaseFleet(t, n)
			first, token := waitForHolder(t, sockets, allExcept(n, -1))
			assert.Contains(t, daemons[first].Log(), "lease granted")
			require.NoError(t, daemons[first].Kill())
			killed := time.Now()
			second, newer := waitForHolder(t, sockets, allExcept(n, first))
			t.Logf("%d servers: new holder after %v", n, time.Since(killed))
			assert.NotEqual(t, first, second)
			assert.Greater(t, newer, token, "the new holder's token must be larger than the killed one's")
		})
	}
}

// A holder is stopped (SIGSTOP) until its lease has expired. Its clock keeps running, so when it continues it must know
// that it lost the lease. Its token is older than its successor's, so that a fence rejects it.
func TestAStalledHolderWakesWithoutTheLease(t *testing.T) {
	daemons, sockets := leaseFleet(t, 3)
	first, token := waitForHolder(t, sockets, allExcept(3, -1))
	require.NoError(t, daemons[first].Signal(syscall.SIGSTOP))
	second, newer := waitForHolder(t, sockets, allExcept(3, first))
	require.NoError(t, daemons[first].Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		status, ok := leaseStatus(t, sockets[first])
		return ok && !status.Holds
	}, 10*time.Second, 20*time.Millisecond)
	assert.Greater(t, newer, token)
	status, ok := leaseStatus(t, sockets[second])
	require.True(t, ok)
	assert.True(t, status.Holds || status.Token > token, "the lease must stay with the newer token")
}

// The holder is cut off from both other servers. It must lose the lease by its own clock while the majority grants it
// to another server, and must not take it back once the links are healed. Then the responses to the new holder are
// dropped, while its requests arrive: it must lose the lease as well, or two servers would hold it.
func TestLeaseAcrossCuts(t *testing.T) {
	_, sockets, links := proxiedFleet(t, 3, true)
	onLinksOf := func(holder int, change func(*faultnet.Proxy)) {
		for j := range links {
			if j != holder {
				change(links[holder][j])
				change(links[j][holder])
			}
		}
	}
	first, token := waitForHolder(t, sockets, allExcept(3, -1))
	onLinksOf(first, (*faultnet.Proxy).Cut)
	second, newer := waitForHolder(t, sockets, allExcept(3, first))
	require.Eventually(t, func() bool {
		status, ok := leaseStatus(t, sockets[first])
		return ok && !status.Holds
	}, 10*time.Second, 20*time.Millisecond, "the server in the minority still holds the lease")
	assert.Greater(t, newer, token)
	onLinksOf(first, (*faultnet.Proxy).Heal)
	again, _ := waitForHolder(t, sockets, allExcept(3, -1))
	assert.Equal(t, second, again, "the former holder took the lease back after the heal")

	for j := range links {
		if j != second {
			links[second][j].Drop(faultnet.Down) // its requests arrive, but no response does
		}
	}
	third, newest := waitForHolder(t, sockets, allExcept(3, second))
	assert.NotEqual(t, second, third)
	assert.Greater(t, newest, newer)
	require.Eventually(t, func() bool {
		status, ok := leaseStatus(t, sockets[second])
		return ok && !status.Holds
	}, 10*time.Second, 20*time.Millisecond, "the holder that gets no responses still holds the lease")
}
