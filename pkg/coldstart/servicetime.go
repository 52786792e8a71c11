package coldstart

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/quantile"
)

const (
	// jumpFactor is the ratio to the learned median above which an attempt counts as slow.
	jumpFactor = 3
	// jumpWindow and jumpCount: that many slow attempts among the last ones are a jump.
	// One slow attempt is not, since answers of engines differ in length.
	jumpWindow = 5
	jumpCount  = 3
	// jumpMinimum is how far above the median an attempt must be to count as slow. A pause
	// of the gateway's own process of some 10 ms makes the calls to every upstream late at
	// once, which is no sign that any of them turned cold.
	jumpMinimum = 20 * time.Millisecond
	// learnedAfter is the number of samples from which the median is used.
	learnedAfter = 20
)

// serviceTimes learns the median service time of a warm upstream.
type serviceTimes struct {
	sketch quantile.Sketch
	median time.Duration
	slow   [jumpWindow]bool
	next   int
	until  int
	// seenAt and slowAt are when the latest attempt and the latest slow one ended.
	seenAt clock.Instant
	slowAt clock.Instant
}

// isSlow reports whether an attempt took far longer than the median.
func (s *serviceTimes) isSlow(elapsed time.Duration) bool {
	return s.sketch.Total() >= learnedAfter && elapsed > max(jumpFactor*s.median, s.median+jumpMinimum)
}

// jump records an attempt and reports whether recent ones jumped above the median.
// Attempts on a cold upstream are not learned from, and a slow one whose cause is common to
// many upstreams says nothing about this one.
func (s *serviceTimes) jump(now clock.Instant, elapsed time.Duration, warm, common bool) bool {
	if !warm {
		return false
	}
	slow := s.isSlow(elapsed)
	s.seenAt = now
	if slow {
		s.slowAt = now
	}
	if slow && common {
		return false
	}
	s.slow[s.next] = slow
	s.next = (s.next + 1) % jumpWindow
	if !slow {
		s.learn(elapsed)
		return false
	}
	count := 0
	for _, was := range s.slow {
		if was {
			count++
		}
	}
	return count >= jumpCount
}

func (s *serviceTimes) learn(elapsed time.Duration) {
	s.sketch.Add(elapsed)
	s.until--
	if s.until <= 0 {
		s.median = s.sketch.Quantile(0.5)
		s.until = learnedAfter / 2
	}
}

func (s *serviceTimes) reset() { *s = serviceTimes{} }
