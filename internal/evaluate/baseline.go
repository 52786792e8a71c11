package evaluate

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// maxBaselineRetries is the number of retries after a failed attempt.
const maxBaselineRetries = 3

// baselineGateway simulates a VM that balances round robin, with a fixed concurrency limit
// per upstream (its capacity divided by the number of VMs), a FIFO queue per pool and
// immediate retries.
type baselineGateway struct {
	cluster      *cluster
	zone         string
	pools        []baselinePool
	outOfService []string
}

type baselinePool struct {
	upstreams    []string
	nextUpstream int
	inFlight     map[string]int
	limit        int
	waiting      []*baselineStage
}

// baselineStage is one stage of a request on a baselineGateway.
type baselineStage struct {
	gateway *baselineGateway
	request *request
	index   int
	retries int
	call    *call
	server  *server
	done    bool
}

func newBaselineGateway(c *cluster, zone string) *baselineGateway {
	g := &baselineGateway{cluster: c, zone: zone, pools: make([]baselinePool, len(stageModels))}
	for i, m := range stageModels {
		g.pools[i].limit = max(1, (m.warm+vmCount-1)/vmCount)
		g.pools[i].inFlight = map[string]int{}
	}
	g.applyTables()
	return g
}

func (g *baselineGateway) applyTables() {
	g.outOfService = g.cluster.tables.Pools.OutOfService.Zones
	for i := range g.pools {
		g.pools[i].upstreams = g.pools[i].upstreams[:0]
		for _, u := range g.cluster.tables.Pools.Pools[i].Upstreams {
			if !slices.Contains(g.outOfService, u.Zone) {
				g.pools[i].upstreams = append(g.pools[i].upstreams, u.Name)
			}
		}
	}
}

func (g *baselineGateway) ready() bool { return !slices.Contains(g.outOfService, g.zone) }

func (g *baselineGateway) handle(r *request) { g.startStage(r, 0) }

func (g *baselineGateway) startStage(r *request, stage int) {
	s := &baselineStage{gateway: g, request: r, index: stage}
	g.cluster.sim.schedule(r.deadline.Sub(g.cluster.sim.now), s.expire)
	s.startAttempt()
}

// pickUpstream returns the next upstream in round-robin order that is below its limit, or
// "" if there is none.
func (p *baselinePool) pickUpstream() string {
	for range p.upstreams {
		p.nextUpstream++
		if name := p.upstreams[p.nextUpstream%len(p.upstreams)]; p.inFlight[name] < p.limit {
			return name
		}
	}
	return ""
}

func (s *baselineStage) startAttempt() {
	g, p := s.gateway, &s.gateway.pools[s.index]
	name := p.pickUpstream()
	if name == "" {
		p.waiting = append(p.waiting, s)
		return
	}
	if s.retries == 0 {
		s.request.stats.reachedStage[s.index]++
	}
	p.inFlight[name]++
	s.server = g.cluster.servers[name]
	s.call = &call{request: s.request, stage: s.index}
	if s.index == len(stageModels)-1 {
		s.call.prefix = s.request.prefix
	}
	s.call.onEnd = func(kind dispatch.OutcomeKind, _ *dispatch.LoadReport) { s.attemptEnded(name, kind) }
	s.server.start(s.call, s.server.entry.Zone == g.zone)
}

func (s *baselineStage) attemptEnded(name string, kind dispatch.OutcomeKind) {
	g, p := s.gateway, &s.gateway.pools[s.index]
	p.inFlight[name]--
	s.call = nil
	switch {
	case s.done:
	case kind == dispatch.OutcomeSuccess && s.index == len(stageModels)-1:
		s.done = true
		s.request.end(g.cluster.sim.now, answered)
	case kind == dispatch.OutcomeSuccess:
		s.done = true
		g.startStage(s.request, s.index+1)
	case s.retries < maxBaselineRetries:
		s.retries++
		s.startAttempt()
	default:
		s.done = true
		s.request.end(g.cluster.sim.now, failed)
	}
	p.startWaiting()
}

// startWaiting starts queued stages while an upstream is below its limit.
func (p *baselinePool) startWaiting() {
	for len(p.waiting) > 0 {
		s := p.waiting[0]
		if !s.done {
			if name := p.pickUpstream(); name == "" {
				return
			}
			p.nextUpstream--
		}
		p.waiting = p.waiting[1:]
		if !s.done {
			s.startAttempt()
		}
	}
}

// expire ends a stage at the deadline of its request.
func (s *baselineStage) expire() {
	if s.done {
		return
	}
	s.done = true
	s.request.end(s.gateway.cluster.sim.now, late)
	if s.call == nil {
		return
	}
	s.server.cancel(s.call)
	p := &s.gateway.pools[s.index]
	p.inFlight[s.server.entry.Name]--
	p.startWaiting()
}
