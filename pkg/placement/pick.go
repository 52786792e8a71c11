// Package placement selects the upstream for a request that runs as a whole: a language model
// request with its prompt prefix, or a call of a plain service.
//
// Each VM decides from its own requests only. Rendezvous hashing makes requests with the same
// prefix prefer the same upstreams on all VMs, unless these are clearly more loaded or slower
// than the best one.
package placement

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// preferredUpstreams is the number of upstreams that a prefix prefers.
	preferredUpstreams = 2
	// preferredCostRatio and preferredCostSlack bound the cost up to which a preferred upstream
	// is chosen over a cheaper one. Processing a long prompt without the prefix cache costs
	// about as much as the slowdown from a few concurrent requests.
	preferredCostRatio = 1.5
	preferredCostSlack = 3.0
	// crossZoneCost is the extra cost of an upstream in another zone for requests without a
	// prefix, in units of one request.
	crossZoneCost = 0.5
)

// Request is a request to place.
type Request struct {
	// Prefix is the prompt prefix that the request shares with others; empty if there is none.
	Prefix string
	// Zone is the zone of this VM.
	Zone string
	// MaxInFlight bounds the requests of this VM at one upstream; 0 means no limit.
	MaxInFlight int
	// FleetWeight is the number of requests in the whole fleet that one request of this VM
	// stands for; values below 1 count as 1.
	FleetWeight float64
	// Tried is the set of upstreams that must not be chosen again.
	Tried map[string]bool
}

// PickStatus says whether Pick found an upstream, and if not, why.
type PickStatus uint8

const (
	// Found means that an upstream was chosen.
	Found PickStatus = iota
	// NoneInService means that the pool is empty.
	NoneInService
	// AllBusy means that each upstream was already tried or is at a limit.
	AllBusy
)

// Pick returns the upstream for a request, or nil and the reason. Upstreams in backoff are
// chosen only if no other one is available.
func Pick(now clock.Instant, r *Request, upstreams []*Upstream) (*Upstream, PickStatus) {
	if len(upstreams) == 0 {
		return nil, NoneInService
	}
	available, inBackoff := candidates(now, r, upstreams)
	if len(available) == 0 {
		available = inBackoff
	}
	if len(available) == 0 {
		return nil, AllBusy
	}
	best := cheapest(now, r, available)
	if r.Prefix == "" {
		return best, Found
	}
	// With a high fleet weight, a single request of this VM may be the only one of the fleet at
	// the upstream. Its weight alone must not rule out the upstream.
	limit := best.cost(now, r.FleetWeight)*preferredCostRatio + preferredCostSlack + max(r.FleetWeight-1, 0)
	for _, u := range preferredByPrefix(r.Prefix, available) {
		if u.cost(now, r.FleetWeight) <= limit {
			return u, Found
		}
	}
	return best, Found
}

func candidates(now clock.Instant, r *Request, upstreams []*Upstream) (available, inBackoff []*Upstream) {
	for _, u := range upstreams {
		switch {
		case r.Tried[u.ID], r.MaxInFlight > 0 && u.InFlight >= r.MaxInFlight, u.atColdRateLimit(now):
		case u.inBackoff(now):
			inBackoff = append(inBackoff, u)
		default:
			available = append(available, u)
		}
	}
	return available, inBackoff
}

func cheapest(now clock.Instant, r *Request, upstreams []*Upstream) *Upstream {
	var best *Upstream
	bestCost := 0.0
	for _, u := range upstreams {
		cost := u.cost(now, r.FleetWeight)
		if r.Prefix == "" && u.Zone != r.Zone {
			cost += crossZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// preferredByPrefix returns the highest-ranked upstreams of the prefix by rendezvous hashing.
func preferredByPrefix(prefix string, upstreams []*Upstream) []*Upstream {
	var top [preferredUpstreams]*Upstream
	var weights [preferredUpstreams]uint64
	for _, u := range upstreams {
		weight := rendezvous.Weight(prefix, u.ID)
		for i := range top {
			if top[i] == nil || weight > weights[i] {
				copy(top[i+1:], top[i:])
				copy(weights[i+1:], weights[i:])
				top[i], weights[i] = u, weight
				break
			}
		}
	}
	n := 0
	for n < len(top) && top[n] != nil {
		n++
	}
	return top[:n]
}
