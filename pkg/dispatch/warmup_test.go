package dispatch

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// warmUpFixture has two engines in one zone; engine-1 is warm, engine-2 is cold.
type warmUpFixture struct {
	core  *Core
	now   clock.Instant
	route *table.Route
}

func newWarmUpFixture(t *testing.T) *warmUpFixture {
	t.Helper()
	route := table.Route{Name: "ask", Deadline: 3 * time.Second, Stages: []table.Stage{
		{Name: "generate", Pools: []string{"engines"}, Idempotent: true, Affinity: table.AffinityPrefix},
	}}
	pools := &table.Pools{Pools: []table.Pool{{
		Name: "engines", Kind: table.KindEngine, Capacity: table.Capacity{Cold: 2, Warm: 16, WarmAfter: 1000},
		Upstreams: []table.Upstream{{Name: "engine-1", Zone: "a"}, {Name: "engine-2", Zone: "a"}},
	}}}
	tables := table.NewTables(&table.Routes{Routes: []table.Route{route}, Workspaces: []table.Workspace{{Name: "w"}}}, pools)
	f := &warmUpFixture{core: New(Options{VM: "vm", Zone: "a", Seed: 1}), now: clock.Instant(time.Hour), route: tables.Route("ask")}
	f.core.Apply(f.now, Snapshot{Tables: tables, VMs: []table.VM{{Name: "vm", Zone: "a", State: table.VMLive}}})
	f.core.SetLeases(f.now, []HeldLease{{Upstream: "engine-1", Slots: 1, Until: f.now.Add(time.Hour)}})
	f.serve(t, Outcome{Kind: OutcomeSuccess, Elapsed: time.Millisecond, Load: &LoadReport{Warm: true}})
	f.core.SetLeases(f.now, []HeldLease{{Upstream: "engine-2", Slots: 1, Until: f.now.Add(time.Hour)}})
	return f
}

// serve runs one request and returns the name of its engine.
func (f *warmUpFixture) serve(t *testing.T, outcome Outcome) string {
	t.Helper()
	f.now = f.now.Add(10 * time.Millisecond)
	f.core.Tick(f.now)
	choice := f.core.Select(f.now, Selection{
		Route: f.route, Pool: "engines", Workspace: "w", Deadline: f.now.Add(f.route.Deadline), Prefix: 7,
	})
	if choice.Upstream == nil {
		t.Fatalf("no engine: %+v", choice)
	}
	f.now = f.now.Add(time.Millisecond)
	f.core.Done(f.now, choice.Ticket, outcome)
	return choice.Upstream.Name
}

// TestColdEngineWarmsUpDespiteAffinity guards against an engine that stays cold forever because
// prefix affinity sends all requests to warm engines, which also blocks the roll-out of a model.
// It also checks that at most one request in warmUpInterval goes to the cold engine.
func TestColdEngineWarmsUpDespiteAffinity(t *testing.T) {
	f := newWarmUpFixture(t)
	const requests = 10 * warmUpInterval
	cold := 0
	for range requests {
		if f.serve(t, Outcome{Kind: OutcomeSuccess, Elapsed: time.Millisecond}) == "engine-2" {
			cold++
		}
	}
	if cold == 0 || cold > requests/warmUpInterval {
		t.Errorf("the cold engine got %d of %d requests, want 1 to %d", cold, requests, requests/warmUpInterval)
	}
}

// TestResetMarksUpstreamCold guards against full load on an engine whose process restarted so
// fast that it accepts connections again when the broken one is noticed (guarantee G2).
func TestResetMarksUpstreamCold(t *testing.T) {
	f := newWarmUpFixture(t)
	f.serve(t, Outcome{Kind: OutcomeReset, Elapsed: time.Millisecond})
	for _, u := range f.core.Status(f.now) {
		if u.Upstream == "engine-1" && u.Limit != 0 {
			t.Errorf("limit %d without a lease after a reset", u.Limit)
		}
	}
}
