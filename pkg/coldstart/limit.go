package coldstart

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Limiter computes this VM's concurrency limit for one upstream.
type Limiter struct {
	Warmth WarmthTracker
	Ramp   Ramp
	Lease  Lease
	// Share is the VM's part of the warm capacity.
	Share int
	// ColdCapacity is how many requests a cold upstream can run at once, from all VMs together.
	ColdCapacity int

	wasWarm bool
}

// Limit returns the concurrency limit, whether the upstream is warm, and the instant
// until which both are valid.
func (l *Limiter) Limit(now clock.Instant) (limit int, warm bool, until clock.Instant) {
	warm, until = l.Warmth.Warm(now)
	if warm && !l.wasWarm {
		l.Ramp.Restart()
	}
	l.wasWarm = warm
	if warm {
		return l.Ramp.Limit(l.Share), true, until
	}
	return min(l.Lease.Limit(now), l.ColdCapacity), false, l.Lease.Until
}
