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
	service := fake.NewMembership(t)
	r := New("n7", service.Address, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go r.Run(t.Context(), time.Millisecond)
	assert.Equal(t, "HB n7 UP", service.Next(t))
	assert.Equal(t, "HB n7 UP", service.Next(t))
	r.SetDraining()
	require.Eventually(t, func() bool { return service.Next(t) == "HB n7 OUT" }, fake.WaitLimit, time.Millisecond)
}

// After SetAddress the next report is sent to the new address immediately.
func TestSetAddress(t *testing.T) {
	old, service := fake.NewMembership(t), fake.NewMembership(t)
	r := New("n7", old.Address, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go r.Run(t.Context(), time.Hour)
	old.Next(t)
	r.SetAddress(service.Address)
	assert.Equal(t, "HB n7 UP", service.Next(t))
}

// logLines receives the log, one line at a time.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// Guards against a service that is back after an outage but gets no report for another interval, because the error of
// the previous datagram kept the first report from being sent.
func TestServiceBack(t *testing.T) {
	service := fake.NewMembership(t)
	address := service.Address
	service.Stop()
	lines := make(logLines, 100)
	r := New("n7", address, slog.New(slog.NewTextHandler(lines, nil)))
	go r.Run(t.Context(), 10*time.Millisecond)
	assert.Contains(t, <-lines, "refused=true")
	service = fake.NewMembershipAt(t, address)
	assert.Equal(t, "HB n7 UP", service.Next(t))
	assert.Contains(t, <-lines, "refused=false")
	for range 3 {
		service.Next(t)
	}
	assert.Empty(t, lines, "only changes are logged, not each report")
}

// next returns the next line of the log.
func next(t *testing.T, l logLines) string {
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
			lines := make(logLines, 100)
			r := New("n7", address, slog.New(slog.NewTextHandler(lines, nil)))
			go r.Run(t.Context(), time.Millisecond)
			line := next(t, lines)
			assert.Contains(t, line, "refused=true")
			assert.Contains(t, line, address)
			for range 2 {
				service := fake.NewMembership(t)
				r.SetAddress(service.Address)
				assert.Equal(t, "HB n7 UP", service.Next(t))
				assert.Contains(t, next(t, lines), "refused=false")
				r.SetAddress(address)
				assert.Contains(t, next(t, lines), "refused=true")
			}
			assert.Empty(t, lines, "only changes are logged, not each report")
		})
	}
}
