package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Ticket identifies an admitted request, or an attempt that is queued or running.
type Ticket uint64

// Snapshot is the shared state that a gateway receives from its agent.
type Snapshot struct {
	// Tables is the configuration in force.
	Tables *table.Tables
	// PoolsRevision is the revision of the pools table.
	PoolsRevision uint64
	// ListRevision is the revision of the published VM list.
	ListRevision uint64
	// VMs is the published VM list, including VMs that may be down.
	VMs []table.VM
	// Warmth holds the observations of other VMs about upstreams.
	Warmth []WarmthReport
	// Suspects lists fingerprints of requests during which upstreams crashed.
	Suspects []Suspect
}

// WarmthReport is one VM's observations of an upstream.
type WarmthReport = coldstart.Report

// Fingerprint is a hash of the route, the stage and the body of the caller's request.
type Fingerprint = poison.Fingerprint

// Suspect is a fingerprint with the upstreams that crashed while running it.
type Suspect = poison.Suspect

// Admission describes a request at its arrival.
type Admission struct {
	Route     *table.Route
	Workspace string
	Deadline  clock.Instant
}

// Selection asks for an upstream for one attempt of a stage.
type Selection struct {
	Route     *table.Route
	Stage     int
	Pool      string
	Workspace string
	Deadline  clock.Instant
	// Fingerprint identifies the request for suspect tracking.
	Fingerprint Fingerprint
	// Prefix is a hash of the prompt prefix, 0 for none.
	Prefix uint64
	// Exclude names the upstreams that the request has already tried.
	Exclude []string
	// Extra is set for retries and hedges, which are limited by the retry budget. An attempt
	// re-routed after a refused connection is not Extra.
	Extra bool
	// MayWait lets an Extra attempt be queued like a first one. It is meant for retries
	// without another attempt in progress; a queued hedge has no benefit.
	MayWait bool
}

// Choice is the outcome of a Selection.
type Choice struct {
	Ticket Ticket
	// Queued is set if the attempt waits; a later call returns its Grant among its Effects.
	Queued bool
	// Upstream is set if the attempt may start now.
	Upstream *table.Upstream
	// Priority is passed to engines that support priorities; higher is more urgent.
	Priority int
	// Refusal is set if the attempt may not run.
	Refusal *errkind.Error
}

// Grant is the result of a queued Selection and ends its wait.
type Grant = Choice

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

// Ways in which an attempt can end.
const (
	// OutcomeSuccess is a complete answer.
	OutcomeSuccess OutcomeKind = iota
	// OutcomeRefused is a refused connection: no byte reached the upstream.
	OutcomeRefused
	// OutcomeOverloaded is an answer 429 or 503.
	OutcomeOverloaded
	// OutcomeFailed is any other error answer, or an answer to another request.
	OutcomeFailed
	// OutcomeDied is a connection that broke before the complete answer, and a probe on a
	// new connection was refused too. The crash is attributed to the request, which
	// may be a poison request.
	OutcomeDied
	// OutcomeReset is a connection that broke before the complete answer while the
	// upstream accepts new ones. Its process may have restarted, so it counts as cold.
	OutcomeReset
	// OutcomeSilent is a connection without progress while new connections work.
	OutcomeSilent
	// OutcomeTimeout is an attempt that reached its timeout.
	OutcomeTimeout
	// OutcomeCancelled is an attempt that the gateway cancelled, such as the loser of a hedge.
	OutcomeCancelled
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Elapsed is the time from dispatch to the end.
	Elapsed time.Duration
	// Load is the load report in the upstream's answer, nil if there was none.
	Load *LoadReport
}

// LoadReport is an upstream's report of its own load and state.
type LoadReport struct {
	InFlight int
	Cold     bool
	Warm     bool
}

// Effects lists what the caller of the Core must do after an event.
type Effects struct {
	// Grants holds results of queued selections. The slice is valid until the next call.
	Grants []Grant
}

// LeaseRequest asks for a lease on slots of a cold upstream.
type LeaseRequest struct {
	Upstream string
	Zone     string
	// Slots is the number of slots wanted, at most the cold capacity.
	Slots int
	// Capacity is the cold capacity of the upstream.
	Capacity int
}

// HeldLease is a lease that this VM holds.
type HeldLease struct {
	Upstream string
	Slots    int
	// Until is when the lease expires.
	Until clock.Instant
}

// Report holds the observations that the gateway passes to its agent.
type Report struct {
	Warmth   []WarmthReport
	Suspects []Suspect
}
