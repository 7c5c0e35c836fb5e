package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/wire"
)

const settingLines = `extra.cores=2
extra.ram-kb=1000.0
extra.gauges=core_use,on_cores,heap_share,links
extra.calls-by-class=true
extra.class-skip-worth=0.5
obligations.overload-factor=4.0
services.count=1
services.0.goal-time=2000000
services.0.deadline=5000000
services.0.idempotency=dedup
services.0.dedup-window=9000000
tenants=
unheard.of=1
`

type event struct {
	code   wire.EventCode
	server uint16
	set    func(r []byte)
}

func batch(events ...event) []byte {
	body := []byte{}
	for _, e := range events {
		r := make([]byte, 64)
		r[0] = byte(e.code)
		binary.LittleEndian.PutUint16(r[1:], e.server)
		if e.code == wire.EventConfigure {
			binary.LittleEndian.PutUint32(r[15:], uint32(len(settingLines)))
		}
		if e.set != nil {
			e.set(r)
		}
		body = append(body, r...)
	}
	body = append(body, settingLines...)
	header := binary.LittleEndian.AppendUint64(nil, 1_000_000)
	header = binary.LittleEndian.AppendUint32(header, uint32(4+len(body)))
	header = binary.LittleEndian.AppendUint32(header, uint32(len(events)))
	return append(header, body...)
}

// withRequestID returns a function that sets a record's request id and, if field is given, the eight bytes at the offset
// field[0] to the value field[1].
func withRequestID(id uint64, field ...uint64) func([]byte) {
	return func(r []byte) {
		binary.LittleEndian.PutUint64(r[3:], id)
		if len(field) == 2 {
			binary.LittleEndian.PutUint64(r[field[0]:], field[1])
		}
	}
}

// actionCodes serves frames, and returns the codes of the actions in each reply.
func actionCodes(t *testing.T, frames ...[]byte) (all [][]wire.ActionCode, err error) {
	var out bytes.Buffer
	err = serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	for b := out.Bytes(); len(b) > 0; {
		require.GreaterOrEqual(t, len(b), 8)
		size, count := binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
		var codes []wire.ActionCode
		for i := range count {
			codes = append(codes, wire.ActionCode(b[8+16*i]))
		}
		all, b = append(all, codes), b[4+size:]
	}
	return all, err
}

func TestServe(t *testing.T) {
	configure := event{wire.EventConfigure, 7, nil}
	all, err := actionCodes(t,
		batch(),
		batch(configure),
		batch(event{wire.EventArrive, 7, withRequestID(1)}),
		batch(event{wire.EventArrive, 7, withRequestID(2, 41, 1)}, event{wire.EventAwaitCall, 7, withRequestID(1)}),
		batch(event{wire.EventCallEnd, 7, withRequestID(1)}, event{wire.EventRunEnd, 7, withRequestID(1)},
			event{wire.EventCancel, 7, withRequestID(9)}),
		batch(event{wire.EventServerDown, 7, nil}, configure),
		batch(event{wire.EventGauges, 7, func(r []byte) { r[7] = 4 }}),
	)
	require.NoError(t, err)
	assert.Equal(t, [][]wire.ActionCode{
		nil, {wire.ActionSetHealth, wire.ActionWakeAfter}, {wire.ActionRememberKey, wire.ActionStart}, {wire.ActionAnswerFromOriginal, wire.ActionCall}, nil,
		{wire.ActionSetHealth, wire.ActionWakeAfter}, {wire.ActionWakeAfter},
	}, all)
}

// A server that keeps requests forever grows without bound. After all deadlines it must keep only those whose runs have
// not ended.
func TestRequestsThatAreOverAreForgotten(t *testing.T) {
	h := newHost()
	s, err := newServer(1, 1, settingLines, &h.reply)
	require.NoError(t, err)
	s.round.Now = time.Second
	for id := range uint64(50) {
		r := make(wire.Record, 64)
		withRequestID(id)(r)
		require.NoError(t, s.arrive(r.Arrival()))
	}
	s.decide()
	s.round.Now = 10 * time.Second
	s.decide()
	for id, tracked := range s.requests {
		assert.True(t, tracked.running && tracked.answered, "request %d", id)
	}
	assert.Len(t, s.requestIDs, len(s.requests))
	assert.Less(t, len(s.requests), 10)
}

func TestBadInput(t *testing.T) {
	configure := event{wire.EventConfigure, 7, nil}
	cases := []struct {
		name   string
		frames [][]byte
		want   string
	}{
		{"short", [][]byte{batch()[:5]}, "batch 0: header: frame cut short"},
		{"unknown code", [][]byte{batch(configure), batch(event{99, 7, nil})},
			"batch 1, record 0: unknown event code 99"},
		{"never configured", [][]byte{batch(event{wire.EventGauges, 4, nil})}, "record 0: event 80 for server 4"},
		{"outside the tail", [][]byte{batch(event{wire.EventConfigure, 7, func(r []byte) { r[14] = 1 }})},
			"outside the tail"},
		{"repeated id", [][]byte{batch(configure, event{wire.EventArrive, 7, withRequestID(1)}, event{wire.EventArrive, 7, withRequestID(1)})},
			"record 2: request id 1 arrived twice"},
		{"unknown route", [][]byte{batch(configure, event{wire.EventArrive, 7, withRequestID(1, 56, 3<<8)})}, "request names route 3 of 1"},
		{"unknown outcome", [][]byte{batch(configure, event{wire.EventArrive, 7, withRequestID(1)},
			event{wire.EventRunEnd, 7, withRequestID(1, 11, 7)})}, "unknown outcome 7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := actionCodes(t, c.frames...)
			assert.ErrorContains(t, err, c.want)
			assert.False(t, strings.Contains(err.Error(), "\n"))
		})
	}
}
