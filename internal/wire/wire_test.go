package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// frame decodes lines of hex. A line that starts with "event|" or "action|" is padded with zeros to the size of such a
// record.
func frame(t *testing.T, lines ...string) []byte {
	var all []byte
	for _, line := range lines {
		size, text, padded := strings.Cut(line, "|")
		if !padded {
			size, text = "", line
		}
		b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
		require.NoError(t, err)
		switch size {
		case "event":
			b = append(b, make([]byte, eventBytes-len(b))...)
		case "action":
			b = append(b, make([]byte, actionBytes-len(b))...)
		}
		all = append(all, b...)
	}
	return all
}

func readBatch(b []byte) (Batch, error) {
	var batch Batch
	err := batch.Read(bufio.NewReader(bytes.NewReader(b)))
	return batch, err
}

func TestBatchWithRecords(t *testing.T) {
	batch, err := readBatch(frame(t, "5a5c800000000000 c4000000 03000000",
		"event|14 0300 c4913a5d03100e00 0000c441 0100 640ad2557c3bf091 da05840000000000 00000000 0000203f"+
			"192b6f0e08920500 11000000 e02e0000 00 3a070000",
		"event|50 0300 4d000000 04 52b81e3f 00004040 85ebd13e 0000f042",
		"event|46 0500 192b6f0e08920500"))
	require.NoError(t, err)
	assert.Equal(t, 0x805c5a*time.Microsecond, batch.Clock)
	require.Equal(t, 3, batch.Records)
	r := batch.Record(0)
	assert.Equal(t, EventArrive, r.Code())
	assert.Equal(t, uint16(3), r.Server())
	assert.Equal(t, 24.5, r.f32(11))
	assert.Equal(t, uint32(0x073a), r.u32(58))
	assert.Equal(t, uint64(0x000592080e6f2b19), batch.Record(2).RequestID())
	assert.Equal(t, Arrival{
		RequestID: 0x000e10035d3a91c4, QueuedKB: 24.5, Deadline: 0x8405da * time.Microsecond, Rank: 0.625, Duplicate: true, Router: 17,
		CostHint: 12 * time.Millisecond, Age: 1850 * time.Microsecond,
	}, r.Arrival())
}

func TestReplies(t *testing.T) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	var reply Reply
	require.NoError(t, reply.Flush(w))
	assert.Equal(t, frame(t, "04000000 00000000"), out.Bytes())

	out.Reset()
	reply.AddRequest(ActionStart, 3, 0x000e10035d3a91c4)
	a := reply.add(ActionWakeAfter, 3)
	a.putU32(3, 500000)
	a.putU32(7, 77)
	reply.AddLog(5, "two servers known")
	require.NoError(t, reply.Flush(w))
	assert.Equal(t, frame(t, "45000000 03000000", "action|0a 0300 c4913a5d03100e00",
		"action|82 0300 20a10700 4d000000", "action|8c 0500 00000000 11000000",
		"74776f2073657276657273206b6e6f776e"), out.Bytes())
}

func TestBadBatches(t *testing.T) {
	cases := []struct{ name, hex, want string }{
		{"cut header", "5a5c80", "header: frame cut short"},
		{"cut body", "5a5c800000000000 44000000 01000000 1403", "body: frame cut short"},
		{"too many records", "5a5c800000000000 44000000 02000000", "can't hold 2 records"},
		{"size below that of the count", "5a5c800000000000 00000000 00000000", "can't hold 0 records"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readBatch(frame(t, c.hex))
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := readBatch(nil)
	assert.Equal(t, io.EOF, err, "the end between frames is not an error")
	empty, err := readBatch(frame(t, "5a5c800000000000 04000000 00000000"))
	require.NoError(t, err)
	_, err = empty.text(0, 1)
	assert.ErrorContains(t, err, "outside the tail")
}
