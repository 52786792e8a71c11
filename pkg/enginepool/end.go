package enginepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Result says how a request ended at its engine.
type Result uint8

const (
	// Completed means that the whole answer arrived.
	Completed Result = iota
	// Aborted means that the caller left or the request was given up; it says nothing about the
	// engine.
	Aborted
	// Rejected means that the engine had no place and did not run the request.
	Rejected
	// Unreachable means that the engine could not be reached, or broke its connection.
	Unreachable
	// Failed means that the engine answered with an error.
	Failed
)

// Outcome is what the VM that sent a request measured.
type Outcome struct {
	Engine string
	// Start is the start of the engine that ran the request; 0 if unknown.
	Start  int64
	Result Result
	// FirstEvent is the time from the placement to the first event; 0 if there was none.
	FirstEvent time.Duration
	// EventGap is the mean time between events, and Events their number.
	EventGap time.Duration
	Events   int
}

const (
	// maxFirstEvent and maxEventGap bound the measured times, and maxEvents the number of events. A
	// measurement beyond them is ignored, since it would dominate the averages.
	maxFirstEvent = 10 * time.Minute
	maxEventGap   = time.Minute
	maxEvents     = 1 << 24
)

// valid returns the outcome without the measurements that no engine can have.
func (o Outcome) valid() Outcome {
	if o.FirstEvent < 0 || o.FirstEvent > maxFirstEvent {
		o.FirstEvent = 0
	}
	if o.Events < 0 || o.Events > maxEvents || o.EventGap < 0 || o.EventGap > maxEventGap {
		o.Events, o.EventGap = 0, 0
	}
	return o
}

// cleanWait is the expected wait up to which a request tells the time to the first event by itself.
const cleanWait = 10 * time.Millisecond

// End records the end of a request. The request may be unknown, such as one that another owner
// placed; its measurements count all the same.
func (p *Pool) End(now clock.Instant, id string, o Outcome) {
	e := p.byID[o.Engine]
	if e != nil && o.Start != 0 && o.Start != e.Start {
		// The requests of the earlier instance ended with it.
		return
	}
	o = o.valid()
	f := p.flights[id]
	if f != nil && f.engine.ID == o.Engine {
		p.recordTimes(now, f, o)
		p.land(now, id, f, o)
	}
	if e == nil {
		return
	}
	p.recordHealth(now, e, o.Result)
	if o.Events > 1 && o.EventGap > 0 {
		p.gap.add(o.EventGap, weightOfGaps(o.Events-1)/float64(max(len(p.engines), 1)))
		e.pace.add(now, p.gap, o.EventGap, o.Events-1)
	}
}

// recordTimes learns from the time to the first event and the duration of a request.
func (p *Pool) recordTimes(now clock.Instant, f *flight, o Outcome) {
	if o.Result == Completed {
		p.duration.add(now.Sub(f.placedAt), durationWeight)
	}
	if o.FirstEvent > 0 && f.wait <= cleanWait {
		p.time.add(f.readTokens, f.engine.pace.factor(now, p.gap), o.FirstEvent)
	}
}

// durationWeight is the weight of the latest request in the average duration.
const durationWeight = 0.05

// land removes a flight. What the engine did not read, it does not cache. A response that is no stream
// has no events, but the engine has read its prompt.
func (p *Pool) land(now clock.Instant, id string, f *flight, o Outcome) {
	if o.FirstEvent <= 0 && o.Result != Completed {
		if f.engine.readUntil > now {
			f.engine.readUntil = max(f.engine.readUntil.Add(-f.readTime), now)
		}
		for _, part := range f.parts[:f.count] {
			p.parts.evictPart(f.engine, part)
		}
	}
	p.drop(now, id, f)
}

func (p *Pool) recordHealth(now clock.Instant, e *engine, result Result) {
	switch result {
	case Completed:
		e.health.RecordSuccess(now, 1)
	case Rejected:
		e.health.RecordRejection(now)
	case Unreachable:
		e.health.RecordUnreachable(now)
	case Failed:
		e.health.RecordError(now)
	case Aborted:
	}
}

// maxColdStart bounds a stated cold start, so that a malformed message does not exclude an engine.
const maxColdStart = 10 * time.Minute

// RecordColdStart records that the instance of an engine that started at start is in a cold start. A
// start of 0 is unknown.
func (p *Pool) RecordColdStart(now clock.Instant, id string, start int64, remaining time.Duration) {
	if remaining <= 0 || remaining > maxColdStart {
		return
	}
	if e := p.byID[id]; e != nil && (start == 0 || start == e.Start) {
		e.ColdUntil = max(e.ColdUntil, now.Add(remaining))
	}
}
