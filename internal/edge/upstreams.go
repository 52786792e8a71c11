package edge

import (
	"maps"
	"slices"
	"sync"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

// coldRateFraction is the fraction of the rate limit of a cold upstream that the VMs use
// together. The rest is a margin for a network partition, in which each part of the fleet
// divides the limit among fewer VMs.
const coldRateFraction = 0.6

// maxRetryRatio bounds the retry tokens that one request adds to the budget. Operators may
// allow fewer. Half of what they allow is used, since in a network partition the VMs on each
// side count only themselves.
const maxRetryRatio = 0.1

// upstreams holds what this VM knows about upstreams from its own requests, and the retry
// budgets of pools.
type upstreams struct {
	now func() clock.Instant

	mu      sync.Mutex
	states  map[string]*upstreamState
	budgets map[string]*retry.Budget
	// prefixSelectors choose the prompt prefix for placement, by route.
	prefixSelectors map[string]*placement.PrefixSelector
	refilledAt      clock.Instant
	// refillPerSecond is the number of retries per second that a pool's budget gains without
	// requests.
	refillPerSecond float64
	// tokensPerRequest is what a first attempt adds to the retry budget of its pool.
	tokensPerRequest float64
}

type upstreamState struct {
	placement.Upstream
	entry registry.Entry
}

func newUpstreams(now func() clock.Instant) *upstreams {
	return &upstreams{
		now: now, states: map[string]*upstreamState{}, budgets: map[string]*retry.Budget{},
		prefixSelectors: map[string]*placement.PrefixSelector{}, refilledAt: now(),
	}
}

// update applies a view and the names of the VMs that may be running.
func (u *upstreams) update(view *View, s *Settings, names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refillPerSecond = s.RetryBurst / max(s.RetryWindow.Seconds(), 1) / float64(len(names)) / 2
	u.tokensPerRequest = min(maxRetryRatio, s.RetryRatio/2)
	for id, entry := range view.ByID {
		state := u.states[id]
		if state == nil || state.entry.StartID != entry.StartID {
			state = &upstreamState{Upstream: placement.Upstream{ID: id, Zone: entry.Zone}}
			u.states[id] = state
		}
		state.entry = entry
		state.ColdUntil = max(state.ColdUntil, entry.ColdUntil)
		if view.Catalog != nil {
			state.ColdRateLimit = coldRateLimit(view.Catalog.Pools[entry.Pool], s, id, names)
		}
	}
	for id, state := range u.states {
		if _, ok := view.ByID[id]; !ok && state.InFlight == 0 {
			delete(u.states, id)
		}
	}
	if view.Catalog != nil {
		maps.DeleteFunc(u.prefixSelectors, func(route string, _ *placement.PrefixSelector) bool { return !view.Catalog.HasRoute(route) })
	}
}

// coldRateLimit returns how many requests per second this VM may send to a cold upstream. If
// there are more VMs than requests, the first VMs in the ranking of the upstream may send one
// each.
func coldRateLimit(pool *catalog.Pool, s *Settings, id string, names []string) int {
	if pool == nil || pool.ColdRequestsPerSecond <= 0 {
		return int(^uint(0) >> 1)
	}
	total := int((pool.ColdRequestsPerSecond*max(s.ColdRateFactor, 1) + s.ColdRateBurst) * coldRateFraction)
	if share := total / len(names); share > 0 {
		return share
	}
	if slices.Index(rendezvous.Rank(id, names), s.VM) < total {
		return 1
	}
	return 0
}

// lease counts one request as in flight at an upstream until release is called.
type lease struct {
	upstreams *upstreams
	state     *upstreamState
	entry     registry.Entry
	started   clock.Instant
	// cacheSource is the address of the upstream that probably caches the prompt prefix of the
	// request; empty if it is this one or not known.
	cacheSource string
	// eventSent is set once an event of the response was forwarded to the caller.
	eventSent bool
}

// acquire chooses an upstream in service for a request, and counts the request as in flight.
func (u *upstreams) acquire(view *View, pool string, request *placement.Request) (*lease, placement.PickStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	candidates := u.candidates(view, pool)
	chosen, status := placement.Pick(now, request, candidates)
	if chosen == nil {
		return nil, status
	}
	state := u.states[chosen.ID]
	state.RecordStart(now)
	l := &lease{upstreams: u, state: state, entry: state.entry, started: now}
	if source := placement.CacheSource(now, request, chosen, candidates); source != nil {
		l.cacheSource = u.states[source.ID].entry.Address
	}
	return l, placement.Found
}

// candidates returns the upstreams in service of a pool. The caller holds the lock.
func (u *upstreams) candidates(view *View, pool string) []*placement.Upstream {
	var out []*placement.Upstream
	for _, entry := range view.InService[pool] {
		if state := u.states[entry.ID]; state != nil {
			out = append(out, &state.Upstream)
		}
	}
	return out
}

// pickZone returns the zone of the upstream that would be chosen for a request now, or "".
func (u *upstreams) pickZone(view *View, pool string, request *placement.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	chosen, _ := placement.Pick(u.now(), request, u.candidates(view, pool))
	if chosen == nil {
		return ""
	}
	return chosen.Zone
}

// choosePrefix returns the prompt prefix for the placement of a request of a route.
func (u *upstreams) choosePrefix(route string, shared []string, upstreams int) []placement.PrefixLevel {
	u.mu.Lock()
	defer u.mu.Unlock()
	selector := u.prefixSelectors[route]
	if selector == nil {
		selector = &placement.PrefixSelector{}
		u.prefixSelectors[route] = selector
	}
	return selector.Choose(shared, upstreams)
}

// update changes the state of the leased upstream under the lock.
func (l *lease) update(change func(now clock.Instant, u *placement.Upstream)) {
	l.upstreams.mu.Lock()
	defer l.upstreams.mu.Unlock()
	change(l.upstreams.now(), &l.state.Upstream)
}

// release counts the request as ended.
func (l *lease) release() {
	l.update(func(_ clock.Instant, u *placement.Upstream) { u.RecordEnd() })
}

// addRetryTokens adds the tokens of a first attempt to the retry budget of its pool.
func (u *upstreams) addRetryTokens(pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryBudget(pool).AddTokens(u.tokensPerRequest)
}

// withdrawRetry reports whether the retry budget of the pool allows another attempt, and
// withdraws it.
func (u *upstreams) withdrawRetry(pool string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retryBudget(pool).TryWithdraw()
}

func (u *upstreams) retryBudget(pool string) *retry.Budget {
	now := u.now()
	if elapsed := now.Sub(u.refilledAt).Seconds(); elapsed > 0 {
		for _, b := range u.budgets {
			b.AddTokens(u.refillPerSecond * elapsed)
		}
		u.refilledAt = now
	}
	b := u.budgets[pool]
	if b == nil {
		b = &retry.Budget{}
		b.AddTokens(1)
		u.budgets[pool] = b
	}
	return b
}
