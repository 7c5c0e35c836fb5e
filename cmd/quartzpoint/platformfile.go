package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"unicode"
)

// platformFile holds the JSON values of the platform's configuration by key, and the errors found in it.
type platformFile struct {
	path string
	keys map[string]json.RawMessage
	errs []error
}

func (f *platformFile) addError(key, format string, args ...any) {
	f.errs = append(f.errs, fmt.Errorf("configuration %s: %s: %s", f.path, key, fmt.Sprintf(format, args...)))
}

func (f *platformFile) addMissing(key, wanted string) {
	f.errs = append(f.errs, fmt.Errorf("configuration %s: %s is missing: %s", f.path, key, wanted))
}

// has reports whether the file has a value under a key. null and the empty string count as no value.
func (f *platformFile) has(key string) bool {
	raw, found := f.keys[key]
	return found && string(raw) != "null" && string(raw) != `""`
}

// stringValue returns the string under a key, or the value of the environment variable that overrides it.
func (f *platformFile) stringValue(key, variable string) (value string) {
	if variable != "" && os.Getenv(variable) != "" {
		return os.Getenv(variable)
	}
	if !f.has(key) {
		f.addMissing(key, "want a string")
	} else if json.Unmarshal(f.keys[key], &value) != nil {
		f.addError(key, "want a string, got %s", f.keys[key])
	}
	return value
}

// checkAddress checks that an address is a host and a port; if dialed, the port must not be 0. Whether the host exists
// or answers is not checked, as this can change at any time and the connections are retried.
func (f *platformFile) checkAddress(key, address string, dialed bool) {
	if address == "" {
		return // stringValue has reported that it is missing
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		f.addError(key, "%v", err)
		return
	}
	portNumber, err := net.LookupPort("tcp", port)
	if err != nil || port == "" || dialed && portNumber == 0 || strings.ContainsFunc(host, unicode.IsSpace) {
		f.addError(key, "want host:port, got %q", address)
	}
}

// positiveNumber returns the number above 0 at a path: a key, or an object and a key in it, as in "limits.cores".
func (f *platformFile) positiveNumber(path string) (number float64) {
	object, key, nested := strings.Cut(path, ".")
	parent := f
	if nested {
		parent = &platformFile{}
		if f.has(object) && json.Unmarshal(f.keys[object], &parent.keys) != nil {
			f.addError(path, "want %s to be an object", object)
			return 0
		}
	} else {
		key = path
	}
	if !parent.has(key) {
		f.addMissing(path, "want a number above 0")
	} else if json.Unmarshal(parent.keys[key], &number) != nil {
		f.addError(path, "want a number, got %s", parent.keys[key])
	} else if number <= 0 {
		f.addError(path, "want a number above 0, got %v", number)
	}
	return number
}
