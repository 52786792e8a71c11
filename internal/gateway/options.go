package gateway

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/internal/upstream"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Leaser acquires and renews leases on request slots of cold upstreams.
type Leaser interface {
	// Renew tries to acquire the wanted leases and returns all leases held afterwards.
	Renew(ctx context.Context, wanted []dispatch.LeaseRequest) []dispatch.HeldLease
}

// Options configures a Gateway.
type Options struct {
	// VM and Zone are the names of this VM and its availability zone.
	VM   string
	Zone string
	// Seed makes the Core's random choices differ between VMs.
	Seed uint64
	// Now reads the boot-time clock.
	Now    func() clock.Instant
	Logger *zap.Logger
	// Claimer decides which VM runs a request with an idempotency key. If it is nil, such
	// requests are refused unless their route is idempotent.
	Claimer claim.Claimer
	// Leaser gets leases on cold upstreams. If it is nil, the slots are divided statically.
	Leaser Leaser
	// OnVMList, if set, is called with the VM list of every snapshot; its revision never decreases.
	OnVMList func(revision uint64, vms []table.VM)
	// Registry receives the gateway's metrics and is served on /metrics; nil creates a new one.
	Registry *prometheus.Registry
	// UpstreamOptions configures the calls to upstreams.
	UpstreamOptions upstream.Options
	// BalancerDelay is how long requests are still accepted after a stop signal, so that the
	// load balancer can notice that the gateway is not ready.
	BalancerDelay time.Duration
}
