// Command adapter hosts instances of the decision module and speaks the bench's wire on its standard
// input and output. It turns events into calls of the module and its decisions into actions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// door is the process: the instances by number, and the frames in hand.
type door struct {
	instances map[uint16]*instance
	order     []*instance // those that came up in this batch, in order of their first event
	batch     wire.Batch
	reply     wire.Reply
	now       time.Duration
}

func serve(from io.Reader, to io.Writer) error {
	in, out := bufio.NewReaderSize(from, 1<<16), bufio.NewWriterSize(to, 1<<16)
	d := &door{instances: map[uint16]*instance{}}
	for n := 0; ; n++ {
		err := d.batch.Read(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		d.now = time.Duration(d.batch.Clock) * time.Microsecond
		for i := range d.batch.Records {
			if err := d.take(d.batch.Record(i)); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", n, i, err)
			}
		}
		for _, one := range d.order {
			one.decide()
		}
		d.order = d.order[:0]
		if err := d.reply.Flush(out); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
	}
}

// decide hands the round to the module. A panic there is reported to the peer, which ends the day.
func (in *instance) decide() {
	defer func() {
		if trouble := recover(); trouble != nil {
			in.reply.Text(wire.ActionInternalError, in.who, fmt.Sprint(trouble))
		}
	}()
	in.module.Decide(&in.round, in)
	for _, e := range in.round.RunsEnded {
		in.settle(e.Request)
	}
	for _, request := range in.round.Canceled {
		in.settle(request)
	}
	in.round.Reset()
	in.touched = false
}

func (d *door) touch(in *instance) {
	if !in.touched {
		in.touched = true
		in.round.Now = d.now
		d.order = append(d.order, in)
	}
}

// leave takes an instance whose process died out of the batch.
func (d *door) leave(who uint16) {
	for i, in := range d.order {
		if in.who == who {
			d.order = append(d.order[:i], d.order[i+1:]...)
			break
		}
	}
	delete(d.instances, who)
}

// take files one event in its instance's round.
func (d *door) take(r wire.Record) error {
	code, who := r.U8(0), r.U16(1)
	if code == wire.EventConfigure {
		return d.configure(who, r)
	}
	in := d.instances[who]
	if in == nil {
		return fmt.Errorf("event %d for instance %d, which was never configured", code, who)
	}
	if code == wire.EventServerDown {
		d.leave(who)
		return nil
	}
	d.touch(in)
	round := &in.round
	switch code {
	case wire.EventArrive:
		return in.arrive(r, d.now)
	case wire.EventShutDown:
		round.StopAt = time.Duration(r.U64(3)) * time.Microsecond
		return nil
	case wire.EventGauges:
		return in.gauge(r)
	case wire.EventRunEnd, wire.EventAwaitCall, wire.EventCallEnd, wire.EventCancel:
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	e := in.tasks[r.U64(3)]
	if e == nil {
		return nil // settled before this event was written
	}
	switch code {
	case wire.EventAwaitCall:
		round.AwaitingCall = append(round.AwaitingCall, e.task)
	case wire.EventCancel:
		e.answered = true
		round.Canceled = append(round.Canceled, e.task)
	case wire.EventCallEnd:
		ending, err := ended(e.task, r)
		round.CallsEnded = append(round.CallsEnded, ending)
		return err
	case wire.EventRunEnd:
		ending, err := ended(e.task, r)
		round.RunsEnded = append(round.RunsEnded, ending)
		e.active = false
		e.answered = e.answered || ending.Outcome == admission.Succeeded || ending.Outcome == admission.Failed
		return err
	}
	return nil
}

func (d *door) configure(who uint16, r wire.Record) error {
	info, err := d.batch.Tail(r.U32(11), r.U32(15))
	if err != nil {
		return err
	}
	if d.instances[who] != nil {
		d.leave(who)
	}
	in, err := newInstance(who, r.U64(3), string(info), &d.reply)
	if err != nil {
		return err
	}
	d.instances[who] = in
	d.touch(in)
	return nil
}

func (in *instance) arrive(r wire.Record, now time.Duration) error {
	id, service := r.U64(3), int(r.U8(57))
	if in.tasks[id] != nil {
		return fmt.Errorf("task id %d came twice", id)
	}
	if service >= len(in.module.Routes) {
		return fmt.Errorf("task of traffic type %d of %d", service, len(in.module.Routes))
	}
	request := &admission.Request{
		Route:     in.module.Routes[service],
		HeldKB:    r.F32(11),
		Arrived:   now - time.Duration(r.U32(58))*time.Microsecond,
		Deadline:  time.Duration(r.U64(25)) * time.Microsecond,
		Rank:      r.F32(37),
		Tenant:    int(r.U32(33)),
		Router:    r.U32(49),
		Duplicate: r.U64(41) != 0,
	}
	if r.U16(15)&1 != 0 {
		request.CostHint = time.Duration(r.U32(53)) * time.Microsecond
	}
	in.tasks[id] = &entry{task: request}
	in.ids[request] = id
	in.round.Arrived = append(in.round.Arrived, request)
	return nil
}

func (in *instance) gauge(r wire.Record) error {
	count := int(r.U8(7))
	if count > (len(r)-8)/4 {
		return fmt.Errorf("%d gauges don't fit a record", count)
	}
	var readings [(64 - 8) / 4]float64
	for i := range count {
		readings[i] = r.F32(8 + 4*i)
	}
	in.settings.Gauges(&in.reading, readings[:count])
	in.round.Gauges = &in.reading
	return nil
}

// outcomes are the wire's codes in our words.
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

func ended(request *admission.Request, r wire.Record) (admission.Completion, error) {
	outcome, known := outcomes[r.U16(11)]
	if !known {
		return admission.Completion{}, fmt.Errorf("unknown outcome %d", r.U16(11))
	}
	return admission.Completion{Request: request, Outcome: outcome, Took: time.Duration(r.U32(13)) * time.Microsecond}, nil
}
