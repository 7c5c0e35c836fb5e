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

// ReadOptions reads Options from a TOML file. Its keys are listed in docs/operators/library.md; they are the names that the
// fields had first. Durations are strings such as "300ms". A key that is not known is an error that names it. An error that
// the file can't be read wraps that of the file system.
func ReadOptions(path string) (Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("quartzpoint: reading options: %w", err)
	}
	options, err := parseOptions(raw)
	if err != nil {
		return Options{}, fmt.Errorf("quartzpoint: options file %s: %w", path, err)
	}
	return options, nil
}

// parseOptions decodes a file. The durations are parsed first, as go-toml decodes a time.Duration from whole nanoseconds only.
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

// parseDurations replaces the durations of a decoded file by nanoseconds.
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
					return fmt.Errorf("%s = %v: a duration such as \"300ms\" is needed", key, value)
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
