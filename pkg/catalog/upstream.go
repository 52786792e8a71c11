package catalog

import "time"

// Upstream is one registered process of a pool. A new start mostly has a new ID.
type Upstream struct {
	ID   string
	Pool string
	// Address is the IP:port.
	Address string
	Zone    string
	// Draining upstreams take no new work.
	Draining bool
	// ColdLeft is how long the upstream remained in cold start when it registered.
	ColdLeft time.Duration
	// Started distinguishes starts under the same ID; 0 if unknown.
	Started int64
}
