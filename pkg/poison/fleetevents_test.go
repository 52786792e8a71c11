package poison

import (
	"container/heap"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// fleetEvent is an event of a simulation. Events of the same time run in the order of their numbers.
type fleetEvent struct {
	at     clock.Instant
	number int
	run    func()
}

// fleetEvents is a queue of events; it implements heap.Interface.
type fleetEvents struct {
	now    clock.Instant
	queue  []fleetEvent
	number int
}

func (e *fleetEvents) Len() int { return len(e.queue) }

func (e *fleetEvents) Less(i, j int) bool {
	a, b := e.queue[i], e.queue[j]
	return a.at < b.at || a.at == b.at && a.number < b.number
}

func (e *fleetEvents) Swap(i, j int) { e.queue[i], e.queue[j] = e.queue[j], e.queue[i] }

func (e *fleetEvents) Push(x any) { e.queue = append(e.queue, x.(fleetEvent)) }

func (e *fleetEvents) Pop() any {
	last := len(e.queue) - 1
	event := e.queue[last]
	e.queue = e.queue[:last]
	return event
}

// after runs f after a time.
func (e *fleetEvents) after(d time.Duration, f func()) {
	e.number++
	heap.Push(e, fleetEvent{e.now.Add(d), e.number, f})
}

// runUntil runs all events up to a time.
func (e *fleetEvents) runUntil(end clock.Instant) {
	for e.Len() > 0 && e.queue[0].at <= end {
		event := heap.Pop(e).(fleetEvent)
		e.now = event.at
		event.run()
	}
}
