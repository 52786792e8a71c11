package carrier_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/carrier"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// A VM that refused a connection is passed over, and chosen again later.
func ExampleSelector_Select() {
	selector := carrier.New("vm-1", "zone-a")
	vms := []fleet.Entry{{Name: "vm-2", Zone: "zone-a"}, {Name: "vm-3", Zone: "zone-b"}, {Name: "vm-4", Zone: "zone-a", Partitioned: true}}
	now := clock.Instant(time.Hour)
	first, _ := selector.Select(now, vms, nil)
	selector.RecordFailure(now, first.Name)
	second, _ := selector.Select(now, vms, nil)
	later, _ := selector.Select(now.Add(2*time.Second), vms, nil)
	fmt.Println(first.Name, second.Name, later.Name)
	// Output: vm-2 vm-3 vm-2
}
