package placement_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// Requests with the same prefix go to the same upstream unless it is overloaded.
func ExamplePick() {
	upstreams := []*placement.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	first, _ := placement.Pick(0, &placement.Request{Prefix: "contract"}, upstreams)
	first.RecordStart(0)
	again, _ := placement.Pick(0, &placement.Request{Prefix: "contract"}, upstreams)
	fmt.Println(first == again)
	// Output: true
}
