package evaluate

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const (
	tickEvery   = 50 * time.Millisecond
	gossipEvery = time.Second
	gossipDelay = 200 * time.Millisecond
	// coreAttempts bounds the attempts of one stage.
	coreAttempts = 3
)

// coreGate is a VM that decides by dispatch.Core.
type coreGate struct {
	c        *cluster
	vm       int
	core     *dispatch.Core
	snapshot dispatch.Snapshot
	affinity bool
	waiting  map[dispatch.Ticket]*step
}

// step is one stage of a request.
type step struct {
	gate     *coreGate
	request  *request
	admitted dispatch.Ticket
	stage    int
	attempts int
	tried    []string
	running  []*attempt
	over     bool
}

// attempt is one call of a step.
type attempt struct {
	call    *call
	server  *server
	ticket  dispatch.Ticket
	started clock.Instant
}

func newCoreGate(c *cluster, vm int, seed uint64, affinity bool) *coreGate {
	g := &coreGate{
		c: c, vm: vm, affinity: affinity, waiting: map[dispatch.Ticket]*step{},
		core: dispatch.New(dispatch.Options{VM: c.vms[vm].Name, Zone: c.vms[vm].Zone, Seed: seed + uint64(vm)}),
	}
	g.apply()
	c.sim.every(tickEvery, func() { g.effects(g.core.Tick(c.sim.now)) })
	c.sim.every(renewEvery, g.renew)
	return g
}

func (g *coreGate) apply() {
	g.snapshot = dispatch.Snapshot{Tables: g.c.tables, VMs: g.c.vms}
	g.effects(g.core.Apply(g.c.sim.now, g.snapshot))
}

func (g *coreGate) ready() bool { return g.core.Ready(g.c.sim.now) }

func (g *coreGate) renew() {
	var held []dispatch.HeldLease
	for _, want := range g.core.WantedLeases(g.c.sim.now) {
		held = append(held, g.c.keeper.grant(g.c.vms[g.vm].Name, want))
	}
	g.effects(g.core.SetLeases(g.c.sim.now, held))
}

// gossip passes every VM's reports to the others.
func (c *cluster) gossip() {
	for _, gate := range c.gates {
		from := gate.(*coreGate)
		c.sim.every(gossipEvery, func() {
			report := from.core.Report(c.sim.now)
			c.sim.after(gossipDelay, func() { c.spread(from, report) })
		})
	}
}

func (c *cluster) spread(from *coreGate, report dispatch.Report) {
	for _, gate := range c.gates {
		to := gate.(*coreGate)
		if to == from {
			continue
		}
		snapshot := to.snapshot
		snapshot.Warmth, snapshot.Suspects = report.Warmth, report.Suspects
		to.effects(to.core.Apply(c.sim.now, snapshot))
	}
}

func (g *coreGate) arrive(r *request) {
	ticket, refusal := g.core.Admit(g.c.sim.now, dispatch.Admission{
		Route: r.route, Workspace: workspaceName(r.workspace), Deadline: r.deadline,
	})
	if refusal != nil {
		r.end(g.c.sim.now, refused)
		return
	}
	g.begin(&step{gate: g, request: r, admitted: ticket})
}

// begin starts a stage.
func (g *coreGate) begin(s *step) {
	g.c.sim.after(s.request.deadline.Sub(g.c.sim.now), s.expire)
	s.try(false)
}

// try makes one attempt; extra marks retries and hedges.
func (s *step) try(extra bool) bool {
	g := s.gate
	choice := g.core.Select(g.c.sim.now, s.selection(extra))
	switch {
	case choice.Queued:
		g.waiting[choice.Ticket] = s
		return true
	case choice.Refusal != nil:
		return s.refused(extra)
	default:
		s.start(choice, extra)
		return true
	}
}

func (s *step) selection(extra bool) dispatch.Selection {
	selection := dispatch.Selection{
		Route: s.request.route, Stage: s.stage, Pool: models[s.stage].pool, Workspace: workspaceName(s.request.workspace),
		Deadline: s.request.deadline, Exclude: s.tried, Extra: extra, MayWait: len(s.running) == 0,
	}
	if s.gate.affinity && s.stage == len(models)-1 {
		selection.Prefix = s.request.prefix
	}
	return selection
}

func (s *step) refused(extra bool) bool {
	if extra && len(s.running) > 0 {
		return false
	}
	how := dropped
	if s.attempts > 0 {
		how = failed
	}
	s.finish(how)
	return false
}

func (s *step) start(choice dispatch.Choice, extra bool) {
	g := s.gate
	if s.attempts == 0 {
		s.request.tally.reached[s.stage]++
	}
	s.attempts++
	server := g.c.servers[choice.Upstream.Name]
	a := &attempt{server: server, ticket: choice.Ticket, started: g.c.sim.now}
	a.call = &call{request: s.request, stage: s.stage}
	if s.stage == len(models)-1 {
		a.call.prefix = s.request.prefix
	}
	a.call.ended = func(kind dispatch.OutcomeKind, load *dispatch.LoadReport) { s.ended(a, kind, load) }
	s.running = append(s.running, a)
	s.tried = append(s.tried, choice.Upstream.Name)
	server.start(a.call, choice.Upstream.Zone == g.c.vms[g.vm].Zone)
	if delay, ok := g.core.HedgeAfter(g.c.sim.now, s.selection(true)); ok && !extra {
		g.c.sim.after(delay, func() {
			if !s.over && len(s.running) == 1 && s.running[0] == a {
				s.try(true)
			}
		})
	}
}

func (s *step) ended(a *attempt, kind dispatch.OutcomeKind, load *dispatch.LoadReport) {
	g := s.gate
	s.drop(a)
	effects := g.core.Done(g.c.sim.now, a.ticket, dispatch.Outcome{
		Kind: kind, Elapsed: g.c.sim.now.Sub(a.started), Load: load,
	})
	g.effects(effects)
	if s.over {
		return
	}
	switch {
	case kind == dispatch.OutcomeSuccess:
		s.advance()
	case len(s.running) > 0:
	case kind == dispatch.OutcomeRefused:
		s.try(false)
	case s.attempts < coreAttempts:
		s.try(true)
	default:
		s.finish(failed)
	}
}

func (s *step) drop(a *attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// advance goes on to the next stage after a success.
func (s *step) advance() {
	s.cancel(dispatch.OutcomeCancelled)
	s.over = true
	if s.stage == len(models)-1 {
		s.request.end(s.gate.c.sim.now, answered)
		s.gate.effects(s.gate.core.Leave(s.gate.c.sim.now, s.admitted))
		return
	}
	s.gate.begin(&step{gate: s.gate, request: s.request, admitted: s.admitted, stage: s.stage + 1})
}

func (s *step) finish(how result) {
	s.over = true
	s.request.end(s.gate.c.sim.now, how)
	s.gate.effects(s.gate.core.Leave(s.gate.c.sim.now, s.admitted))
}

// expire ends a step at the request's deadline.
func (s *step) expire() {
	if s.over {
		return
	}
	s.over = true
	s.cancel(dispatch.OutcomeTimeout)
	s.finish(late)
}

func (s *step) cancel(kind dispatch.OutcomeKind) {
	g := s.gate
	running := s.running
	s.running = nil
	for _, a := range running {
		a.server.cancel(a.call)
		g.effects(g.core.Done(g.c.sim.now, a.ticket, dispatch.Outcome{Kind: kind, Elapsed: g.c.sim.now.Sub(a.started)}))
	}
}

// effects carries out grants. They are copied since a grant may lead to further calls.
func (g *coreGate) effects(e dispatch.Effects) {
	if len(e.Grants) == 0 {
		return
	}
	for _, grant := range append([]dispatch.Grant(nil), e.Grants...) {
		s := g.waiting[grant.Ticket]
		delete(g.waiting, grant.Ticket)
		switch {
		case grant.Refusal != nil && !s.over:
			s.refused(s.attempts > 0)
		case grant.Upstream != nil && s.over:
			g.effects(g.core.Done(g.c.sim.now, grant.Ticket, dispatch.Outcome{Kind: dispatch.OutcomeCancelled}))
		case grant.Upstream != nil:
			s.start(grant, s.attempts > 0)
		}
	}
}
