package capacity

import (
	"fmt"
	"strings"
)

// routeCount is the number of generated routes, and of pools, at the target deployment size.
const routeCount = 24

// stagesPerRoute is the number of stages of each generated route.
const stagesPerRoute = 5

// generateTables returns the tables of a deployment of the target size. Versions differ only
// in warm_after of the pools. Upstreams are of kind service, since agents would try to read
// the state of engines.
func generateTables(workspaces, upstreams, version int) (routes, pools string) {
	var r strings.Builder
	r.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&r, "  - {name: workspace-%04d, weight: 1, max_in_flight: 500}\n", i)
	}
	r.WriteString("routes:\n")
	for i := range routeCount {
		fmt.Fprintf(&r, "  - name: route-%02d\n    deadline: 3s\n    objective: 0.95\n    answer: stream\n    stages:\n", i)
		for stage := range stagesPerRoute {
			fmt.Fprintf(&r, "      - {name: stage-%d, pools: [pool-%02d], idempotent: true, timeout: 1s}\n", stage, (i+stage)%routeCount)
		}
	}
	var p strings.Builder
	p.WriteString("pools:\n")
	for i := range routeCount {
		fmt.Fprintf(&p, "  - name: pool-%02d\n    kind: service\n    path: /\n"+
			"    capacity: {cold: 2, warm: 64, warm_after: %d}\n    cost: {unit: token, per_unit: 2e-05}\n    upstreams:\n", i, 20+version%10)
		for u := i; u < upstreams; u += routeCount {
			fmt.Fprintf(&p, "      - {name: %s, address: \"127.0.0.1:%d\", zone: zone-%d}\n", upstreamName(u), 1+u, u%6)
		}
	}
	return r.String(), p.String()
}

func upstreamName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }
