package scale

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"runtime"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

// WatcherSpec states the hollow watchers that a process runs.
type WatcherSpec struct {
	First, Count int
	Zone         string
	Machines     []configwatch.Endpoint
	Key          string // hexadecimal
	Seed         int64
}

// watcherLine is one line of output of a watcher process: an event, or the answer to a command, which states the
// traffic of the process so far.
type watcherLine struct {
	Event  *watcherEvent     `json:"e,omitempty"`
	Answer *peersync.Traffic `json:"answer,omitempty"`
}

// watcherEvent states that a watcher applied a version or has started.
type watcherEvent struct {
	Watcher int                  `json:"w"`
	Version uint64               `json:"v"`
	Digest  configuration.Digest `json:"d"`
	At      int64                `json:"t"` // Unix nanoseconds
	Started bool                 `json:"s,omitempty"`
}

// watcherCommand is one line of input of a watcher process.
type watcherCommand struct {
	Restart int // number of watchers that are restarted without state before the answer
}

// discardLog discards all records.
var discardLog = slog.New(slog.DiscardHandler)

// watcherCores is the number of cores of a watcher process. The work of a hundred servers must not slow the other
// processes that are measured on the same machine.
const watcherCores = 2

// hollowWatcher is the configuration watcher of a server without the rest of the server.
type hollowWatcher struct {
	index  int
	cancel context.CancelFunc
	ended  chan struct{}
}

// lineWriter writes lines. It is safe for concurrent use.
type lineWriter struct {
	mu  sync.Mutex
	out *bufio.Writer
}

func (l *lineWriter) write(line watcherLine) {
	raw, err := json.Marshal(line)
	if err != nil {
		panic(fmt.Errorf("json: %w", err)) // every line can be encoded
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.out.Write(append(raw, '\n')) // fails only if the reading process has ended
	_ = l.out.Flush()
}

// RunWatchers runs hollow watchers until its input ends. The first line of the input is the WatcherSpec, each further
// line a watcherCommand.
func RunWatchers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxCommandBytes)
	var spec WatcherSpec
	if !lines.Scan() {
		return fmt.Errorf("watchers: no spec: %w", errors.Join(io.ErrUnexpectedEOF, lines.Err()))
	}
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("watchers: spec: %w", err)
	}
	key, err := hex.DecodeString(spec.Key)
	if err != nil {
		return fmt.Errorf("watchers: key: %w", err)
	}
	runtime.GOMAXPROCS(watcherCores)
	writer := &lineWriter{out: bufio.NewWriter(out)}
	watchers := make([]*hollowWatcher, spec.Count)
	for i := range watchers {
		watchers[i] = &hollowWatcher{index: spec.First + i}
		watchers[i].start(spec, peersync.Keys{key}, writer)
	}
	defer func() {
		for _, w := range watchers {
			w.stop()
		}
	}()
	rng := rand.New(rand.NewSource(spec.Seed))
	for lines.Scan() {
		var command watcherCommand
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("watchers: command: %w", err)
		}
		chosen := rng.Perm(len(watchers))[:min(command.Restart, len(watchers))]
		for _, i := range chosen {
			watchers[i].stop()
		}
		for _, i := range chosen {
			watchers[i].start(spec, peersync.Keys{key}, writer)
		}
		used := peersync.ProcessTraffic()
		writer.write(watcherLine{Answer: &used})
	}
	return lines.Err()
}

// start starts a watcher that has not applied any version.
func (h *hollowWatcher) start(spec WatcherSpec, keys peersync.Keys, writer *lineWriter) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.ended = cancel, make(chan struct{})
	event := func(e watcherEvent) {
		e.Watcher, e.At = h.index, time.Now().UnixNano()
		writer.write(watcherLine{Event: &e})
	}
	w := &configwatch.Watcher{
		Name: fmt.Sprintf("hollow-%d", h.index), Zone: spec.Zone, Endpoints: spec.Machines, Keys: keys,
		Document: configuration.NewDocument(), Seed: spec.Seed*1_000_003 + time.Now().UnixNano() + int64(h.index),
		Logger: discardLog,
		Apply: func(_ context.Context, delta configuration.Delta, _ *configuration.Document) error {
			event(watcherEvent{Version: delta.Version, Digest: delta.Digest})
			return nil
		},
	}
	event(watcherEvent{Started: true})
	go func() { w.Run(ctx); close(h.ended) }()
}

func (h *hollowWatcher) stop() {
	h.cancel()
	<-h.ended
}
