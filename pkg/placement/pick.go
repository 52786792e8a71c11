// Package placement chooses the upstream for a request that runs as a whole: a language
// model request with its prompt prefix, or a call of a plain service.
//
// Each VM decides by its own requests. Requests with the same prefix prefer the same
// upstreams on all VMs, by rendezvous hashing, unless these are clearly more loaded or
// slower than the best one.
package placement

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// preferredUpstreams is the number of upstreams that a prefix prefers.
	preferredUpstreams = 2
	// preferenceRatio and preferenceSlack bound the cost at which a preferred upstream is
	// taken although another one is cheaper. Reading a long prompt again costs about as
	// much as a few running requests slow each other down.
	preferenceRatio = 1.5
	preferenceSlack = 3.0
	// otherZoneCost is the extra cost of an upstream in another zone for requests without
	// prefix, in units of the load.
	otherZoneCost = 0.5
)

// Query is a request to place.
type Query struct {
	// Prefix is what the request's prompt shares with others; empty if nothing.
	Prefix string
	// Zone is that of this VM.
	Zone string
	// MaxInFlight bounds the requests of this VM at one upstream; 0 means no bound.
	MaxInFlight int
	// Weight is the number of requests of the fleet for which one request of this VM stands;
	// less than 1 counts as 1.
	Weight float64
	// Tried lists upstreams that must not be taken.
	Tried map[string]bool
}

// Exclusion says why there is no upstream for a request.
type Exclusion uint8

const (
	// Found means that there is one.
	Found Exclusion = iota
	// NoneInService means that the pool is empty.
	NoneInService
	// AllBusy means that each upstream is at a limit or in a pause.
	AllBusy
)

// Pick returns the upstream for a request, or nil with the reason. Upstreams in a pause
// are taken only if all others are excluded.
func Pick(now clock.Instant, q *Query, upstreams []*Upstream) (*Upstream, Exclusion) {
	if len(upstreams) == 0 {
		return nil, NoneInService
	}
	open, paused := candidates(now, q, upstreams)
	if len(open) == 0 {
		open = paused
	}
	if len(open) == 0 {
		return nil, AllBusy
	}
	best := cheapest(now, q, open)
	if q.Prefix == "" {
		return best, Found
	}
	// One request of this VM at the upstream may be all that the fleet has there, so that its
	// weight alone does not speak against the upstream.
	limit := best.cost(now, q.Weight)*preferenceRatio + preferenceSlack + max(q.Weight-1, 0)
	for _, u := range preferred(q.Prefix, open) {
		if u.cost(now, q.Weight) <= limit {
			return u, Found
		}
	}
	return best, Found
}

func candidates(now clock.Instant, q *Query, upstreams []*Upstream) (open, paused []*Upstream) {
	for _, u := range upstreams {
		switch {
		case q.Tried[u.ID], q.MaxInFlight > 0 && u.InFlight >= q.MaxInFlight, u.coldFull(now):
		case u.paused(now):
			paused = append(paused, u)
		default:
			open = append(open, u)
		}
	}
	return open, paused
}

func cheapest(now clock.Instant, q *Query, upstreams []*Upstream) *Upstream {
	var best *Upstream
	bestCost := 0.0
	for _, u := range upstreams {
		cost := u.cost(now, q.Weight)
		if q.Prefix == "" && u.Zone != q.Zone {
			cost += otherZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// preferred returns the first upstreams of the prefix's ranking.
func preferred(prefix string, upstreams []*Upstream) []*Upstream {
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
