package rendezvous_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Removing a VM moves only the keys that were assigned to it.
func ExampleTop() {
	vms := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	for _, pool := range []string{"engines", "encoders", "bookings"} {
		before := rendezvous.Top(pool, vms, 1)[0]
		after := rendezvous.Top(pool, vms[:3], 1)[0]
		fmt.Println(before == after || before == "vm-4")
	}
	// Output:
	// true
	// true
	// true
}
