package table

// VMState is the published state of a VM.
type VMState string

// Published states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the published VM list.
type VM struct {
	Name string `yaml:"name" json:"name"`
	Zone string `yaml:"zone" json:"zone"`
	// AgentAddress is the IP:port of the agent's gRPC server.
	AgentAddress string `yaml:"agent_address" json:"agent_address"`
	// GatewayAddress is the IP:port of the gateway's gRPC server.
	GatewayAddress string  `yaml:"gateway_address" json:"gateway_address"`
	State          VMState `yaml:"state" json:"state"`
}

// VMList is the published list of VMs.
type VMList struct {
	VMs []VM `yaml:"vms" json:"vms"`
}
