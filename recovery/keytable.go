package recovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RecordKind states what happened to the request of an idempotency key.
type RecordKind uint8

// The kinds of records. Their values are stored. A request that started and is not known to have finished may have
// taken effect.
const (
	KeyStarted  RecordKind = 1
	KeyFinished RecordKind = 2
)

// Record is one event of an idempotency key. It holds all that is known of the key, so it does not depend on other
// records.
type Record struct {
	Sequence    uint64        `cbor:"-" json:"seq"`
	Kind        RecordKind    `cbor:"1,keyasint" json:"kind"`
	Key         string        `cbor:"2,keyasint" json:"key"`             // route, a zero byte, and the client's key
	Fingerprint uint64        `cbor:"3,keyasint,omitempty" json:"shape"` // of the request's content
	Elapsed     time.Duration `cbor:"4,keyasint" json:"at"`              // from the file's CreatedAt to the record
	Remaining   time.Duration `cbor:"5,keyasint" json:"left"`            // of the dedup window, at the record's time
	Served      bool          `cbor:"6,keyasint,omitempty" json:"honoured"`
	Result      []byte        `cbor:"7,keyasint,omitempty" json:"result,omitempty"`
}

// KeyEntry holds what is known of an idempotency key. A repeat of a key that is not Served is aborted and not run: the
// original started, so it may have taken effect.
type KeyEntry struct {
	Key         string
	Fingerprint uint64        // of the request's content
	ExpiresAt   time.Duration // end of the dedup window, by the boot clock
	Served      bool          // the request is known to have been served
	Result      []byte        // of the request; valid only if Served is set
}

// entryOverheadBytes is an upper bound on an entry's size on disk without its key and result; it includes the frame.
const entryOverheadBytes = 64

// KeyTable is the table of idempotency keys. It is not safe for concurrent use.
type KeyTable struct {
	entries   map[string]KeyEntry
	sizeBytes int
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable { return &KeyTable{entries: map[string]KeyEntry{}} }

// Put stores an entry, which replaces any other with the same key.
func (t *KeyTable) Put(entry KeyEntry) {
	t.remove(entry.Key)
	t.entries[entry.Key] = entry
	t.sizeBytes += entrySize(entry)
}

func (t *KeyTable) remove(key string) {
	if old, known := t.entries[key]; known {
		t.sizeBytes -= entrySize(old)
		delete(t.entries, key)
	}
}

func entrySize(entry KeyEntry) int { return entryOverheadBytes + len(entry.Key) + len(entry.Result) }

// Get returns the entry of a key, and whether there is one.
func (t *KeyTable) Get(key string) (entry KeyEntry, known bool) {
	entry, known = t.entries[key]
	return entry, known
}

// Expire removes the entries whose window has ended. now is the boot clock.
func (t *KeyTable) Expire(now time.Duration) {
	for key, entry := range t.entries {
		if entry.ExpiresAt <= now {
			t.remove(key)
		}
	}
}

// Len returns the number of entries.
func (t *KeyTable) Len() int { return len(t.entries) }

// SizeBytes returns the approximate size of the entries, on disk or in memory.
func (t *KeyTable) SizeBytes() int { return t.sizeBytes }

// Entries returns all entries, sorted by key.
func (t *KeyTable) Entries() []KeyEntry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b KeyEntry) int { return cmp.Compare(a.Key, b.Key) })
}

// apply stores the content of a record. fileAge is the minimum time since the record's file was created. Of an
// unverified record, which may follow others that are lost, only the fact that the request started is used.
func (t *KeyTable) apply(r Record, fileAge, now time.Duration, unverified bool) {
	// The window is shortened only by the time that the clocks prove to have passed: a key may be kept for longer than
	// promised, but never for less. A record's Elapsed can exceed fileAge, hence the min.
	remaining := min(r.Remaining, r.Remaining-(fileAge-r.Elapsed))
	entry := KeyEntry{Key: r.Key, Fingerprint: r.Fingerprint, ExpiresAt: now + remaining}
	if r.Kind == KeyFinished && !unverified {
		entry.Served, entry.Result = r.Served, r.Result
	}
	t.Put(entry)
}
