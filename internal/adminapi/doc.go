// Package adminapi defines the JSON documents that the administration
// listeners of hoist-gateway and hoist-agent serve to hoistctl.
//
// Durations and ages are whole milliseconds in fields that end in _ms. Fields may be
// added; readers must ignore unknown fields.
package adminapi

// Paths of the administration endpoints.
const (
	// PathStatus is served by gateways (GatewayStatus) and agents (AgentStatus).
	PathStatus = "/status"
	// PathExplain is served by gateways (Explanation).
	PathExplain = "/explain"
	// PathMetrics is served by both in the Prometheus text format.
	PathMetrics = "/metrics"
)

// Query parameters of PathExplain.
const (
	// ParamRoute names the route to explain; it is required.
	ParamRoute = "route"
	// ParamWorkspace names the workspace that sends the request; it is required.
	ParamWorkspace = "workspace"
)

// Program is the value of the program field, which identifies the kind of document.
type Program string

// Programs with an administration listener.
const (
	ProgramGateway Program = "hoist-gateway"
	ProgramAgent   Program = "hoist-agent"
)

// Revisions are the revisions of the published values that a process uses; 0 means none yet.
type Revisions struct {
	Routes uint64 `json:"routes"`
	Pools  uint64 `json:"pools"`
	VMs    uint64 `json:"vms"`
}

// Warmth is the cold-start state of an upstream.
type Warmth string

// States of warmth.
const (
	WarmthCold    Warmth = "cold"
	WarmthRamping Warmth = "ramping"
	WarmthWarm    Warmth = "warm"
)
