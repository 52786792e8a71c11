package dispatch

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
)

// UpstreamState describes an upstream as a Core sees it, for operators.
type UpstreamState struct {
	Pool     string
	Upstream string
	Zone     string
	// Excluded is the name of the filter that excludes the upstream now, or "".
	Excluded string
	// Score is the load score used to choose between upstreams; lower is better.
	Score     float64
	InService bool
	Warm      bool
	// Limit is this VM's concurrency limit, Share its part of the warm capacity.
	Limit    int
	Share    int
	InFlight int
	// Load is the estimated concurrency from all VMs.
	Load float64
}

// Status returns the state of every upstream in the order of the pools table.
func (c *Core) Status(now clock.Instant) []UpstreamState {
	if c.snapshot.Tables == nil {
		return nil
	}
	var states []UpstreamState
	for i := range c.snapshot.Tables.Pools.Pools {
		states = append(states, c.Explain(now, c.snapshot.Tables.Pools.Pools[i].Name)...)
	}
	return states
}

// Explain returns the state of the pool's upstreams as a selection would see them now.
func (c *Core) Explain(now clock.Instant, name string) []UpstreamState {
	p := c.pools[name]
	if p == nil {
		return nil
	}
	query := routing.Query{Now: now}
	states := make([]UpstreamState, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		excluded := "not_in_subset"
		if u.assigned {
			excluded = routing.ExcludedBy(c.filters, &query, &u.Upstream)
		}
		states = append(states, UpstreamState{
			Pool: name, Upstream: u.Name, Zone: u.Zone, Excluded: excluded,
			Score: c.picker.Scorer.Score(&query, &u.Upstream), InService: u.InService, Warm: u.Warm,
			Limit: u.Limit, Share: u.limiter.Share, InFlight: u.InFlight,
			Load: u.Load.Estimate(now, u.InFlight),
		})
	}
	return states
}

// QueueLength returns the number of attempts that wait in the queue of the pool.
func (c *Core) QueueLength(pool string) int {
	if p := c.pools[pool]; p != nil {
		return p.queue.Len()
	}
	return 0
}

// RecordCacheEvent updates prefix affinity after a cache event of an upstream. The argument
// present says whether the upstream has the prefix in its cache now.
func (c *Core) RecordCacheEvent(pool, name string, prefix uint64, present bool) {
	p, u := c.pools[pool], c.upstreams[name]
	if p == nil || u == nil || u.pool != p || prefix == 0 {
		return
	}
	if present {
		c.affinity.Record(prefix^p.prefixSalt, &u.Upstream)
		return
	}
	c.affinity.Remove(prefix^p.prefixSalt, &u.Upstream)
}
