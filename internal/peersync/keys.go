package peersync

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

const mostKeys = 4

// ReadKeys reads a key file: one key a line, hexadecimal, 16 bytes or more each; blank lines and those that
// begin with # are passed over. A file that others than its owner can read is an error: whoever reads it can
// pose as a server.
func ReadKeys(path string) (Keys, error) {
	about, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	if open := about.Mode().Perm() & 0o077; open != 0 {
		return nil, fmt.Errorf("key file %s: mode %04o lets others read it; 0600 is needed", path, about.Mode().Perm())
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
		if err != nil || len(key) < leastKey { // the key itself must not get into a log
			return nil, fmt.Errorf("key file %s line %d: no key of %d or more bytes in hexadecimal", path, number, leastKey)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("key file %s: %w", path, err)
	}
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, fmt.Errorf("key file %s: %d keys, 1 to %d are allowed", path, len(keys), mostKeys)
	}
	return keys, nil
}
