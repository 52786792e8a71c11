package placement_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Requests with the same prefix go to the same upstream unless it is overloaded.
func ExamplePick() {
	upstreams := []*placement.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	prefix := []placement.PrefixLevel{{Part: rendezvous.HashOf("contract")}}
	first, _ := placement.Pick(0, &placement.Request{Prefix: prefix}, upstreams)
	first.Upstream.RecordStart(0)
	again, _ := placement.Pick(0, &placement.Request{Prefix: prefix}, upstreams)
	fmt.Println(first.Upstream == again.Upstream)
	// Output: true
}
