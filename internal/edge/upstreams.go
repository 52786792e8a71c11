package edge

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

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
	// initialTokens is what the retry budget of a pool starts with.
	initialTokens float64
	// tokensPerRequest is what a first attempt adds to the retry budget of its pool.
	tokensPerRequest float64
	// zones infers which zones are cut off from this VM.
	zones placement.ZoneHealth
	// isZoneSuspect reports whether the membership protocol suspects that a zone is cut off.
	isZoneSuspect func(zone string) bool
	// coldShare divides the rate limits of cold upstreams among the VMs.
	coldShare *coldShare
	// askHealth asks an upstream for its state, without waiting for the answer.
	askHealth func(healthQuestion)
}

type upstreamState struct {
	placement.Upstream
	entry *registry.Entry
	// share is the division from which ColdRate was computed.
	share *coldShare
}

func newUpstreams(now func() clock.Instant, isZoneSuspect func(zone string) bool) *upstreams {
	return &upstreams{
		now: now, isZoneSuspect: isZoneSuspect, askHealth: func(healthQuestion) {}, states: map[string]*upstreamState{}, budgets: map[string]*retry.Budget{},
		prefixSelectors: map[string]*placement.PrefixSelector{}, refilledAt: now(),
	}
}

// update applies a view, the names of the known VMs, and the number of VMs that limits on rates are
// divided by.
func (u *upstreams) update(view *View, s *Settings, names []string, vms int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refillPerSecond = s.RetryBurst / max(s.RetryWindow.Seconds(), 1) / float64(max(vms, 1)) / 2
	u.initialTokens = min(1, s.RetryBurst/float64(max(vms, 1))/2)
	u.tokensPerRequest = min(maxRetryRatio, s.RetryRatio/2)
	u.coldShare = newColdShare(view.Catalog, s, names, vms)
	for id, entry := range view.ByID {
		state := u.states[id]
		if state == nil || state.entry.StartID != entry.StartID {
			restarted := state != nil
			state = &upstreamState{Upstream: placement.Upstream{ID: id, Zone: entry.Zone}, entry: entry}
			u.states[id] = state
			if restarted {
				state.Return.RecordLost(u.now())
			}
		}
		state.entry = entry
		state.ColdUntil = max(state.ColdUntil, entry.ColdUntil)
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

// lease counts one request as in flight at an upstream until release is called.
type lease struct {
	upstreams *upstreams
	state     *upstreamState
	entry     *registry.Entry
	started   clock.Instant
	// cacheSource is the address of the upstream that probably caches the prompt prefix of the
	// request; empty if it is this one or not known.
	cacheSource string
	// placed is the placement by the owner of the engine; nil if this VM chose the upstream itself.
	placed *enginePlacement
	// firstEvent and lastEvent are the times of the first and the latest event, and events their
	// number.
	firstEvent clock.Instant
	lastEvent  clock.Instant
	events     int
	// cold is the remaining cold start that the upstream stated.
	cold time.Duration
	// failedAt is when the connection to the upstream failed; 0 if it did not.
	failedAt clock.Instant
	// hasResponded is set if a response came from the address of the upstream.
	hasResponded bool
	// pathFailed is set if the connection failed on its way, which is no failure of the upstream.
	pathFailed bool
}

// acquire chooses an upstream in service for a request, and counts the request as in flight.
func (u *upstreams) acquire(view *View, pool string, request *placement.Request) (*lease, placement.PickStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	request.IsZoneSuspect = u.suspectZones(now)
	candidates := u.candidates(now, view, pool)
	u.askReturned(view, pool, candidates, true)
	choice, status := placement.Pick(now, request, candidates)
	if status != placement.Found {
		u.askReturned(view, pool, candidates, false)
		return nil, status
	}
	state := u.states[choice.Upstream.ID]
	state.RecordStart(now)
	l := &lease{upstreams: u, state: state, entry: state.entry, started: now}
	if choice.CacheSource != nil {
		l.copyCacheFrom(u.states[choice.CacheSource.ID])
	}
	return l, placement.Found
}

// acquireNamed takes the engine that the owner of its shard chose, and counts the request as in
// flight there. It returns nil if the limits of this VM do not allow it.
func (u *upstreams) acquireNamed(view *View, pool string, placed *enginePlacement, request *placement.Request) *lease {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	state := u.states[placed.Engine]
	if entry := view.ByID[placed.Engine]; state == nil || entry == nil || entry.Pool != pool || !view.takesWork(entry) {
		return nil
	}
	u.prepare(now, pool, state, view.healthPath(pool) != "")
	u.askReturned(view, pool, []*placement.Upstream{&state.Upstream}, true)
	request.IsZoneSuspect = u.suspectZones(now)
	if !placement.IsAvailable(now, request, &state.Upstream) {
		return nil
	}
	state.RecordStart(now)
	l := &lease{upstreams: u, state: state, entry: state.entry, started: now, placed: placed}
	if source := u.states[placed.CacheSource]; source != nil && source != state && source.entry.Pool == pool {
		l.copyCacheFrom(source)
	}
	return l
}

// copyCacheFrom makes the leased upstream copy what another one caches of the prompt. What upstreams of
// another software version write does not fit.
func (l *lease) copyCacheFrom(source *upstreamState) {
	if source.entry.SoftwareVersion == l.entry.SoftwareVersion {
		l.cacheSource = source.entry.Address
	}
}

// suspectZones returns which zones are probably cut off. The caller holds the lock while it uses the
// result.
func (u *upstreams) suspectZones(now clock.Instant) func(zone string) bool {
	return func(zone string) bool { return u.zones.IsSuspect(now, zone) || u.isZoneSuspect(zone) }
}

// prepare makes an upstream a candidate: it computes the share of this VM of the rate limit during a cold
// start, and drops questions for the state in a pool without health queries. The caller holds the lock.
func (u *upstreams) prepare(now clock.Instant, pool string, state *upstreamState, needsHealth bool) {
	if state.ColdUntil > now && state.share != u.coldShare {
		state.ColdRate, state.share = u.coldShare.rate(pool, state.ID), u.coldShare
	}
	if !needsHealth {
		state.Return = placement.ReturnCheck{}
	}
}

// candidates returns the upstreams in service of a pool. The caller holds the lock.
func (u *upstreams) candidates(now clock.Instant, view *View, pool string) []*placement.Upstream {
	entries, needsHealth := view.InService[pool], view.healthPath(pool) != ""
	out := make([]*placement.Upstream, 0, len(entries))
	for i := range entries {
		state := u.states[entries[i].ID]
		if state == nil {
			continue
		}
		u.prepare(now, pool, state, needsHealth)
		out = append(out, &state.Upstream)
	}
	return out
}

// pickZone returns the zone of the upstream that would be chosen for a request now, or "".
func (u *upstreams) pickZone(view *View, pool string, request *placement.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	request.IsZoneSuspect = u.suspectZones(now)
	choice, status := placement.Pick(now, request, u.candidates(now, view, pool))
	if status != placement.Found {
		return ""
	}
	return choice.Upstream.Zone
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

// recordEvent records an event of the response.
func (l *lease) recordEvent(now clock.Instant) {
	if l.events == 0 {
		l.firstEvent = now
	}
	l.lastEvent = now
	l.events++
}

// outcome returns what the owner of the engine learns from the request.
func (l *lease) outcome(result enginepool.Result) enginepool.Outcome {
	o := enginepool.Outcome{Engine: l.entry.ID, Start: l.entry.StartID, Result: result, Events: l.events}
	if l.events > 0 {
		o.FirstEvent = max(l.firstEvent.Sub(l.started), 1)
	}
	if l.events > 1 {
		o.EventGap = l.lastEvent.Sub(l.firstEvent) / time.Duration(l.events-1)
	}
	return o
}

// recordPathFailure reports whether the error is that of the path to the upstream, and records that for the owner
// of the engine.
func (l *lease) recordPathFailure(err error) bool {
	l.pathFailed = errors.Is(err, outbound.ErrPathFailed)
	return l.pathFailed
}

// recordUnsent records an error because of which nothing was sent to the leased upstream.
func (l *lease) recordUnsent(err error) {
	if l.recordPathFailure(err) {
		return
	}
	l.recordUnreachable()
	if outbound.IsRefused(err) {
		l.recordLost()
	}
	if outbound.IsTimeout(err) {
		l.recordTimeout()
	}
}

// recordUnreachable records that a connection to the leased upstream failed.
func (l *lease) recordUnreachable() {
	l.update(func(now clock.Instant, u *placement.Upstream) {
		l.failedAt = now
		u.RecordUnreachable(now)
	})
}

// recordTimeout records that a connection to the leased upstream timed out.
func (l *lease) recordTimeout() {
	l.update(func(now clock.Instant, u *placement.Upstream) { l.upstreams.zones.RecordTimeout(now, u.Zone, u.ID) })
}

// recordResponse records that the leased upstream responded.
func (l *lease) recordResponse() {
	l.hasResponded = true
	l.update(func(_ clock.Instant, u *placement.Upstream) { l.upstreams.zones.RecordResponse(u.Zone) })
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
		b.AddTokens(u.initialTokens)
		u.budgets[pool] = b
	}
	return b
}
