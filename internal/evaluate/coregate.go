package evaluate

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const (
	tickInterval   = 50 * time.Millisecond
	gossipInterval = time.Second
	gossipDelay    = 200 * time.Millisecond
	// maxCoreAttempts is the number of attempts of one stage after which a failed attempt
	// is not retried.
	maxCoreAttempts = 3
)

// coreGateway simulates a VM whose gateway uses dispatch.Core.
type coreGateway struct {
	cluster  *cluster
	vm       int
	core     *dispatch.Core
	snapshot dispatch.Snapshot
	affinity bool
	waiting  map[dispatch.Ticket]*coreStage
}

// coreStage is one stage of a request on a coreGateway.
type coreStage struct {
	gateway   *coreGateway
	request   *request
	admission dispatch.Ticket
	index     int
	attempts  int
	tried     []string
	running   []*attempt
	done      bool
}

// attempt is one upstream call of a stage.
type attempt struct {
	call    *call
	server  *server
	ticket  dispatch.Ticket
	started clock.Instant
}

func newCoreGateway(c *cluster, vm int, seed uint64, affinity bool) *coreGateway {
	g := &coreGateway{
		cluster: c, vm: vm, affinity: affinity, waiting: map[dispatch.Ticket]*coreStage{},
		core: dispatch.New(dispatch.Options{VM: c.vms[vm].Name, Zone: c.vms[vm].Zone, Seed: seed + uint64(vm)}),
	}
	g.applyTables()
	c.sim.scheduleEvery(tickInterval, func() { g.applyEffects(g.core.Tick(c.sim.now)) })
	c.sim.scheduleEvery(renewInterval, g.renewLeases)
	return g
}

func (g *coreGateway) applyTables() {
	g.snapshot = dispatch.Snapshot{Tables: g.cluster.tables, VMs: g.cluster.vms}
	g.applyEffects(g.core.Apply(g.cluster.sim.now, g.snapshot))
}

func (g *coreGateway) ready() bool { return g.core.Ready(g.cluster.sim.now) }

func (g *coreGateway) renewLeases() {
	var held []dispatch.HeldLease
	for _, wanted := range g.core.WantedLeases(g.cluster.sim.now) {
		held = append(held, g.cluster.leaseKeeper.grant(g.cluster.vms[g.vm].Name, wanted))
	}
	g.applyEffects(g.core.SetLeases(g.cluster.sim.now, held))
}

// startGossip regularly delivers the report of each VM to the others.
func (c *cluster) startGossip() {
	for _, gw := range c.gateways {
		from := gw.(*coreGateway)
		c.sim.scheduleEvery(gossipInterval, func() {
			report := from.core.Report(c.sim.now)
			c.sim.schedule(gossipDelay, func() { c.deliverReport(from, report) })
		})
	}
}

func (c *cluster) deliverReport(from *coreGateway, report dispatch.Report) {
	for _, gw := range c.gateways {
		to := gw.(*coreGateway)
		if to == from {
			continue
		}
		snapshot := to.snapshot
		snapshot.Warmth, snapshot.Suspects = report.Warmth, report.Suspects
		to.applyEffects(to.core.Apply(c.sim.now, snapshot))
	}
}

func (g *coreGateway) handle(r *request) {
	ticket, refusal := g.core.Admit(g.cluster.sim.now, dispatch.Admission{
		Route: r.route, Workspace: workspaceName(r.workspace), Deadline: r.deadline,
	})
	if refusal != nil {
		r.end(g.cluster.sim.now, refusedAtAdmission)
		return
	}
	g.startStage(&coreStage{gateway: g, request: r, admission: ticket})
}

// startStage makes the first attempt of a stage and schedules its end at the deadline.
func (g *coreGateway) startStage(s *coreStage) {
	g.cluster.sim.schedule(s.request.deadline.Sub(g.cluster.sim.now), s.expire)
	s.startAttempt(false)
}

// startAttempt selects an upstream and calls it, or queues the stage. extra is set for
// retries and hedges.
func (s *coreStage) startAttempt(extra bool) bool {
	g := s.gateway
	choice := g.core.Select(g.cluster.sim.now, s.selection(extra))
	switch {
	case choice.Queued:
		g.waiting[choice.Ticket] = s
		return true
	case choice.Refusal != nil:
		return s.handleRefusal(extra)
	default:
		s.callUpstream(choice, extra)
		return true
	}
}

func (s *coreStage) selection(extra bool) dispatch.Selection {
	selection := dispatch.Selection{
		Route: s.request.route, Stage: s.index, Pool: stageModels[s.index].pool, Workspace: workspaceName(s.request.workspace),
		Deadline: s.request.deadline, Exclude: s.tried, Extra: extra, MayWait: len(s.running) == 0,
	}
	if s.gateway.affinity && s.index == len(stageModels)-1 {
		selection.Prefix = s.request.prefix
	}
	return selection
}

func (s *coreStage) handleRefusal(extra bool) bool {
	if extra && len(s.running) > 0 {
		return false
	}
	outcome := refusedBetweenStages
	if s.attempts > 0 {
		outcome = failed
	}
	s.finish(outcome)
	return false
}

func (s *coreStage) callUpstream(choice dispatch.Choice, extra bool) {
	g := s.gateway
	if s.attempts == 0 {
		s.request.stats.reachedStage[s.index]++
	}
	s.attempts++
	server := g.cluster.servers[choice.Upstream.Name]
	a := &attempt{server: server, ticket: choice.Ticket, started: g.cluster.sim.now}
	a.call = &call{request: s.request, stage: s.index}
	if s.index == len(stageModels)-1 {
		a.call.prefix = s.request.prefix
	}
	a.call.onEnd = func(kind dispatch.OutcomeKind, load *dispatch.LoadReport) { s.attemptEnded(a, kind, load) }
	s.running = append(s.running, a)
	s.tried = append(s.tried, choice.Upstream.Name)
	server.start(a.call, choice.Upstream.Zone == g.cluster.vms[g.vm].Zone)
	if delay, ok := g.core.HedgeAfter(g.cluster.sim.now, s.selection(true)); ok && !extra {
		g.cluster.sim.schedule(delay, func() {
			if !s.done && len(s.running) == 1 && s.running[0] == a {
				s.startAttempt(true)
			}
		})
	}
}

func (s *coreStage) attemptEnded(a *attempt, kind dispatch.OutcomeKind, load *dispatch.LoadReport) {
	g := s.gateway
	s.removeAttempt(a)
	effects := g.core.Done(g.cluster.sim.now, a.ticket, dispatch.Outcome{
		Kind: kind, Elapsed: g.cluster.sim.now.Sub(a.started), Load: load,
	})
	g.applyEffects(effects)
	if s.done {
		return
	}
	switch {
	case kind == dispatch.OutcomeSuccess:
		s.advance()
	case len(s.running) > 0:
	case kind == dispatch.OutcomeRefused:
		s.startAttempt(false)
	case s.attempts < maxCoreAttempts:
		s.startAttempt(true)
	default:
		s.finish(failed)
	}
}

func (s *coreStage) removeAttempt(a *attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// advance starts the next stage after a success, or completes the request.
func (s *coreStage) advance() {
	s.cancelAttempts(dispatch.OutcomeCancelled)
	s.done = true
	if s.index == len(stageModels)-1 {
		s.request.end(s.gateway.cluster.sim.now, answered)
		s.gateway.applyEffects(s.gateway.core.Leave(s.gateway.cluster.sim.now, s.admission))
		return
	}
	s.gateway.startStage(&coreStage{gateway: s.gateway, request: s.request, admission: s.admission, index: s.index + 1})
}

func (s *coreStage) finish(outcome result) {
	s.done = true
	s.request.end(s.gateway.cluster.sim.now, outcome)
	s.gateway.applyEffects(s.gateway.core.Leave(s.gateway.cluster.sim.now, s.admission))
}

// expire ends a stage at the deadline of its request.
func (s *coreStage) expire() {
	if s.done {
		return
	}
	s.done = true
	s.cancelAttempts(dispatch.OutcomeTimeout)
	s.finish(late)
}

func (s *coreStage) cancelAttempts(kind dispatch.OutcomeKind) {
	g := s.gateway
	running := s.running
	s.running = nil
	for _, a := range running {
		a.server.cancel(a.call)
		g.applyEffects(g.core.Done(g.cluster.sim.now, a.ticket, dispatch.Outcome{Kind: kind, Elapsed: g.cluster.sim.now.Sub(a.started)}))
	}
}

// applyEffects handles grants. It copies them first, since handling one can call the Core,
// and the slice is valid only until the next call.
func (g *coreGateway) applyEffects(e dispatch.Effects) {
	if len(e.Grants) == 0 {
		return
	}
	for _, grant := range append([]dispatch.Grant(nil), e.Grants...) {
		s := g.waiting[grant.Ticket]
		delete(g.waiting, grant.Ticket)
		switch {
		case grant.Refusal != nil && !s.done:
			s.handleRefusal(s.attempts > 0)
		case grant.Upstream != nil && s.done:
			g.applyEffects(g.core.Done(g.cluster.sim.now, grant.Ticket, dispatch.Outcome{Kind: dispatch.OutcomeCancelled}))
		case grant.Upstream != nil:
			s.callUpstream(grant, s.attempts > 0)
		}
	}
}
