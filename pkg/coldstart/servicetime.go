package coldstart

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/quantile"
)

const (
	// slowFactor is the multiple of the median above which an attempt counts as slow.
	slowFactor = 3
	// An upstream counts as cold if slowWindowThreshold of its last slowWindow attempts were
	// slow. One slow attempt isn't enough, since answers of engines differ in length.
	slowWindow          = 5
	slowWindowThreshold = 3
	// slowMinExcess is how far above the median an attempt must be to count as slow. A pause
	// of about 10 ms of the gateway's own process delays the calls to all upstreams at once
	// and must not make them count as cold.
	slowMinExcess = 20 * time.Millisecond
	// minSamples is the number of samples needed before the median is used.
	minSamples = 20
)

// serviceTimes estimates the median service time of a warm upstream.
type serviceTimes struct {
	sketch            quantile.Sketch
	median            time.Duration
	recentSlow        [slowWindow]bool
	next              int
	untilMedianUpdate int
	// lastAttemptAt and lastSlowAt are when the latest attempt and the latest slow attempt ended.
	lastAttemptAt clock.Instant
	lastSlowAt    clock.Instant
}

// isSlow reports whether an attempt took far longer than the median.
func (s *serviceTimes) isSlow(elapsed time.Duration) bool {
	return s.sketch.Total() >= minSamples && elapsed > max(slowFactor*s.median, s.median+slowMinExcess)
}

// record adds an attempt and reports whether slowWindowThreshold of the last slowWindow
// attempts were slow. It doesn't count attempts on a cold upstream, nor slow attempts at a
// time when most upstreams are slow, since those say nothing about this one.
func (s *serviceTimes) record(now clock.Instant, elapsed time.Duration, warm, widespread bool) bool {
	if !warm {
		return false
	}
	slow := s.isSlow(elapsed)
	s.lastAttemptAt = now
	if slow {
		s.lastSlowAt = now
	}
	if slow && widespread {
		return false
	}
	s.recentSlow[s.next] = slow
	s.next = (s.next + 1) % slowWindow
	if !slow {
		s.addSample(elapsed)
		return false
	}
	count := 0
	for _, isSlow := range s.recentSlow {
		if isSlow {
			count++
		}
	}
	return count >= slowWindowThreshold
}

func (s *serviceTimes) addSample(elapsed time.Duration) {
	s.sketch.Add(elapsed)
	s.untilMedianUpdate--
	if s.untilMedianUpdate <= 0 {
		s.median = s.sketch.Quantile(0.5)
		s.untilMedianUpdate = minSamples / 2
	}
}

func (s *serviceTimes) reset() { *s = serviceTimes{} }
