package routing

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// reportLifetime is the age at which a load report is ignored.
const reportLifetime = 10 * time.Second

// LoadEstimate estimates the concurrency of an upstream over all VMs. The attempts of this
// VM are known exactly. Those of other VMs come from delayed load reports; as a report ages,
// the estimate shifts to what this VM's share of the capacity suggests.
type LoadEstimate struct {
	// Capacity is the current maximum concurrency of the upstream over all VMs.
	Capacity int
	// Share is this VM's share of Capacity.
	Share int

	others    float64
	sampledAt clock.Instant
}

// ApplyReport applies a load report of the upstream. own is this VM's concurrency at the
// sample time, so that attempts sent later are added.
func (l *LoadEstimate) ApplyReport(sampled clock.Instant, inFlight, own int) {
	if sampled < l.sampledAt {
		return
	}
	l.sampledAt = sampled
	l.others = float64(max(0, inFlight-own))
}

// Estimate returns the estimated concurrency while this VM has own attempts in flight.
func (l *LoadEstimate) Estimate(now clock.Instant, own int) float64 {
	expected := 0.0
	if l.Share > 0 {
		// Other VMs are assumed to use the same fraction of their shares as this VM.
		expected = float64(own) * float64(l.Capacity-l.Share) / float64(l.Share)
	}
	age := now.Sub(l.sampledAt)
	if l.sampledAt == 0 || age >= reportLifetime {
		return float64(own) + expected
	}
	weight := 1 - float64(age)/float64(reportLifetime)
	return float64(own) + weight*l.others + (1-weight)*expected
}
