package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Ticket identifies one reservation or one waiting request of a Core.
type Ticket uint64

// Snapshot is the shared knowledge that a gateway receives from its agent.
type Snapshot struct {
	// Tables is the configuration in force.
	Tables *table.Tables
	// PoolsRevision is the revision of the pools table.
	PoolsRevision uint64
	// ListRevision is the revision of the published VM list.
	ListRevision uint64
	// VMs is the published VM list, including VMs that may be dead.
	VMs []table.VM
	// Warmth is what other VMs observed about upstreams.
	Warmth []WarmthReport
	// Suspects lists fingerprints of requests during which upstreams died.
	Suspects []Suspect
}

// WarmthReport is one VM's evidence about an upstream.
type WarmthReport = coldstart.Report

// Fingerprint is a hash of route, stage and the caller's body.
type Fingerprint = poison.Fingerprint

// Suspect is a fingerprint with the upstreams that died while running it.
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
	// Exclude names upstreams already tried by the request.
	Exclude []string
	// Extra is set for retries and hedges, which take from the retry budget. A call
	// re-routed after a refused connection is not Extra.
	Extra bool
	// MayWait lets an Extra attempt wait like a first one. It is meant for a retry
	// without another attempt in progress; a hedge that waits helps nobody.
	MayWait bool
}

// Choice is the outcome of a Selection.
type Choice struct {
	Ticket Ticket
	// Queued is set if the attempt waits; a Grant follows from Done or Tick.
	Queued bool
	// Upstream is set if the attempt may start now.
	Upstream *table.Upstream
	// Priority for engines that honour one; higher is more urgent.
	Priority int
	// Refusal is set if the attempt may not run.
	Refusal *errkind.Error
}

// Grant ends the wait of a queued Selection.
type Grant = Choice

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

// Ends of an attempt.
const (
	// OutcomeSuccess is a complete answer.
	OutcomeSuccess OutcomeKind = iota
	// OutcomeRefused is a refused connection: no byte reached the upstream.
	OutcomeRefused
	// OutcomeOverloaded is an answer 429 or 503.
	OutcomeOverloaded
	// OutcomeFailed is any other error answer or a foreign answer.
	OutcomeFailed
	// OutcomeDied is a connection that broke before the complete answer, where a probe on
	// a new connection was refused too. It gives the request a strike.
	OutcomeDied
	// OutcomeReset is a connection that broke before the complete answer while the
	// upstream accepts new ones. Its process may have restarted, so it counts as cold.
	OutcomeReset
	// OutcomeSilent is a connection without progress while a new connection works.
	OutcomeSilent
	// OutcomeTimeout is an attempt that reached its timeout.
	OutcomeTimeout
	// OutcomeCancelled is an attempt that the gateway gave up, such as the loser of a hedge.
	OutcomeCancelled
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Elapsed is the time from dispatch to the end.
	Elapsed time.Duration
	// Load is the upstream's own report, nil if none came.
	Load *LoadReport
}

// LoadReport is an upstream's report about itself.
type LoadReport struct {
	InFlight int
	Cold     bool
	Warm     bool
}

// Effects is what the caller of the Core has to do after an event.
type Effects struct {
	// Grants ends waits; the slice is valid until the next call.
	Grants []Grant
}

// LeaseRequest asks for leases on slots of a cold upstream.
type LeaseRequest struct {
	Upstream string
	Zone     string
	// Slots is the number of slots wanted, at most the cold capacity.
	Slots int
	// Capacity is the cold capacity of the upstream.
	Capacity int
}

// HeldLease reports leases in hand.
type HeldLease struct {
	Upstream string
	Slots    int
	// Until is when the slots may no longer be used.
	Until clock.Instant
}

// Report is what the gateway passes to its agent.
type Report struct {
	Warmth   []WarmthReport
	Suspects []Suspect
}
