package quartzpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestOptionsOutOfRange(t *testing.T) {
	for name, options := range map[string]Options{
		"duplicate name":                    {Routes: []Route{{Name: "a"}, {Name: "a"}}},
		"empty name":                        {Routes: []Route{{}}},
		"unknown idempotency":               {Routes: []Route{{Name: "a", Idempotency: "often"}}},
		"deadline below the latency target": {Routes: []Route{{Name: "a", LatencyTarget: time.Second, Deadline: ms}}},
		"negative cores":                    {Cores: -1},
		"negative grace":                    {Grace: -1},
	} {
		_, err := New(options)
		assert.Error(t, err, name)
	}
}
