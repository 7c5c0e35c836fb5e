package registration

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

func TestReports(t *testing.T) {
	members := fake.NewMembership(t)
	r := New("n7", members.Address, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go r.Run(t.Context(), time.Millisecond)
	assert.Equal(t, "HB n7 UP", members.Next(t))
	assert.Equal(t, "HB n7 UP", members.Next(t))
	r.SetDraining()
	require.Eventually(t, func() bool { return members.Next(t) == "HB n7 OUT" }, fake.WaitLimit, time.Millisecond)
}

// At a new address the next report comes at once, and the old one gets none.
func TestSetAddress(t *testing.T) {
	old, members := fake.NewMembership(t), fake.NewMembership(t)
	r := New("n7", old.Address, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go r.Run(t.Context(), time.Hour)
	old.Next(t)
	r.SetAddress(members.Address)
	assert.Equal(t, "HB n7 UP", members.Next(t))
}

// lines takes what is logged, a line at a time.
type lines chan string

func (l lines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// A service that was down and came back was told nothing for a further period, as the error of the report
// before kept the first one back.
func TestServiceBack(t *testing.T) {
	members := fake.NewMembership(t)
	address := members.Address
	members.Stop()
	lines := make(lines, 100)
	r := New("n7", address, slog.New(slog.NewTextHandler(lines, nil)))
	go r.Run(t.Context(), 10*time.Millisecond)
	assert.Contains(t, <-lines, "refused=true")
	members = fake.NewMembershipAt(t, address)
	assert.Equal(t, "HB n7 UP", members.Next(t))
	assert.Contains(t, <-lines, "refused=false")
	for range 3 {
		members.Next(t)
	}
	assert.Empty(t, lines, "a line for each report")
}

// next is the line that is logged next.
func next(t *testing.T, l lines) string {
	t.Helper()
	select {
	case line := <-l:
		return line
	case <-time.After(fake.WaitLimit):
		require.Fail(t, "nothing was logged")
		return ""
	}
}

// A service that can't be dialled kept the process from starting, and a move to one was refused. It is waited for: one
// line says so, reports go on being tried, and the address that is told next is heard at once.
func TestServiceThatCannotBeDialed(t *testing.T) {
	for name, address := range map[string]string{
		"no way to it": "[fe80::1]:8761", // link-local, on no link
		"no such name": "members.invalid:8761",
		"no address":   "nowhere",
	} {
		t.Run(name, func(t *testing.T) {
			lines := make(lines, 100)
			r := New("n7", address, slog.New(slog.NewTextHandler(lines, nil)))
			go r.Run(t.Context(), time.Millisecond)
			line := next(t, lines)
			assert.Contains(t, line, "refused=true")
			assert.Contains(t, line, address)
			for range 2 {
				members := fake.NewMembership(t)
				r.SetAddress(members.Address)
				assert.Equal(t, "HB n7 UP", members.Next(t))
				assert.Contains(t, next(t, lines), "refused=false")
				r.SetAddress(address)
				assert.Contains(t, next(t, lines), "refused=true")
			}
			assert.Empty(t, lines, "a line for each report")
		})
	}
}
