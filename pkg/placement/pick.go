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
	// InputZone is the zone that holds large inputs of the request; empty if there are none. Copying
	// a cached prefix to that zone costs less than moving the inputs out of it.
	InputZone string
	// MaxInFlight bounds the requests of this VM at one upstream; 0 means no limit.
	MaxInFlight int
	// FleetWeight is the number of requests in the whole fleet that one request of this VM
	// stands for; values below 1 count as 1.
	FleetWeight float64
	// Tried is the set of upstreams that must not be chosen again.
	Tried map[string]bool
	// IsZoneSuspect reports whether a zone is probably cut off; its upstreams then count as in
	// backoff. It may be nil.
	IsZoneSuspect func(zone string) bool
	// Restrictions holds the upstreams that may not be used freely, by ID. It may be nil.
	Restrictions map[string]Restriction
}

// Restriction says how far an upstream may be used for a request.
type Restriction uint8

const (
	// Unrestricted upstreams may be used freely.
	Unrestricted Restriction = iota
	// LastResort upstreams count as in backoff.
	LastResort
	// Excluded upstreams must not be used.
	Excluded
)

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

// Choice is the outcome of Pick.
type Choice struct {
	// Upstream is nil if none was found.
	Upstream *Upstream
	// CacheSource is an upstream from which the chosen one can copy what it lacks of the prefix of
	// the request: the most preferred other one. It is nil if there is none.
	CacheSource *Upstream
}

// Pick returns the upstream for a request, or the reason why there is none. Upstreams in backoff
// are chosen only if no other one is available.
func Pick(now clock.Instant, r *Request, upstreams []*Upstream) (Choice, PickStatus) {
	if len(upstreams) == 0 {
		return Choice{}, NoneInService
	}
	available, inBackoff := candidates(now, r, upstreams)
	if len(available) == 0 {
		available = inBackoff
	}
	if len(available) == 0 {
		return Choice{}, AllBusy
	}
	best := cheapest(now, r, available)
	if len(r.Prefix) == 0 {
		return Choice{Upstream: best}, Found
	}
	return pickByPrefix(now, r, upstreams, best), Found
}

// pickByPrefix returns the first preferred upstream that is not clearly more expensive than the
// cheapest one, or else the cheapest one. With large inputs it stays in their zone, if that has an
// upstream that is not clearly more expensive.
func pickByPrefix(now clock.Instant, r *Request, upstreams []*Upstream, cheapest *Upstream) Choice {
	// With a high fleet weight, a single request of this VM may be the only one of the fleet at
	// the upstream. Its weight alone must not rule out the upstream.
	limit := cheapest.cost(now, r.FleetWeight)*preferredCostRatio + preferredCostSlack + max(r.FleetWeight-1, 0)
	preferred := preferredByPrefix(now, r, upstreams)
	chosen := r.firstBelow(now, preferred, limit)
	if r.InputZone != "" && (chosen == nil || chosen.Zone != r.InputZone) {
		inZone := preferredByPrefix(now, r, upstreamsIn(r.InputZone, upstreams))
		if local := r.firstBelow(now, inZone, limit); local != nil {
			chosen = local
		}
	}
	if chosen == nil {
		chosen = cheapest
	}
	choice := Choice{Upstream: chosen}
	// The first preferred upstream that is not the chosen one has probably cached the prefix: the
	// chosen one may be new, or take the place of one at a limit.
	for _, u := range preferred {
		if u != choice.Upstream {
			choice.CacheSource = u
			break
		}
	}
	return choice
}

// firstBelow returns the first of the upstreams that is available at a cost up to the limit, or nil.
func (r *Request) firstBelow(now clock.Instant, upstreams []*Upstream, limit float64) *Upstream {
	for _, u := range upstreams {
		if r.isAvailable(now, u) && u.cost(now, r.FleetWeight) <= limit {
			return u
		}
	}
	return nil
}

// upstreamsIn returns the upstreams of a zone.
func upstreamsIn(zone string, upstreams []*Upstream) []*Upstream {
	var out []*Upstream
	for _, u := range upstreams {
		if u.Zone == zone {
			out = append(out, u)
		}
	}
	return out
}

// IsAvailable reports whether an upstream that was chosen elsewhere may take the request within all
// limits of this VM.
func IsAvailable(now clock.Instant, r *Request, u *Upstream) bool {
	return r.isAvailable(now, u) && !r.inBackoff(now, u)
}

// isAvailable reports whether the upstream may take the request within all limits.
func (r *Request) isAvailable(now clock.Instant, u *Upstream) bool {
	return !r.Tried[u.ID] && r.Restrictions[u.ID] != Excluded && (r.MaxInFlight <= 0 || u.InFlight < r.MaxInFlight) &&
		!u.atColdRateLimit(now) && !u.Return.Blocks(now)
}

// inBackoff reports whether the upstream, or its whole zone, failed a short time ago, or is to be
// used as a last resort only.
func (r *Request) inBackoff(now clock.Instant, u *Upstream) bool {
	return u.InBackoff(now) || r.Restrictions[u.ID] == LastResort || (r.IsZoneSuspect != nil && u.Zone != r.Zone && r.IsZoneSuspect(u.Zone))
}

func candidates(now clock.Instant, r *Request, upstreams []*Upstream) (available, inBackoff []*Upstream) {
	for _, u := range upstreams {
		switch {
		case !r.isAvailable(now, u):
		case r.inBackoff(now, u):
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

// preferredByPrefix returns the upstreams that the prefix prefers, by rendezvous hashing. Each level
// narrows the upstreams down to a subset. It includes those at a limit, so that the subset stays
// the same meanwhile; those in backoff are left out.
func preferredByPrefix(now clock.Instant, r *Request, upstreams []*Upstream) []*Upstream {
	levels := r.Prefix
	for _, level := range levels[:len(levels)-1] {
		if level.Upstreams > 0 && level.Upstreams < len(upstreams) {
			upstreams = top(level.Part, upstreams, level.Upstreams)
		}
	}
	reachable := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if !r.inBackoff(now, u) {
			reachable = append(reachable, u)
		}
	}
	return top(levels[len(levels)-1].Part, reachable, preferredUpstreams)
}

// weightedUpstream is an upstream with its weight for a part of a prompt.
type weightedUpstream struct {
	*Upstream
	weight uint64
}

// compareWeights orders upstreams by falling weight.
func compareWeights(a, b weightedUpstream) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.ID, b.ID)
}

// top returns the n highest-ranked upstreams of a part of a prompt, in order.
func top(part rendezvous.Hash, upstreams []*Upstream, n int) []*Upstream {
	n = min(n, len(upstreams))
	ranked := make([]weightedUpstream, 0, n+1)
	for _, u := range upstreams {
		next := weightedUpstream{u, rendezvous.WeightOf(part, u.hash())}
		if len(ranked) == n && compareWeights(ranked[n-1], next) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(ranked, next, compareWeights)
		ranked = slices.Insert(ranked, at, next)
		ranked = ranked[:min(len(ranked), n)]
	}
	out := make([]*Upstream, 0, n)
	for _, u := range ranked {
		out = append(out, u.Upstream)
	}
	return out
}
