package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/platform"
	"github.com/hornbeamhoist/hornbeamhoist/internal/settings"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Options configures an Agent.
type Options struct {
	Settings settings.Agent
	// Incarnation identifies this start of the process.
	Incarnation membership.Incarnation
	// Seed makes random choices reproducible.
	Seed      uint64
	Platform  *platform.Client
	Transport peer.Transport
	Registry  *prometheus.Registry
	Logger    *zap.Logger
}

// Option extends an Agent.
type Option func(*Agent)

// ListFunc is called with each published VM list that comes into force. Calls are sequential,
// with increasing revisions. The function must not block.
type ListFunc func(revision uint64, vms []table.VM)

// WithService registers an additional gRPC service on the agent's server.
func WithService(register func(grpc.ServiceRegistrar)) Option {
	return func(a *Agent) { a.serviceRegistrations = append(a.serviceRegistrations, register) }
}

// WithListCallback adds a callback for VM lists that come into force.
func WithListCallback(callback ListFunc) Option {
	return func(a *Agent) { a.listCallbacks = append(a.listCallbacks, callback) }
}
