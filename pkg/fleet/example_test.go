package fleet_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// VMs that know the same entries agree on the owner of each resource.
func ExampleDirectory_Ranking() {
	a := fleet.Entry{Name: "a", Address: "10.0.0.1:1", Started: 1}
	b := fleet.Entry{Name: "b", Address: "10.0.0.2:1", Started: 1}
	atA, atB := fleet.New(0, a), fleet.New(0, b)
	atA.Merge(0, []fleet.Entry{b})
	atB.Merge(0, []fleet.Entry{a})
	fmt.Println(atA.Ranking(0, fleet.Resource{Name: "pool"})[0].Name == atB.Ranking(0, fleet.Resource{Name: "pool"})[0].Name)
	// Output: true
}
