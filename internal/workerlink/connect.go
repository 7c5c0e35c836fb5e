package workerlink

import (
	"context"
	"fmt"
	"net"
	"time"

	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/writequeue"
)

const (
	minBackoff   = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	dialTimeout  = time.Second
	drainTimeout = 250 * time.Millisecond // for the pool to show that it has read all commands on the old link
)

// Run dials, binds and reads until ctx ends. It backs off between attempts, as a loop of refused connections would use
// CPU time that requests need.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeLocked()
		l.inboxTaken.Broadcast()
	})
	defer stop()
	backoff, down := minBackoff, false
	var next *net.TCPConn // opened already by a change of address
	for ctx.Err() == nil {
		var err error
		if next == nil {
			next, err = l.dial(ctx)
		}
		if err == nil {
			began := time.Now()
			next, err = l.serve(ctx, next)
			// The cores are idle without a link, so reconnect at once, except after a link that ended right after it was up.
			if down = false; time.Since(began) > maxBackoff {
				backoff = 0
			}
		}
		if ctx.Err() != nil {
			break
		}
		if next != nil {
			l.log.Info("pool link changes address", "to", next.RemoteAddr().String())
			continue
		}
		if !down { // once per loss, not per attempt
			down = true
			l.count("pool link lost or refused")
			l.log.Warn("pool link down", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-l.addressChanged: // the new address may answer at once
			backoff = minBackoff
		case <-time.After(backoff):
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
		}
	}
	if next != nil {
		_ = next.Close() // never used
	}
}

func (l *Link) dial(ctx context.Context) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", l.currentAddress())
	if err != nil {
		return nil, fmt.Errorf("dial the worker pool: %w", err)
	}
	return c.(*net.TCPConn), nil
}

// serve reads a link to its end. It returns the next link if a change of address has opened one.
func (l *Link) serve(ctx context.Context, conn *net.TCPConn) (next *net.TCPConn, err error) {
	ctx, cancel := context.WithCancel(ctx)
	opened := make(chan *net.TCPConn, 1)
	go func() { opened <- l.openNewAddress(ctx, conn.RemoteAddr().String()) }()
	err = l.bindAndRead(ctx, conn)
	l.reset()
	cancel()
	return <-opened, err
}

// openNewAddress waits for a change of address and opens a link to the new one while the old link still works. It ends
// the old link only after that, so that a new address that does not answer has no effect while the old link works. The
// pool drops commands that it has not read from a link once another link is bound, so the last command on the old link
// is a poll: once that is answered, all commands are known to have been read. If the pool does not answer it, the
// change costs drainTimeout and the same recovery as a lost link.
func (l *Link) openNewAddress(ctx context.Context, current string) *net.TCPConn {
	var retry <-chan time.Time // for a new address that did not answer
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.addressChanged:
			backoff = minBackoff
		case <-retry:
			backoff = min(2*backoff, maxBackoff)
		}
		retry = nil
		if l.currentAddress() == current { // changed back, or the signal is from the change that opened this link
			continue
		}
		next, err := l.dial(ctx)
		if err == nil {
			l.drainAndClose(ctx)
			return next
		}
		retry = time.After(backoff)
	}
}

// drainAndClose closes a link once its last poll is answered, or after drainTimeout. A link that is not synced is closed
// at once.
func (l *Link) drainAndClose(ctx context.Context) {
	l.mu.Lock()
	drained := make(chan struct{})
	if l.synced {
		l.drained, l.drainNonce = drained, l.pollLocked()
	} else {
		close(drained)
	}
	l.mu.Unlock()
	l.Flush()
	select {
	case <-ctx.Done():
	case <-drained:
	case <-time.After(drainTimeout):
		l.count("pool did not answer the last poll of a link that moved")
	}
	l.mu.Lock()
	l.closeLocked()
	l.mu.Unlock()
}

// bindAndRead binds a new link and reads it to its end.
func (l *Link) bindAndRead(ctx context.Context, conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("descriptor of the link: %w", err)
	}
	l.mu.Lock()
	l.conn, l.raw, l.out = conn, raw, writequeue.New(l.maxQueuedBytes)
	err = l.out.Add(bindCommand(l.lastIndex))
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	l.Flush()
	return l.readNotices(ctx, conn)
}

// reset clears the state of a link that has ended and reports LinkDown.
func (l *Link) reset() {
	l.mu.Lock()
	l.closeLocked()
	l.conn, l.raw, l.out, l.bound, l.synced, l.drainNonce, l.drained = nil, nil, nil, false, false, 0, nil
	l.inbox = append(l.inbox, workerapi.Notice{Kind: workerapi.LinkDown})
	l.mu.Unlock()
	l.wake()
}
