// Package placement selects the upstream for a request that runs as a whole: a language model
// request with its prompt prefix, or a call of a plain service.
//
// Each VM decides from its own requests only. Rendezvous hashing makes requests with the same
// prefix prefer the same upstreams on all VMs, unless these are clearly more loaded or slower
// than the best one.
package placement

import (
	"cmp"
	"slices"

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
	// Prefix holds the parts of the prompt that the request shares with others, in prompt order;
	// empty if there are none.
	Prefix []PrefixLevel
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
	if len(r.Prefix) == 0 {
		return best, Found
	}
	// With a high fleet weight, a single request of this VM may be the only one of the fleet at
	// the upstream. Its weight alone must not rule out the upstream.
	limit := best.cost(now, r.FleetWeight)*preferredCostRatio + preferredCostSlack + max(r.FleetWeight-1, 0)
	isAvailable := func(u *Upstream) bool { return r.isAvailable(now, u) && !u.inBackoff(now) }
	for _, u := range preferredByPrefix(r.Prefix, upstreams, isAvailable) {
		if u.cost(now, r.FleetWeight) <= limit {
			return u, Found
		}
	}
	return best, Found
}

// isAvailable reports whether the upstream may take the request within all limits.
func (r *Request) isAvailable(now clock.Instant, u *Upstream) bool {
	return !r.Tried[u.ID] && (r.MaxInFlight <= 0 || u.InFlight < r.MaxInFlight) && !u.atColdRateLimit(now)
}

func candidates(now clock.Instant, r *Request, upstreams []*Upstream) (available, inBackoff []*Upstream) {
	for _, u := range upstreams {
		switch {
		case !r.isAvailable(now, u):
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
		if len(r.Prefix) == 0 && u.Zone != r.Zone {
			cost += crossZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// CacheSource returns the upstream from which the chosen one can copy the prefix of the request, or
// nil: the one that the prefix prefers most, which has probably cached it, if it is another one.
func CacheSource(now clock.Instant, r *Request, chosen *Upstream, upstreams []*Upstream) *Upstream {
	if len(r.Prefix) == 0 {
		return nil
	}
	preferred := preferredByPrefix(r.Prefix, upstreams, func(u *Upstream) bool { return !u.inBackoff(now) })
	if len(preferred) == 0 || preferred[0] == chosen {
		return nil
	}
	return preferred[0]
}

// preferredByPrefix returns the available upstreams that the prefix prefers, by rendezvous hashing.
// Each level narrows the upstreams down to a subset, also by those that are not available, so that
// the subset stays the same while an upstream is at a limit.
func preferredByPrefix(levels []PrefixLevel, upstreams []*Upstream, isAvailable func(*Upstream) bool) []*Upstream {
	last := levels[len(levels)-1].Part
	for _, level := range levels[:len(levels)-1] {
		if level.Upstreams > 0 && level.Upstreams < len(upstreams) {
			upstreams = top(level.Part, upstreams, level.Upstreams)
		}
	}
	candidates := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if isAvailable(u) {
			candidates = append(candidates, u)
		}
	}
	return top(last, candidates, preferredUpstreams)
}

// top returns the n highest-ranked upstreams of a part of a prompt, in order.
func top(part rendezvous.Hash, upstreams []*Upstream, n int) []*Upstream {
	ranked := slices.Clone(upstreams)
	slices.SortFunc(ranked, func(a, b *Upstream) int {
		if c := cmp.Compare(rendezvous.WeightOf(part, b.hash()), rendezvous.WeightOf(part, a.hash())); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked[:min(n, len(ranked))]
}
