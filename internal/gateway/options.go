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

// Leaser acquires and renews leases on slots of cold upstreams.
type Leaser interface {
	// Renew returns all leases in hand after an attempt to get the wanted ones.
	Renew(ctx context.Context, wants []dispatch.LeaseRequest) []dispatch.HeldLease
}

// Options configures a Gateway.
type Options struct {
	// VM and Zone name this VM.
	VM   string
	Zone string
	// Seed makes the Core's random choices differ between VMs.
	Seed uint64
	// Now reads the boot-time clock.
	Now    func() clock.Instant
	Logger *zap.Logger
	// Claimer decides who runs a request with an idempotency key. Without one such
	// requests are refused.
	Claimer claim.Claimer
	// Leaser gets leases on cold upstreams. Without one the slots are divided statically.
	Leaser Leaser
	// ListChanged receives each published VM list, with increasing revisions.
	ListChanged func(revision uint64, vms []table.VM)
	// Registry receives the gateway's metrics and is served on /metrics; nil means an own one.
	Registry *prometheus.Registry
	// Client holds the options of calls to upstreams.
	Client upstream.Options
	// BalancerDelay is how long requests are accepted after a stop signal.
	BalancerDelay time.Duration
}
