package conformance

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// outcomes are those of the status codes.
var outcomes = map[byte]Outcome{
	harness.StatusServed: Served, harness.StatusRejected: Rejected, harness.StatusAborted: Aborted,
}

// daemonFront is the daemon over its frame protocol, with workers whose runs do not share their cores.
type daemonFront struct {
	*harness.Daemon
	shutdown sync.Once
	err      error
}

// NewDaemon starts the daemon's program as a front. Cases that need keys are not for it.
func NewDaemon(program, folder, name string) (FrontEnd, error) {
	// The runs are independent, as those of the other fronts, which sleep. The settings state Cores.
	d, err := harness.StartWithoutFile(program, folder, name, Routes(false), harness.Machine{Cores: Cores, Speed: 1, MemoryKB: 1 << 20, Independent: true})
	if err != nil {
		return nil, err
	}
	return &daemonFront{Daemon: d}, nil
}

// Do implements Front.
func (d *daemonFront) Do(ctx context.Context, r Request) Outcome {
	route := Routes(false)[r.Route]
	link, err := net.Dial("tcp", d.Address)
	if err != nil {
		return Rejected // refused: nothing ran
	}
	defer func() { _ = link.Close() }()
	defer context.AfterFunc(ctx, func() { _ = link.Close() })()
	body := binary.BigEndian.AppendUint64(nil, uint64(r.Work.Microseconds()))
	if r.Fails {
		body = append(body, 1)
	}
	_, err = link.Write(harness.Frame(harness.FrameRequest, 1, string(body),
		"op", route.Name, "call", fmt.Sprintf("%016x", rand.Uint64()), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "1", "ttl", strconv.FormatInt(route.Deadline.Milliseconds(), 10), "heap", "4", "crit", "0.5"))
	for err == nil {
		var reply harness.Reply
		if reply, err = harness.ReadReply(link); err == nil && reply.Type == harness.FrameAnswer {
			if outcome, known := outcomes[reply.Code]; known {
				return outcome
			}
			return Unanswered
		}
	}
	if ctx.Err() != nil {
		return Canceled
	}
	return Unanswered
}

// Effects implements Front.
func (d *daemonFront) Effects() (runs, repeated int) {
	offsets, repeated := d.Workers.StartOffsets()
	return len(offsets), repeated
}

// Shutdown implements Front.
func (d *daemonFront) Shutdown() error {
	d.shutdown.Do(func() { d.err = d.Stop() })
	return d.err
}

// Close implements Front.
func (d *daemonFront) Close() { _ = d.Shutdown() }
