package enginepool

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// gapWeight is the weight of a stream with fullGaps gaps between its events or more in the averages
	// of the time between events.
	gapWeight = 0.3
	fullGaps  = 8
	// paceHalfLife is the half-life of the knowledge about the pace of an engine that gets no
	// requests, so that one that was slow for some time is tried again.
	paceHalfLife = 8 * time.Second
	// minPace and maxPace bound the pace.
	minPace = 0.25
	maxPace = 16
)

// pace is the speed of an engine as the typical time between two events of its streams. Engines
// differ in speed, and those that share their host with others change it. The zero value has no
// sample.
type pace struct {
	gap        mean
	measuredAt clock.Instant
}

// add records the mean time between the events of a stream. An engine without samples counts as usual,
// so that one stream alone does not decide.
func (p *pace) add(now clock.Instant, usual mean, gap time.Duration, gaps int) {
	if p.gap.value == 0 {
		p.gap = usual
	}
	p.gap.add(gap, weightOfGaps(gaps))
	p.measuredAt = now
}

// weightOfGaps returns the weight of a stream with a number of gaps between its events.
func weightOfGaps(n int) float64 { return gapWeight * min(float64(n)/fullGaps, 1) }

// factor returns how much longer than usual the engine takes. usual is the average of all engines.
func (p *pace) factor(now clock.Instant, usual mean) float64 {
	if p.gap.value == 0 || usual.value == 0 {
		return 1
	}
	age := float64(now.Sub(p.measuredAt)) / float64(paceHalfLife)
	ratio := p.gap.value / usual.value
	return min(max(1+(ratio-1)*math.Exp2(-age), minPace), maxPace)
}
