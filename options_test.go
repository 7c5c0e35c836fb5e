package quartzpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestOptionsOutOfRange(t *testing.T) {
	for name, options := range map[string]Options{
		"same name":   {Routes: []Route{{Name: "a"}, {Name: "a"}}},
		"no name":     {Routes: []Route{{}}},
		"idempotency": {Routes: []Route{{Name: "a", Idempotency: "often"}}},
		"deadline":    {Routes: []Route{{Name: "a", LatencyTarget: time.Second, Deadline: ms}}},
		"cores":       {Cores: -1},
		"negative":    {Grace: -1},
	} {
		_, err := New(options)
		assert.Error(t, err, name)
	}
}
