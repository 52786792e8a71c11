package placement_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// Requests with the same prefix go to the same upstream while it is not overloaded.
func ExamplePick() {
	upstreams := []*placement.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	first, _ := placement.Pick(0, &placement.Query{Prefix: "contract"}, upstreams)
	first.Began(0)
	again, _ := placement.Pick(0, &placement.Query{Prefix: "contract"}, upstreams)
	fmt.Println(first == again)
	// Output: true
}
