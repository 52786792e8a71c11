package settings

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// defaultLogLevel is the log level of all processes.
const defaultLogLevel = "info"

// Agent holds the settings of hoist-agent.
type Agent struct {
	// VM is the name of this VM in the published VM list.
	VM string `yaml:"vm" validate:"required" usage:"name of this VM in the published VM list"`
	// Zone is the availability zone of this VM.
	Zone string `yaml:"zone" validate:"required" usage:"availability zone of this VM"`
	// Listen is the IP:port for gRPC from peers and gateways.
	Listen string `yaml:"listen" validate:"required,ip_port" usage:"IP:port for gRPC from peers and gateways"`
	// AdminListen is the IP:port for metrics, health checks and status (HTTP).
	AdminListen string `yaml:"admin_listen" validate:"required,ip_port" usage:"IP:port for metrics, health checks and status (HTTP)"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `yaml:"platform" validate:"required,http_url" usage:"base URL of the platform's configuration service"`
	// KeyFile holds the key shared by the processes of the system.
	KeyFile string `yaml:"key_file" usage:"file with the key shared by the processes of the system"`
	// LogLevel is the lowest level of log lines that are written.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error" usage:"lowest log level that is written: debug, info, warn or error"`
	// StartupWait is how long an agent without memory waits for a peer before it takes
	// the platform's values alone.
	StartupWait time.Duration `yaml:"startup_wait" validate:"min=1ms" usage:"how long an agent without memory waits for a peer before it takes the platform's values alone"`
	// UnconfirmedAfter is the age of the platform's last confirmation from which the VM
	// reports itself unconfirmed.
	UnconfirmedAfter time.Duration `yaml:"unconfirmed_after" validate:"min=1s" usage:"age of the platform's last confirmation from which the VM reports itself unconfirmed"`
	// OwnReadInterval is the mean time between this agent's own reads of each value.
	OwnReadInterval time.Duration `yaml:"own_read_interval" validate:"min=1s" usage:"mean time between this agent's own reads of each value"`
	// ClaimRetention is how long a claim is kept; it must be the same at all gateways.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"min=1s" usage:"how long a claim is kept; the same value at all agents and gateways"`
	// LeaseGrace is how long a slot of a cold upstream stays reserved after the end of
	// its lease: at least the longest route deadline.
	LeaseGrace time.Duration `yaml:"lease_grace" validate:"min=1ms" usage:"reservation of a cold upstream's slot after the end of its lease, at least the longest route deadline"`
	// BootstrapWait is the uptime from which a group of which no member has memory starts.
	BootstrapWait time.Duration `yaml:"bootstrap_wait" validate:"min=1ms" usage:"uptime from which a group of keepers without memory starts"`
	// MaxClaims bounds the claims and leases in memory.
	MaxClaims int `yaml:"max_claims" validate:"min=1" usage:"bound of claims and leases in memory; new ones are refused beyond it"`
}

// DefaultAgent returns the defaults of hoist-agent.
func DefaultAgent() Agent {
	return Agent{
		LogLevel:         defaultLogLevel,
		StartupWait:      configuration.DefaultStartupWait,
		UnconfirmedAfter: configuration.DefaultUnconfirmedAfter,
		OwnReadInterval:  configuration.DefaultPollInterval,
		ClaimRetention:   keeper.DefaultClaimRetention,
		LeaseGrace:       keeper.DefaultLeaseGrace,
		BootstrapWait:    keeper.DefaultBootstrapWait,
		MaxClaims:        keeper.DefaultMaxRecords,
	}
}
