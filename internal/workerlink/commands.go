package workerlink

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"quartzpoint/internal/workerapi"
)

// verbSpawn is the verb of Start; the others stand in their methods.
const verbSpawn = "spawn"

// bindCommand asks for all notices behind a number.
func bindCommand(lastIndex uint64) []byte {
	return append(strconv.AppendUint([]byte(`{"verb":"bind","index":`), lastIndex, 10), "}\n"...)
}

// Start has the pool run a request. sent is whether a link took the command; the same holds for the commands below.
func (l *Link) Start(r workerapi.Run) (sent bool) {
	text := appendQuoted([]byte(`{"verb":"`+verbSpawn+`","task":`), r.ID)
	text = append(appendQuoted(append(text, `,"handler":`...), r.Route), `,"bytes":"`...)
	text = base64.StdEncoding.AppendEncode(text, r.Body)
	return l.send(append(text, "\"}\n"...))
}

// Pause stops a run in the way that the settings name.
func (l *Link) Pause(id string) (sent bool) {
	return l.send(append(appendQuoted([]byte(`{"verb":"suspend","task":`), id), "}\n"...))
}

// Resume has a paused run go on.
func (l *Link) Resume(id string) (sent bool) {
	return l.send(append(appendQuoted([]byte(`{"verb":"proceed","task":`), id), "}\n"...))
}

// ReplyToCall has a run go on from its call with the reply.
func (l *Link) ReplyToCall(id string, reply []byte) (sent bool) {
	text := append(appendQuoted([]byte(`{"verb":"supply","task":`), id), `,"bytes":"`...)
	return l.send(append(base64.StdEncoding.AppendEncode(text, reply), "\"}\n"...))
}

// Verify asks for the work of a deep health check.
func (l *Link) Verify(nonce uint64) (sent bool) {
	return l.send(fmt.Appendf(nil, "{\"verb\":\"verify\",\"nonce\":\"%d\"}\n", nonce))
}

// Poll asks for the gauges.
func (l *Link) Poll() (nonce uint64, sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bound {
		return 0, false
	}
	// Before the link is synced it polls all the same, in case the first poll was not answered.
	return l.pollLocked(), l.usableLocked()
}

// NextPollNonce is the nonce that the next poll will carry. Once that is answered, the pool has read all commands sent before.
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

// usableLocked is whether commands may be sent.
func (l *Link) usableLocked() bool { return l.synced && l.drainNonce == 0 }

func (l *Link) send(text []byte) (sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usableLocked() && l.queueLocked(text)
}

// queueLocked queues a command. A pool that reads none for so long that the queue is full loses its link; what it had not read
// is recovered once it is bound again.
func (l *Link) queueLocked(text []byte) (queued bool) {
	err := l.out.Add(text)
	if err != nil {
		l.count("pool link closed: it does not read its commands")
		l.synced = false
		l.closeLocked()
	}
	return err == nil
}

// Flush writes what is queued, as far as the pool reads.
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

// appendQuoted appends a JSON string.
func appendQuoted(to []byte, text string) []byte {
	plain := true
	for i := range len(text) {
		plain = plain && text[i] >= ' ' && text[i] < 0x7f && text[i] != '"' && text[i] != '\\'
	}
	if plain {
		return append(append(append(to, '"'), text...), '"')
	}
	escaped, _ := json.Marshal(text) // a string always has a form
	return append(to, escaped...)
}
