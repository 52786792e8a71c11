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
func (t *StageEstimate) Record(elapsed time.Duration) {
	t.sketch.Add(elapsed)
	t.samplesUntilUpdate--
	if t.samplesUntilUpdate > 0 {
		return
	}
	t.update()
}

// Expected returns the expected service time, 0 before the first sample.
func (t *StageEstimate) Expected() time.Duration { return t.expected }

// Tail returns the tail quantile and the number of samples that it is based on.
func (t *StageEstimate) Tail() (time.Duration, int) { return t.tail, t.sketch.Total() }

// AllowProbe reports whether a request may run as a probe although the estimate exceeds its
// deadline. Each probe halves the weight of earlier samples.
func (t *StageEstimate) AllowProbe(now clock.Instant) bool {
	if t.lastProbe != 0 && now.Sub(t.lastProbe) < probeInterval {
		return false
	}
	t.lastProbe = now
	t.sketch.Halve()
	t.update()
	return true
}

func (t *StageEstimate) update() {
	t.samplesUntilUpdate = min(updateEverySamples, max(1, t.sketch.Total()))
	t.expected = t.sketch.Quantile(expectedQuantile)
	t.tail = t.sketch.Quantile(tailQuantile)
}
