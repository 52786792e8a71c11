package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// slownessFixture has two pools of two warm upstreams each.
type slownessFixture struct {
	core   *Core
	now    clock.Instant
	routes []*table.Route
}

func newSlownessFixture(t *testing.T, zones ...string) *slownessFixture {
	t.Helper()
	var routes []table.Route
	var pools []table.Pool
	var leases []HeldLease
	now := clock.Instant(time.Hour)
	for _, name := range []string{"p", "q"} {
		routes = append(routes, table.Route{Name: name, Deadline: 3 * time.Second, Stages: []table.Stage{
			{Name: "run", Pools: []string{name}, Idempotent: true},
		}})
		pool := table.Pool{Name: name, Kind: table.KindService, Capacity: table.Capacity{Cold: 2, Warm: 16, WarmAfter: 3}}
		for i, zone := range zones {
			upstream := fmt.Sprint(name, i)
			pool.Upstreams = append(pool.Upstreams, table.Upstream{Name: upstream, Zone: zone})
			leases = append(leases, HeldLease{Upstream: upstream, Slots: 1, Until: now.Add(time.Hour)})
		}
		pools = append(pools, pool)
	}
	tables := table.NewTables(&table.Routes{Routes: routes, Workspaces: []table.Workspace{{Name: "w"}}}, &table.Pools{Pools: pools})
	f := &slownessFixture{core: New(Options{VM: "vm", Zone: zones[0], Seed: 1}), now: now}
	f.routes = []*table.Route{tables.Route("p"), tables.Route("q")}
	f.core.Apply(f.now, Snapshot{Tables: tables, VMs: []table.VM{{Name: "vm", Zone: zones[0], State: table.VMLive}}})
	f.core.SetLeases(f.now, leases)
	for range 100 {
		f.serve(t, func(string) time.Duration { return time.Millisecond })
	}
	f.core.SetLeases(f.now, nil)
	return f
}

// serve runs one request on each route; took gives the service time of its upstream.
func (f *slownessFixture) serve(t *testing.T, took func(upstream string) time.Duration) {
	t.Helper()
	for _, route := range f.routes {
		f.now = f.now.Add(10 * time.Millisecond)
		f.core.Tick(f.now)
		choice := f.core.Select(f.now, Selection{
			Route: route, Pool: route.Name, Workspace: "w", Deadline: f.now.Add(route.Deadline),
		})
		if choice.Upstream == nil {
			continue
		}
		elapsed := took(choice.Upstream.Name)
		for end := f.now.Add(elapsed); f.now < end; f.core.Tick(f.now) {
			f.now = min(end, f.now.Add(10*time.Millisecond))
		}
		f.core.Done(f.now, choice.Ticket, Outcome{Kind: OutcomeSuccess, Elapsed: elapsed})
	}
}

func (f *slownessFixture) warm() map[string]bool {
	result := map[string]bool{}
	for _, status := range f.core.Status(f.now) {
		result[status.Upstream] = status.Limit > 0
	}
	return result
}

// TestSlowVMDoesNotMarkAllUpstreamsCold guards against an overloaded VM that counts all
// upstreams as cold at once. While the agents are down there are no leases, so the VM could
// send no work until other VMs report the upstreams as warm.
func TestSlowVMDoesNotMarkAllUpstreamsCold(t *testing.T) {
	f := newSlownessFixture(t, "a", "a")
	for range 20 {
		f.serve(t, func(string) time.Duration { return 100 * time.Millisecond })
	}
	for upstream, isWarm := range f.warm() {
		if !isWarm {
			t.Errorf("%s counts as cold", upstream)
		}
	}
}

// TestSlowUpstreamCountsAsCold guards against full load on an upstream that turned cold without
// a visible error: a single one, all of a pool, or all of a zone, while the others are as fast
// as before (guarantee G2).
func TestSlowUpstreamCountsAsCold(t *testing.T) {
	for name, test := range map[string]struct {
		zones []string
		cold  []string
	}{
		"one upstream": {[]string{"a", "a"}, []string{"p0"}},
		"one pool":     {[]string{"a", "a"}, []string{"p0", "p1"}},
		"one zone":     {[]string{"a", "a", "b"}, []string{"p0", "p1", "q0", "q1"}},
	} {
		f := newSlownessFixture(t, test.zones...)
		slow := map[string]bool{}
		for _, upstream := range test.cold {
			slow[upstream] = true
		}
		for range 40 {
			f.serve(t, func(upstream string) time.Duration {
				if slow[upstream] {
					return 100 * time.Millisecond
				}
				return time.Millisecond
			})
		}
		isWarm := f.warm()
		for _, upstream := range test.cold {
			if isWarm[upstream] {
				t.Errorf("%s: %s still counts as warm", name, upstream)
			}
		}
	}
}
