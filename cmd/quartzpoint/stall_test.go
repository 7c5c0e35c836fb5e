package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// The process is stalled from before its stop until after it. The first round after the stall must answer all requests
// in flight. The process used to exit without answers to them, and a debug build failed a check.
func TestProcessStalledAcrossTheStop(t *testing.T) {
	for build, path := range builds {
		t.Run(build, func(t *testing.T) {
			p := prepare(t, path)
			raw, err := os.ReadFile(p.path)
			require.NoError(t, err)
			short := strings.Replace(string(raw), `"stop_ms":1500`, `"stop_ms":900`, 1)
			require.NoError(t, os.WriteFile(p.path, []byte(short), 0o600))
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			router.Send(t, fake.RequestFrame(1, "pay", ""), fake.RequestFrame(2, "browse", ""))
			p.pool.Next(t, "spawn")
			p.pool.Next(t, "spawn") // both requests run, and neither run ends
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.waitLogged(t, `msg="stopped accepting connections"`)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
			time.Sleep(time.Second) // the time of the stop passes; there is no event to wait for
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
			assert.Equal(t, map[uint32][]byte{1: {51}, 2: {51}}, readAnswers(t, router))
			assert.Zero(t, p.waitExit())
		})
	}
}

// A stop that leaves no time: running and queued requests must still be answered, in the round of the notice.
func TestStopAtOnce(t *testing.T) {
	for build, path := range builds {
		for _, stop := range []string{"1e-9", "1", "16"} {
			t.Run(build+" "+stop, func(t *testing.T) {
				p := prepare(t, path)
				raw, err := os.ReadFile(p.path)
				require.NoError(t, err)
				short := strings.Replace(string(raw), `"stop_ms":1500`, `"stop_ms":`+stop, 1)
				require.NoError(t, os.WriteFile(p.path, []byte(short), 0o600))
				require.NoError(t, p.cmd.Start())
				p.killAtCleanup(t)
				p.pool.Ready()
				p.waitLogged(t, "pool link bound")
				router := fake.Dial(t, p.address)
				const all = 20 // more than run concurrently
				for stream := range uint32(all) {
					router.Send(t, fake.RequestFrame(stream+1, "pay", ""))
				}
				router.Send(t, fake.Frame(20, 99, "", "e2e", "0"))
				answerCounts := map[uint32]int{}
				for reply := router.Next(t); reply.Type != 21; reply = router.Next(t) {
					answerCounts[reply.Stream]++ // some are rejected at once
				}
				// Frames are read in order, so all requests before the health check have been read.
				require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
				for stream, codes := range readAnswers(t, router) {
					answerCounts[stream] += len(codes)
				}
				assert.Len(t, answerCounts, all)
				for stream, n := range answerCounts {
					assert.Equal(t, 1, n, stream)
				}
				assert.Zero(t, p.waitExit())
			})
		}
	}
}
