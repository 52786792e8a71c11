package edge

import (
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// onPartitionChange tells the other VMs whether this VM is partitioned from all upstreams. A partitioned VM
// hands its pools over and ends their stages, which may run again at the new owner. Failures because of the
// partition are forgotten when it is detected, and again when it is over. This comes first, since the next owner of a
// pool takes over what is known of its upstreams.
func (s *Server) onPartitionChange(partitioned bool) {
	s.upstreams.forgetFailures()
	runners := s.currentPoolRunners()
	for _, runner := range runners {
		runner.forgetFailures()
	}
	s.gossip.setPartitioned(partitioned)
	if partitioned {
		s.client.CloseIdle()
		s.releases.CloseIdle()
	}
	s.updatePoolClaims()
	if partitioned {
		s.abandonStages(runners)
	}
}

// currentPoolRunners returns the runners of this VM by the name of their shard.
func (s *Server) currentPoolRunners() map[string]*poolRunner {
	s.poolRunnersMu.Lock()
	defer s.poolRunnersMu.Unlock()
	out := make(map[string]*poolRunner, len(s.poolRunners))
	for name, runner := range s.poolRunners {
		out[name] = runner
	}
	return out
}

// abandonStages ends the stages of shards that other VMs own now.
func (s *Server) abandonStages(runners map[string]*poolRunner) {
	for name, runner := range runners {
		if owner := s.gossip.owner(s.resourceOf(name)); owner.Name != s.settings.VM {
			runner.abandonTo(owner)
		}
	}
}

// setPartitioned tells the other VMs whether this VM is partitioned from all upstreams.
func (g *gossip) setPartitioned(partitioned bool) {
	g.mu.Lock()
	isNew := g.directory.SetPartitioned(partitioned)
	g.mu.Unlock()
	if isNew {
		g.announce()
	}
}

// forgetFailures forgets failures of upstreams and zones that were not their fault.
func (u *upstreams) forgetFailures() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, state := range u.states {
		state.ForgetFailures()
	}
	u.zones = placement.ZoneHealth{}
}

// forgetFailures forgets failures of upstreams that were not their fault.
func (r *poolRunner) forgetFailures() {
	r.update(func() { r.scheduler.ForgetFailures(r.now()) })
}

// abandonTo gives the pool up to the new owner and ends all jobs, also those with pieces at upstreams. It returns
// the state to send to the new owner.
func (r *poolRunner) abandonTo(newOwner fleet.Entry) []stagepool.UpstreamState {
	var states []stagepool.UpstreamState
	r.update(func() {
		r.newOwner = newOwner
		if n := len(r.waiters); n > 0 {
			r.logger.Info("stages abandoned", zap.String("pool", r.pool), zap.String("owner", newOwner.Name), zap.Int("jobs", n))
		}
		for id, waiter := range r.waiters {
			delete(r.waiters, id)
			r.scheduler.Cancel(id)
			waiter.done <- stageResult{refusal: stagepool.OwnerChanged, owner: newOwner}
		}
		states = r.scheduler.HandOver(r.now())
	})
	return states
}
