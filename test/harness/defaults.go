package harness

// defaultRoutes has routes with whole and streamed answers, a fan-out, a stage with
// input both and a non-idempotent stage.
const defaultRoutes = `workspaces:
  - {name: alpha, weight: 2, max_in_flight: 500}
  - {name: beta, weight: 1, max_in_flight: 500}
routes:
  - name: ask
    deadline: 5s
    objective: 0.99
    answer: whole
    stages:
      - {name: encode, pools: [encoders], idempotent: true, timeout: 2s}
      - {name: retrieve, pools: [retrievers], idempotent: true, timeout: 2s}
      - {name: generate, pools: [engines], idempotent: true, input: both, affinity: prefix}
  - name: stream
    deadline: 5s
    objective: 0.99
    answer: stream
    stages:
      - {name: encode, pools: [encoders], idempotent: true, timeout: 2s}
      - {name: generate, pools: [engines], idempotent: true, affinity: prefix}
  - name: fan
    deadline: 5s
    objective: 0.99
    answer: whole
    stages:
      - {name: lookup, pools: [retrievers, stock], idempotent: true, timeout: 2s}
      - {name: encode, pools: [encoders], idempotent: true, input: both, timeout: 2s}
  - name: book
    deadline: 3s
    objective: 0.99
    answer: whole
    stages:
      - {name: check, pools: [stock], idempotent: true, timeout: 1s}
      - {name: book, pools: [bookings], idempotent: false}
`

// defaultPool is a pool of the pools table without its upstreams.
type defaultPool struct {
	name     string
	settings string
}

var defaultPools = []defaultPool{
	{"encoders", `    kind: encoder
    path: /
    capacity: {cold: 8, warm: 64, warm_after: 5}
    features: {echoes_identity: true}
    cost: {unit: second, per_unit: 0.0004}
`},
	{"retrievers", `    kind: retriever
    path: /
    capacity: {cold: 8, warm: 64, warm_after: 5}
    features: {echoes_identity: true}
    cost: {unit: request, per_unit: 1e-05}
`},
	{"engines", `    kind: engine
    path: /v1/generate
    capacity: {cold: 8, warm: 64, warm_after: 5}
    features: {reports_load: true, fencing: true, priorities: true, cancel: true, resume: true, echoes_identity: true}
    cost: {unit: token, per_unit: 2e-05}
    model: {name: reader, version: "1"}
`},
	{"stock", `    kind: service
    path: /
    capacity: {cold: 8, warm: 64, warm_after: 5}
    features: {reports_load: true, echoes_identity: true}
    cost: {unit: request, per_unit: 1e-05}
`},
	{"bookings", `    kind: service
    path: /
    capacity: {cold: 8, warm: 64, warm_after: 5}
    features: {echoes_identity: true}
    cost: {unit: request, per_unit: 1e-05}
`},
}
