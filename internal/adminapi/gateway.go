package adminapi

// GatewayStatus is the response of a gateway to GET /status.
type GatewayStatus struct {
	Program Program `json:"program"`
	VM      string  `json:"vm"`
	Zone    string  `json:"zone"`
	Ready   bool    `json:"ready"`
	// Draining is set after a stop signal.
	Draining bool `json:"draining"`
	// Revisions are those of the snapshot in use.
	Revisions Revisions `json:"revisions"`
	// SnapshotAgeMs is the time since the agent last confirmed the snapshot.
	SnapshotAgeMs int64 `json:"snapshot_age_ms"`
	// Confirmed is false if the agent reports its configuration as unconfirmed.
	Confirmed bool `json:"confirmed"`
	// InFlight is the number of requests being served.
	InFlight  int              `json:"in_flight"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream as seen by a gateway.
type UpstreamStatus struct {
	Pool     string `json:"pool"`
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// OutOfService is set if the upstream or its zone is out of service.
	OutOfService bool   `json:"out_of_service"`
	Warmth       Warmth `json:"warmth"`
	// InFlight is the number of this gateway's calls on the upstream.
	InFlight int `json:"in_flight"`
	// Limit is the number of concurrent calls that this gateway may send now.
	Limit int `json:"limit"`
	// EstimatedLoad is the estimated number of calls on the upstream from all gateways.
	EstimatedLoad float64 `json:"estimated_load"`
}

// Explanation is the response of a gateway to GET /explain: which upstreams each stage of
// a route could use at this moment, and why.
type Explanation struct {
	VM        string             `json:"vm"`
	Zone      string             `json:"zone"`
	Route     string             `json:"route"`
	Workspace string             `json:"workspace"`
	Revisions Revisions          `json:"revisions"`
	Stages    []StageExplanation `json:"stages"`
}

// StageExplanation covers one stage; a fan-out has several pools.
type StageExplanation struct {
	Stage string            `json:"stage"`
	Pools []PoolExplanation `json:"pools"`
}

// PoolExplanation covers one pool of a stage.
type PoolExplanation struct {
	Pool       string      `json:"pool"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is one upstream of a pool with the result of filter and score.
type Candidate struct {
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	// Filter is "ok" or the reason why the upstream is not eligible, such as "out_of_service".
	Filter string `json:"filter"`
	// Score orders the eligible upstreams; the lowest is preferred.
	Score    float64 `json:"score"`
	Warmth   Warmth  `json:"warmth"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
}

// FilterOK is the filter result of an eligible upstream.
const FilterOK = "ok"

// Error is the body of an administration response with a status of 400 or above.
type Error struct {
	Error string `json:"error"`
}
