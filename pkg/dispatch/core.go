// Package dispatch makes the decisions of a gateway: it admits requests, selects an
// upstream for each attempt, queues attempts while none is free, and applies cold-start
// limits, the retry budget and the rules for suspected poison requests.
//
// A Core is a deterministic state machine: the caller passes in the time and the events,
// and carries out the results. A Core is not safe for concurrent use.
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
	// TickInterval is how often Tick is called; 0 means DefaultTickInterval. A much longer
	// gap between two calls shows that the process was stalled.
	TickInterval time.Duration
}

// DefaultTickInterval is the longest interval between two calls of Tick, and the one assumed
// if Options set none.
const DefaultTickInterval = 50 * time.Millisecond

// Core holds the state behind a gateway's decisions.
//
// Invariants:
//   - An attempt holds exactly one reservation from its dispatch to its Done.
//   - A queued attempt leaves the queue by exactly one Grant or by CancelQueued.
//   - While attempts wait in a pool, the next one to be served cannot be placed.
type Core struct {
	options  Options
	snapshot Snapshot

	pools     map[string]*pool
	upstreams map[string]*upstream
	// orderedUpstreams holds the upstreams in a fixed order: iterating over the map would
	// make runs with the same events differ.
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
	// zoneReturnedAt is when this VM's zone last came back into service, and zoneOutOfService
	// whether it is out of service now.
	zoneReturnedAt   clock.Instant
	zoneOutOfService bool
	lastSweep        clock.Instant
	stalls           stallTracker
}

// New returns a Core that refuses everything until its first snapshot.
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

// effects returns the grants since the last beginEvent.
func (c *Core) effects() Effects { return Effects{Grants: c.grants} }

// beginEvent resets the grants at the start of a call that may grant.
func (c *Core) beginEvent() { c.grants = c.grants[:0] }

// weight returns the fair-share weight of a workspace, 1 if it is not in the table.
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
