package main

import (
	"fmt"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/wire"
)

// trackedRequest is a request that a later event can still concern.
type trackedRequest struct {
	request  *admission.Request
	answered bool
	running  bool // the run has started and its end has not been reported
}

// server is one simulated app server: its controller, the ids of its requests, and the executor of its decisions.
type server struct {
	id         uint16
	controller *admission.Controller
	settings   *settings.Settings
	requests   map[uint64]*trackedRequest
	requestIDs map[*admission.Request]uint64
	round      admission.Round
	gauges     admission.Gauges
	readings   []float64 // buffer that each round reuses
	active     bool      // whether the batch has events for this server
	reply      *wire.Reply
}

func newServer(id uint16, seed uint64, settingLines string, reply *wire.Reply) (*server, error) {
	parsed, err := settings.FromLines(settingLines)
	if err != nil {
		return nil, err
	}
	return &server{
		id:         id,
		controller: admission.New(parsed.Admission, int64(seed)),
		settings:   parsed,
		requests:   map[uint64]*trackedRequest{},
		requestIDs: map[*admission.Request]uint64{},
		reply:      reply,
	}, nil
}

// decide passes the round to the controller. A panic there is reported to the simulator, which then stops.
func (s *server) decide() {
	defer func() {
		if value := recover(); value != nil {
			s.reply.AddInternalError(s.id, fmt.Sprint(value))
		}
	}()
	s.controller.Decide(&s.round, s)
	for _, end := range s.round.RunsEnded {
		s.forgetIfFinished(end.Request)
	}
	for _, request := range s.round.Canceled {
		s.forgetIfFinished(request)
	}
	s.round.Reset()
	s.active = false
}

// handle adds an event to the round.
func (s *server) handle(event wire.Record) error {
	switch event.Code() {
	case wire.EventArrive:
		return s.arrive(event.Arrival())
	case wire.EventShutDown:
		s.round.StopAt = event.StopAt()
		return nil
	case wire.EventGauges:
		return s.readGauges(event)
	case wire.EventRunEnd, wire.EventAwaitCall, wire.EventCallEnd, wire.EventCancel:
		tracked := s.requests[event.RequestID()]
		if tracked == nil {
			return nil // the request ended before this event was written
		}
		return s.handleRequest(tracked, event)
	default:
		return fmt.Errorf("unknown event code %d", event.Code())
	}
}

// handleRequest adds an event about a request to the round.
func (s *server) handleRequest(tracked *trackedRequest, event wire.Record) error {
	switch event.Code() {
	case wire.EventAwaitCall:
		s.round.AwaitingCall = append(s.round.AwaitingCall, tracked.request)
	case wire.EventCancel:
		tracked.answered = true
		s.round.Canceled = append(s.round.Canceled, tracked.request)
	case wire.EventCallEnd:
		end, err := completion(tracked.request, event)
		s.round.CallsEnded = append(s.round.CallsEnded, end)
		return err
	case wire.EventRunEnd:
		end, err := completion(tracked.request, event)
		s.round.RunsEnded = append(s.round.RunsEnded, end)
		tracked.running = false
		tracked.answered = tracked.answered || end.Outcome == admission.Succeeded || end.Outcome == admission.Failed
		return err
	default: // the other events do not concern a request
	}
	return nil
}

func (s *server) arrive(arrival wire.Arrival) error {
	if s.requests[arrival.RequestID] != nil {
		return fmt.Errorf("request id %d arrived twice", arrival.RequestID)
	}
	if arrival.Route >= len(s.controller.Routes) {
		return fmt.Errorf("request names route %d of %d", arrival.Route, len(s.controller.Routes))
	}
	request := &admission.Request{
		Route:     s.controller.Routes[arrival.Route],
		QueuedKB:  arrival.QueuedKB,
		Arrived:   s.round.Now - arrival.Age,
		Deadline:  arrival.Deadline,
		Rank:      arrival.Rank,
		Tenant:    arrival.Tenant,
		Router:    arrival.Router,
		Duplicate: arrival.Duplicate,
		CostHint:  arrival.CostHint,
	}
	s.requests[arrival.RequestID] = &trackedRequest{request: request}
	s.requestIDs[request] = arrival.RequestID
	s.round.Arrived = append(s.round.Arrived, request)
	return nil
}

func (s *server) readGauges(event wire.Record) (err error) {
	if s.readings, err = event.AppendGauges(s.readings[:0]); err != nil {
		return err
	}
	s.settings.SetGauges(&s.gauges, s.readings)
	s.round.Gauges = &s.gauges
	return nil
}

// forgetIfFinished deletes a request that no later event can concern: it is answered and has no run in progress.
func (s *server) forgetIfFinished(request *admission.Request) {
	id, known := s.requestIDs[request]
	if !known {
		return
	}
	if tracked := s.requests[id]; tracked.answered && !tracked.running {
		delete(s.requests, id)
		delete(s.requestIDs, request)
	}
}

// outcomes maps the codes on the wire to the outcomes of runs and calls.
var outcomes = map[uint16]admission.Outcome{
	0:   admission.Succeeded,
	255: admission.Failed,
	254: admission.NotRun,
	253: admission.Unknown,
	252: admission.NotRun,
	251: admission.Unknown,
	250: admission.Stopped,
	249: admission.NeverStarted,
}

// completion decodes an event that ends a request's run or call.
func completion(request *admission.Request, event wire.Record) (admission.Completion, error) {
	code, took := event.End()
	outcome, known := outcomes[code]
	if !known {
		return admission.Completion{}, fmt.Errorf("unknown outcome %d", code)
	}
	return admission.Completion{Request: request, Outcome: outcome, Took: took}, nil
}
