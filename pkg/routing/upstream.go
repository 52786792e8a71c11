// Package routing chooses an upstream for an attempt in three steps: filter, score
// and pick. ZoneSpillover combines them for a pool: it prefers the zone of this VM and
// spills over to other zones when that zone is busy. The inputs are the estimated load of each
// upstream and, for engines, which upstream has a prompt prefix in its cache.
package routing

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Upstream is the routing state of one upstream.
type Upstream struct {
	// ID is the index among the pool's upstreams, for the caller's use.
	ID   int
	Name string
	Zone string
	// OwnZone is set if the upstream is in the zone of this VM.
	OwnZone bool
	// InService is false from the moment the upstream is taken out of service or removed.
	InService bool
	// Warm is false during a cold start, when a lower capacity applies.
	Warm bool
	// Limit is this VM's maximum concurrency until LimitUntil; after that no attempt is allowed.
	Limit      int
	LimitUntil clock.Instant
	// InFlight counts this VM's attempts on the upstream, including reservations kept for
	// attempts that it may still be running.
	InFlight int
	// Suspects counts the attempts in flight of suspect requests.
	Suspects int
	// Backoff is the backoff after connection failures.
	Backoff ConnectBackoff
	// Load estimates the concurrency over all VMs.
	Load LoadEstimate

	// index is the index in the candidate set while listed is set.
	index  int
	listed bool
	// nameHash is the hash of Name, set when listed.
	nameHash uint64
	// preferable is set if the upstream could be a preferred one at the last update.
	preferable bool
}

// Query describes the attempt that needs an upstream.
type Query struct {
	Now clock.Instant
	// Exclude names the upstreams that the request has already tried.
	Exclude []string
	// Suspect is set if an upstream crashed while it ran the request.
	Suspect bool
	// Prefix is a hash of the prompt prefix, 0 for none.
	Prefix uint64
}

// Utilization returns the estimated load as a fraction of the capacity.
func (u *Upstream) Utilization(now clock.Instant) float64 {
	return u.Load.Estimate(now, u.InFlight) / float64(max(u.Load.Capacity, 1))
}
