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

// The directories in testdata were written by the program of commit f1daac1, which was killed while it served.
// state-torn has lost the last five bytes of its log.

// copyStoredDir copies a directory of testdata to a temporary directory, where the test may change it, and returns the
// copy's path.
func copyStoredDir(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "f1daac1", name))))
	return dir
}

// copyStoredState copies a state directory of testdata, and changes it as if another machine had written it. Dedup
// windows then count in full whenever the test runs. On the recording machine they end an hour after the recording,
// unless it has been rebooted.
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

// moveToAnotherMachine changes the boot id and the machine id in a state file's header, which is the first frame: 2
// bytes of magic, then as little-endian integers the length of the payload, its checksum and a sequence number of 0,
// then the payload. The checksum also covers the id that other frames have (0 here), the sequence number and the
// length.
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
	require.Equal(t, binary.LittleEndian.Uint32(raw[6:]), checksum(), "the format must not have changed")
	boot := bytes.Index(payload, []byte("1e938500-a2e7-4dc6-a0dc-9e7d376168c3"))
	require.Positive(t, boot)
	copy(payload[boot:], "00000000")
	machine := bytes.Index(payload, binary.BigEndian.AppendUint64(nil, 6822207236119524394))
	require.Positive(t, machine)
	payload[machine] ^= 1
	binary.LittleEndian.PutUint32(raw[6:], checksum())
}

// launchStored starts the program with the settings of the recorded one.
func launchStored(t *testing.T, file string) *harness.Daemon {
	t.Helper()
	site, err := os.ReadFile(filepath.Join("testdata", "f1daac1", "settings.json"))
	require.NoError(t, err)
	machine := harness.Machine{Cores: 4, Speed: 1, MemoryKB: 64000}
	d, err := harness.Launch(builds["release"], []string{"serve"}, t.TempDir(), "n1", machine, file,
		func(listen, pool, members string) ([]byte, error) {
			return fmt.Appendf(nil, `{"name":"n1","listen":%q,"pool":%q,"members":%q,"seed":"5eed","stop_ms":3000,`+
				`"limits":{"cores":1.0,"memory_mb":128,"sockets":512},"settings":%s}`, listen, pool, members, site), nil
		})
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Stop() })
	return d
}

// sendStored sends a request, and returns the code and the result of its answer. work is the duration of its run; a
// repeat of a request must have the same, because a different body makes it a different request.
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

// Repeats of requests that the recorded program ran must be answered from its directory and must not run. A request
// that it had begun and not ended must be aborted, and must not run. Requests that it did not know must run.
func TestContinuesFromAStoredState(t *testing.T) {
	for _, name := range []string{"state", "state-torn"} {
		t.Run(name, func(t *testing.T) {
			d := launchStored(t, fmt.Sprintf("[state]\ndir = %q\nsite = \"here\"\nnumbers = true\n", copyStoredState(t, name)))
			keys, unserved := 6, 2
			if name == "state-torn" { // the start of the last request is not in it
				keys, unserved = 5, 1
			}
			assert.Contains(t, d.Log(), fmt.Sprintf("keys=%d unserved_keys=%d", keys, unserved))
			for _, request := range [][2]string{{"north", "k1"}, {"north", "k2"}, {"north", "k3"}, {"south", "k1"}} {
				code, result := sendStored(t, d, "charge", request[0], request[1], 20*time.Millisecond)
				assert.Equal(t, []any{byte(storedServed), "done"}, []any{code, result}, request)
			}
			code, _ := sendStored(t, d, "charge", "north", "hangs", 20*time.Second)
			assert.Equal(t, byte(storedAborted), code, "begun, with an unknown end")
			code, _ = sendStored(t, d, "charge", "north", "k1", 30*time.Millisecond)
			assert.Equal(t, byte(storedAborted), code, "the key of a different request")
			if unserved == 2 {
				code, _ = sendStored(t, d, "charge", "south", "hangs", 20*time.Second)
				assert.Equal(t, byte(storedAborted), code)
			}
			assert.Empty(t, d.Workers.RunStarts(), "nothing may have run here")
			for _, request := range [][2]string{{"south", "k2"}, {"north", "new"}} {
				code, result := sendStored(t, d, "charge", request[0], request[1], 20*time.Millisecond)
				assert.Equal(t, []any{byte(storedServed), "done"}, []any{code, result}, request)
			}
			assert.Len(t, d.Workers.RunStarts(), 2)
		})
	}
}

// A server that can't reach the configuration service must serve with the configuration that the recorded program had
// stored: with its routes, and none of those in the platform's configuration.
func TestServesWithAStoredConfiguration(t *testing.T) {
	unusedAddress, err := harness.FreeAddress()
	require.NoError(t, err)
	d := launchStored(t, fmt.Sprintf("[configuration]\nname = \"app\"\ndir = %q\n[[configuration.machine]]\naddress = %q\n",
		copyStoredDir(t, "configuration"), unusedAddress))
	assert.True(t, strings.Contains(d.Log(), `msg="configuration: stored version in force" version=4 age=`) &&
		strings.Contains(d.Log(), "routes=4 tenants=2"), d.Log())
	for _, c := range []struct {
		route, key string
		code       byte
		runs       int // in total so far
	}{
		{"base", "", storedServed, 1},
		{"order", "", storedServed, 2},
		{"charge", "k1", storedServed, 3},
		{"charge", "k1", storedServed, 3}, // a repeat
		{"charge", "", storedRejected, 3}, // the route needs a key
		{"calls", "", storedRejected, 3},  // there is no dependency
		{"gone", "", storedRejected, 3},
		{"look-up", "", storedRejected, 3}, // from the platform's configuration
	} {
		code, _ := sendStored(t, d, c.route, "north", c.key, 5*time.Millisecond)
		assert.Equal(t, c.code, code, c)
		assert.Len(t, d.Workers.RunStarts(), c.runs, c)
	}
}
