package peersync

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	maxKeys     = 4     // per key file
	minKeySize  = 16    // bytes
	keyNameSize = 8     // bytes
	privateMask = 0o077 // mode bits that give access to others than the owner
)

// Labels state the purpose of a proof and are part of the bytes that it covers, so that a proof for one purpose cannot
// be used for another. The values must never change, because servers of different versions verify each other's proofs.
const (
	labelChallenge       = "giver"
	labelSnapshotRequest = "asker"
	labelSnapshot        = "view"
	labelVoteRequest     = "vote"
	labelVoteResponse    = "voted"
	labelSessionRequest  = "session"
	labelFromClient      = "from the asker" // a payload that the client sends in a session
	labelFromServer      = "from the giver"
	labelKeyName         = "name"
)

// Keys are the secrets that the servers of a fleet share. A client uses the first key; a server accepts all of them, so
// that keys can be changed while servers run. Without keys, peers are not authenticated.
type Keys [][]byte

// ReadKeys reads a key file with one hexadecimal key of at least 16 bytes per line, and at most 4 keys. Blank lines and
// lines that begin with # are skipped. It returns an error if others than the owner have access to the file, because
// whoever reads it can impersonate a server.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&privateMask != 0 {
		return nil, fmt.Errorf("key file %s: mode %04o gives access to others than the owner, want 0600", path, mode)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	var keys Keys
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := hex.DecodeString(text)
		if err != nil || len(key) < minKeySize { // err is not wrapped, because it would log a part of the key
			return nil, fmt.Errorf("key file %s line %d: want a hexadecimal key of at least %d bytes", path, number, minKeySize)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("key file %s: %w", path, err)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("key file %s: %d keys, want 1 to %d", path, len(keys), maxKeys)
	}
	return keys, nil
}

// first returns the key that clients use, or nil without keys.
func (k Keys) first() []byte {
	if len(k) == 0 {
		return nil
	}
	return k[0]
}

// byName returns the key with a name, and whether it is known. Without keys, only the empty name is known, and its key
// is nil.
func (k Keys) byName(name []byte) (key []byte, known bool) {
	if len(k) == 0 {
		return nil, len(name) == 0
	}
	for _, key := range k {
		if hmac.Equal(name, keyName(key)) {
			return key, true
		}
	}
	return nil, false
}

// keyName returns the name of a key, which identifies the key without revealing it.
func keyName(key []byte) []byte {
	if key == nil {
		return nil
	}
	return sign(key, labelKeyName)[:keyNameSize]
}

// sign returns the HMAC-SHA256 of a label and parts, or nil without a key.
func sign(key []byte, label string, parts ...[]byte) []byte {
	if key == nil {
		return nil
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	for _, part := range parts {
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify reports whether a proof was made with the key. Without a key, the proof must be empty.
func verify(proof, key []byte, label string, parts ...[]byte) bool {
	return hmac.Equal(proof, sign(key, label, parts...))
}

// signedUint encodes a number for a proof, as 8 bytes in big-endian order.
func signedUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// signedAge encodes an age for a proof, in nanoseconds as signedUint encodes them.
func signedAge(age time.Duration) []byte { return signedUint(uint64(age)) }

// newNonce returns nonceSize random bytes from a cryptographically secure source.
func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // Read never returns an error
	return nonce
}
