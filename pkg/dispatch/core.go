// Package dispatch composes the decisions of a gateway: admission, routing,
// cold-start limits, retries and suspects. A Core is a deterministic state
// machine: the caller passes the time and events and carries out the results.
// A Core is not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
)

// Options configures a Core.
type Options struct {
	// VM is the name of this VM in the published VM list.
	VM string
	// Zone is the availability zone of this VM.
	Zone string
	// Seed makes random choices reproducible.
	Seed uint64
	// TickInterval is how often Tick is called, DefaultTickInterval if 0. A longer gap
	// shows that the process was stalled.
	TickInterval time.Duration
}

// DefaultTickInterval is the longest interval between two calls of Tick.
const DefaultTickInterval = 50 * time.Millisecond

// Core holds the state of a gateway's decisions.
//
// Invariants:
//   - An attempt holds exactly one reservation from its dispatch to its Done.
//   - A queued attempt leaves the queue by exactly one Grant or by Abandon.
//   - If an attempt waits in a pool, the one that is served next cannot be placed.
type Core struct {
	options  Options
	snapshot Snapshot

	pools     map[string]*pool
	upstreams map[string]*upstream
	// orderedUpstreams holds the upstreams in a fixed order: the order of a map would make runs
	// with the same events differ.
	orderedUpstreams []*upstream
	routes           map[string]*route

	usage    *admission.Usage
	suspects *poison.Table
	affinity *routing.Affinity
	filters  []routing.Filter
	picker   *routing.TwoChoices

	attempts arena[attempt]
	requests arena[request]
	held     []*attempt
	query    routing.Query
	grants   []Grant
	sequence uint64
	// zoneReturnedAt is when this VM's zone came back into service, zoneOut whether it is out.
	zoneReturnedAt   clock.Instant
	zoneOutOfService bool
	lastSweep        clock.Instant
	stalls           stallTracker
}

// New returns a Core that refuses everything until the first snapshot.
func New(options Options) *Core {
	filters := routing.Filters()
	return &Core{
		options:   options,
		stalls:    newStallTracker(options.TickInterval),
		pools:     make(map[string]*pool),
		upstreams: make(map[string]*upstream),
		routes:    make(map[string]*route),
		usage:     admission.NewUsage(),
		suspects:  poison.New(),
		affinity:  &routing.Affinity{},
		filters:   filters,
		picker: &routing.TwoChoices{
			Filters: filters, Scorer: routing.LoadScorer{}, Random: routing.NewRandom(options.Seed),
		},
		requests: arena[request]{tag: requestTag},
	}
}

// effects returns the grants since the last begin.
func (c *Core) effects() Effects { return Effects{Grants: c.grants} }

// beginEvent starts an event that may grant.
func (c *Core) beginEvent() { c.grants = c.grants[:0] }

// weight returns the share of a workspace, 1 if it is not in the table.
func (c *Core) weight(workspace string) int {
	if c.snapshot.Tables == nil {
		return 1
	}
	entry := c.snapshot.Tables.Workspace(workspace)
	if entry == nil {
		return 1
	}
	return max(entry.Weight, 1)
}
