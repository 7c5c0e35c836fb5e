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
	maxKeys     = 4     // in a key file
	minKeySize  = 16    // bytes
	keyNameSize = 8     // bytes
	privateMask = 0o077 // mode bits that give others than the owner a right
)

// What a proof is for, as it is signed. Each use has its own label, so that a proof of one can't be used as another's. The
// values are signed bytes of the protocol, compared between servers of different versions: they never change.
const (
	labelServer     = "giver" // the challenge
	labelClient     = "asker" // a request for a snapshot
	labelSnapshot   = "view"
	labelVote       = "vote"
	labelVoted      = "voted"
	labelSession    = "session"
	labelFromClient = "from the asker" // a payload of a session
	labelFromServer = "from the giver"
	labelKeyName    = "name"
)

// Keys are the secrets that the servers of a fleet share. A client uses the first; a server accepts all, so that keys can be
// changed while servers run. Without keys no peer is authenticated.
type Keys [][]byte

// ReadKeys reads a key file: one key a line, hexadecimal, 16 bytes or more each; blank lines and those that begin with # are
// skipped. A file that others than its owner can read is an error, as whoever reads it can pose as a server.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&privateMask != 0 {
		return nil, fmt.Errorf("key file %s: mode %04o lets others read it; 0600 is needed", path, mode)
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
		if err != nil || len(key) < minKeySize { // the error of hex would put a part of the key into the log
			return nil, fmt.Errorf("key file %s line %d: no key of %d or more bytes in hexadecimal", path, number, minKeySize)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("key file %s: %w", path, err)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("key file %s: %d keys, 1 to %d are allowed", path, len(keys), maxKeys)
	}
	return keys, nil
}

// first is the key that clients use, nil for none.
func (k Keys) first() []byte {
	if len(k) == 0 {
		return nil
	}
	return k[0]
}

// byName finds a key by its name. Without keys the name must be empty.
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

// keyName identifies a key without revealing it.
func keyName(key []byte) []byte {
	if key == nil {
		return nil
	}
	return sign(key, labelKeyName)[:keyNameSize]
}

// sign returns the proof over parts, HMAC-SHA256, or nil without a key.
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

// verify reports whether a proof was made with the key. Without a key there must be none.
func verify(proof, key []byte, label string, parts ...[]byte) bool {
	return hmac.Equal(proof, sign(key, label, parts...))
}

// signedUint is a number as it is signed.
func signedUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// signedAge is an age as it is signed.
func signedAge(age time.Duration) []byte { return signedUint(uint64(age)) }

// newNonce draws a nonce.
func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}
