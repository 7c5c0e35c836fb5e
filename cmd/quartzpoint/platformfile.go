package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"unicode"
)

// platformFile is the text of the platform's configuration by key, and the errors in it.
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

// has is whether the file has a value under a key.
func (f *platformFile) has(key string) bool {
	raw, found := f.keys[key]
	return found && string(raw) != "null" && string(raw) != `""`
}

// stringValue is the text under a key, or of the environment variable that overrides it.
func (f *platformFile) stringValue(key, variable string) (value string) {
	if variable != "" && os.Getenv(variable) != "" {
		return os.Getenv(variable)
	}
	if !f.has(key) {
		f.addMissing(key, "a text")
	} else if json.Unmarshal(f.keys[key], &value) != nil {
		f.addError(key, "%s is no text", f.keys[key])
	}
	return value
}

// checkAddress checks that a text is a host and a port; dialed says that the port must not be 0. Whether the host exists or
// answers is not checked: that comes and goes, and is waited for.
func (f *platformFile) checkAddress(key, address string, dialed bool) {
	if address == "" {
		return // text has reported it
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		f.addError(key, "%v", err)
		return
	}
	portNumber, err := net.LookupPort("tcp", port)
	if err != nil || port == "" || dialed && portNumber == 0 || strings.ContainsFunc(host, unicode.IsSpace) {
		f.addError(key, "%q is no host:port", address)
	}
}

// positiveNumber is the number above 0 under a key, or under the key of an object, as in "limits.cores".
func (f *platformFile) positiveNumber(path string) (number float64) {
	object, key, nested := strings.Cut(path, ".")
	parent := f
	if nested {
		parent = &platformFile{}
		if f.has(object) && json.Unmarshal(f.keys[object], &parent.keys) != nil {
			f.addError(path, "%s is no object", object)
			return 0
		}
	} else {
		key = path
	}
	if !parent.has(key) {
		f.addMissing(path, "a number above 0")
	} else if json.Unmarshal(parent.keys[key], &number) != nil {
		f.addError(path, "%s is no number", parent.keys[key])
	} else if number <= 0 {
		f.addError(path, "%v is not above 0", number)
	}
	return number
}
