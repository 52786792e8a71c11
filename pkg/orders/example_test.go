package orders_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/orders"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// The engines of a pool are ordered one at a time to load the model in the pools table.
func ExamplePlanner() {
	now := clock.Instant(time.Hour)
	wanted := table.Model{Name: "reader", Version: "2"}
	pools := &table.Pools{Pools: []table.Pool{{
		Name: "engines", Kind: table.KindEngine, Model: wanted,
		Capacity:  table.Capacity{Cold: 2, Warm: 10},
		Features:  table.Features{Fencing: true},
		Upstreams: []table.Upstream{{Name: "engine-1", Zone: "a"}, {Name: "engine-2", Zone: "a"}},
	}}}
	planner := orders.NewPlanner(orders.DefaultOptions("vm-1"))
	planner.SetReachable([]string{"vm-1"})
	planner.SetConfirmed(true)
	planner.SetPools(now, pools, 7)
	for _, engine := range []string{"engine-1", "engine-2"} {
		planner.Observe(engine, orders.EngineState{Model: table.Model{Name: "reader", Version: "1"}, Observed: now})
	}
	for _, order := range planner.Tick(now) {
		fmt.Println(order.Pool, order.Model.Version, "fencing", order.Fencing)
	}
	fmt.Println("more at once:", len(planner.Tick(now)))
	// Output:
	// engines 2 fencing 7
	// more at once: 0
}
