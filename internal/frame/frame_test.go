package frame

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func concat(parts ...string) []byte {
	var all []byte
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

var (
	request = concat("\x00\x00\x00\x12\x0a\x00\x00\x00\x07", "\x01\x02op\x00\x05pay-x", "\x00body"[1:3])
	check   = concat("\x00\x00\x00\x06\x14\x00\x00\x00\x01", "\x00")
)

func TestParseSplitAtEveryByte(t *testing.T) {
	both := append(append([]byte(nil), request...), check...)
	for at := range both {
		var got []Frame
		var unread []byte
		for _, part := range [][]byte{both[:at], both[at:]} {
			unread = append(unread, part...)
			for {
				f, rest, ok, err := Parse(unread)
				require.NoError(t, err, "cut at %d", at)
				if !ok {
					assert.Equal(t, unread, rest)
					break
				}
				got, unread = append(got, f), rest
			}
		}
		require.Len(t, got, 2, "cut at %d", at)
		assert.Equal(t, uint32(7), got[0].Stream)
		fields, body, err := SplitPayload(got[0].Payload)
		require.NoError(t, err)
		op, _ := fields.Get("op")
		assert.Equal(t, "pay-x", string(op))
		assert.Equal(t, "bo", string(body))
		assert.Equal(t, byte(HealthCheck), got[1].Type)
		assert.Empty(t, unread)
	}
}

func TestParseInvalidFrames(t *testing.T) {
	cases := []struct {
		name, read string
		want       error
	}{
		{"shorter than a head", "\x00\x00\x00\x04\x0a", errLength},
		{"longer than any frame", "\x00\x04\x00\x01", errLength},
		{"an answer sent by a router", "\x00\x00\x00\x06\x0b\x00\x00\x00\x01\x00", ErrUnknownType},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, rest, ok, err := Parse([]byte(c.read))
			assert.ErrorIs(t, err, c.want)
			assert.False(t, ok)
			assert.Equal(t, c.read, string(rest))
		})
	}
}

func TestParseSkipsLongFrames(t *testing.T) {
	f, rest, ok, err := Parse([]byte("\x00\x03\x00\x00\x0a\x00\x00\x00\x09abc"))
	require.NoError(t, err)
	assert.True(t, ok)
	assert.Equal(t, uint32(9), f.Stream)
	assert.Equal(t, 0x30000-5, f.SkipBytes)
	assert.Equal(t, "abc", string(rest))
}

func TestSplitPayloadRejectsIncompleteFields(t *testing.T) {
	for _, payload := range []string{"", "\x01", "\x01\x02o", "\x01\x02op", "\x01\x02op\x00\x05four", "\x02\x02op\x00\x00"} {
		_, _, err := SplitPayload([]byte(payload))
		assert.ErrorIs(t, err, errFields, "%q", payload)
	}
}

func TestGet(t *testing.T) {
	fields, _, err := SplitPayload([]byte("\x03\x01a\x00\x011\x01a\x00\x012\x00\x00\x00rest"))
	require.NoError(t, err)
	first, found := fields.Get("a")
	assert.Equal(t, "1", string(first))
	assert.True(t, found)
	_, found = fields.Get("b")
	assert.False(t, found)
}

func TestAppendHead(t *testing.T) {
	got := AppendHead([]byte("x"), Answer, 258, Rejected, []Field{{"load", "0.2"}, {"stop", "1"}}, 3)
	assert.Equal(t, "x\x00\x00\x00\x1c\x0b\x00\x00\x01\x02\x32\x02\x04load\x00\x030.2\x04stop\x00\x011", string(got))
	assert.Equal(t, "\x00\x00\x00\x05\x1e\x00\x00\x00\x00", string(AppendHead(nil, GoAway, 0, 0, nil, 0)))
}

func FuzzParse(f *testing.F) {
	f.Add(request)
	f.Add(check)
	f.Add([]byte("\x00\x03\x00\x00\x0a\x00\x00\x00\x09abc"))
	f.Fuzz(func(t *testing.T, input []byte) {
		got, rest, ok, err := Parse(input)
		if !ok || err != nil {
			assert.True(t, bytes.Equal(input, rest), "input was consumed without a complete frame")
			return
		}
		assert.Less(t, len(rest), len(input))
		if fields, body, err := SplitPayload(got.Payload); err == nil {
			assert.Equal(t, len(got.Payload), len(fields)+len(body))
			fields.Get("op")
		}
	})
}
