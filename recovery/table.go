package recovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RecordKind says what a record tells of a number.
type RecordKind uint8

// The kinds. A number that has begun and not ended may have had its effect.
const (
	KeyStarted  RecordKind = 1
	KeyFinished RecordKind = 2
)

// Record is one thing that became of a numbered task. Each stands by itself: it holds all that is known of the number.
type Record struct {
	Sequence  uint64        `cbor:"-" json:"seq"`
	Kind      RecordKind    `cbor:"1,keyasint" json:"kind"`
	Key       string        `cbor:"2,keyasint" json:"key"`             // type and number
	Shape     uint64        `cbor:"3,keyasint,omitempty" json:"shape"` // of what was asked
	Elapsed   time.Duration `cbor:"4,keyasint" json:"at"`              // since the moment of its file
	Remaining time.Duration `cbor:"5,keyasint" json:"left"`            // of its window, at that time
	Served    bool          `cbor:"6,keyasint,omitempty" json:"honoured"`
	Result    []byte        `cbor:"7,keyasint,omitempty" json:"result,omitempty"`
}

// KeyEntry is what is known of a numbered task. What is not honoured is given up on when it is asked again, and not
// run: it has begun, so it may have had its effect.
type KeyEntry struct {
	Key       string
	Shape     uint64
	ExpiresAt time.Duration // end of its window, by the clock of the boot
	Served    bool
	Result    []byte
}

const entryOverheadBytes = 64 // of a number beside its key and result, with its frame; the most that they take on disk

// KeyTable is the table of numbers as the records make it.
type KeyTable struct {
	entries   map[string]KeyEntry
	sizeBytes int
}

// NewKeyTable makes an empty one.
func NewKeyTable() *KeyTable { return &KeyTable{entries: map[string]KeyEntry{}} }

// Put has a number stand as told, in the place of what stood there.
func (t *KeyTable) Put(n KeyEntry) {
	t.remove(n.Key)
	t.entries[n.Key] = n
	t.sizeBytes += entryOverheadBytes + len(n.Key) + len(n.Result)
}

func (t *KeyTable) remove(key string) {
	if old, known := t.entries[key]; known {
		t.sizeBytes -= entryOverheadBytes + len(old.Key) + len(old.Result)
		delete(t.entries, key)
	}
}

// Get gives a number.
func (t *KeyTable) Get(key string) (n KeyEntry, known bool) {
	n, known = t.entries[key]
	return n, known
}

// Expire drops the numbers whose window is over.
func (t *KeyTable) Expire(now time.Duration) {
	for key, n := range t.entries { // each by itself
		if n.ExpiresAt <= now {
			t.remove(key)
		}
	}
}

// Len is the number of numbers, Bytes about what they take.
func (t *KeyTable) Len() int { return len(t.entries) }

// SizeBytes is about what the numbers take, on disk or in memory.
func (t *KeyTable) SizeBytes() int { return t.sizeBytes }

// Entries are the numbers, by key.
func (t *KeyTable) Entries() []KeyEntry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b KeyEntry) int { return cmp.Compare(a.Key, b.Key) })
}

// apply takes a record whose file began at a moment that was at least so long ago. unsure records may stand behind
// others that are lost: they tell that a number has begun, and no more.
func (t *KeyTable) apply(r Record, ago, now time.Duration, unsure bool) {
	// Where clocks don't tell, nothing of the window is taken as over: a number is then known for longer than it was
	// promised, and never for shorter.
	left := min(r.Remaining, r.Remaining-(ago-r.Elapsed))
	n := KeyEntry{Key: r.Key, Shape: r.Shape, ExpiresAt: now + left}
	if r.Kind == KeyFinished && !unsure {
		n.Served, n.Result = r.Served, r.Result
	}
	t.Put(n)
}
