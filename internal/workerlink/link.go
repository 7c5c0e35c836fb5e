// Package workerlink is the connection to the worker pool. It sends commands, receives notices and reconnects whenever
// the link is lost. The rest of the server does not know the terms of its protocol, which is JSON lines.
package workerlink

import (
	"log/slog"
	"net"
	"sync"
	"syscall"

	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/writequeue"
)

// maxQueuedNotices is the number of notices that are read ahead of the event loop. Beyond it, the pool has to wait.
const maxQueuedNotices = 4096

// Link is the connection to the worker pool. Run keeps it up and needs a goroutine of its own. All other methods are
// for the event loop and never wait for the pool.
type Link struct {
	maxQueuedBytes int // of commands
	log            *slog.Logger
	count          func(what string)
	wake           func()
	addressChanged chan struct{}

	mu         sync.Mutex
	address    string
	inboxTaken sync.Cond // signals that the event loop has taken the notices
	conn       *net.TCPConn
	raw        syscall.RawConn
	out        *writequeue.Queue
	inbox      []workerapi.Notice

	// State of the link. A pool that is still starting answers the bind late, and accepts no other command before. Once
	// the poll sent after that answer is answered, all notices from before the bind have been received.
	bound     bool
	synced    bool
	syncNonce uint64 // of that poll
	lastNonce uint64 // of the last poll

	// State of a link that is about to be replaced: no command is sent after its last poll.
	drainNonce uint64 // of that poll, 0 without one
	drained    chan struct{}

	// Notices have consecutive indexes, which continue on the next link.
	lastIndex    uint64
	missingIndex uint64 // index of a notice that was not received and was requested again by a new bind
}

// New returns a link to the pool at address that queues at most maxQueuedBytes of commands. It calls wake when there
// are notices to take, and count with the name of each counted event.
func New(address string, maxQueuedBytes int, log *slog.Logger, count func(what string), wake func()) *Link {
	l := &Link{
		address: address, maxQueuedBytes: maxQueuedBytes, log: log, count: count, wake: wake,
		addressChanged: make(chan struct{}, 1),
	}
	l.inboxTaken.L = &l.mu
	return l
}

// SetAddress moves the link to another address of the same pool. It does not block.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	l.address = address
	l.mu.Unlock()
	select {
	case l.addressChanged <- struct{}{}:
	default:
	}
}

func (l *Link) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// AppendNotices appends all notices received since the last call.
func (l *Link) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices = append(notices, l.inbox...)
	clear(l.inbox)
	l.inbox = l.inbox[:0]
	l.inboxTaken.Broadcast()
	return notices
}

// closeLocked closes the connection, which also ends its reader. l.mu must be held.
func (l *Link) closeLocked() {
	if l.conn != nil {
		_ = l.conn.Close() // an error leaves nothing to be done
	}
}
