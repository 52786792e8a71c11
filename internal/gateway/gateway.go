// Package gateway implements the data path of one VM: it accepts callers' requests, runs
// them through the stages of their routes and calls the upstreams.
package gateway

import (
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/upstream"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Gateway serves callers with the configuration from its agent's snapshots.
type Gateway struct {
	options Options
	client  *upstream.Client
	metrics *metrics
	// requestIDPrefix makes request IDs unique across processes and restarts.
	requestIDPrefix string
	requestSequence atomic.Uint64

	config atomic.Pointer[config]
	// suspectCount is the number of suspect requests in the latest snapshot, to log changes.
	suspectCount int
	inFlight     atomic.Int64
	// lastDeadline is the latest deadline of the requests that were taken, a clock.Instant.
	lastDeadline atomic.Int64
	// stopping is set when the stop signal arrives, draining once new requests are refused.
	stopping atomic.Bool
	draining atomic.Bool

	// mu guards the Core and the calls queued in it. It is held only for single calls to
	// the Core, never during I/O.
	mu          sync.Mutex
	core        *dispatch.Core
	queuedCalls map[dispatch.Ticket]queuedCall
}

// queuedCall is a call that waits in the Core's queue for an upstream.
type queuedCall struct {
	driver *driver
	call   pipeline.CallID
}

// New returns a gateway that has no configuration yet.
func New(options Options) *Gateway {
	g := &Gateway{
		options:         options,
		client:          upstream.NewClient(options.UpstreamOptions),
		metrics:         newMetrics(options.Registry),
		requestIDPrefix: rand.Text()[:16],
		core: dispatch.New(dispatch.Options{
			VM: options.VM, Zone: options.Zone, Seed: options.Seed, TickInterval: tickInterval,
		}),
		queuedCalls: map[dispatch.Ticket]queuedCall{},
	}
	if options.Leaser == nil {
		g.options.Leaser = &staticLeases{vm: options.VM, now: options.Now, listVMs: g.publishedVMs}
	}
	return g
}

func (g *Gateway) publishedVMs() []table.VM {
	if current := g.config.Load(); current != nil {
		return current.vms
	}
	return nil
}

// selectionResult is the Core's answer to a selection.
type selectionResult struct {
	dispatch.Choice
	// hedgeDelay is the time from dispatch to the hedge, valid if hedgeAllowed is set.
	hedgeDelay   time.Duration
	hedgeAllowed bool
}

// selectUpstream asks the Core for an upstream and records the call if it is queued. It
// computes the hedge delay under the same lock, since taking the lock again would cost more.
func (g *Gateway) selectUpstream(now clock.Instant, d *driver, call pipeline.CallID, selection dispatch.Selection) selectionResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := selectionResult{Choice: g.core.Select(now, selection)}
	switch {
	case result.Queued:
		g.queuedCalls[result.Ticket] = queuedCall{d, call}
	case result.Refusal == nil && !selection.Extra:
		result.hedgeDelay, result.hedgeAllowed = g.core.HedgeAfter(now, selection)
	}
	return result
}

// hedgeAfter returns how long after the dispatch to start a hedge, if one is allowed.
func (g *Gateway) hedgeAfter(now clock.Instant, selection dispatch.Selection) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.HedgeAfter(now, selection)
}

// updateCore runs update on the Core and passes the resulting grants to the queued calls.
func (g *Gateway) updateCore(update func(core *dispatch.Core) dispatch.Effects) {
	g.mu.Lock()
	effects := update(g.core)
	for _, grant := range effects.Grants {
		queued, ok := g.queuedCalls[grant.Ticket]
		if !ok {
			continue
		}
		delete(g.queuedCalls, grant.Ticket)
		// onGrant takes the driver's lock, and the holder of that lock may be waiting for mu.
		go queued.driver.onGrant(queued.call, grant)
	}
	g.mu.Unlock()
}

func (g *Gateway) finishCall(now clock.Instant, ticket dispatch.Ticket, outcome dispatch.Outcome) {
	g.updateCore(func(core *dispatch.Core) dispatch.Effects { return core.Done(now, ticket, outcome) })
}

func (g *Gateway) cancelQueued(now clock.Instant, ticket dispatch.Ticket) {
	g.updateCore(func(core *dispatch.Core) dispatch.Effects {
		delete(g.queuedCalls, ticket)
		return core.CancelQueued(now, ticket)
	})
}
