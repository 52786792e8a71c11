package agent

import (
	"sync"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/engines"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// poolsCache caches the decoded pools table of one revision.
type poolsCache struct {
	mu       sync.Mutex
	revision uint64
	pools    *table.Pools
}

// AgentState returns the state on which orders to engines depend. It is unconfirmed while the
// agent is catching up after a start or pause.
func (a *Agent) AgentState() engines.AgentState {
	a.mu.Lock()
	now := bootclock.Now()
	snapshot := a.core.Snapshot(now)
	confirmed := a.core.MayDecide(now)
	a.mu.Unlock()
	agentState := engines.AgentState{
		Pools:     a.decodePools(snapshot.Pools.Revision, snapshot.Pools.Data),
		Revision:  snapshot.Pools.Revision,
		Reachable: []string{a.options.Settings.VM},
		Confirmed: confirmed,
	}
	for _, state := range snapshot.Members {
		if state.Status != membership.Unreachable {
			agentState.Reachable = append(agentState.Reachable, state.Name)
		}
	}
	return agentState
}

func (a *Agent) decodePools(revision uint64, data []byte) *table.Pools {
	if revision == 0 {
		return nil
	}
	cache := &a.poolsCache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.revision != revision {
		pools, err := table.DecodePools("pools", data)
		if err != nil {
			// This is not expected, since values are validated before they come into force.
			a.logger.Error("failed to decode the pools table in force", zap.Error(err))
			return nil
		}
		cache.revision, cache.pools = revision, pools
	}
	return cache.pools
}
