package keeper

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Default durations and bounds.
const (
	// DefaultClaimRetention is how long a claim is stored.
	DefaultClaimRetention = 10 * time.Minute
	// DefaultLeaseDuration is the duration of a lease.
	DefaultLeaseDuration = 5 * time.Second
	// DefaultLeaseGrace must be at least the longest route deadline.
	DefaultLeaseGrace = 10 * time.Second
	// DefaultBootstrapWait is the minimum uptime of the members before a group in
	// which none has complete votes may start empty.
	DefaultBootstrapWait = 5 * time.Second
	// DefaultMaxRecords is the maximum number of records of one member.
	DefaultMaxRecords = 200_000
)

const (
	// readRetryInterval is the time after which an unanswered read is retried.
	readRetryInterval = 200 * time.Millisecond
	// maxReadRefreshInterval is the longest time until a member that answered with
	// incomplete votes is read again.
	maxReadRefreshInterval = time.Second
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = 5 * time.Second
	// removalRetention is how long the removal of a VM from the list is stored.
	removalRetention = 24 * time.Hour
	// maxKnownViews is the maximum number of views of one shard that are still to be
	// read. At the limit a member refuses further readers, because discarding a view
	// could lose its claims.
	maxKnownViews = 64
	// maxSyncResponseRecords limits the records of one SyncResponse: no further shard is
	// added beyond it. The reader requests the omitted shards again.
	maxSyncResponseRecords = 8192
	// maxSyncRequestShards is the maximum number of shards in one SyncRequest.
	maxSyncRequestShards = 128
)

// Options configures a Member.
type Options struct {
	// VM is the name of this VM in the published list.
	VM string
	// Incarnation increases with each process start on the VM.
	Incarnation uint64
	// StartedAt is the start time of the process.
	StartedAt clock.Instant
	// ClaimRetention is how long a claim is stored.
	ClaimRetention time.Duration
	// MaxLeaseDuration is the longest duration for which a lease is granted.
	MaxLeaseDuration time.Duration
	// LeaseGrace is the longest route deadline: a request that is sent to a cold upstream
	// just before its lease ends runs at most that long.
	LeaseGrace time.Duration
	// BootstrapWait is the minimum uptime of the members before a group in which none
	// has complete votes may start empty.
	BootstrapWait time.Duration
	// MaxRecords is the maximum number of records; at the limit new keys are refused.
	MaxRecords int
	// claimShardCount and leaseShardsPerZone are set to smaller values by tests.
	claimShardCount, leaseShardsPerZone uint16
}

// voteLifetime is the time after which no vote of an earlier incarnation is valid.
func (o *Options) voteLifetime(shard Shard) time.Duration {
	if shard.Lease {
		return o.MaxLeaseDuration + o.LeaseGrace
	}
	return o.ClaimRetention
}
