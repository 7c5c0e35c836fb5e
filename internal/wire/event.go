package wire

import (
	"fmt"
	"time"
)

// EventCode is the kind of an event.
type EventCode uint8

// Codes of events.
const (
	EventConfigure  EventCode = 10 // a server starts, with its settings
	EventArrive     EventCode = 20 // a request arrives
	EventRunEnd     EventCode = 30 // a run has ended
	EventAwaitCall  EventCode = 40 // a run waits for its call
	EventCallEnd    EventCode = 50 // a call has ended
	EventShutDown   EventCode = 60 // the server receives the notice to shut down
	EventCancel     EventCode = 70 // nobody waits for a request any longer
	EventGauges     EventCode = 80 // the wake-up that an ActionWakeAfter requested, with the gauges' readings
	EventServerDown EventCode = 90 // a server's process has died
)

// gaugesOffset is the offset of the readings of EventGauges, of 4 bytes each.
const gaugesOffset = 8

// costHintFlag is the bit in the flags of an arrival that is set if the arrival states a cost hint.
const costHintFlag = 1

// Code returns the code of the event.
func (r Record) Code() EventCode { return EventCode(r.u8(0)) }

// Server returns the id of the server that the event is for.
func (r Record) Server() uint16 { return r.u16(1) }

// RequestID returns the id of the request, in events about one.
func (r Record) RequestID() uint64 { return r.u64(3) }

// Configuration returns the seed and the settings of an EventConfigure.
func (b *Batch) Configuration(r Record) (seed uint64, settings string, err error) {
	text, err := b.text(r.u32(11), r.u32(15))
	return r.u64(3), string(text), err
}

// Arrival is a request that arrives.
type Arrival struct {
	RequestID uint64
	QueuedKB  float64       // memory of the worker pool while queued
	Deadline  time.Duration // on the simulator's clock
	Tenant    int
	Rank      float64
	Duplicate bool // its idempotency key is known
	Router    uint32
	CostHint  time.Duration // expected core time; 0 if not stated
	Route     int
	Age       time.Duration // since its arrival at the server
}

// Arrival decodes an EventArrive.
func (r Record) Arrival() Arrival {
	arrival := Arrival{
		RequestID: r.RequestID(), QueuedKB: r.f32(11), Deadline: fromMicros(r.u64(25)), Tenant: int(r.u32(33)), Rank: r.f32(37),
		Duplicate: r.u64(41) != 0, Router: r.u32(49), Route: int(r.u8(57)), Age: fromMicros(r.u32(58)),
	}
	if r.u16(15)&costHintFlag != 0 {
		arrival.CostHint = fromMicros(r.u32(53))
	}
	return arrival
}

// End returns the outcome of an EventRunEnd or EventCallEnd, and how long the run or the call took.
func (r Record) End() (outcome uint16, took time.Duration) { return r.u16(11), fromMicros(r.u32(13)) }

// StopAt returns the time on the simulator's clock at which the process is stopped, from an EventShutDown.
func (r Record) StopAt() time.Duration { return fromMicros(r.u64(3)) }

// AppendGauges appends the readings of an EventGauges, in the order in which the settings list the gauges.
func (r Record) AppendGauges(readings []float64) ([]float64, error) {
	count := int(r.u8(7))
	if count > (len(r)-gaugesOffset)/4 {
		return readings, fmt.Errorf("%d gauges don't fit in a record", count)
	}
	for i := range count {
		readings = append(readings, r.f32(gaugesOffset+4*i))
	}
	return readings, nil
}
