package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// section is a table of the file. Its keys are read one at a time; rejectUnknown reports the keys that were not read.
//
// The methods that read a key return the fallback if the key is absent. They also return it if the value is not
// allowed, and report that.
type section struct {
	*parser
	path   string
	name   string // last part of the path, which may itself contain dots; empty for an item of a list
	values map[string]any
	known  []string // keys that were read
}

func (s *section) keyPath(key string) string {
	if s.path == "" || key == "" { // without a key, the section itself
		return s.path + key
	}
	return s.path + "." + key
}

// addError reports an error of a key, or of the section itself if the key is empty. The value is nil if there is none.
func (s *section) addError(key string, value any, allowed string) {
	e := &FieldError{File: s.file, Line: s.lines[s.keyPath(key)], Key: s.keyPath(key), Allowed: allowed}
	if e.Line == 0 {
		e.Line = s.lines[s.path]
	}
	switch v := value.(type) {
	case nil:
	case string:
		e.Value = fmt.Sprintf("%q", v)
	case map[string]any:
		e.Value = "a table"
	default:
		e.Value = fmt.Sprint(v)
	}
	s.errs = append(s.errs, e)
}

func (s *section) has(key string) bool {
	_, present := s.values[key]
	return present
}

func (s *section) lookup(key string) (value any, present bool) {
	s.known = append(s.known, key)
	value, present = s.values[key]
	return value, present
}

// rejectUnknown reports the keys that were not read.
func (s *section) rejectUnknown() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !slices.Contains(s.known, key) {
			slices.Sort(s.known)
			s.addError(key, s.values[key], "unknown; allowed are "+strings.Join(s.known, ", "))
		}
	}
}

// subsection returns the section under a key, or nil.
func (s *section) subsection(key string) *section {
	value, present := s.lookup(key)
	if !present {
		return nil
	}
	table, ok := value.(map[string]any)
	if !ok {
		s.addError(key, value, "a section, written as ["+s.keyPath(key)+"], is allowed")
		return nil
	}
	subsection := s.section(s.keyPath(key), table)
	subsection.name = key
	return subsection
}

// subsections returns all sections inside this one, sorted by name. If there are more than limit, it reports an error
// and returns the first of them.
func (s *section) subsections(limit int) []*section {
	var all []*section
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if len(all) == limit {
			s.addError(name, nil, fmt.Sprintf("at most %d are allowed", limit))
			return all
		}
		if subsection := s.subsection(name); subsection != nil {
			all = append(all, subsection)
		}
	}
	return all
}

// tables returns the items of a list of tables. A list longer than the limit is an error.
func (s *section) tables(key string, limit int) []*section {
	value, present := s.lookup(key)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) > limit {
		s.addError(key, value, fmt.Sprintf("a list of at most %d tables, each written as [[%s]], is allowed", limit, s.keyPath(key)))
		return nil
	}
	var all []*section
	for i, item := range list {
		table, ok := item.(map[string]any)
		if !ok {
			s.addError(key, item, "in the list, only a table is allowed")
			continue
		}
		all = append(all, s.section(fmt.Sprintf("%s.%d", s.keyPath(key), i), table))
	}
	return all
}

func (s *section) stringValue(key, fallback, allowed string, valid func(string) bool) string {
	value, present := s.lookup(key)
	if !present {
		return fallback
	}
	text, ok := value.(string)
	if !ok || !valid(text) {
		s.addError(key, value, allowed)
		return fallback
	}
	return text
}

// stringList reads a list of distinct strings and returns those that are valid. A list longer than the limit is an
// error. There is no fallback.
func (s *section) stringList(key string, limit int, allowed string, valid func(string) bool) []string {
	value, present := s.lookup(key)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) > limit {
		s.addError(key, value, fmt.Sprintf("a list of at most %d items, each %s, is allowed", limit, allowed))
		return nil
	}
	var all []string
	for _, item := range list {
		text, ok := item.(string)
		switch {
		case !ok || !valid(text):
			s.addError(key, item, "in the list, only "+allowed+" is allowed")
		case slices.Contains(all, text):
			s.addError(key, item, "is listed twice")
		default:
			all = append(all, text)
		}
	}
	return all
}

// duration reads a duration from lowest to highest.
func (s *section) duration(key string, fallback, lowest, highest time.Duration) time.Duration {
	value, present := s.lookup(key)
	if !present {
		return fallback
	}
	text, ok := value.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil || d < lowest || d > highest {
		s.addError(key, value, fmt.Sprintf("a duration from %q to %q is allowed", lowest, highest))
		return fallback
	}
	return d
}

// float reads a number from 0 to highest.
func (s *section) float(key string, fallback, highest float64) float64 {
	value, present := s.lookup(key)
	if !present {
		return fallback
	}
	number, ok := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, ok = float64(integer), true
	}
	if !ok || !(number >= 0 && number <= highest) { // also rejects NaN
		s.addError(key, value, fmt.Sprintf("a number from 0 to %g is allowed", highest))
		return fallback
	}
	return number
}

// integer reads an integer from lowest to highest.
func (s *section) integer(key string, fallback, lowest, highest int) int {
	value, present := s.lookup(key)
	if !present {
		return fallback
	}
	number, ok := value.(int64)
	if !ok || number < int64(lowest) || number > int64(highest) {
		s.addError(key, value, fmt.Sprintf("a whole number from %d to %d is allowed", lowest, highest))
		return fallback
	}
	return int(number)
}

// boolean reads true or false; the fallback is false.
func (s *section) boolean(key string) bool {
	value, present := s.lookup(key)
	set, ok := value.(bool)
	if present && !ok {
		s.addError(key, value, "true or false is allowed")
	}
	return set
}
