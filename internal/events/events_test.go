package events

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func newLog() (l *Log, text *bytes.Buffer, advance func(time.Duration)) {
	text = &bytes.Buffer{}
	now := time.Unix(1000, 0)
	l = New(slog.New(slog.NewTextHandler(text, nil)))
	l.now = func() time.Time { return now }
	return l, text, func(span time.Duration) { now = now.Add(span) }
}

func TestLinesOfASecondAreBounded(t *testing.T) {
	l, text, advance := newLog()
	for i := range 100 {
		l.Record(RequestRejected, "no time left", slog.String("request", fmt.Sprint("r", i)))
	}
	assert.Equal(t, maxLinesPerSecond, strings.Count(text.String(), "msg=\"request rejected\""))
	assert.Contains(t, text.String(), `request=r1 reason="no time left" times=2`)

	advance(time.Second)
	l.Flush()
	assert.Contains(t, text.String(), `msg=events "request rejected: no time left"=100`)
	text.Reset()
	advance(time.Second)
	l.Flush()
	assert.Empty(t, text.String(), "the totals were logged again without new events")
	l.Record(RequestRejected, "no time left")
	assert.Contains(t, text.String(), "times=101")
	assert.EqualValues(t, 101, l.Times(RequestRejected, "no time left"))
	assert.Zero(t, l.Times(RequestRejected, "no memory left"))
}

// A wall clock that is set back must not stop the logging until it reaches the old time again.
func TestClockThatStepsBack(t *testing.T) {
	l, text, advance := newLog()
	for range 10 {
		l.Record(RequestAborted, "deadline")
	}
	advance(-time.Hour)
	text.Reset()
	l.Record(RequestAborted, "deadline")
	assert.Contains(t, text.String(), "times=11")
}

func TestLevels(t *testing.T) {
	l, text, _ := newLog()
	l.Record(RunOverdue, "not reported to have ended")
	l.Record(ConnectionClosed, "idle")
	assert.Contains(t, text.String(), `level=WARN msg="run overdue"`)
	assert.Contains(t, text.String(), `level=INFO msg="connection closed"`)
}

func TestPairsAreBounded(t *testing.T) {
	l, _, _ := newLog()
	for i := range 10 * maxCounters {
		l.Record(RequestRejected, fmt.Sprint(i))
	}
	assert.LessOrEqual(t, len(l.counters), maxCounters+1)
	assert.EqualValues(t, 9*maxCounters, l.Times(RequestRejected, ""))
}
