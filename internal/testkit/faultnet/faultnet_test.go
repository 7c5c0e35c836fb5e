package faultnet

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// echo starts a server on loopback that answers each line with itself, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

type link struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, p *Proxy) *link {
	c, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &link{c, bufio.NewReader(c)}
}

// exchange sends a line and returns the line that is received within span, or "" if none is.
func (l *link) exchange(t *testing.T, line string, span time.Duration) string {
	_, err := l.conn.Write([]byte(line + "\n"))
	require.NoError(t, err)
	return l.read(span)
}

func (l *link) read(span time.Duration) string {
	_ = l.conn.SetReadDeadline(time.Now().Add(span))
	got, err := l.r.ReadString('\n')
	if err != nil {
		return ""
	}
	return got[:len(got)-1]
}

func TestFaultsOnALink(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	// absent is how long a check waits if it expects nothing; present is the limit if it expects something, long enough
	// for a busy machine.
	const absent, present = 200 * time.Millisecond, 10 * time.Second
	for _, c := range []struct {
		name  string
		fault string
		check func(t *testing.T, p *Proxy, l *link)
	}{
		{"forwards without a fault", "", func(t *testing.T, p *Proxy, l *link) {
			assert.Equal(t, "a", l.exchange(t, "a", present))
		}},
		{"drops one direction only", "drop down", func(t *testing.T, p *Proxy, l *link) {
			assert.Empty(t, l.exchange(t, "lost", absent), "the answer is dropped")
			require.NoError(t, p.RunScript("heal"))
			assert.Equal(t, "b", l.exchange(t, "b", present), "the other direction still works")
		}},
		{"stalls until healed", "stall up", func(t *testing.T, p *Proxy, l *link) {
			assert.Empty(t, l.exchange(t, "held", absent))
			require.NoError(t, p.RunScript("heal"))
			assert.Equal(t, "held", l.read(present), "the stalled bytes are forwarded, in order")
		}},
		{"delays", "delay up 300ms", func(t *testing.T, p *Proxy, l *link) {
			start := time.Now()
			assert.Equal(t, "late", l.exchange(t, "late", present))
			assert.GreaterOrEqual(t, time.Since(start), 300*time.Millisecond)
		}},
		{"cuts and refuses until healed", "cut", func(t *testing.T, p *Proxy, l *link) {
			assert.Empty(t, l.exchange(t, "gone", present), "the connection is closed")
			assert.Empty(t, dial(t, p).exchange(t, "new", present), "a new connection is refused")
			require.NoError(t, p.RunScript("heal"))
			assert.Equal(t, "back", dial(t, p).exchange(t, "back", present))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := New(echo(t))
			require.NoError(t, err)
			defer func() { _ = p.Close() }()
			l := dial(t, p)
			require.Equal(t, "ready", l.exchange(t, "ready", present))
			require.NoError(t, p.RunScript(c.fault))
			c.check(t, p, l)
		})
	}
}

func TestAScriptIsCheckedWholeBeforeItActs(t *testing.T) {
	p, err := New(echo(t))
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	err = p.RunScript("cut\nstall sideways # a typo\ndelay up soon\n\nheal")
	require.Error(t, err)
	assert.Contains(t, err.Error(), `line 2 "stall sideways"`)
	assert.Contains(t, err.Error(), `line 3 "delay up soon"`)
	assert.Equal(t, "still", dial(t, p).exchange(t, "still", 10*time.Second), "no step was run")
}
