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
	Result Result
	// FirstEvent is the time from the placement to the first event; 0 if there was none.
	FirstEvent time.Duration
	// EventGap is the mean time between events, and Events their number.
	EventGap time.Duration
	Events   int
}

// cleanWait is the expected wait up to which a request tells the time to the first event by itself.
const cleanWait = 10 * time.Millisecond

// End records the end of a request. The request may be unknown, such as one that another owner
// placed; its measurements count all the same.
func (p *Pool) End(now clock.Instant, id string, o Outcome) {
	e := p.byID[o.Engine]
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
		p.gap.add(o.EventGap, gapWeight*min(float64(o.Events-1)/fullGaps, 1)/float64(max(len(p.engines), 1)))
		e.pace.add(now, p.gap, o.EventGap, o.Events-1)
	}
}

// recordTimes learns from the time to the first event and the duration of a request.
func (p *Pool) recordTimes(now clock.Instant, f *flight, o Outcome) {
	if o.FirstEvent <= 0 {
		return
	}
	if f.wait <= cleanWait {
		p.time.add(f.readTokens, f.engine.pace.factor(now, p.gap), o.FirstEvent)
	}
	if o.Result == Completed {
		p.duration.add(now.Sub(f.placedAt), durationWeight)
	}
}

// durationWeight is the weight of the latest request in the average duration.
const durationWeight = 0.05

// land removes a flight. What the engine did not read, it does not cache.
func (p *Pool) land(now clock.Instant, id string, f *flight, o Outcome) {
	if o.FirstEvent <= 0 {
		if f.engine.readUntil > now {
			f.engine.readUntil = max(f.engine.readUntil.Add(-f.readTime), now)
		}
		for _, part := range f.parts[:f.count] {
			p.parts.evictPart(f.engine, part)
		}
	}
	p.drop(id, f)
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

// RecordColdStart records that an engine is in a cold start.
func (p *Pool) RecordColdStart(now clock.Instant, id string, remaining time.Duration) {
	if e := p.byID[id]; e != nil {
		e.ColdUntil = max(e.ColdUntil, now.Add(remaining))
	}
}
