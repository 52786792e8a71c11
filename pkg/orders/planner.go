// Package orders derives the orders to model engines from the pools table in force. An
// order instructs an engine to load a model.
//
// The desired state of an engine depends only on the table, and the fencing token of an
// order is the table's revision. If two VMs both send orders for a pool, the orders are
// therefore identical, or the one with the higher revision wins. The VMs need no consensus.
package orders

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// maxUtilisation is the maximum utilisation of a pool's remaining engines after an engine
// has become unavailable to load a model.
const maxUtilisation = 0.8

// Planner decides which orders this VM sends. It is not safe for concurrent use.
type Planner struct {
	options        Options
	pools          *table.Pools
	revision       uint64
	inForceSince   clock.Instant
	confirmed      bool
	reachable      []string
	engineStates   map[string]EngineState
	sentOrders     map[string]*sentOrder
	lastLoadAt     clock.Instant
	hasStartedLoad bool
}

// sentOrder is the state of the last order to an engine.
type sentOrder struct {
	fencing  uint64
	sentAt   clock.Instant
	failures int
	retryAt  clock.Instant
	pending  bool
	// refusedToken is the highest fencing token that the engine rejected as too low.
	refusedToken uint64
}

// NewPlanner returns a Planner without a table, which returns no orders.
func NewPlanner(options Options) *Planner {
	return &Planner{
		options:      options,
		engineStates: map[string]EngineState{},
		sentOrders:   map[string]*sentOrder{},
	}
}

// SetPools sets the pools table in force. It ignores a revision that is not above the
// current one.
func (p *Planner) SetPools(now clock.Instant, pools *table.Pools, revision uint64) {
	if revision <= p.revision {
		return
	}
	p.pools = pools
	p.revision = revision
	p.inForceSince = now
	p.dropRemoved()
}

// SetReachable sets the names of the reachable VMs, including this one.
func (p *Planner) SetReachable(reachable []string) { p.reachable = slices.Clone(reachable) }

// SetConfirmed sets whether the table in force is known to be current.
func (p *Planner) SetConfirmed(confirmed bool) { p.confirmed = confirmed }

// Observe records the state that an engine reported.
func (p *Planner) Observe(upstream string, state EngineState) {
	p.engineStates[upstream] = state
	if sent := p.sentOrders[upstream]; sent != nil && sent.pending && state.Observed.After(sent.sentAt) && !state.Loading {
		sent.pending = false
	}
}

// HandleResult handles the result of an order.
func (p *Planner) HandleResult(now clock.Instant, result Result) {
	sent := p.sentOrders[result.Upstream]
	if sent == nil || sent.fencing != result.Fencing {
		return
	}
	switch result.Kind {
	case ResultAccepted:
		sent.failures = 0
	case ResultSuperseded:
		sent.pending = false
		sent.refusedToken = max(sent.refusedToken, result.Fencing)
	case ResultFailed:
		sent.pending = false
		sent.retryAt = now.Add(p.backoff(sent.failures))
		sent.failures++
	}
}

// Tick returns the orders to send now.
func (p *Planner) Tick(now clock.Instant) []Order {
	if p.pools == nil {
		return nil
	}
	var planned []Order
	for i := range p.pools.Pools {
		pool := &p.pools.Pools[i]
		if !p.SendsOrders(pool) {
			continue
		}
		planned = p.planPool(now, pool, planned)
	}
	return planned
}

// SendsOrders reports whether the engines of the pool receive orders and this VM sends
// them.
func (p *Planner) SendsOrders(pool *table.Pool) bool {
	return pool.Kind == table.KindEngine && pool.Model.Name != "" && p.ranksFirst(pool.Name)
}

// ranksFirst reports whether this VM is the sender for the pool, by rendezvous hashing. There
// is one sender per pool, not per engine, so that it can limit the number of engines that
// are unavailable.
func (p *Planner) ranksFirst(pool string) bool {
	ranked := rendezvous.Top("orders/"+pool, p.reachable, 1)
	return len(ranked) == 1 && ranked[0] == p.options.VM
}

func (p *Planner) planPool(now clock.Instant, pool *table.Pool, planned []Order) []Order {
	if !pool.Features.Fencing && !p.mayOrderUnfenced(now) {
		return planned
	}
	budget := p.unavailableBudget(now, pool)
	for _, upstream := range p.rolloutSequence(pool) {
		if budget <= 0 || !p.mayStartLoad(now) {
			return planned
		}
		if !p.needsOrder(now, pool, upstream.Name) {
			continue
		}
		planned = append(planned, p.newOrder(now, pool, upstream))
		budget--
	}
	return planned
}

// mayOrderUnfenced reports whether orders may be sent to engines that ignore fencing tokens:
// the table must be known to be current and must have reached every other VM.
func (p *Planner) mayOrderUnfenced(now clock.Instant) bool {
	return p.confirmed && now.Sub(p.inForceSince) >= p.options.UnfencedDelay
}

// rolloutSequence returns the engines of the pool in the sequence in which they receive
// orders. It depends only on the names of the pool and its engines, so that two senders on
// different sides of a network partition start with the same engine.
func (p *Planner) rolloutSequence(pool *table.Pool) []table.Upstream {
	sequence := slices.Clone(pool.Upstreams)
	slices.SortFunc(sequence, func(a, b table.Upstream) int {
		if rendezvous.Weight(pool.Name, a.Name) > rendezvous.Weight(pool.Name, b.Name) {
			return -1
		}
		return 1
	})
	return sequence
}

// unavailableBudget returns how many more engines of the pool may become unavailable.
func (p *Planner) unavailableBudget(now clock.Instant, pool *table.Pool) int {
	serving, unavailable, inFlight := 0, 0, 0
	for _, upstream := range pool.Upstreams {
		state, known := p.freshState(now, upstream.Name)
		switch {
		case !known:
			// An engine that does not report its state cannot be relied on to serve and may
			// be loading.
			unavailable++
		case state.Model != pool.Model && !state.Loading && state.Model == (table.Model{}):
			// An engine without a model does not serve, so that an order to it does not
			// reduce the capacity.
			inFlight += state.InFlight
		case p.isOrderPending(upstream.Name), !state.serving():
			unavailable++
		default:
			serving++
			inFlight += state.InFlight
		}
	}
	if serving == 0 {
		return p.options.MaxLoads
	}
	needed := float64(inFlight) / (maxUtilisation * float64(max(pool.Capacity.Warm, 1)))
	spare := serving - ceil(needed)
	return min(p.options.MaxUnavailablePerPool-unavailable, max(spare, 0))
}

// mayStartLoad reports whether this VM may start another weight load under the limits that
// protect the weight store.
func (p *Planner) mayStartLoad(now clock.Instant) bool {
	if p.hasStartedLoad && now.Sub(p.lastLoadAt) < p.options.MinLoadInterval {
		return false
	}
	pending := 0
	for _, sent := range p.sentOrders {
		if sent.pending && now.Sub(sent.sentAt) < p.options.LoadTimeout {
			pending++
		}
	}
	return pending < p.options.MaxLoads
}

func (p *Planner) needsOrder(now clock.Instant, pool *table.Pool, upstream string) bool {
	state, known := p.freshState(now, upstream)
	if !known || state.Model == pool.Model {
		return false
	}
	sent := p.sentOrders[upstream]
	if sent == nil {
		return true
	}
	if sent.refusedToken >= p.revision || now.Before(sent.retryAt) {
		return false
	}
	if sent.pending && sent.fencing == p.revision {
		return now.Sub(sent.sentAt) >= p.options.LoadTimeout
	}
	return true
}

func (p *Planner) newOrder(now clock.Instant, pool *table.Pool, upstream table.Upstream) Order {
	sent := p.sentOrders[upstream.Name]
	if sent == nil {
		sent = &sentOrder{}
		p.sentOrders[upstream.Name] = sent
	}
	sent.fencing = p.revision
	sent.sentAt = now
	sent.pending = true
	p.lastLoadAt = now
	p.hasStartedLoad = true
	return Order{
		Pool: pool.Name, Upstream: upstream.Name, Address: upstream.Address,
		Model: pool.Model, Fencing: p.revision,
	}
}

func (p *Planner) freshState(now clock.Instant, upstream string) (EngineState, bool) {
	state, known := p.engineStates[upstream]
	return state, known && now.Sub(state.Observed) <= p.options.StateMaxAge
}

func (p *Planner) isOrderPending(upstream string) bool {
	sent := p.sentOrders[upstream]
	return sent != nil && sent.pending
}

func (p *Planner) backoff(failures int) time.Duration {
	delay := p.options.RetryBase << min(failures, 16)
	return min(delay, p.options.RetryMax)
}

// dropRemoved deletes the state of engines that are no longer in the table.
func (p *Planner) dropRemoved() {
	listed := map[string]bool{}
	for _, pool := range p.pools.Pools {
		for _, upstream := range pool.Upstreams {
			listed[upstream.Name] = true
		}
	}
	for name := range p.engineStates {
		if !listed[name] {
			delete(p.engineStates, name)
		}
	}
	for name := range p.sentOrders {
		if !listed[name] {
			delete(p.sentOrders, name)
		}
	}
}

func ceil(x float64) int {
	n := int(x)
	if float64(n) < x {
		n++
	}
	return n
}
