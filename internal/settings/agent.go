package settings

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// defaultLogLevel is the default log level of all processes.
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
	// KeyFile is the file with the key shared by all processes of the system.
	KeyFile string `yaml:"key_file" usage:"file with the key shared by all processes of the system"`
	// LogLevel is the minimum log level.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error" usage:"minimum log level: debug, info, warn or error"`
	// StartupWait is how long an agent that has started waits for its peers before it
	// adopts values from the platform without having heard from them.
	StartupWait time.Duration `yaml:"startup_wait" validate:"min=1ms" usage:"how long an agent that has started waits for its peers before it adopts the platform's values without them"`
	// UnconfirmedAfter is the age of the last confirmation by the platform above which the
	// VM reports its configuration as unconfirmed.
	UnconfirmedAfter time.Duration `yaml:"unconfirmed_after" validate:"min=1s" usage:"age of the last confirmation by the platform above which the VM reports its configuration as unconfirmed"`
	// OwnReadInterval is the mean interval at which this agent itself reads each value from
	// the platform.
	OwnReadInterval time.Duration `yaml:"own_read_interval" validate:"min=1s" usage:"mean interval at which this agent itself reads each value from the platform"`
	// ClaimRetention is how long a claim is stored. It must be the same on all agents and
	// gateways.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"min=1s" usage:"how long a claim is stored; must be the same on all agents and gateways"`
	// LeaseGrace is how long a slot of a cold upstream stays reserved after its lease has
	// expired. It must be at least the longest route deadline.
	LeaseGrace time.Duration `yaml:"lease_grace" validate:"min=1ms" usage:"how long a slot of a cold upstream stays reserved after its lease has expired; at least the longest route deadline"`
	// BootstrapWait is the minimum uptime of the members before a group of keepers in which
	// none has complete votes may start empty.
	BootstrapWait time.Duration `yaml:"bootstrap_wait" validate:"min=1ms" usage:"minimum uptime of the members before a group of keepers in which none has complete votes may start empty"`
	// MaxClaims is the maximum number of claims and leases in memory.
	MaxClaims int `yaml:"max_claims" validate:"min=1" usage:"maximum number of claims and leases in memory; at the limit new ones are refused"`
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
