package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// stallTickFactor is the number of tick intervals above which a gap counts as a stall.
const stallTickFactor = 2

// pauseThreshold is the gap between two ticks from which the process counts as paused. What
// it knew of upstreams before may then be wrong without a sign.
const pauseThreshold = time.Second

// stallTracker sums up the time in which the own process did not run, such as on an overloaded
// machine. Calls to every upstream look slow by that time at once, which is no sign that
// any of them turned cold.
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

// tick records that the process runs.
func (s *stallTracker) tick(now clock.Instant) {
	s.total = s.totalAt(now)
	s.lastTick = now
}

// totalAt returns the sum up to the instant. It includes a stall whose tick is still due,
// since the ends of calls often come before it.
func (s *stallTracker) totalAt(now clock.Instant) time.Duration {
	gap := now.Sub(s.lastTick)
	if s.lastTick == 0 || gap <= stallTickFactor*s.interval {
		return s.total
	}
	return s.total + gap - s.interval
}

// isPause reports whether the process was paused until the instant.
func (s *stallTracker) isPause(now clock.Instant) bool {
	return s.lastTick != 0 && now.Sub(s.lastTick) >= pauseThreshold
}

// handlePause lets every warm upstream start again at a concurrency of 1 after a pause, so
// that one that turned cold meanwhile shows it at low load (G2).
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
