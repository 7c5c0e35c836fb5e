package leasing

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/internal/peersync"
	"quartzpoint/lease"
)

// ballot is the message carried by package peersync: a request to a voter or its response.
type ballot struct {
	Request  *lease.VoteRequest  `cbor:"1,keyasint,omitempty"`
	Response *lease.VoteResponse `cbor:"2,keyasint,omitempty"`
}

// HandleVote is a peersync.VoteHandler. It has Run's goroutine vote on a peer's request. It does not respond to a ballot
// without a valid request, so the peer's exchange times out.
func (m *Manager) HandleVote(raw []byte, respond func([]byte)) {
	var b ballot
	if err := cbor.Unmarshal(raw, &b); err != nil || b.Request == nil {
		return
	}
	m.post(func() {
		response := m.voter.HandleRequest(*b.Request, m.now())
		if out, err := cbor.Marshal(ballot{Response: &response}); err == nil {
			respond(out)
		}
	})
}

// sendRequests runs as the goroutine of one peer. It sends the requests of each round, one exchange at a time. A peer
// that does not respond delays no other peer, as long as there are fewer than maxExchanges such peers.
func (m *Manager) sendRequests(ctx context.Context, address string, requests <-chan [][]byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-requests:
			select {
			case <-ctx.Done():
				return
			case m.exchanges <- struct{}{}:
			}
			for _, raw := range batch {
				m.sendRequest(ctx, address, raw)
			}
			<-m.exchanges
		}
	}
}

// sendRequest makes one exchange with a peer. If there is no response in time, the vote does not count.
func (m *Manager) sendRequest(ctx context.Context, address string, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Config.Duration/roundsPerLease)
	defer cancel()
	got, err := peersync.RequestVote(ctx, address, m.options.Keys, raw)
	var b ballot
	if err != nil || cbor.Unmarshal(got, &b) != nil || b.Response == nil {
		return
	}
	m.post(func() {
		for _, l := range m.leases {
			if l.candidate.Lease == b.Response.Lease {
				m.handleResponse(l, *b.Response)
			}
		}
	})
}
