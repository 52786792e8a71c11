package table_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const exampleRoutes = `workspaces: [{name: alpha}]
routes:
  - name: ask
    deadline: 3s
    objective: 0.99
    stages: [{name: encode, pools: [encoders], idempotent: true}]
`

const examplePools = `pools:
  - name: encoders
    kind: encoder
    capacity: {cold: 1, warm: 4}
    cost: {unit: request, per_unit: 0.1}
    upstreams: [{name: encoder-1, address: "10.0.0.1:80", zone: zone-a}]
`

// Load reports all validation errors of both tables at once, with their positions.
func ExampleLoad() {
	invalidRoutes := `routes:
  - {name: ask, colour: red, deadline: 3, objective: 0.99, stages: [{name: encode, pools: [encodrs]}]}
`
	_, err := table.Load("routes.yaml", []byte(invalidRoutes), "pools.yaml", []byte(examplePools))
	fmt.Println(err)
	// Output:
	// routes.yaml:2:17: routes[0]: unknown field "colour"; expected one of name, deadline, objective, answer, stages
	// routes.yaml:2:40: routes[0].deadline: the value is the integer "3"; expected a duration over 0 and up to 1h, such as 3s
	// routes.yaml:2:92: routes[0].stages[0].pools[0]: there is no pool "encodrs"; expected the name of a pool in pools.yaml
}

// Diff shows the effects of an edit before it is published.
func ExampleDiff() {
	before, err := table.Load("routes.yaml", []byte(exampleRoutes), "pools.yaml", []byte(examplePools))
	if err != nil {
		fmt.Println(err)
		return
	}
	edited := examplePools + "out_of_service: {upstreams: [encoder-1]}\n"
	after, err := table.Load("routes.yaml", []byte(exampleRoutes), "pools.yaml", []byte(edited))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, change := range table.Diff(before, after) {
		fmt.Println(change.Kind, change.Subject)
	}
	// Output:
	// upstream_taken_out encoder-1
	// pool_out_of_service encoders
}
