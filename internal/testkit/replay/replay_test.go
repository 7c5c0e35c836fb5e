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

// tally is what a stream held, by the letters of its records and decisions.
type tally struct {
	rounds, decisions int
	letters           map[byte]int
}

// replay has the decisions of this version take what a stream tells, and compares each answer with the recorded one. The
// error tells of the first difference.
func replay(raw []byte) (n tally, err error) {
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
	same := func(what string, recorded, now any) {
		if err == nil && r.err == nil && !reflect.DeepEqual(recorded, now) {
			err = fmt.Errorf("round %d of the moment %d: %s\nrecorded %+v\nnow      %+v", n.rounds, r.now, what, recorded, now)
		}
	}
	stated := 0
	var read []func(now time.Duration) request
	for len(r.raw) > 0 && r.err == nil && err == nil {
		tag := r.byte()
		n.letters[tag]++
		switch tag {
		case 'R':
			if stated++; stated > len(s.routes) {
				return n, fmt.Errorf("route %d is not stated by the settings", stated)
			}
			same("a route of the settings", r.route(), s.stated(stated))
		case 'p':
			s.put(r.count(), r.route())
		case 'x':
			s.remove(r.count())
		case 't':
			s.putTenant(r.count(), r.float(), r.flag())
		case 'T':
			place := r.count()
			same("a tenant's rate", r.exact(), s.tenantRate(place))
		case 'w':
			s.setWaits(r.count(), r.span())
		case 's':
			err = s.move(r.text(), r.text())
		case 'f':
			now := s.frame(r.u64(), r.flag())
			same("a frame of views", r.frame(), now)
		case 'l':
			now := s.learned(r.now+r.span(), r.u64(), r.u64())
			same("a view", r.view(), now)
		case 'b':
			s.borrow(r.now+r.span(), r.view())
		case 'o':
			now := s.books(r.now + r.span())
			same("the books", r.books(), now)
		case 'q':
			read = append(read, r.request())
		case 'r':
			told := r.round()
			for _, q := range read {
				s.know(q(told.now))
			}
			read = read[:0]
			recorded := r.decisions()
			if r.err != nil {
				return n, r.err
			}
			n.rounds++
			now := s.decide(told)
			for i, d := range recorded {
				n.letters[d.what]++
				n.decisions++
				if i >= len(now) || now[i] != d {
					same(fmt.Sprintf("decision %d of %+v", i, told), recorded, now)
					break
				}
			}
			if len(now) != len(recorded) {
				same(fmt.Sprintf("decisions of %+v", told), recorded, now)
			}
		default:
			return n, fmt.Errorf("a record of the kind %q", tag)
		}
	}
	if r.err != nil {
		return n, r.err
	}
	if err == nil && stated != len(s.routes)-n.letters['p'] {
		err = fmt.Errorf("%d routes recorded, %d in the settings", stated, len(s.routes)-n.letters['p'])
	}
	return n, err
}

// recordings are the files and what they must hold.
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

// every letter that a recording may hold, and that some must.
const letters = "RpxtTwsflboqr" + "SPDGAMFCKHLIWN"

// The decisions are those of the recorded code, in their order and to the last bit.
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
	if ran == len(recordings) { // and none left out on the command line
		for _, letter := range []byte(letters) {
			assert.Positive(t, seen[letter], "nothing of the kind %c is recorded", letter)
		}
		assert.GreaterOrEqual(t, total, 100_000)
	}
}

// The comparison sees a recording that is cut, and an answer that is another by its last bit.
func TestOtherAnswersAreSeen(t *testing.T) {
	all, err := readFile(filepath.Join("testdata", "f1daac1", "server-sample.gz"))
	require.NoError(t, err)
	raw := all[0].raw
	_, err = replay(raw[:len(raw)-1])
	require.ErrorIs(t, err, errCut)

	wake := append([]byte{'W'}, binary.AppendVarint(nil, int64(25*time.Millisecond))...)
	at := bytes.LastIndex(raw, wake)
	require.Positive(t, at)
	other := bytes.Clone(raw)
	other[at+1] ^= 2 // a nanosecond
	_, err = replay(other)
	assert.ErrorContains(t, err, "decision 0 of")

	level := binary.LittleEndian.AppendUint64([]byte{'L'}, uint64(bits(0.02)))
	at = bytes.LastIndex(raw, level)
	require.Positive(t, at)
	other = bytes.Clone(raw)
	other[at+1] ^= 1
	_, err = replay(other)
	assert.ErrorContains(t, err, "value=0.02(3f947ae147ae147b)")
}
