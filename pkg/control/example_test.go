package control_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
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

const exampleList = `vms:
  - {name: vm-1, zone: zone-a, agent_address: "10.0.1.1:1", gateway_address: "10.0.1.1:2", state: live}
`

// The caller executes the reads that a Core requests and uses its snapshot.
func ExampleCore() {
	published := map[configuration.Name]string{
		configuration.Routes: exampleRoutes, configuration.Pools: examplePools, configuration.VMs: exampleList,
	}
	now := clock.Instant(0)
	core := control.New(now, control.Options{Self: "vm-1", Zone: "zone-a", Address: "10.0.1.1:1", Incarnation: 1, Seed: 1})
	for now.Before(clock.Instant(10 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		for _, action := range core.Tick(now) {
			read, isRead := action.(control.Read)
			if !isRead {
				continue
			}
			result := configuration.ReadResult{ID: read.ID, Status: configuration.ReadNoNewerValue}
			if read.After < 1 {
				result.Status = configuration.ReadValue
				result.Value = configuration.NewValue(1, []byte(published[read.Name]))
			}
			core.HandleReadResult(now, result)
		}
	}
	snapshot := core.Snapshot(now)
	fmt.Println(snapshot.Routes.Revision, snapshot.Pools.Revision, snapshot.ListRevision, len(snapshot.VMs))
	// Output: 1 1 1 1
}
