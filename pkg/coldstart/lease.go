package coldstart

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Lease permits the use of slots of a cold upstream, one request per slot.
type Lease struct {
	Slots int
	// Until is when the lease expires.
	Until clock.Instant
}

// Limit returns the usable slots at the instant.
func (l Lease) Limit(now clock.Instant) int {
	if now >= l.Until {
		return 0
	}
	return l.Slots
}
