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

// coldMargin is the part of the rate of a cold upstream that is handed out, so that two
// parts of a split fleet that count different VMs stay within the bound together.
const coldMargin = 0.6

// retryPart is the part of a repeat for which one request pays at most. Operators may allow
// less; half of what they allow is used, as VMs on both sides of a split count alone.
const retryPart = 0.1

// upstreams is what this VM knows of upstreams from its own requests.
type upstreams struct {
	now func() clock.Instant

	mu      sync.Mutex
	states  map[string]*upstreamState
	budgets map[string]*retry.Budget
	// prefixes holds by what the requests of a route are placed.
	prefixes map[string]*placement.PrefixSelector
	granted  clock.Instant
	// grant is the number of repeats per second and pool that need no requests.
	grant float64
	// part is what a first attempt adds to the budget of its pool.
	part float64
}

type upstreamState struct {
	placement.Upstream
	entry registry.Entry
}

func newUpstreams(now func() clock.Instant) *upstreams {
	return &upstreams{
		now: now, states: map[string]*upstreamState{}, budgets: map[string]*retry.Budget{},
		prefixes: map[string]*placement.PrefixSelector{}, granted: now(),
	}
}

// apply takes over a view and the names of the VMs that may be running.
func (u *upstreams) apply(view *View, s *Settings, names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grant = s.RetryBurst / max(s.RetryWindow.Seconds(), 1) / float64(len(names)) / 2
	u.part = min(retryPart, s.RetryShare/2)
	for id, entry := range view.ByID {
		state := u.states[id]
		if state == nil || state.entry.StartID != entry.StartID {
			state = &upstreamState{Upstream: placement.Upstream{ID: id, Zone: entry.Zone}}
			u.states[id] = state
		}
		state.entry = entry
		state.ColdUntil = max(state.ColdUntil, entry.ColdUntil)
		if view.Catalog != nil {
			state.ColdRateLimit = coldShare(view.Catalog.Pools[entry.Pool], s, id, names)
		}
	}
	for id, state := range u.states {
		if _, ok := view.ByID[id]; !ok && state.InFlight == 0 {
			delete(u.states, id)
		}
	}
	if view.Catalog != nil {
		maps.DeleteFunc(u.prefixes, func(route string, _ *placement.PrefixSelector) bool { return !view.Catalog.HasRoute(route) })
	}
}

// coldShare returns this VM's part of the requests per second to a cold upstream. With
// more VMs than requests the first VMs in the ranking of the upstream may send one each.
func coldShare(pool *catalog.Pool, s *Settings, id string, names []string) int {
	if pool == nil || pool.ColdRequestsPerSecond <= 0 {
		return int(^uint(0) >> 1)
	}
	total := int((pool.ColdRequestsPerSecond*max(s.ColdFactor, 1) + s.ColdBurst) * coldMargin)
	if share := total / len(names); share > 0 {
		return share
	}
	if slices.Index(rendezvous.Rank(id, names), s.VM) < total {
		return 1
	}
	return 0
}

// lease is a request that occupies an upstream.
type lease struct {
	owner   *upstreams
	state   *upstreamState
	entry   registry.Entry
	started clock.Instant
	// gotEvent is set once an event of the answer was passed on.
	gotEvent bool
}

// take chooses an upstream in service for a request.
func (u *upstreams) take(view *View, pool string, q *placement.Request) (*lease, placement.PickStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	chosen, exclusion := placement.Pick(now, q, u.candidates(view, pool))
	if chosen == nil {
		return nil, exclusion
	}
	state := u.states[chosen.ID]
	state.RecordStart(now)
	return &lease{owner: u, state: state, entry: state.entry, started: now}, placement.Found
}

// candidates returns the upstreams of a pool in service. The caller holds the lock.
func (u *upstreams) candidates(view *View, pool string) []*placement.Upstream {
	var out []*placement.Upstream
	for _, entry := range view.InService[pool] {
		if state := u.states[entry.ID]; state != nil {
			out = append(out, &state.Upstream)
		}
	}
	return out
}

// zoneFor returns the zone of the upstream that a request would get now, or "".
func (u *upstreams) zoneFor(view *View, pool string, q *placement.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	chosen, _ := placement.Pick(u.now(), q, u.candidates(view, pool))
	if chosen == nil {
		return ""
	}
	return chosen.Zone
}

// prefixKey returns the part of a prompt by which a request of a route is placed.
func (u *upstreams) prefixKey(route string, shared []string, upstreams int) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := u.prefixes[route]
	if key == nil {
		key = &placement.PrefixSelector{}
		u.prefixes[route] = key
	}
	return key.Choose(shared, upstreams)
}

// with changes the state of the leased upstream.
func (l *lease) with(change func(now clock.Instant, u *placement.Upstream)) {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	change(l.owner.now(), &l.state.Upstream)
}

// end gives the place back.
func (l *lease) end() {
	l.with(func(_ clock.Instant, u *placement.Upstream) { u.RecordEnd() })
}

// deposit records a first attempt at a pool.
func (u *upstreams) deposit(pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget(pool).AddTokens(u.part)
}

// repeat reports whether the budget of the pool allows another attempt, and takes it.
func (u *upstreams) repeat(pool string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.budget(pool).TryWithdraw()
}

func (u *upstreams) budget(pool string) *retry.Budget {
	now := u.now()
	if elapsed := now.Sub(u.granted).Seconds(); elapsed > 0 {
		for _, b := range u.budgets {
			b.AddTokens(u.grant * elapsed)
		}
		u.granted = now
	}
	b := u.budgets[pool]
	if b == nil {
		b = &retry.Budget{}
		b.AddTokens(1)
		u.budgets[pool] = b
	}
	return b
}
