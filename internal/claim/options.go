package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// callTimeout is the timeout of one call to a keeper.
	callTimeout = time.Second
	// deadlineMargin is the time reserved for the response after a wait for a result.
	deadlineMargin = 10 * time.Millisecond
	// renewTimeout bounds the wait for slots that were just requested: a few round trips
	// between zones, less than the interval at which the gateway calls Renew.
	renewTimeout = 40 * time.Millisecond
	// maxConnections covers every VM of a fleet of the target size, since the claims of
	// different shards go to different groups.
	maxConnections = 512
)

// Options configures a Client.
type Options struct {
	// VM is the name of this VM in the published list.
	VM string
	// Incarnation identifies the start of this process.
	Incarnation uint64
	// Now reads the boot-time clock.
	Now       func() clock.Instant
	Transport peer.Transport
	Registry  prometheus.Registerer
	Logger    *zap.Logger
	// ClaimRetention is the time for which keepers retain a claim.
	ClaimRetention time.Duration
	// LeaseDuration is the duration of a lease on a slot.
	LeaseDuration time.Duration
	// ResultTTL and MaxResultBytes bound the results that are kept for resends.
	ResultTTL      time.Duration
	MaxResultBytes int
	// Seed makes random delays reproducible.
	Seed uint64
}
