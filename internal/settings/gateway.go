package settings

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// Default limits of the results that are stored for resends.
const (
	defaultResultTTL      = 60 * time.Second
	defaultMaxResultBytes = 32 << 20
)

// Gateway holds the settings of hoist-gateway.
type Gateway struct {
	// VM is the name of this VM in the published VM list.
	VM string `yaml:"vm" validate:"required" usage:"name of this VM in the published VM list"`
	// Zone is the availability zone of this VM.
	Zone string `yaml:"zone" validate:"required" usage:"availability zone of this VM"`
	// Listen is the IP:port for callers.
	Listen string `yaml:"listen" validate:"required,ip_port" usage:"IP:port for callers"`
	// PeerListen is the IP:port for other gateways (gRPC).
	PeerListen string `yaml:"peer_listen" validate:"required,ip_port" usage:"IP:port for other gateways (gRPC)"`
	// AdminListen is the IP:port for metrics, health checks and status (HTTP).
	AdminListen string `yaml:"admin_listen" validate:"required,ip_port" usage:"IP:port for metrics, health checks and status (HTTP)"`
	// Agent is the IP:port of the agent on the same VM (gRPC).
	Agent string `yaml:"agent" validate:"required,ip_port" usage:"IP:port of the agent on the same VM (gRPC)"`
	// KeyFile is the file with the key shared by all processes of the system.
	KeyFile string `yaml:"key_file" usage:"file with the key shared by all processes of the system"`
	// LogLevel is the minimum log level.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error" usage:"minimum log level: debug, info, warn or error"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1" usage:"maximum size of a request body in bytes"`
	// MaxConnections is the maximum number of concurrent connections from callers.
	MaxConnections int `yaml:"max_connections" validate:"min=1" usage:"maximum number of concurrent connections from callers"`
	// ReadTimeout is the timeout for reading a request, which protects against slow senders.
	ReadTimeout time.Duration `yaml:"read_timeout" validate:"min=1ms" usage:"timeout for reading a request"`
	// WriteTimeout is the timeout for writing a response, which protects against slow readers.
	WriteTimeout time.Duration `yaml:"write_timeout" validate:"min=1ms" usage:"timeout for writing a response"`
	// BalancerDelay is how long requests are still accepted after a stop signal, until the
	// load balancer has removed the gateway.
	BalancerDelay time.Duration `yaml:"balancer_delay" validate:"min=0" usage:"how long requests are still accepted after a stop signal, until the load balancer has removed the gateway"`
	// ClaimRetention is how long the keepers store a claim. It must be the same on all agents
	// and gateways.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"min=1s" usage:"how long a claim is stored; must be the same on all agents and gateways"`
	// ResultTTL is how long the result of a non-idempotent request is stored for resends.
	ResultTTL time.Duration `yaml:"result_ttl" validate:"min=1ms" usage:"how long the result of a non-idempotent request is stored for resends"`
	// MaxResultBytes is the maximum total size of the results that are stored for resends.
	MaxResultBytes int `yaml:"max_result_bytes" validate:"min=1" usage:"maximum total size in bytes of the results that are stored for resends"`
}

// DefaultGateway returns the defaults of hoist-gateway.
func DefaultGateway() Gateway {
	return Gateway{
		LogLevel:       defaultLogLevel,
		MaxBodyBytes:   8 << 20,
		MaxConnections: 16384,
		ReadTimeout:    10 * time.Second,
		WriteTimeout:   30 * time.Second,
		BalancerDelay:  2 * time.Second,
		ClaimRetention: keeper.DefaultClaimRetention,
		ResultTTL:      defaultResultTTL,
		MaxResultBytes: defaultMaxResultBytes,
	}
}
