package coldstart

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Report is one VM's observations of an upstream, as exchanged between VMs.
type Report struct {
	Upstream string
	Reporter string
	// Sequence increases with each report of the reporter's process.
	Sequence uint64
	// Successes counts the reporter's own successes since it last found the upstream cold.
	Successes int
	// Cold is set if the reporter found the upstream cold at Observed.
	Cold bool
	// Observed is the time of the observations, on the receiver's clock.
	Observed clock.Instant
}
