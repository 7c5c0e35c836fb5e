package quartzpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request runs in its caller's goroutine: to its end, past its deadline, and after its caller has canceled it.
func TestTicket(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "a", LatencyTarget: 100 * ms}, {Name: "n", Idempotency: Keyed, LatencyTarget: time.Second}}})
	ticket, err := g.Admit(t.Context(), Request{Route: "a"}, nil)
	require.NoError(t, err)
	assert.True(t, ticket.Finish(nil, nil))

	aborted := make(chan struct{})
	ticket, err = g.Admit(t.Context(), Request{Route: "a"}, func() { close(aborted) })
	require.NoError(t, err)
	<-aborted
	<-ticket.Context().Done()
	assert.False(t, ticket.Finish(nil, nil), "the request was aborted before")

	ticket, err = g.Admit(t.Context(), Request{Route: "n", IdempotencyKey: "1"}, nil)
	require.NoError(t, err)
	ticket.Cancel()
	assert.False(t, ticket.Finish([]byte("did"), nil), "the request was canceled before")
	ticket, err = g.Admit(t.Context(), Request{Route: "n", IdempotencyKey: "1"}, nil)
	require.NoError(t, err)
	result, duplicate := ticket.Duplicate()
	assert.True(t, duplicate)
	assert.Equal(t, "did", string(result))
	assert.True(t, ticket.Finish(nil, nil))
}
