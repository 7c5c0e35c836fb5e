package main

import (
	"fmt"

	"quartzpoint/internal/wire"
)

// host holds the simulated servers of the process by id, and the frames being read and written.
type host struct {
	servers map[uint16]*server
	active  []*server // servers with events in the batch, in the order of their first event
	batch   wire.Batch
	reply   wire.Reply
}

func newHost() *host { return &host{servers: map[uint16]*server{}} }

// handleBatch adds each event of the batch to its server's round, and then has each of these servers decide once. Its
// errors name the record.
func (h *host) handleBatch() error {
	for i := range h.batch.Records {
		if err := h.handle(h.batch.Record(i)); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, s := range h.active {
		s.decide()
	}
	h.active = h.active[:0]
	return nil
}

// handle adds one event to its server's round.
func (h *host) handle(event wire.Record) error {
	id := event.Server()
	if event.Code() == wire.EventConfigure {
		return h.configure(id, event)
	}
	s := h.servers[id]
	if s == nil {
		return fmt.Errorf("event %d for server %d, which is not configured", event.Code(), id)
	}
	if event.Code() == wire.EventServerDown {
		h.remove(id)
		return nil
	}
	h.activate(s)
	return s.handle(event)
}

// configure starts a server, and replaces any earlier one with the same id.
func (h *host) configure(id uint16, event wire.Record) error {
	seed, settings, err := h.batch.Configuration(event)
	if err != nil {
		return err
	}
	if h.servers[id] != nil {
		h.remove(id)
	}
	s, err := newServer(id, seed, settings, &h.reply)
	if err != nil {
		return err
	}
	h.servers[id] = s
	h.activate(s)
	return nil
}

// activate starts a server's round in this batch, unless it has started.
func (h *host) activate(s *server) {
	if !s.active {
		s.active = true
		s.round.Now = h.batch.Clock
		h.active = append(h.active, s)
	}
}

// remove removes a server whose process died. It decides nothing more in this batch.
func (h *host) remove(id uint16) {
	for i, s := range h.active {
		if s.id == id {
			h.active = append(h.active[:i], h.active[i+1:]...)
			break
		}
	}
	delete(h.servers, id)
}
