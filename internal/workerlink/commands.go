package workerlink

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"quartzpoint/internal/workerapi"
)

// verbSpawn is the verb of Start. The methods of the other commands contain theirs.
const verbSpawn = "spawn"

// bindCommand returns the command that requests all notices after lastIndex.
func bindCommand(lastIndex uint64) []byte {
	return append(strconv.AppendUint([]byte(`{"verb":"bind","index":`), lastIndex, 10), "}\n"...)
}

// Start makes the pool run a request. sent reports whether a link took the command; this also holds for the commands
// below.
func (l *Link) Start(r workerapi.Run) (sent bool) {
	text := appendQuoted([]byte(`{"verb":"`+verbSpawn+`","task":`), r.ID)
	text = append(appendQuoted(append(text, `,"handler":`...), r.Route), `,"bytes":"`...)
	text = base64.StdEncoding.AppendEncode(text, r.Body)
	return l.send(append(text, "\"}\n"...))
}

// Pause stops a run, for good or until Resume; the preemption setting of the site states which.
func (l *Link) Pause(id string) (sent bool) {
	return l.send(append(appendQuoted([]byte(`{"verb":"suspend","task":`), id), "}\n"...))
}

// Resume continues a paused run.
func (l *Link) Resume(id string) (sent bool) {
	return l.send(append(appendQuoted([]byte(`{"verb":"proceed","task":`), id), "}\n"...))
}

// ReplyToCall continues a run after its call, with the reply.
func (l *Link) ReplyToCall(id string, reply []byte) (sent bool) {
	text := append(appendQuoted([]byte(`{"verb":"supply","task":`), id), `,"bytes":"`...)
	return l.send(append(base64.StdEncoding.AppendEncode(text, reply), "\"}\n"...))
}

// Verify requests a deep health check.
func (l *Link) Verify(nonce uint64) (sent bool) {
	return l.send(fmt.Appendf(nil, "{\"verb\":\"verify\",\"nonce\":\"%d\"}\n", nonce))
}

// Poll requests the gauges.
func (l *Link) Poll() (nonce uint64, sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bound {
		return 0, false
	}
	// A link that is not synced is polled all the same, in case the first poll was not answered.
	return l.pollLocked(), l.usableLocked()
}

// NextPollNonce returns the nonce of the next poll. Once that poll is answered, the pool has read all commands sent
// before it.
func (l *Link) NextPollNonce() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastNonce + 1
}

func (l *Link) pollLocked() uint64 {
	l.lastNonce++
	l.queueLocked(fmt.Appendf(nil, "{\"verb\":\"poll\",\"nonce\":\"%d\"}\n", l.lastNonce))
	return l.lastNonce
}

// usableLocked reports whether commands may be sent. l.mu must be held.
func (l *Link) usableLocked() bool { return l.synced && l.drainNonce == 0 }

func (l *Link) send(text []byte) (sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usableLocked() && l.queueLocked(text)
}

// queueLocked queues a command. A pool that has read none for so long that the queue is full loses its link; the
// commands it has not read are recovered once it is bound again. l.mu must be held.
func (l *Link) queueLocked(text []byte) (queued bool) {
	err := l.out.Add(text)
	if err != nil {
		l.count("pool link closed: it does not read its commands")
		l.synced = false
		l.closeLocked()
	}
	return err == nil
}

// Flush writes as many queued commands as the pool accepts.
func (l *Link) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil || l.out.Empty() {
		return
	}
	if err := l.out.FlushTo(l.raw); err != nil {
		l.log.Warn("pool link closed", "error", err)
		l.synced = false
		l.closeLocked()
	}
}

// appendQuoted appends text as a JSON string.
func appendQuoted(to []byte, text string) []byte {
	plain := true
	for i := range len(text) {
		plain = plain && text[i] >= ' ' && text[i] < 0x7f && text[i] != '"' && text[i] != '\\'
	}
	if plain {
		return append(append(append(to, '"'), text...), '"')
	}
	escaped, _ := json.Marshal(text) // marshaling a string never fails
	return append(to, escaped...)
}
