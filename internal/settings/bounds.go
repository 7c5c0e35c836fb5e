package settings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// bounds is what a number may be.
type bounds int

const (
	anything bounds = iota // that is finite
	notNegative
	aboveZero
	share // of a whole
)

// broken says what is wrong with a number, nothing where it is within the bounds.
func (b bounds) broken(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "no finite number"
	case b == aboveZero && v <= 0:
		return "not above 0"
	case b != anything && v < 0:
		return "below 0"
	case b == share && v > 1:
		return "above 1"
	}
	return ""
}

// words are the values that a text may have. What routers do with an unknown way of advice, or how often a task of an
// unknown kind may run, can't be guessed.
var words = map[string][]string{
	"halt":    moving["halt"],
	"advert":  moving["advert"],
	"repeats": {"retryable", "dedup", "fragile"},
}

// MaxSpan is what longer spans are taken for: no process lives that long, and moments that far ahead still have room
// for what is added to them.
const MaxSpan = 10 * 365 * 24 * time.Hour

// microseconds reads a whole number of them, in whichever way it is written.
func microseconds(text string) (v float64, took bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v == math.Trunc(v)
}

func spanOf(microseconds float64) time.Duration {
	most := float64(MaxSpan / time.Microsecond)
	return time.Duration(max(min(microseconds, most), -most)) * time.Microsecond
}

// needed are the settings that each traffic type states; without them nobody can say how it is to be served.
var needed = []struct{ theirs, ours string }{
	{"name", "name"}, {"idempotency", "repeats"}, {"deadline", "outer-limit"}, {"goal-time", "contract-time"},
}

// Lacks joins what a server can't do without and the settings do not state, or state twice.
func (t *Settings) Lacks() error {
	var faults []error
	types, _ := t.Values["types"].(float64)
	if types == 0 {
		return errors.New("setting services: is missing, or names no traffic type")
	}
	names := map[string]int{}
	for i := range int(types) {
		for _, n := range needed {
			if v, stated := t.Values[fmt.Sprintf("type.%d.%s", i, n.ours)]; !stated || v == "" {
				faults = append(faults, fmt.Errorf("setting services.%d.%s: is missing", i, n.theirs))
			}
		}
		name, _ := t.Values[fmt.Sprintf("type.%d.name", i)].(string)
		if first, again := names[name]; again && name != "" {
			faults = append(faults, fmt.Errorf("setting services.%d.name: %s is the name of services.%d", i, name, first))
			continue
		}
		names[name] = i
	}
	return errors.Join(faults...)
}
