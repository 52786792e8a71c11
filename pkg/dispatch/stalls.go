package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// stallTickFactor is the number of tick intervals above which a gap counts as a stall.
const stallTickFactor = 2

// pauseThreshold is the gap between two ticks from which the process counts as paused. Upstreams
// may have turned cold meanwhile without this process observing it.
const pauseThreshold = time.Second

// stallTracker sums up the time in which this process did not run, for example on an overloaded
// machine. A stall adds to the measured time of the calls to all upstreams at once, and must
// not make them count as cold.
type stallTracker struct {
	interval time.Duration
	lastTick clock.Instant
	total    time.Duration
}

func newStallTracker(interval time.Duration) stallTracker {
	if interval <= 0 {
		interval = DefaultTickInterval
	}
	return stallTracker{interval: interval}
}

// tick records that the process is running.
func (s *stallTracker) tick(now clock.Instant) {
	s.total = s.totalAt(now)
	s.lastTick = now
}

// totalAt returns the total stall time up to the instant. It includes a stall that the next
// tick has yet to record, since calls often end before that tick.
func (s *stallTracker) totalAt(now clock.Instant) time.Duration {
	gap := now.Sub(s.lastTick)
	if s.lastTick == 0 || gap <= stallTickFactor*s.interval {
		return s.total
	}
	return s.total + gap - s.interval
}

// isPause reports whether the process was paused from its last tick to the instant.
func (s *stallTracker) isPause(now clock.Instant) bool {
	return s.lastTick != 0 && now.Sub(s.lastTick) >= pauseThreshold
}

// handlePause restarts the ramp of every upstream at a concurrency of 1 after a pause, so that
// one that turned cold meanwhile is found at low load (guarantee G2).
func (c *Core) handlePause(now clock.Instant) {
	if !c.stalls.isPause(now) {
		return
	}
	c.stalls.tick(now)
	for _, u := range c.orderedUpstreams {
		u.limiter.Ramp.Restart()
		u.updateLimits(now)
	}
}
