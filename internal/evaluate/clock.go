// Package evaluate compares the gateway's scheduling decisions with simple baselines in a
// discrete-event simulation of pools of upstreams.
package evaluate

import (
	"container/heap"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// simulation runs events in time order; simultaneous events run in the order in which
// they were scheduled.
type simulation struct {
	now       clock.Instant
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       clock.Instant
	sequence uint64
	run      func()
}

func newSimulation() *simulation { return &simulation{now: clock.Instant(time.Hour)} }

// schedule runs a function after a delay.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.scheduled, run: run})
}

// scheduleEvery runs a function at an interval until the end of the simulation.
func (s *simulation) scheduleEvery(d time.Duration, run func()) {
	s.schedule(d, func() {
		run()
		s.scheduleEvery(d, run)
	})
}

// runUntil runs all events before end and advances the time to it.
func (s *simulation) runUntil(end clock.Instant) {
	for len(s.events) > 0 && s.events[0].at < end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
