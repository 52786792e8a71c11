// Package gateway runs the data path of one VM: it accepts callers' requests, drives
// them through their pipelines and calls the upstreams.
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

// Gateway serves callers from the snapshots of its agent.
type Gateway struct {
	options Options
	client  *upstream.Client
	metrics *metrics
	// prefix makes request identities unique across processes and restarts.
	prefix string
	next   atomic.Uint64

	config atomic.Pointer[config]
	// suspectsKnown is the number of suspects in the latest snapshot, for the log.
	suspectsKnown int
	inFlight      atomic.Int64
	// stopping is set at the stop signal, draining when new requests are refused.
	stopping atomic.Bool
	draining atomic.Bool

	// mu guards the Core and the requests that wait for it. It is held for single calls of
	// the Core only, never during I/O.
	mu      sync.Mutex
	core    *dispatch.Core
	waiting map[dispatch.Ticket]waiter
}

// waiter is a queued call of a request.
type waiter struct {
	driver *driver
	call   pipeline.CallID
}

// New returns a gateway without configuration.
func New(options Options) *Gateway {
	g := &Gateway{
		options: options,
		client:  upstream.NewClient(options.UpstreamOptions),
		metrics: newMetrics(options.Registry),
		prefix:  rand.Text()[:16],
		core: dispatch.New(dispatch.Options{
			VM: options.VM, Zone: options.Zone, Seed: options.Seed, TickInterval: tickInterval,
		}),
		waiting: map[dispatch.Ticket]waiter{},
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

// selection is the Core's answer for a call.
type selection struct {
	dispatch.Choice
	// hedge is when to start a hedge, valid if hedged is set.
	hedge  time.Duration
	hedged bool
}

// selectUpstream asks the Core and records a queued call. It asks for the hedge at the
// same time, since taking the lock costs more than the answer.
func (g *Gateway) selectUpstream(now clock.Instant, d *driver, call pipeline.CallID, wanted dispatch.Selection) selection {
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen := selection{Choice: g.core.Select(now, wanted)}
	switch {
	case chosen.Queued:
		g.waiting[chosen.Ticket] = waiter{d, call}
	case chosen.Refusal == nil && !wanted.Extra:
		chosen.hedge, chosen.hedged = g.core.HedgeAfter(now, wanted)
	}
	return chosen
}

// hedgeAfter asks the Core when to hedge.
func (g *Gateway) hedgeAfter(now clock.Instant, selection dispatch.Selection) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.HedgeAfter(now, selection)
}

// change applies an event to the Core and passes the grants on.
func (g *Gateway) change(event func(core *dispatch.Core) dispatch.Effects) {
	g.mu.Lock()
	effects := event(g.core)
	for _, grant := range effects.Grants {
		w, ok := g.waiting[grant.Ticket]
		if !ok {
			continue
		}
		delete(g.waiting, grant.Ticket)
		// The receiver takes its own lock, which its holder may keep while it waits for mu.
		go w.driver.granted(w.call, grant)
	}
	g.mu.Unlock()
}

func (g *Gateway) done(now clock.Instant, ticket dispatch.Ticket, outcome dispatch.Outcome) {
	g.change(func(core *dispatch.Core) dispatch.Effects { return core.Done(now, ticket, outcome) })
}

func (g *Gateway) abandon(now clock.Instant, ticket dispatch.Ticket) {
	g.change(func(core *dispatch.Core) dispatch.Effects {
		delete(g.waiting, ticket)
		return core.CancelQueued(now, ticket)
	})
}
