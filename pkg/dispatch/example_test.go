package dispatch_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
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

// An attempt on a cold upstream waits for a lease; SetLeases grants it, and Done ends it.
func ExampleCore() {
	tables, err := table.Load("routes.yaml", []byte(exampleRoutes), "pools.yaml", []byte(examplePools))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := clock.Instant(time.Hour)
	core := dispatch.New(dispatch.Options{VM: "vm-1", Zone: "zone-a", Seed: 1})
	core.Apply(now, dispatch.Snapshot{Tables: tables, VMs: []table.VM{{Name: "vm-1", Zone: "zone-a", State: table.VMLive}}})
	route, deadline := tables.Route("ask"), now.Add(3*time.Second)
	request, refusal := core.Admit(now, dispatch.Admission{Route: route, Workspace: "alpha", Deadline: deadline})
	if refusal != nil {
		fmt.Println(refusal)
		return
	}
	choice := core.Select(now, dispatch.Selection{Route: route, Pool: "encoders", Workspace: "alpha", Deadline: deadline})
	fmt.Println("queued:", choice.Queued)
	var held []dispatch.HeldLease
	for _, want := range core.WantedLeases(now) {
		held = append(held, dispatch.HeldLease{Upstream: want.Upstream, Slots: want.Slots, Until: now.Add(time.Second)})
	}
	for _, grant := range core.SetLeases(now, held).Grants {
		fmt.Println("granted:", grant.Upstream.Name, grant.Ticket == choice.Ticket)
		core.Done(now.Add(20*time.Millisecond), grant.Ticket, dispatch.Outcome{Kind: dispatch.OutcomeSuccess, Elapsed: 20 * time.Millisecond})
	}
	core.Leave(now, request)
	// Output:
	// queued: true
	// granted: encoder-1 true
}
