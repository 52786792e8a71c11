package adminapi

// AgentStatus is the response of an agent to GET /status.
type AgentStatus struct {
	Program Program `json:"program"`
	VM      string  `json:"vm"`
	Zone    string  `json:"zone"`
	// Incarnation distinguishes this process start from earlier ones.
	Incarnation uint64 `json:"incarnation"`
	// Revisions are those in force.
	Revisions Revisions `json:"revisions"`
	// Newest are the highest revisions known, whether or not they are in force.
	Newest Revisions `json:"newest"`
	// Confirmed is false if the platform has not confirmed the configuration in force within
	// the staleness limit.
	Confirmed bool `json:"confirmed"`
	// ConfirmedAgeMs is the time since the platform last confirmed the configuration.
	ConfirmedAgeMs int64 `json:"confirmed_age_ms"`
	// Reader is set if this agent watches the platform with long polls.
	Reader bool `json:"reader"`
	// Rejected lists revisions that were not applied because they are invalid.
	Rejected  []RejectedRevision `json:"rejected,omitempty"`
	Members   []Member           `json:"members"`
	Upstreams []UpstreamWarmth   `json:"upstreams"`
}

// RejectedRevision is a published revision that is invalid.
type RejectedRevision struct {
	// Value is "routes", "pools" or "vms".
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	// Reason is the decoder's error text, one error per line.
	Reason string `json:"reason"`
}

// MemberStatus is the status of a VM as seen by its peers.
type MemberStatus string

// Statuses of a member.
const (
	MemberAlive       MemberStatus = "alive"
	MemberSuspect     MemberStatus = "suspect"
	MemberUnreachable MemberStatus = "unreachable"
)

// Member is one VM of the published list with its status as seen by an agent.
type Member struct {
	VM          string       `json:"vm"`
	Zone        string       `json:"zone"`
	Status      MemberStatus `json:"status"`
	Incarnation uint64       `json:"incarnation"`
	// Leaving is set if the published list marks the VM as leaving.
	Leaving bool `json:"leaving"`
}

// UpstreamWarmth summarizes the reports on an upstream's warmth that an agent has received.
type UpstreamWarmth struct {
	Upstream  string `json:"upstream"`
	Warmth    Warmth `json:"warmth"`
	Successes int    `json:"successes"`
	// AgeMs is the age of the newest report.
	AgeMs int64 `json:"age_ms"`
}
