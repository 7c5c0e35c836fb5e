package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// The folders below testdata were written by the program of f1daac1, killed while it served; state-torn has lost the last
// five bytes of its log.

// copyStoredDir is a folder of testdata, copied to where it may be changed.
func copyStoredDir(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "f1daac1", name))))
	return dir
}

// copyStoredState is a state directory of testdata as another machine would have written it: there windows count in full,
// whenever the test runs. On the recording machine they run out an hour after the recording, as long as it is not booted anew.
func copyStoredState(t *testing.T, name string) string {
	t.Helper()
	dir := copyStoredDir(t, name)
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		moveToAnotherMachine(t, raw)
		require.NoError(t, os.WriteFile(file, raw, 0o600))
	}
	return dir
}

// moveToAnotherMachine changes the boot and the machine in a state file's header, the first frame: 2 bytes of magic, and, as
// little-endian integers, the length of the payload, its checksum and a sequence number of 0; then the payload. The checksum
// is over the id that other frames have (0 here), the sequence number and the length as well.
func moveToAnotherMachine(t *testing.T, raw []byte) {
	t.Helper()
	const frameHead = 18
	size := binary.LittleEndian.Uint32(raw[2:])
	payload := raw[frameHead : frameHead+int(size)]
	checksum := func() uint32 {
		covered := make([]byte, 16)
		covered = binary.LittleEndian.AppendUint32(covered, size)
		return crc32.Checksum(append(covered, payload...), crc32.MakeTable(crc32.Castagnoli))
	}
	require.Equal(t, binary.LittleEndian.Uint32(raw[6:]), checksum(), "the format is as it was")
	boot := bytes.Index(payload, []byte("1e938500-a2e7-4dc6-a0dc-9e7d376168c3"))
	require.Positive(t, boot)
	copy(payload[boot:], "00000000")
	machine := bytes.Index(payload, binary.BigEndian.AppendUint64(nil, 6822207236119524394))
	require.Positive(t, machine)
	payload[machine] ^= 1
	binary.LittleEndian.PutUint32(raw[6:], checksum())
}

// launchStored starts the program with the settings that the recorded one had.
func launchStored(t *testing.T, own string) *harness.Daemon {
	t.Helper()
	site, err := os.ReadFile(filepath.Join("testdata", "f1daac1", "settings.json"))
	require.NoError(t, err)
	machine := harness.Machine{Cores: 4, Speed: 1, MemoryKB: 64000}
	d, err := harness.Launch(builds["release"], []string{"serve"}, t.TempDir(), "n1", machine, own,
		func(listen, pool, members string) ([]byte, error) {
			return fmt.Appendf(nil, `{"name":"n1","listen":%q,"pool":%q,"members":%q,"seed":"5eed","stop_ms":3000,`+
				`"limits":{"cores":1.0,"memory_mb":128,"sockets":512},"settings":%s}`, listen, pool, members, site), nil
		})
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Stop() })
	return d
}

// sendStored sends a request and gives the code and the result of its answer. work is what its run takes; a repeat asks
// for the same.
func sendStored(t *testing.T, d *harness.Daemon, route, tenant, key string, work time.Duration) (code byte, result string) {
	t.Helper()
	link, err := net.Dial("tcp", d.Address)
	require.NoError(t, err)
	defer func() { _ = link.Close() }()
	require.NoError(t, link.SetDeadline(time.Now().Add(30*time.Second)))
	now := time.Now()
	fields := []string{
		"op", route, "call", fmt.Sprintf("%016x", uint64(now.UnixNano())), "recv", strconv.FormatInt(now.UnixMilli(), 10), "src", "1",
		"ttl", "25000", "heap", "20.0", "crit", "0.9",
	}
	if key != "" {
		fields = append(fields, "org", tenant, "dedupe", key)
	}
	_, err = link.Write(harness.Frame(10, 1, string(binary.BigEndian.AppendUint64(nil, uint64(work.Microseconds()))), fields...))
	require.NoError(t, err)
	for {
		reply, err := harness.ReadReply(link)
		require.NoError(t, err)
		if reply.Type == 11 {
			return reply.Code, reply.Body
		}
	}
}

const (
	storedServed   = 20
	storedRejected = 50
	storedAborted  = 51
)

// Repeats of requests that the recorded program had run are answered from its folder and run nowhere; one that it had
// begun and not ended is given up on, and not run; what it did not know is run.
func TestContinuesFromAStoredState(t *testing.T) {
	for _, name := range []string{"state", "state-torn"} {
		t.Run(name, func(t *testing.T) {
			d := launchStored(t, fmt.Sprintf("[state]\ndir = %q\nsite = \"here\"\nnumbers = true\n", copyStoredState(t, name)))
			known, unknown := 6, 2
			if name == "state-torn" { // the beginning of the last request is not in it
				known, unknown = 5, 1
			}
			assert.Contains(t, d.Log(), fmt.Sprintf("keys=%d unserved_keys=%d", known, unknown))
			for _, request := range [][2]string{{"north", "k1"}, {"north", "k2"}, {"north", "k3"}, {"south", "k1"}} {
				code, result := sendStored(t, d, "charge", request[0], request[1], 20*time.Millisecond)
				assert.Equal(t, []any{byte(storedServed), "done"}, []any{code, result}, request)
			}
			code, _ := sendStored(t, d, "charge", "north", "hangs", 20*time.Second)
			assert.Equal(t, byte(storedAborted), code, "begun, and its end is not known")
			code, _ = sendStored(t, d, "charge", "north", "k1", 30*time.Millisecond)
			assert.Equal(t, byte(storedAborted), code, "the key of a request that asks for something else")
			if unknown == 2 {
				code, _ = sendStored(t, d, "charge", "south", "hangs", 20*time.Second)
				assert.Equal(t, byte(storedAborted), code)
			}
			assert.Empty(t, d.Workers.RunStarts(), "nothing of it has run here")
			for _, request := range [][2]string{{"south", "k2"}, {"north", "new"}} {
				code, result := sendStored(t, d, "charge", request[0], request[1], 20*time.Millisecond)
				assert.Equal(t, []any{byte(storedServed), "done"}, []any{code, result}, request)
			}
			assert.Len(t, d.Workers.RunStarts(), 2)
		})
	}
}

// A server that can't reach the configuration service serves by the configuration that the recorded program had kept: its
// routes, and none of those that the platform's configuration states.
func TestServesWithAStoredConfiguration(t *testing.T) {
	nobody, err := harness.FreeAddress()
	require.NoError(t, err)
	d := launchStored(t, fmt.Sprintf("[configuration]\nname = \"app\"\ndir = %q\n[[configuration.machine]]\naddress = %q\n",
		copyStoredDir(t, "configuration"), nobody))
	assert.True(t, strings.Contains(d.Log(), `msg="configuration: stored version in force" version=4 age=`) &&
		strings.Contains(d.Log(), "routes=4 tenants=2"), d.Log())
	for _, c := range []struct {
		route, key string
		code       byte
		runs       int // so far
	}{
		{"base", "", storedServed, 1},
		{"order", "", storedServed, 2},
		{"charge", "k1", storedServed, 3},
		{"charge", "k1", storedServed, 3}, // a repeat
		{"charge", "", storedRejected, 3}, // it needs a key
		{"calls", "", storedRejected, 3},  // there is no dependency
		{"gone", "", storedRejected, 3},
		{"look-up", "", storedRejected, 3}, // the platform's
	} {
		code, _ := sendStored(t, d, c.route, "north", c.key, 5*time.Millisecond)
		assert.Equal(t, c.code, code, c)
		assert.Len(t, d.Workers.RunStarts(), c.runs, c)
	}
}
