package routing_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
)

// An upstream that is out of service is excluded. Of two random remaining upstreams the one
// with the lower load is picked.
func ExampleTwoChoices() {
	now := clock.Instant(time.Hour)
	upstream := func(name string, inService bool, inFlight int) *routing.Upstream {
		u := &routing.Upstream{
			Name: name, Zone: "a", OwnZone: true, InService: inService, Warm: true,
			Limit: 10, LimitUntil: now.Add(time.Minute), InFlight: inFlight,
		}
		u.Load.Capacity, u.Load.Share = 10, 10
		return u
	}
	candidates := []*routing.Upstream{upstream("out", false, 0), upstream("busy", true, 8), upstream("free", true, 1)}
	query := &routing.Query{Now: now}
	picker := &routing.TwoChoices{Filters: routing.Filters(), Scorer: routing.LoadScorer{}, Random: routing.NewRandom(1)}
	fmt.Println(picker.Pick(query, candidates).Name)
	fmt.Println(routing.ExcludedBy(routing.Filters(), query, candidates[0]))
	// Output:
	// free
	// out_of_service
}
