package quartzpoint

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// ReadOptions reads Options from a TOML file. docs/operators/library.md lists its keys, which are the original names of
// the fields. Durations are strings such as "300ms". It returns an error that names the key if a key is unknown, and
// wraps the file system's error if the file can't be read.
func ReadOptions(path string) (Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("quartzpoint: read options: %w", err)
	}
	options, err := parseOptions(raw)
	if err != nil {
		return Options{}, fmt.Errorf("quartzpoint: options file %s: %w", path, err)
	}
	return options, nil
}

// parseOptions decodes an options file. It converts the durations first, because go-toml decodes a time.Duration only
// from an integer number of nanoseconds.
func parseOptions(raw []byte) (options Options, err error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return options, err
	}
	if err := parseDurations(tree); err != nil {
		return options, err
	}
	if raw, err = toml.Marshal(tree); err != nil {
		return options, err
	}
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&options)
	if unknown, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		var keys []string
		for _, missing := range unknown.Errors {
			keys = append(keys, strings.Join(missing.Key(), "."))
		}
		return options, fmt.Errorf("unknown keys: %s", strings.Join(keys, ", "))
	}
	return options, err
}

// parseDurations replaces the duration strings in a decoded file by nanoseconds.
func parseDurations(node any) error {
	switch node := node.(type) {
	case []any:
		for _, item := range node {
			if err := parseDurations(item); err != nil {
				return err
			}
		}
	case map[string]any:
		for key, value := range node {
			switch key {
			case "Contract", "Outer", "Window", "Grace", "Over", "Linger", "Commit":
				text, isString := value.(string)
				duration, err := time.ParseDuration(text)
				if !isString || err != nil {
					return fmt.Errorf("key %s: want a duration such as \"300ms\", got %v", key, value)
				}
				node[key] = int64(duration)
			default:
				if err := parseDurations(value); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
