package catalog

import "time"

// Upstream is one registered process of a pool. A restarted process usually registers under a
// new ID.
type Upstream struct {
	ID   string
	Pool string
	// Address is the IP:port.
	Address string
	Zone    string
	// Draining upstreams accept no new work.
	Draining bool
	// ColdRemaining is the rest of the cold start at the time of registration.
	ColdRemaining time.Duration
	// StartID distinguishes restarts under the same ID; 0 if unknown.
	StartID int64
	// Sequence counts what the process of the upstream has done since its start. Of two states with the same
	// StartID, the one with the lower Sequence is older.
	Sequence int64
	// SoftwareVersion is the version of the upstream's software; empty if unknown. A stream that one
	// version began cannot be resumed at another one.
	SoftwareVersion string
}
