package orders

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const tickInterval = 500 * time.Millisecond

var (
	oldModel = table.Model{Name: "reader", Version: "1"}
	newModel = table.Model{Name: "reader", Version: "2"}
)

func enginePool(engines int, fencing bool, model table.Model) *table.Pools {
	pool := table.Pool{
		Name: "engines", Kind: table.KindEngine, Model: model,
		Capacity: table.Capacity{Cold: 2, Warm: 10}, Features: table.Features{Fencing: fencing},
	}
	for i := range engines {
		pool.Upstreams = append(pool.Upstreams, table.Upstream{Name: fmt.Sprintf("engine-%d", i), Zone: "a"})
	}
	return &table.Pools{Pools: []table.Pool{pool}}
}

// fakeEngine loads a model for a fixed time and then is cold for a fixed time.
type fakeEngine struct {
	state          EngineState
	fencing        uint64
	checksFencing  bool
	loadUntil      clock.Instant
	coldUntil      clock.Instant
	acceptedOrders int
}

func (e *fakeEngine) handle(now clock.Instant, order Order) ResultKind {
	if e.checksFencing && order.Fencing < e.fencing {
		return ResultSuperseded
	}
	e.fencing = order.Fencing
	e.acceptedOrders++
	e.state.Model = order.Model
	e.loadUntil = now.Add(3 * time.Second)
	e.coldUntil = now.Add(5 * time.Second)
	return ResultAccepted
}

func (e *fakeEngine) stateAt(now clock.Instant) EngineState {
	e.state.Loading = now.Before(e.loadUntil)
	e.state.Cold = now.Before(e.coldUntil)
	e.state.Observed = now
	return e.state
}

type fleet struct {
	now            clock.Instant
	planners       []*Planner
	engines        map[string]*fakeEngine
	maxUnavailable int
}

func newFleet(planners, engines int, checks bool, inFlight int) *fleet {
	f := &fleet{engines: map[string]*fakeEngine{}}
	for i := range planners {
		planner := NewPlanner(DefaultOptions(fmt.Sprintf("vm-%d", i)))
		planner.SetConfirmed(true)
		f.planners = append(f.planners, planner)
	}
	for i := range engines {
		f.engines[fmt.Sprintf("engine-%d", i)] = &fakeEngine{
			state: EngineState{Model: oldModel, InFlight: inFlight}, checksFencing: checks,
		}
	}
	return f
}

func (f *fleet) step(observe func(planner int) bool) {
	f.now = f.now.Add(tickInterval)
	for i, planner := range f.planners {
		if observe(i) {
			for name, engine := range f.engines {
				planner.Observe(name, engine.stateAt(f.now))
			}
		}
		for _, order := range planner.Tick(f.now) {
			kind := f.engines[order.Upstream].handle(f.now, order)
			planner.HandleResult(f.now, Result{Upstream: order.Upstream, Fencing: order.Fencing, Kind: kind})
		}
	}
	unavailable := 0
	for _, engine := range f.engines {
		if !engine.stateAt(f.now).serving() {
			unavailable++
		}
	}
	f.maxUnavailable = max(f.maxUnavailable, unavailable)
}

func always(int) bool { return true }

// TestRolloutKeepsPoolInService guards against a table change that makes all engines of a
// pool unavailable at the same time.
func TestRolloutKeepsPoolInService(t *testing.T) {
	f := newFleet(1, 5, true, 1)
	f.planners[0].SetReachable([]string{"vm-0"})
	f.planners[0].SetPools(f.now, enginePool(5, true, newModel), 2)
	for range 200 {
		f.step(always)
	}
	for name, engine := range f.engines {
		if engine.state.Model != newModel || engine.acceptedOrders != 1 {
			t.Errorf("%s serves %+v after %d accepted orders, want the new model after one", name, engine.state.Model, engine.acceptedOrders)
		}
	}
	if f.maxUnavailable != 1 {
		t.Errorf("%d engines were unavailable at the same time, want 1", f.maxUnavailable)
	}
}

// TestNoOrderWithoutSpareCapacity guards against orders that make an engine unavailable
// in a pool that needs all engines for its load.
func TestNoOrderWithoutSpareCapacity(t *testing.T) {
	f := newFleet(1, 3, true, 9)
	f.planners[0].SetReachable([]string{"vm-0"})
	f.planners[0].SetPools(f.now, enginePool(3, true, newModel), 2)
	for range 20 {
		f.step(always)
	}
	if f.maxUnavailable != 0 {
		t.Errorf("%d engines became unavailable at 90%% load", f.maxUnavailable)
	}
}

// TestUnfencedEnginesWaitForSettledRevision guards against two VMs that send orders of
// different revisions to engines that ignore fencing tokens.
func TestUnfencedEnginesWaitForSettledRevision(t *testing.T) {
	f := newFleet(1, 2, false, 0)
	planner := f.planners[0]
	planner.SetReachable([]string{"vm-0"})
	planner.SetPools(f.now, enginePool(2, false, newModel), 2)
	allowedAt := f.now.Add(planner.options.UnfencedDelay)
	for f.now.Add(tickInterval).Before(allowedAt) {
		f.step(always)
	}
	if f.maxUnavailable != 0 {
		t.Fatal("an order was sent before UnfencedDelay had elapsed")
	}
	planner.SetConfirmed(false)
	for range 10 {
		f.step(always)
	}
	if f.maxUnavailable != 0 {
		t.Fatal("an order was sent while the table was unconfirmed")
	}
	planner.SetConfirmed(true)
	for range 10 {
		f.step(always)
	}
	if f.maxUnavailable == 0 {
		t.Error("no order was sent after UnfencedDelay had elapsed")
	}
}

// TestSupersededSenderStops guards against a VM with an old table that repeats an order that
// the engine has rejected.
func TestSupersededSenderStops(t *testing.T) {
	f := newFleet(1, 1, true, 0)
	f.engines["engine-0"].fencing = 9
	f.planners[0].SetReachable([]string{"vm-0"})
	f.planners[0].SetPools(f.now, enginePool(1, true, newModel), 2)
	sent := 0
	for range 20 {
		f.now = f.now.Add(tickInterval)
		f.planners[0].Observe("engine-0", f.engines["engine-0"].stateAt(f.now))
		for _, order := range f.planners[0].Tick(f.now) {
			sent++
			kind := f.engines["engine-0"].handle(f.now, order)
			f.planners[0].HandleResult(f.now, Result{Upstream: order.Upstream, Fencing: order.Fencing, Kind: kind})
		}
	}
	if sent != 1 {
		t.Errorf("%d orders were sent, want 1", sent)
	}
}

// TestFleetConverges runs several planners with different views of the reachable VMs, lost
// observations and revisions that arrive at different times. It guards against engines that
// stay on an old model and against too many orders.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 4).Draw(rt, "planners")
		engines := rapid.IntRange(1, 6).Draw(rt, "engines")
		f := newFleet(count, engines, true, 0)
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("vm-%d", i))
		}
		for i, planner := range f.planners {
			reachable := names
			if rapid.Bool().Draw(rt, "alone") {
				reachable = names[i : i+1]
			}
			planner.SetReachable(reachable)
			planner.SetPools(f.now, enginePool(engines, true, oldModel), 1)
		}
		for i := range 60 {
			for _, planner := range f.planners {
				if rapid.IntRange(0, 9).Draw(rt, "learns") == 0 {
					planner.SetPools(f.now, enginePool(engines, true, newModel), 2)
				}
			}
			f.step(func(int) bool { return rapid.IntRange(0, 3).Draw(rt, "observe") > 0 || i%4 == 0 })
		}
		for _, planner := range f.planners {
			planner.SetPools(f.now, enginePool(engines, true, newModel), 2)
			planner.SetReachable(names)
		}
		for range 200 {
			f.step(always)
		}
		for name, engine := range f.engines {
			if engine.state.Model != newModel {
				rt.Fatalf("%s still has model %+v", name, engine.state.Model)
			}
			if engine.acceptedOrders > 1+count {
				rt.Fatalf("%s accepted %d orders", name, engine.acceptedOrders)
			}
		}
	})
}
