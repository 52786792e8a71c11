// Package admission decides which requests run when capacity is scarce. It estimates from
// measured service times whether a deadline can be met, shares capacity between workspaces
// by weighted fair queuing and serves the attempts of a workspace by least slack.
package admission

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/quantile"
)

const (
	// expectedQuantile is the service time quantile that must fit into the time left.
	expectedQuantile = 0.5
	// tailQuantile is the service time quantile after which an attempt may be hedged.
	tailQuantile = 0.95
	// updateEverySamples is the number of samples between updates of the quantiles.
	updateEverySamples = 8
	// probeInterval is the interval between requests that run although the estimate exceeds
	// their deadline. Without such probes no sample would correct an estimate that is too
	// high.
	probeInterval = 250 * time.Millisecond
)

// StageEstimate estimates the service time of one stage in one pool.
type StageEstimate struct {
	sketch             quantile.Sketch
	expected           time.Duration
	tail               time.Duration
	samplesUntilUpdate int
	lastProbe          clock.Instant
}

// Record records a service time.
func (e *StageEstimate) Record(elapsed time.Duration) {
	e.sketch.Add(elapsed)
	e.samplesUntilUpdate--
	if e.samplesUntilUpdate > 0 {
		return
	}
	e.update()
}

// Expected returns the expected service time, 0 before the first sample.
func (e *StageEstimate) Expected() time.Duration { return e.expected }

// Tail returns the tail quantile and the number of samples that it is based on.
func (e *StageEstimate) Tail() (time.Duration, int) { return e.tail, e.sketch.Total() }

// AllowProbe reports whether a request may run as a probe although the estimate exceeds its
// deadline. Each probe halves the weight of earlier samples.
func (e *StageEstimate) AllowProbe(now clock.Instant) bool {
	if e.lastProbe != 0 && now.Sub(e.lastProbe) < probeInterval {
		return false
	}
	e.lastProbe = now
	e.sketch.Halve()
	e.update()
	return true
}

func (e *StageEstimate) update() {
	e.samplesUntilUpdate = min(updateEverySamples, max(1, e.sketch.Total()))
	e.expected = e.sketch.Quantile(expectedQuantile)
	e.tail = e.sketch.Quantile(tailQuantile)
}
