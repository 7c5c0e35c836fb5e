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

// After SetAddress the next report is sent to the new address immediately.
func TestSetAddress(t *testing.T) {
	old, members := fake.NewMembership(t), fake.NewMembership(t)
	r := New("n7", old.Address, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go r.Run(t.Context(), time.Hour)
	old.Next(t)
	r.SetAddress(members.Address)
	assert.Equal(t, "HB n7 UP", members.Next(t))
}

// lines receives the log, one line at a time.
type lines chan string

func (l lines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// Guards against a service that is back after an outage but gets no report for another interval, because the error of
// the previous datagram kept the first report from being sent.
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
	assert.Empty(t, lines, "only changes are logged, not each report")
}

// next returns the next line of the log.
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

// Guards against a process that can't start, or rejects a new address, because the service can't be dialed. The
// reporter must log the failure once, keep trying, and use a new address immediately.
func TestServiceThatCannotBeDialed(t *testing.T) {
	for name, address := range map[string]string{
		"no route":          "[fe80::1]:8761", // link-local, on no link
		"unknown host name": "members.invalid:8761",
		"no port":           "nowhere",
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
			assert.Empty(t, lines, "only changes are logged, not each report")
		})
	}
}
