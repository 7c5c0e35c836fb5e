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

// outcomes maps the status codes to outcomes.
var outcomes = map[byte]Outcome{
	harness.StatusServed: Served, harness.StatusRejected: Rejected, harness.StatusAborted: Aborted,
}

// daemonFrontEnd is the daemon over its frame protocol, with workers whose runs do not share cores.
type daemonFrontEnd struct {
	*harness.Daemon
	shutdown sync.Once
	err      error
}

// NewDaemon starts the daemon's program as a front end. It does not support cases that need keys.
func NewDaemon(program, dir, name string) (FrontEnd, error) {
	// The runs are independent, because those of the other front ends sleep. Cores does not slow them: it sets the
	// number of cores in the settings.
	d, err := harness.StartWithoutFile(program, dir, name, Routes(false), harness.Machine{Cores: Cores, Speed: 1, MemoryKB: 1 << 20, Independent: true})
	if err != nil {
		return nil, err
	}
	return &daemonFrontEnd{Daemon: d}, nil
}

// Do implements FrontEnd.
func (d *daemonFrontEnd) Do(ctx context.Context, r Request) Outcome {
	route := Routes(false)[r.Route]
	conn, err := net.Dial("tcp", d.Address)
	if err != nil {
		return Rejected // the connection was refused: nothing ran
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	body := binary.BigEndian.AppendUint64(nil, uint64(r.Work.Microseconds()))
	if r.Fails {
		body = append(body, 1)
	}
	_, err = conn.Write(harness.Frame(harness.FrameRequest, 1, string(body),
		"op", route.Name, "call", fmt.Sprintf("%016x", rand.Uint64()), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "1", "ttl", strconv.FormatInt(route.Deadline.Milliseconds(), 10), "heap", "4", "crit", "0.5"))
	for err == nil {
		var reply harness.Reply
		if reply, err = harness.ReadReply(conn); err == nil && reply.Type == harness.FrameAnswer {
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

// Runs implements FrontEnd.
func (d *daemonFrontEnd) Runs() (runs, repeated int) {
	offsets, repeated := d.Workers.StartOffsets()
	return len(offsets), repeated
}

// Shutdown implements FrontEnd.
func (d *daemonFrontEnd) Shutdown() error {
	d.shutdown.Do(func() { d.err = d.Stop() })
	return d.err
}

// Close implements FrontEnd.
func (d *daemonFrontEnd) Close() { _ = d.Shutdown() }
