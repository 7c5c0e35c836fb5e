package replay_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// streamCounts counts the rounds and decisions of a stream, and by letter its records and decisions.
type streamCounts struct {
	rounds, decisions int
	letters           map[byte]int
}

// replay passes the recorded inputs of a stream to the controller of this version, and compares each output with the
// recorded one. The error describes the first difference.
func replay(raw []byte) (n streamCounts, err error) {
	n.letters = map[byte]int{}
	r := &reader{raw: raw}
	h := r.header()
	if r.err != nil {
		return n, r.err
	}
	s, err := start(h.Settings, h.Seed)
	if err != nil {
		return n, err
	}
	compare := func(what string, recorded, got any) {
		if err == nil && r.err == nil && !reflect.DeepEqual(recorded, got) {
			err = fmt.Errorf("round %d at time %d: %s\nrecorded %+v\nnow      %+v", n.rounds, r.now, what, recorded, got)
		}
	}
	configured := 0
	var arrivals []func(now time.Duration) request
	duplicates := newDrainDuplicates()
	for len(r.raw) > 0 && r.err == nil && err == nil {
		kind := r.byte()
		n.letters[kind]++
		switch kind {
		case 'R':
			if configured++; configured > len(s.routes) {
				return n, fmt.Errorf("route %d is not in the settings", configured)
			}
			compare("route of the settings", r.route(), s.configuredRoute(configured))
		case 'p':
			s.putRoute(r.count(), r.route())
		case 'x':
			s.removeRoute(r.count())
		case 't':
			s.putTenant(r.count(), r.float(), r.flag())
		case 'T':
			index := r.count()
			compare("tenant's quota", r.exact(), s.tenantQuota(index))
		case 'w':
			s.setCallWait(r.count(), r.duration())
		case 's':
			err = s.changeSetting(r.text(), r.text())
		case 'f':
			got := s.schema(r.u64(), r.flag())
			compare("schema of snapshots", r.schema(), got)
		case 'l':
			got := s.snapshot(r.now+r.duration(), r.u64(), r.u64())
			compare("snapshot", r.snapshot(), got)
		case 'b':
			s.usePeerEstimates(r.now+r.duration(), r.snapshot())
		case 'o':
			got := s.occupancy(r.now + r.duration())
			compare("occupancy", duplicates.expected(r.occupancy(), got, s.queuedKB), got)
		case 'q':
			arrivals = append(arrivals, r.request())
		case 'r':
			input := r.round()
			for _, q := range arrivals {
				s.addRequest(q(input.now))
			}
			arrivals = arrivals[:0]
			recorded := r.decisions()
			if r.err != nil {
				return n, r.err
			}
			n.rounds++
			for _, d := range recorded {
				n.letters[d.kind]++
				n.decisions++
			}
			duplicates.begin(input, s.isDuplicate)
			got := s.decide(input)
			if recorded, got, err = duplicates.end(input, recorded, got); err != nil {
				return n, err
			}
			for i, d := range recorded {
				if i >= len(got) || got[i] != d {
					compare(fmt.Sprintf("decision %d of %+v", i, input), recorded, got)
					break
				}
			}
			if len(got) != len(recorded) {
				compare(fmt.Sprintf("decisions of %+v", input), recorded, got)
			}
		default:
			return n, fmt.Errorf("unknown kind of record %q", kind)
		}
	}
	if r.err != nil {
		return n, r.err
	}
	if err == nil && configured != len(s.routes)-n.letters['p'] {
		err = fmt.Errorf("%d routes recorded, %d in the settings", configured, len(s.routes)-n.letters['p'])
	}
	return n, err
}

// recordings lists the recording files, with the numbers of streams, rounds and decisions that each must contain.
var recordings = []struct {
	file                       string
	streams, rounds, decisions int
}{
	{"drawn.gz", 39, 53200, 49377},
	{"emulated-calls.gz", 2, 20905, 14160},
	{"emulated-composed.gz", 2, 15225, 11139},
	{"emulated-deploy.gz", 9, 11799, 8945},
	{"server-abort.gz", 1, 8109, 10125},
	{"server-calls.gz", 1, 10257, 10155},
	{"server-daemon-cold.gz", 2, 9187, 5968},
	{"server-daemon-sample.gz", 2, 10212, 6748},
	{"server-library.gz", 1, 12102, 8298},
	{"server-loose.gz", 1, 6348, 5605},
	{"server-moving-2.gz", 1, 9098, 6961},
	{"server-moving.gz", 1, 10190, 6798},
	{"server-sample.gz", 1, 11726, 8047},
	{"server-scarce.gz", 1, 11365, 7649},
	{"server-tight.gz", 1, 5295, 4620},
	{"tests-conformance.gz", 21, 2830, 2323},
	{"tests-program.gz", 447, 33258, 50416},
	{"tests-server.gz", 52, 4842, 2879},
}

// letters contains every letter of records and decisions. Each must occur in some recording.
const letters = "RpxtTwsflboqr" + "SPDGAMFCKHLIWN"

// TestDecisionsAreAsRecorded checks that the decisions are those of the recorded code, in the same order and equal to
// the last bit.
func TestDecisionsAreAsRecorded(t *testing.T) {
	seen := map[byte]int{}
	total, ran := 0, 0
	for _, want := range recordings {
		t.Run(want.file, func(t *testing.T) {
			all, err := readFile(filepath.Join("testdata", "f1daac1", want.file))
			require.NoError(t, err)
			rounds, decisions := 0, 0
			for _, s := range all {
				n, err := replay(s.raw)
				require.NoError(t, err, s.name)
				rounds += n.rounds
				decisions += n.decisions
				for letter, times := range n.letters {
					seen[letter] += times
				}
			}
			assert.Equal(t, []int{want.streams, want.rounds, want.decisions}, []int{len(all), rounds, decisions})
			total += rounds
			ran++
		})
	}
	if ran == len(recordings) { // no file was excluded on the command line
		for _, letter := range []byte(letters) {
			assert.Positive(t, seen[letter], "no recording contains the kind %c", letter)
		}
		assert.GreaterOrEqual(t, total, 100_000)
	}
}

// TestOtherAnswersAreSeen checks that the comparison detects a truncated recording, and an output that differs in its
// last bit.
func TestOtherAnswersAreSeen(t *testing.T) {
	all, err := readFile(filepath.Join("testdata", "f1daac1", "server-sample.gz"))
	require.NoError(t, err)
	raw := all[0].raw
	_, err = replay(raw[:len(raw)-1])
	require.ErrorIs(t, err, errTruncated)

	wakeRecord := append([]byte{'W'}, binary.AppendVarint(nil, int64(25*time.Millisecond))...)
	at := bytes.LastIndex(raw, wakeRecord)
	require.Positive(t, at)
	modified := bytes.Clone(raw)
	modified[at+1] ^= 2 // by a nanosecond
	_, err = replay(modified)
	assert.ErrorContains(t, err, "decision 0 of")

	levelRecord := binary.LittleEndian.AppendUint64([]byte{'L'}, uint64(bits(0.02)))
	at = bytes.LastIndex(raw, levelRecord)
	require.Positive(t, at)
	modified = bytes.Clone(raw)
	modified[at+1] ^= 1
	_, err = replay(modified)
	assert.ErrorContains(t, err, "value=0.02(3f947ae147ae147b)")
}
