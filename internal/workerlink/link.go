// Package workerlink is the connection to the worker pool: commands go out, notices come in, and the link is bound again
// whenever it is lost. The words of its protocol, JSON lines, end here.
package workerlink

import (
	"log/slog"
	"net"
	"sync"
	"syscall"

	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/writequeue"
)

// maxQueuedNotices is how many notices are read ahead of the event loop; then the pool waits.
const maxQueuedNotices = 4096

// Link is the connection to the worker pool. Run keeps it up. All else is for the event loop, and never waits for the pool.
type Link struct {
	maxQueuedBytes int // of commands
	log            *slog.Logger
	count          func(what string)
	wake           func()
	addressChanged chan struct{}

	mu         sync.Mutex
	address    string
	inboxTaken sync.Cond // the event loop took the notices
	conn       *net.TCPConn
	raw        syscall.RawConn
	out        *writequeue.Queue
	inbox      []workerapi.Notice

	// The state of the link. A pool that is not up yet answers the bind late, and takes no other command before. Once the
	// poll behind the answer was answered, all notices from before the bind have come.
	bound     bool
	synced    bool
	syncNonce uint64 // of that poll
	lastNonce uint64 // of the last poll

	// The end of a link that is about to be replaced: no command is sent behind its last poll.
	drainNonce uint64 // of that poll, 0 without one
	drained    chan struct{}

	// Notices are numbered, across links.
	lastIndex    uint64
	missingIndex uint64 // a notice that did not come, and was asked for by a new bind
}

// New makes a link to a pool's address that queues at most maxQueuedBytes of commands. It calls wake when there are notices
// to take, and count for events that are counted.
func New(address string, maxQueuedBytes int, log *slog.Logger, count func(what string), wake func()) *Link {
	l := &Link{
		address: address, maxQueuedBytes: maxQueuedBytes, log: log, count: count, wake: wake,
		addressChanged: make(chan struct{}, 1),
	}
	l.inboxTaken.L = &l.mu
	return l
}

// SetAddress has the link go on at another address of the same pool. It does not block.
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

// AppendNotices appends all notices that came since the last call.
func (l *Link) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices = append(notices, l.inbox...)
	clear(l.inbox)
	l.inbox = l.inbox[:0]
	l.inboxTaken.Broadcast()
	return notices
}

// closeLocked ends the connection, whose reader then ends too. l.mu is held.
func (l *Link) closeLocked() {
	if l.conn != nil {
		_ = l.conn.Close() // nothing is left to be done with it
	}
}
